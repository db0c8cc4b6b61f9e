package snipegate

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/snipemoor/snipemoor/snipeconn"
	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipeplacement"
	"github.com/snipemoor/snipemoor/sniperetry"
	"github.com/snipemoor/snipemoor/snipetable"
	"github.com/snipemoor/snipemoor/snipetime"
)

func (testDialect) Call(h http.Header) RequestHeaders {
	wait, _ := time.ParseDuration(h.Get("Wait"))
	c := RequestHeaders{ID: h.Get("Id"), Timeout: wait, Object: h.Get("Object")}
	if keys := h["Key"]; len(keys) == 1 {
		c.Key = keys[0]
	}
	return c
}

func (testDialect) TenantHeaders() []string { return []string{"Key", "Tenant"} }

func (testDialect) TargetHeaders(c TargetContext) []snipeconn.Field {
	fields := []snipeconn.Field{{Name: "Wait", Value: c.Remaining.String()}, {Name: "Target", Value: c.Target}}
	if c.Tenant != nil {
		fields = append(fields, snipeconn.Field{Name: "Tenant", Value: c.Tenant.Name})
	}
	return fields
}

func (testDialect) IDHeader() string { return "Id" }

func (testDialect) Statement(status int, h http.Header) ResponseHeaders {
	misaddressed := status == http.StatusMisdirectedRequest
	rest, _ := time.ParseDuration(h.Get("Rest"))
	return ResponseHeaders{
		NotRun: misaddressed || h.Get("Not-Run") != "", WrongTarget: misaddressed, Signed: h.Get("Signed") != "",
		Responder: h.Get("Responder"), Leaving: h.Get("Leaving") != "", Rest: rest,
	}
}

// TestOutcomes guards against a retry of a non-idempotent request that may have run,
// against a 503 for a request that may have run, and against a response of the front
// that looks like one of the target.
func TestOutcomes(t *testing.T) {
	const once, idempotent = snipetable.NonIdempotent, snipetable.Idempotent
	cases := map[string]struct {
		kind    snipetable.Kind
		results []sendResult
		status  int
		sends   int
		retry   bool // whether the response has a Retry-After header
	}{
		"answered":                        {once, []sendResult{successResult("x")}, 200, 1, false},
		"shed, then answered":             {once, []sendResult{statusResult(503, "Not-Run"), successResult("x")}, 200, 2, false},
		"shed twice":                      {once, []sendResult{statusResult(503, "Not-Run"), statusResult(503, "Not-Run")}, 503, 2, true},
		"other target at the address":     {once, []sendResult{statusResult(421), successResult("x")}, 200, 2, false},
		"not dialled, then answered":      {once, []sendResult{failureResult(snipeconn.CauseDial, false), successResult("x")}, 200, 2, false},
		"not dialled twice":               {once, []sendResult{failureResult(snipeconn.CauseDial, false), failureResult(snipeconn.CauseDial, false)}, 503, 2, true},
		"lost":                            {once, []sendResult{failureResult(snipeconn.CauseConnectionLost, true), successResult("x")}, 502, 1, false},
		"lost upload":                     {snipetable.Upload, []sendResult{failureResult(snipeconn.CauseConnectionLost, true), successResult("x")}, 502, 1, false},
		"timeout":                         {once, []sendResult{failureResult(snipeconn.CauseTimeout, true), successResult("x")}, 504, 1, false},
		"unsigned success":                {once, []sendResult{statusResult(200), successResult("x")}, 502, 1, false},
		"503 without a statement":         {once, []sendResult{statusResult(503, "Signed"), successResult("x")}, 502, 1, false},
		"500 is passed on":                {once, []sendResult{statusResult(500, "Signed"), successResult("x")}, 500, 1, false},
		"lost, repeated":                  {idempotent, []sendResult{failureResult(snipeconn.CauseConnectionLost, true), successResult("x")}, 200, 2, false},
		"lost twice":                      {idempotent, []sendResult{failureResult(snipeconn.CauseConnectionLost, true), failureResult(snipeconn.CauseConnectionLost, true)}, 502, 2, false},
		"lost, then shed":                 {idempotent, []sendResult{failureResult(snipeconn.CauseConnectionLost, true), statusResult(503, "Not-Run")}, 502, 2, false},
		"500, repeated":                   {idempotent, []sendResult{statusResult(500, "Signed"), successResult("x")}, 200, 2, false},
		"500 twice":                       {idempotent, []sendResult{statusResult(500, "Signed"), statusResult(500, "Signed")}, 500, 2, false},
		"500, then lost: the 500 is sent": {idempotent, []sendResult{statusResult(500, "Signed"), failureResult(snipeconn.CauseConnectionLost, true)}, 500, 2, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r := newTestGate(t, tc.kind, tc.results...)
			w := r.call(http.MethodPost, "/p?q=1", "body")
			if w.Code != tc.status || len(r.sender.sent) != tc.sends {
				t.Errorf("status %d after %d sends, want %d after %d", w.Code, len(r.sender.sent), tc.status, tc.sends)
			}
			if got := w.Header().Get("Retry-After") != ""; got != tc.retry {
				t.Errorf("Retry-After %q", w.Header().Get("Retry-After"))
			}
			if tc.status >= 500 && tc.status != 500 && w.Header().Get("Signed") != "" {
				t.Error("a response of the front carries the target's signature")
			}
			seen := map[string]bool{}
			for _, sent := range r.sender.sent {
				if seen[sent.Address] {
					t.Errorf("sent to %s twice", sent.Address)
				}
				seen[sent.Address] = true
				if sent.URI != "/p?q=1" || string(sent.Body) != "body" || sent.Method != http.MethodPost {
					t.Errorf("sent %s %s %q", sent.Method, sent.URI, sent.Body)
				}
			}
		})
	}
}

