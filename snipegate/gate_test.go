package snipegate

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"golang.org/x/sync/semaphore"

	"github.com/snipemoor/snipemoor/snipeconn"
	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipeplacement"
	"github.com/snipemoor/snipemoor/sniperetry"
	"github.com/snipemoor/snipemoor/snipetable"
	"github.com/snipemoor/snipemoor/snipetime"
)

// dialect is a plain set of headers.
type dialect struct{}

func (dialect) Call(h http.Header) Call {
	wait, _ := time.ParseDuration(h.Get("Wait"))
	return Call{ID: h.Get("Id"), Wait: wait, Object: h.Get("Object")}
}

func (dialect) Outbound(left time.Duration, target string) []snipeconn.Field {
	return []snipeconn.Field{{Name: "Wait", Value: left.String()}, {Name: "Target", Value: target}}
}

func (dialect) IDHeader() string { return "Id" }

func (dialect) Statement(status int, h http.Header) Statement {
	misaddressed := status == http.StatusMisdirectedRequest
	return Statement{NotRun: misaddressed || h.Get("Not-Run") != "", Misaddressed: misaddressed, Signed: h.Get("Signed") != ""}
}

// step is the result of one send.
type step struct {
	resp *snipeconn.Response
	err  error
}

// script sends requests by a list of results.
type script struct {
	mu    sync.Mutex
	steps []step
	sent  []snipeconn.Request
}

func (s *script) Send(_ context.Context, r *snipeconn.Request) (*snipeconn.Response, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent = append(s.sent, *r)
	if len(s.steps) == 0 {
		return nil, errors.New("no further step")
	}
	next := s.steps[0]
	s.steps = s.steps[1:]
	return next.resp, next.err
}

func ok(body string) step {
	return step{resp: &snipeconn.Response{Status: 200, Header: http.Header{"Signed": {"1"}}, Body: []byte(body), Length: int64(len(body))}}
}

func status(code int, header ...string) step {
	h := http.Header{}
	for _, name := range header {
		h.Set(name, "1")
	}
	return step{resp: &snipeconn.Response{Status: code, Header: h}}
}

func failed(cause snipeconn.Cause, begun bool) step {
	return step{err: &snipeconn.Error{Cause: cause, Begun: begun, Err: io.ErrUnexpectedEOF}}
}

// rig is a gate over a script of sends and three targets.
type rig struct {
	gate   *Gate
	script *script
	fleet  *snipefleet.Registry
}

func newRig(t *testing.T, kind snipetable.Kind, steps ...step) *rig {
	t.Helper()
	clock := snipetime.New()
	t.Cleanup(clock.Close)
	r := &rig{script: &script{steps: steps}, fleet: snipefleet.New()}
	for _, id := range []string{"a", "b", "c"} {
		r.fleet.Report(clock.Now(), snipefleet.TargetReport{ID: id, Service: "s", Address: id, Slots: 4, Born: 1})
	}
	table, err := snipetable.New(1, []snipetable.Route{{
		Name: "r", Host: "h", Prefix: "/", Kind: kind, Timeout: 500 * time.Millisecond,
		Attempts: 2, Backends: []snipetable.Backend{{Service: "s", Weight: 1}},
	}}, []snipetable.Service{{Name: "s"}}, snipetable.Limits{BodyBytes: 100})
	if err != nil {
		t.Fatal(err)
	}
	var tables snipetable.Holder
	tables.Offer(table)
	r.gate = New(Dependencies{
		Dialect: dialect{}, Tables: &tables, Fleet: r.fleet, Chooser: snipeplacement.New("f", snipefleet.Place{}),
		Sender: r.script, Clock: clock, Metrics: NewMetrics(prometheus.NewRegistry()), Log: zap.NewNop(), Memory: semaphore.NewWeighted(1 << 20),
		Budget: func() sniperetry.BudgetSettings {
			return sniperetry.BudgetSettings{Ratio: 1, MinimumPerSecond: 1, Cap: 10}
		},
	})
	return r
}

func (r *rig) call(method, path, body string) *httptest.ResponseRecorder {
	req := httptest.NewRequest(method, path, strings.NewReader(body))
	req.Host = "H:80"
	req.Header.Set("Id", "1")
	w := httptest.NewRecorder()
	r.gate.ServeHTTP(w, req)
	return w
}

// TestOutcomes guards against a repetition of what may have run, a promise that
// is not true, and an answer that the target has not given.
func TestOutcomes(t *testing.T) {
	const once, idempotent = snipetable.NonIdempotent, snipetable.Idempotent
	cases := map[string]struct {
		kind   snipetable.Kind
		steps  []step
		status int
		sends  int
		retry  bool // a Retry-After header
	}{
		"answered":                        {once, []step{ok("x")}, 200, 1, false},
		"shed, then answered":             {once, []step{status(503, "Not-Run"), ok("x")}, 200, 2, false},
		"shed twice":                      {once, []step{status(503, "Not-Run"), status(503, "Not-Run")}, 503, 2, true},
		"other target at the address":     {once, []step{status(421), ok("x")}, 200, 2, false},
		"not dialled, then answered":      {once, []step{failed(snipeconn.CauseDial, false), ok("x")}, 200, 2, false},
		"not dialled twice":               {once, []step{failed(snipeconn.CauseDial, false), failed(snipeconn.CauseDial, false)}, 503, 2, true},
		"lost":                            {once, []step{failed(snipeconn.CauseLost, true), ok("x")}, 502, 1, false},
		"lost upload":                     {snipetable.Upload, []step{failed(snipeconn.CauseLost, true), ok("x")}, 502, 1, false},
		"timeout":                         {once, []step{failed(snipeconn.CauseTimeout, true), ok("x")}, 504, 1, false},
		"unsigned success":                {once, []step{status(200), ok("x")}, 502, 1, false},
		"503 without a statement":         {once, []step{status(503, "Signed"), ok("x")}, 502, 1, false},
		"500 is passed on":                {once, []step{status(500, "Signed"), ok("x")}, 500, 1, false},
		"lost, repeated":                  {idempotent, []step{failed(snipeconn.CauseLost, true), ok("x")}, 200, 2, false},
		"lost twice":                      {idempotent, []step{failed(snipeconn.CauseLost, true), failed(snipeconn.CauseLost, true)}, 502, 2, false},
		"lost, then shed":                 {idempotent, []step{failed(snipeconn.CauseLost, true), status(503, "Not-Run")}, 502, 2, false},
		"500, repeated":                   {idempotent, []step{status(500, "Signed"), ok("x")}, 200, 2, false},
		"500 twice":                       {idempotent, []step{status(500, "Signed"), status(500, "Signed")}, 500, 2, false},
		"500, then lost: the 500 is sent": {idempotent, []step{status(500, "Signed"), failed(snipeconn.CauseLost, true)}, 500, 2, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, tc.kind, tc.steps...)
			w := r.call(http.MethodPost, "/p?q=1", "body")
			if w.Code != tc.status || len(r.script.sent) != tc.sends {
				t.Errorf("status %d after %d sends, want %d after %d", w.Code, len(r.script.sent), tc.status, tc.sends)
			}
			if got := w.Header().Get("Retry-After") != ""; got != tc.retry {
				t.Errorf("Retry-After %q", w.Header().Get("Retry-After"))
			}
			if tc.status >= 500 && tc.status != 500 && w.Header().Get("Signed") != "" {
				t.Error("an answer of the front bears the target's signature")
			}
			seen := map[string]bool{}
			for _, sent := range r.script.sent {
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

// TestPassingRefusal guards against a request that moves to a target without
// the object in its cache because the first refused it in spite of a free slot.
func TestPassingRefusal(t *testing.T) {
	for name, tc := range map[string]struct {
		load *snipeplacement.Load
		same bool
	}{
		"free": {&snipeplacement.Load{Running: 1, Slots: 4}, true},
		"full": {&snipeplacement.Load{Running: 4, Waiting: 3, Slots: 4}, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, snipetable.NonIdempotent, status(503, "Not-Run"), ok("x"))
			r.gate.Dialect = loaded{load: tc.load}
			w := r.call(http.MethodPost, "/", "")
			if w.Code != http.StatusOK || len(r.script.sent) != 2 {
				t.Fatalf("status %d after %d sends", w.Code, len(r.script.sent))
			}
			if same := r.script.sent[0].Address == r.script.sent[1].Address; same != tc.same {
				t.Errorf("same target %v, want %v", same, tc.same)
			}
		})
	}
}

// loaded is a dialect whose answers state a load.
type loaded struct {
	dialect
	load *snipeplacement.Load
}

func (l loaded) Statement(status int, h http.Header) Statement {
	s := l.dialect.Statement(status, h)
	s.Load = l.load
	return s
}

// TestSpread guards against requests without an object that all go to the target
// which the empty object prefers.
func TestSpread(t *testing.T) {
	const requests = 60
	r := newRig(t, snipetable.Idempotent)
	for range requests {
		r.script.steps = append(r.script.steps, ok("x"))
	}
	used := map[string]int{}
	for range requests {
		r.call(http.MethodGet, "/", "")
	}
	for _, sent := range r.script.sent {
		used[sent.Address]++
	}
	for _, id := range []string{"a", "b", "c"} {
		if used[id] == 0 {
			t.Errorf("target %s was not used: %v", id, used)
		}
	}
}

// TestBudget guards against retries beyond the budget, and against an empty
// budget that keeps a request from its first arrival at a target.
func TestBudget(t *testing.T) {
	for name, tc := range map[string]struct {
		first  step
		status int
	}{
		"shed":        {status(503, "Not-Run"), 503},
		"not dialled": {failed(snipeconn.CauseDial, false), 200},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, snipetable.NonIdempotent, tc.first, ok("x"))
			r.gate.Budget = func() sniperetry.BudgetSettings {
				return sniperetry.BudgetSettings{Ratio: 1e-9, MinimumPerSecond: 1e-9, Cap: 1}
			}
			if w := r.call(http.MethodPost, "/", ""); w.Code != tc.status {
				t.Errorf("status %d, want %d", w.Code, tc.status)
			}
		})
	}
}