// TestRefusalWithFreeSlot guards against an idempotent request that moves to a target
// without the object in its cache because the first one refused it although it reports a
// free slot, and against any other request that goes to a target again, where a late copy of
// the refusal could pass for the response.
func TestRefusalWithFreeSlot(t *testing.T) {
	const once, idempotent, upload = snipetable.NonIdempotent, snipetable.Idempotent, snipetable.Upload
	free, full := &snipeplacement.Load{Running: 1, Slots: 4}, &snipeplacement.Load{Running: 4, Waiting: 3, Slots: 4}
	for name, tc := range map[string]struct {
		kind snipetable.Kind
		load *snipeplacement.Load
		same bool
	}{
		"idempotent, free": {idempotent, free, true},
		"idempotent, full": {idempotent, full, false},
		"once, free":       {once, free, false},
		"once, full":       {once, full, false},
		"upload, free":     {upload, free, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestGate(t, tc.kind, statusResult(503, "Not-Run"), successResult("x"))
			r.gate.HeaderCodec = loadDialect{load: tc.load}
			w := r.call(http.MethodPost, "/", "")
			if w.Code != http.StatusOK || len(r.sender.sent) != 2 {
				t.Fatalf("status %d after %d sends", w.Code, len(r.sender.sent))
			}
			if same := r.sender.sent[0].Address == r.sender.sent[1].Address; same != tc.same {
				t.Errorf("same target %v, want %v", same, tc.same)
			}
		})
	}
}

// TestRequestsWithoutObject guards against requests without an object that all go to
// the same target, as they would with the empty string as their affinity key.
func TestRequestsWithoutObject(t *testing.T) {
	const requests = 60
	r := newTestGate(t, snipetable.Idempotent)
	for range requests {
		r.sender.results = append(r.sender.results, successResult("x"))
	}
	used := map[string]int{}
	for range requests {
		r.call(http.MethodGet, "/", "")
	}
	for _, sent := range r.sender.sent {
		used[sent.Address]++
	}
	for _, id := range []string{"a", "b", "c"} {
		if used[id] == 0 {
			t.Errorf("target %s was not used: %v", id, used)
		}
	}
}

// TestBudget guards against retries beyond the budget, and against a request that is
// refused for lack of budget although it has not reached any target yet.
func TestBudget(t *testing.T) {
	for name, tc := range map[string]struct {
		first  sendResult
		status int
	}{
		"shed":        {statusResult(503, "Not-Run"), 503},
		"not dialled": {failureResult(snipeconn.CauseDial, false), 200},
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestGate(t, snipetable.NonIdempotent, tc.first, successResult("x"))
			r.gate.RetryBudget = func() sniperetry.BudgetSettings {
				return sniperetry.BudgetSettings{Ratio: 1e-9, MinimumPerSecond: 1e-9, Cap: 1}
			}
			if w := r.call(http.MethodPost, "/", ""); w.Code != tc.status {
				t.Errorf("status %d, want %d", w.Code, tc.status)
			}
		})
	}
}

// TestRefusals guards against wrong status codes for requests that are refused
// without being sent to a target.
func TestRefusals(t *testing.T) {
	r := newTestGate(t, snipetable.Idempotent)
	if w := r.call(http.MethodPost, "/", strings.Repeat("x", 101)); w.Code != http.StatusRequestEntityTooLarge {
		t.Errorf("large body: %d", w.Code)
	}
	req := httptest.NewRequest(http.MethodGet, "/", nil)
	req.Host = "other"
	req.Header.Set("Id", "1")
	w := httptest.NewRecorder()
	if r.gate.ServeHTTP(w, req); w.Code != http.StatusNotFound {
		t.Errorf("unknown host: %d", w.Code)
	}
	r.gate.Tables = &snipetable.Holder{}
	if w := r.call(http.MethodGet, "/", ""); w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" {
		t.Errorf("no configuration: %d", w.Code)
	}
	if len(r.sender.sent) != 0 {
		t.Errorf("%d requests were sent", len(r.sender.sent))
	}
}

// TestStopping guards against a stopping front that accepts a request whose deadline
// is after the end of the stop, and against one that refuses other requests.
func TestStopping(t *testing.T) {
	const timeout = 500 * time.Millisecond // of the route
	cases := map[string]struct {
		accept, end time.Duration
		status      int
	}{
		"early":       {time.Minute, timeout / 2, http.StatusOK},
		"enough time": {-time.Second, 2 * timeout, http.StatusOK},
		"too late":    {-time.Second, timeout / 2, http.StatusServiceUnavailable},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r := newTestGate(t, snipetable.NonIdempotent, successResult("x"))
			now := time.Now()
			r.gate.BeginStop(StopSchedule{AcceptUntil: now.Add(tc.accept), TerminateAt: now.Add(tc.end)})
			w := r.call(http.MethodPost, "/", "")
			if w.Code != tc.status || w.Header().Get("Connection") != "close" {
				t.Errorf("status %d with header %v, want %d and close", w.Code, w.Header(), tc.status)
			}
			if sent := len(r.sender.sent) == 1; sent != (tc.status == http.StatusOK) {
				t.Errorf("%d sends", len(r.sender.sent))
			}
		})
	}
}

// TestCallerGone guards against sending a request whose caller has disconnected.
func TestCallerGone(t *testing.T) {
	r := newTestGate(t, snipetable.NonIdempotent, successResult("x"))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	req := httptest.NewRequestWithContext(ctx, http.MethodPost, "/", nil)
	req.Host = "h"
	req.Header.Set("Id", "1")
	r.gate.ServeHTTP(httptest.NewRecorder(), req)
	if len(r.sender.sent) != 0 {
		t.Error("the request was sent")
	}
}

// TestSlowBody guards against a slow body that keeps its request open beyond the
// timeout of the route.
func TestSlowBody(t *testing.T) {
	r := newTestGate(t, snipetable.Upload, successResult("x"))
	server := httptest.NewServer(r.gate)
	defer server.Close()
	body, feed := io.Pipe()
	defer func() { _ = feed.Close() }()
	req, err := http.NewRequest(http.MethodPost, server.URL+"/", body)
	if err != nil {
		t.Fatal(err)
	}
	req.Host, req.ContentLength = "h", 50
	req.Header.Set("Id", "1")
	started := time.Now()
	go func() { _, _ = feed.Write([]byte("part")) }()
	resp, err := server.Client().Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusRequestTimeout || time.Since(started) > 2*time.Second {
		t.Errorf("status %d after %v", resp.StatusCode, time.Since(started))
	}
}