// TestRefusals guards against wrong statuses for requests that are not sent.
func TestRefusals(t *testing.T) {
	r := newRig(t, snipetable.Idempotent)
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
	if len(r.script.sent) != 0 {
		t.Errorf("%d requests were sent", len(r.script.sent))
	}
}

// TestStopping guards against a request that a stopping front takes and cannot
// answer before its end, and against refusing what it can.
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
			r := newRig(t, snipetable.NonIdempotent, ok("x"))
			now := time.Now()
			r.gate.Stop(Stop{Accept: now.Add(tc.accept), End: now.Add(tc.end)})
			w := r.call(http.MethodPost, "/", "")
			if w.Code != tc.status || w.Header().Get("Connection") != "close" {
				t.Errorf("status %d with header %v, want %d and close", w.Code, w.Header(), tc.status)
			}
			if sent := len(r.script.sent) == 1; sent != (tc.status == http.StatusOK) {
				t.Errorf("%d sends", len(r.script.sent))
			}
		})
	}
}

// TestCallerGone guards against work for a caller that left before the request
// was sent.
func TestCallerGone(t *testing.T) {
	r := newRig(t, snipetable.NonIdempotent, ok("x"))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	req := httptest.NewRequestWithContext(ctx, http.MethodPost, "/", nil)
	req.Host = "h"
	req.Header.Set("Id", "1")
	r.gate.ServeHTTP(httptest.NewRecorder(), req)
	if len(r.script.sent) != 0 {
		t.Error("the request was sent")
	}
}

// TestSlowBody guards against a body that arrives too slowly and holds its
// request past the route's timeout.
func TestSlowBody(t *testing.T) {
	r := newRig(t, snipetable.Upload, ok("x"))
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

// TestCutAnswer guards against an answer that ends early and looks complete.
func TestCutAnswer(t *testing.T) {
	r := newRig(t, snipetable.NonIdempotent, step{resp: &snipeconn.Response{
		Status: 200, Header: http.Header{"Signed": {"1"}}, Body: []byte("begin"), Length: -1,
		Rest: io.MultiReader(strings.NewReader("middle"), brokenReader{}),
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
		t.Errorf("a cut answer was read without an error: %q", data)
	}
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// results records what the gate tells of the ends of attempts.
type results struct {
	Chooser
	ended []snipeplacement.Result
}

func (r *results) Done(now snipetime.Instant, t *snipefleet.Target, result snipeplacement.Result) {
	r.ended = append(r.ended, result)
	r.Chooser.Done(now, t, result)
}

// TestResults guards against a target that counts as sound although it runs
// requests past their deadlines, and against one that counts as failing because it
// answers with an error of its own or refuses a request.
func TestResults(t *testing.T) {
	cases := map[string]struct {
		step             step
		answered, broken bool
	}{
		"answer":            {ok("x"), true, false},
		"error":             {status(http.StatusInternalServerError, "Signed"), true, false},
		"refused":           {status(http.StatusServiceUnavailable, "Not-Run"), false, false},
		"refused, too late": {status(http.StatusGatewayTimeout, "Not-Run"), false, false},
		"past its deadline": {status(http.StatusGatewayTimeout, "Signed"), false, true},
		"lost":              {failed(snipeconn.CauseLost, true), false, true},
		"too long":          {failed(snipeconn.CauseTooLong, true), false, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, snipetable.Upload, tc.step)
			seen := &results{Chooser: r.gate.Chooser}
			r.gate.Chooser = seen
			r.call(http.MethodPost, "/", "")
			if first := seen.ended[0]; first.Answered != tc.answered || first.Broken != tc.broken {
				t.Errorf("result %+v, want answered %v, broken %v", first, tc.answered, tc.broken)
			}
		})
	}
}