// TestTruncatedResponse guards against a response that ends early but looks complete
// to the caller.
func TestTruncatedResponse(t *testing.T) {
	r := newTestGate(t, snipetable.NonIdempotent, sendResult{resp: &snipeconn.Response{
		Status: 200, Header: http.Header{"Signed": {"1"}}, Body: []byte("begin"), Length: -1,
		Stream: io.MultiReader(strings.NewReader("middle"), brokenReader{}),
	}})
	server := httptest.NewServer(r.gate)
	defer server.Close()
	req, err := http.NewRequest(http.MethodPost, server.URL+"/", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set("Id", "1")
	resp, err := server.Client().Do(req)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if data, err := io.ReadAll(resp.Body); err == nil {
		t.Errorf("a truncated response was read without an error: %q", data)
	}
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// recordingChooser records the results of attempts that the gate reports.
type recordingChooser struct {
	Chooser
	results []snipeplacement.Result
}

func (r *recordingChooser) RecordResult(now snipetime.Instant, t *snipefleet.Target, result snipeplacement.Result) {
	r.results = append(r.results, result)
	r.Chooser.RecordResult(now, t, result)
}

// TestLimitStatements guards against a limit that ends with a response that is not the
// target's own or whose statement cannot be read, and against one that does not end.
func TestLimitStatements(t *testing.T) {
	r := newTestGate(t, snipetable.Idempotent)
	target := r.fleet.View().Target("s", "a")
	limit := 5.0
	for _, step := range []struct {
		name    string
		headers ResponseHeaders
		limited bool
	}{
		{"none", ResponseHeaders{Signed: true}, false},
		{"stated", ResponseHeaders{Signed: true, Limit: &limit}, true},
		{"not readable", ResponseHeaders{Signed: true, LimitErr: errors.New("many")}, true},
		{"not its own", ResponseHeaders{}, true},
		{"another target's", ResponseHeaders{NotRun: true, WrongTarget: true}, true},
		{"refused without a limit", ResponseHeaders{NotRun: true}, false},
		{"stated in a refusal", ResponseHeaders{NotRun: true, Limit: &limit}, true},
		{"answered without a limit", ResponseHeaders{Signed: true}, false},
	} {
		(&request{gate: r.gate}).recordLimit(target, step.headers)
		if s, _ := r.gate.Limits.Current(target); s.Limited != step.limited {
			t.Errorf("%s: limited %v", step.name, s.Limited)
		}
	}
}

// TestRetryBudgetFollowsFronts guards against a front that keeps the part of a retry
// budget that it had when it knew few other fronts.
func TestRetryBudgetFollowsFronts(t *testing.T) {
	r := newTestGate(t, snipetable.Idempotent)
	part := 10.0
	r.gate.RetryBudget = func() sniperetry.BudgetSettings {
		return sniperetry.BudgetSettings{Ratio: 0.1, MinimumPerSecond: 0.001, Cap: part, Initial: part}
	}
	spent := func() (n int) {
		for r.gate.spendRetry("s") {
			n++
		}
		return n
	}
	if !r.gate.spendRetry("s") {
		t.Fatal("the budget allows no retry")
	}
	part = 1
	if n := spent(); n > 1 {
		t.Errorf("%d retries are allowed after the part has become 1", n)
	}
}

// TestResults guards against wrong results reported to the chooser: a target that
// runs requests past their deadlines counts as failing, and one that responds with
// an application error or refuses a request does not.
func TestResults(t *testing.T) {
	cases := map[string]struct {
		result           sendResult
		answered, broken bool
	}{
		"answer":            {successResult("x"), true, false},
		"error":             {statusResult(http.StatusInternalServerError, "Signed"), true, false},
		"refused":           {statusResult(http.StatusServiceUnavailable, "Not-Run"), false, false},
		"refused, too late": {statusResult(http.StatusGatewayTimeout, "Not-Run"), false, false},
		"past its deadline": {statusResult(http.StatusGatewayTimeout, "Signed"), false, true},
		"lost":              {failureResult(snipeconn.CauseConnectionLost, true), false, true},
		"too long":          {failureResult(snipeconn.CauseResponseTooLong, true), false, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r := newTestGate(t, snipetable.Upload, tc.result)
			seen := &recordingChooser{Chooser: r.gate.Chooser}
			r.gate.Chooser = seen
			r.call(http.MethodPost, "/", "")
			if first := seen.results[0]; first.Completed != tc.answered || first.Failed != tc.broken {
				t.Errorf("result %+v, want completed %v, failed %v", first, tc.answered, tc.broken)
			}
		})
	}
}
