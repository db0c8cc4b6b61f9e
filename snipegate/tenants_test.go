package snipegate

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/snipemoor/snipemoor/snipeconn"
	"github.com/snipemoor/snipemoor/snipetable"
	"github.com/snipemoor/snipemoor/snipetime"
)

// Keys of the tenants of newTenantTable.
const (
	keyOfT, keyOfDisabled, sharedKey = "secret-t", "secret-disabled", "secret-shared"
	longKey                          = 8 << 10
)

// newTenantTable returns a version with a route that needs keys, a public one and a disabled
// one. Tenant t has the given keys; others are disabled or share a key.
func newTenantTable(version uint64, kind snipetable.Kind, keysOfT ...string) *snipetable.Table {
	route := func(prefix string, public bool, err error) snipetable.Route {
		return snipetable.Route{
			Name: prefix, Host: "h", Prefix: prefix, Kind: kind, Timeout: 2 * time.Second, MaxAttempts: 2,
			Backends: []snipetable.Backend{{Service: "s", Weight: 1}}, Public: public, Err: err,
		}
	}
	unreadable := errors.New("unreadable")
	return snipetable.New(snipetable.Content{
		Version: version, Services: []snipetable.Service{{Name: "s"}}, Limits: snipetable.Limits{BodyBytes: 1 << 10},
		Routes:       []snipetable.Route{route("/", false, nil), route("/public/", true, nil), route("/disabled/", true, unreadable)},
		RequiresKeys: true, Tenants: []snipetable.TenantEntry{
			{Tenant: snipetable.Tenant{Name: "t", Quota: snipetable.Quota{PerSecond: 1}}, Keys: keysOfT},
			{Tenant: snipetable.Tenant{Name: "disabled", Err: unreadable}, Keys: []string{keyOfDisabled}},
			{Tenant: snipetable.Tenant{Name: "v"}, Keys: []string{sharedKey, strings.Repeat("v", longKey-1)}},
			{Tenant: snipetable.Tenant{Name: "w"}, Keys: []string{sharedKey}},
		},
	})
}

// fakeQuotas counts the tokens that are taken and returned. It admits every request unless
// retryAfter is set.
type fakeQuotas struct {
	retryAfter        time.Duration
	charged, returned atomic.Int64
}

func (f *fakeQuotas) Admit(snipetime.Instant, *snipetable.Tenant) (time.Duration, bool) {
	if f.retryAfter > 0 {
		return f.retryAfter, false
	}
	f.charged.Add(1)
	return 0, true
}

func (f *fakeQuotas) Return(snipetime.Instant, *snipetable.Tenant) { f.returned.Add(1) }

// fakeRevocation is a Revocation with a fixed response.
type fakeRevocation bool

func (f fakeRevocation) Recent(snipetime.Instant) bool { return bool(f) }

// newTenantGate returns a gate whose configuration is newTenantTable, with its quotas.
func newTenantGate(t testing.TB, kind snipetable.Kind, results ...sendResult) (*testGate, *fakeQuotas) {
	t.Helper()
	r, quotas := newTestGate(t, kind, results...), &fakeQuotas{}
	r.gate.Tables.UpdateIfNewer(newTenantTable(2, kind, keyOfT))
	r.gate.Quotas = quotas
	return r, quotas
}

// callWithKeys sends a request with ID 1 and one header line for each key.
func (r *testGate) callWithKeys(method, path string, body io.Reader, keys ...string) *httptest.ResponseRecorder {
	req := httptest.NewRequest(method, path, body)
	req.Host = "h"
	req.Header.Set("Id", "1")
	for _, key := range keys {
		req.Header.Add("kEY", key)
	}
	w := httptest.NewRecorder()
	r.gate.ServeHTTP(w, req)
	return w
}

// TestAuthenticate guards against a request that runs without a valid key, one that is refused
// although it has one, and a key in a log line or a response.
func TestAuthenticate(t *testing.T) {
	core, logs := observer.New(zapcore.DebugLevel)
	for name, tc := range map[string]struct {
		path    string
		keys    []string
		stale   bool
		status  int
		outcome Outcome
	}{
		"valid":                 {"/", []string{keyOfT}, false, 200, ""},
		"valid, stale":          {"/", []string{keyOfT}, true, 503, OutcomeConfigurationStale},
		"none":                  {"/", nil, false, 401, OutcomeUnauthorized},
		"none, stale":           {"/", nil, true, 401, OutcomeUnauthorized},
		"empty":                 {"/", []string{""}, false, 401, OutcomeUnauthorized},
		"two":                   {"/", []string{keyOfT, keyOfT}, false, 401, OutcomeUnauthorized},
		"valid and empty":       {"/", []string{keyOfT, ""}, false, 401, OutcomeUnauthorized},
		"list":                  {"/", []string{keyOfT + ", " + keyOfT}, false, 401, OutcomeUnauthorized},
		"unknown":               {"/", []string{"secret-unknown"}, false, 401, OutcomeUnauthorized},
		"unknown, stale":        {"/", []string{"secret-unknown"}, true, 503, OutcomeConfigurationStale},
		"other case":            {"/", []string{strings.ToUpper(keyOfT)}, false, 401, OutcomeUnauthorized},
		"long":                  {"/", []string{strings.Repeat("v", longKey)}, false, 401, OutcomeUnauthorized},
		"disabled tenant":       {"/", []string{keyOfDisabled}, false, 503, OutcomeTenantDisabled},
		"shared":                {"/", []string{sharedKey}, false, 503, OutcomeTenantDisabled},
		"public":                {"/public/x", nil, false, 200, ""},
		"public, stale":         {"/public/x", nil, true, 200, ""},
		"public, valid key":     {"/public/x", []string{keyOfT}, false, 200, ""},
		"public, two":           {"/public/x", []string{"secret-unknown", ""}, true, 200, ""},
		"disabled route":        {"/disabled/x", []string{keyOfT}, false, 503, OutcomeRouteDisabled},
		"disabled route, none":  {"/disabled/x", nil, false, 503, OutcomeRouteDisabled},
		"disabled route, stale": {"/disabled/x", []string{keyOfT}, true, 503, OutcomeRouteDisabled},
	} {
		for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPost} {
			r, quotas := newTenantGate(t, snipetable.NonIdempotent, successResult("x"))
			r.gate.Log, r.gate.Revocation = zap.New(core), fakeRevocation(!tc.stale)
			w := r.callWithKeys(method, tc.path, strings.NewReader(""), tc.keys...)
			served := tc.status == http.StatusOK
			if w.Code != tc.status || (len(r.sender.sent) == 1) != served || !served && w.Body.String() != string(tc.outcome)+"\n" {
				t.Errorf("%s, %s: status %d, %q after %d sends", name, method, w.Code, w.Body, len(r.sender.sent))
			}
			if (w.Header().Get("Retry-After") != "") != (tc.status == http.StatusServiceUnavailable) {
				t.Errorf("%s, %s: Retry-After %q", name, method, w.Header().Get("Retry-After"))
			}
			if want := served && tc.path == "/"; quotas.charged.Load() == 1 != want || quotas.returned.Load() != 0 {
				t.Errorf("%s, %s: %d tokens taken, %d returned", name, method, quotas.charged.Load(), quotas.returned.Load())
			}
		}
	}
	named := 0
	for _, entry := range logs.All() {
		fields := entry.ContextMap()
		if text := strings.ToLower(fmt.Sprint(entry.Message, fields)); strings.Contains(text, "secret") || strings.Contains(text, "vvvv") {
			t.Errorf("log line with a key: %s", text)
		}
		if fields["tenant"] == "t" {
			named++
		}
	}
	const want = 2 * 3 // valid and valid but stale, each with three methods
	if named != want {
		t.Errorf("%d log lines name the tenant, want %d", named, want)
	}
}

// TestDisguisedPath guards against a request that needs no key because its path is written so
// that it matches a public route, while a target that decodes or cleans the path serves it as
// one of a route that needs a key.
func TestDisguisedPath(t *testing.T) {
	route := func(prefix string, public bool) snipetable.Route {
		return snipetable.Route{
			Name: prefix, Host: "h", Prefix: prefix, Kind: snipetable.Idempotent, Timeout: time.Second, MaxAttempts: 1,
			Backends: []snipetable.Backend{{Service: "s", Weight: 1}}, Public: public,
		}
	}
	table := snipetable.New(snipetable.Content{
		Version: 9, Services: []snipetable.Service{{Name: "s"}}, RequiresKeys: true,
		Routes:  []snipetable.Route{route("/", true), route("/public/", true), route("/private/", false)},
		Tenants: []snipetable.TenantEntry{{Tenant: snipetable.Tenant{Name: "t"}, Keys: []string{keyOfT}}},
	})
	for path, public := range map[string]bool{
		"/": true, "/x": true, "/public/x": true, "/public/a%2Fb": true, "/public//x": true, "/private": true, "/x?y=/../private/x": true,
		"/private/x": false, "/%70rivate/x": false, "//private/x": false, "/./private/x": false, "/public/../private/x": false,
		"/public/%2e%2e/private/x": false, "/private%2fx": false, "/public/..%2Fprivate%2F.": false, "http://h/%70rivate/x": false,
	} {
		for _, keys := range [][]string{nil, {keyOfT}} {
			r := newTestGate(t, snipetable.Idempotent, successResult("x"))
			r.gate.Tables.UpdateIfNewer(table)
			w := r.callWithKeys(http.MethodGet, path, nil, keys...)
			want := http.StatusOK
			if !public && keys == nil {
				want = http.StatusUnauthorized
			}
			if w.Code != want || (len(r.sender.sent) > 0) != (want == http.StatusOK) {
				t.Errorf("%s with %d keys: status %d after %d sends", path, len(keys), w.Code, len(r.sender.sent))
			}
		}
	}
}

// TestBeforeFirstConfiguration guards against a status that tells the caller that its key is
// wrong before any key is known.
func TestBeforeFirstConfiguration(t *testing.T) {
	r, _ := newTenantGate(t, snipetable.Idempotent)
	r.gate.Tables = &snipetable.Holder{}
	if w := r.callWithKeys(http.MethodGet, "/", nil, keyOfT); w.Code != http.StatusServiceUnavailable {
		t.Errorf("status %d", w.Code)
	}
}

// TestTokens guards against a token that is kept for a request that has not run, that is
// returned twice, or that is returned for one that may have run.
func TestTokens(t *testing.T) {
	shed, lost, unsent := statusResult(503, "Not-Run"), failureResult(snipeconn.CauseConnectionLost, true), failureResult(snipeconn.CauseDial, false)
	long := strings.Repeat("b", 2<<10)
	for name, tc := range map[string]struct {
		kind     snipetable.Kind
		body     io.Reader
		results  []sendResult
		status   int
		returned int64
	}{
		"answered":         {snipetable.NonIdempotent, nil, []sendResult{successResult("x")}, 200, 0},
		"error of target":  {snipetable.NonIdempotent, nil, []sendResult{statusResult(500, "Signed")}, 500, 0},
		"shed, answered":   {snipetable.NonIdempotent, nil, []sendResult{shed, successResult("x")}, 200, 0},
		"shed twice":       {snipetable.NonIdempotent, nil, []sendResult{shed, shed}, 503, 1},
		"not sent twice":   {snipetable.NonIdempotent, nil, []sendResult{unsent, unsent}, 503, 1},
		"lost":             {snipetable.NonIdempotent, nil, []sendResult{lost}, 502, 0},
		"lost, then shed":  {snipetable.Idempotent, nil, []sendResult{lost, shed}, 502, 0},
		"body too large":   {snipetable.Upload, strings.NewReader(long), nil, 413, 1},
		"body cut":         {snipetable.Upload, failingReader{io.ErrUnexpectedEOF}, nil, 400, 1},
		"body too late":    {snipetable.Upload, failingReader{os.ErrDeadlineExceeded}, nil, 408, 1},
		"body answered":    {snipetable.Upload, strings.NewReader("body"), []sendResult{successResult("x")}, 200, 0},
		"download refused": {snipetable.Download, nil, []sendResult{shed, shed}, 503, 1},
	} {
		r, quotas := newTenantGate(t, tc.kind, tc.results...)
		w := r.callWithKeys(http.MethodPost, "/", tc.body, keyOfT)
		if w.Code != tc.status || quotas.charged.Load() != 1 || quotas.returned.Load() != tc.returned {
			t.Errorf("%s: status %d, %d tokens taken, %d returned", name, w.Code, quotas.charged.Load(), quotas.returned.Load())
		}
	}
}

// failingReader is a body of unknown length that ends with an error.
type failingReader struct{ err error }

func (r failingReader) Read([]byte) (int, error) { return 0, r.err }

// TestTokenWithoutTarget guards against a token that is kept for a request that no target
// takes, or whose caller has left.
func TestTokenWithoutTarget(t *testing.T) {
	r, quotas := newTenantGate(t, snipetable.NonIdempotent)
	for _, id := range []string{"a", "b", "c"} {
		r.fleet.RemoveTarget(r.gate.Clock.Now(), id)
	}
	if w := r.callWithKeys(http.MethodPost, "/", nil, keyOfT); w.Code != http.StatusServiceUnavailable || quotas.returned.Load() != 1 {
		t.Errorf("no target: status %d, %d tokens returned", w.Code, quotas.returned.Load())
	}
	r, quotas = newTenantGate(t, snipetable.NonIdempotent, failureResult(snipeconn.CauseCancelled, false))
	req := httptest.NewRequest(http.MethodPost, "/", nil)
	req.Host, req.Header = "h", http.Header{"Id": {"1"}, "Key": {keyOfT}}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	r.gate.ServeHTTP(httptest.NewRecorder(), req.WithContext(ctx))
	if quotas.charged.Load() != 1 || quotas.returned.Load() != 1 {
		t.Errorf("caller gone: %d tokens taken, %d returned", quotas.charged.Load(), quotas.returned.Load())
	}
}

// TestOverQuota guards against a request above the quota that runs, or whose caller is not
// told when to retry.
func TestOverQuota(t *testing.T) {
	r, quotas := newTenantGate(t, snipetable.NonIdempotent, successResult("x"))
	quotas.retryAfter = 1500 * time.Millisecond
	w := r.callWithKeys(http.MethodPost, "/", nil, keyOfT)
	if w.Code != http.StatusTooManyRequests || w.Header().Get("Retry-After") != "1.500" || w.Body.String() != "overQuota\n" {
		t.Errorf("status %d, Retry-After %q, body %q", w.Code, w.Header().Get("Retry-After"), w.Body)
	}
	if len(r.sender.sent) != 0 || quotas.returned.Load() != 0 {
		t.Errorf("%d sends, %d tokens returned", len(r.sender.sent), quotas.returned.Load())
	}
	if w := r.callWithKeys(http.MethodPost, "/public/x", nil, keyOfT); w.Code != http.StatusOK {
		t.Errorf("status %d on a public route", w.Code)
	}
}

// hookReader is a body that calls hook when it is read.
type hookReader struct {
	io.Reader
	hook func()
}

func (r hookReader) Read(p []byte) (int, error) {
	r.hook()
	return r.Reader.Read(p)
}

// hookSender calls hook after each request that is sent.
type hookSender struct {
	*scriptedSender
	hook func()
}

func (s hookSender) Send(ctx context.Context, r *snipeconn.Request) (*snipeconn.Response, error) {
	resp, err := s.scriptedSender.Send(ctx, r)
	s.hook()
	return resp, err
}

// TestKeyRemovedMeanwhile guards against an attempt with a key that was removed while the
// request waited for its body or for an earlier attempt, and against a status that promises
// that it has not run although it may have.
func TestKeyRemovedMeanwhile(t *testing.T) {
	shed, lost := statusResult(503, "Not-Run"), failureResult(snipeconn.CauseConnectionLost, true)
	removed, kept := newTenantTable(3, snipetable.Idempotent, "secret-new"), newTenantTable(3, snipetable.Idempotent, "secret-new", keyOfT)
	moved := snipetable.New(snipetable.Content{Version: 3, RequiresKeys: true, Tenants: []snipetable.TenantEntry{
		{Tenant: snipetable.Tenant{Name: "other"}, Keys: []string{keyOfT}},
	}})
	lifted := snipetable.New(snipetable.Content{Version: 3})
	for name, tc := range map[string]struct {
		table         *snipetable.Table
		duringBody    bool
		first         sendResult
		status, sends int
		returned      int64
	}{
		"body, removed":      {removed, true, shed, 401, 0, 1},
		"body, kept":         {kept, true, successResult("x"), 200, 1, 0},
		"body, moved":        {moved, true, shed, 503, 0, 1},
		"body, lifted":       {lifted, true, successResult("x"), 200, 1, 0},
		"refused, removed":   {removed, false, shed, 503, 1, 1},
		"refused, kept":      {kept, false, shed, 200, 2, 0},
		"lost, removed":      {removed, false, lost, 502, 1, 0},
		"lost, moved":        {moved, false, lost, 502, 1, 0},
		"500, removed":       {removed, false, statusResult(500, "Signed"), 500, 1, 0},
		"500, kept":          {kept, false, statusResult(500, "Signed"), 200, 2, 0},
		"not sent, removed":  {removed, false, failureResult(snipeconn.CauseDial, false), 503, 1, 1},
		"withdrawn, removed": {removed, false, failureResult(snipeconn.CauseWithdrawn, false), 503, 1, 1},
	} {
		r, quotas := newTenantGate(t, snipetable.Idempotent, tc.first, successResult("x"))
		change := func() { r.gate.Tables.UpdateIfNewer(tc.table) }
		body := hookReader{strings.NewReader("body"), func() {}}
		if tc.duringBody {
			body.hook = change
		} else {
			r.gate.Sender = hookSender{r.sender, change}
		}
		w := r.callWithKeys(http.MethodPost, "/", body, keyOfT)
		if w.Code != tc.status || len(r.sender.sent) != tc.sends || quotas.returned.Load() != tc.returned {
			t.Errorf("%s: status %d, %q after %d sends, %d tokens returned", name, w.Code, w.Body, len(r.sender.sent), quotas.returned.Load())
		}
	}
}

// BenchmarkKeyAndQuota measures the check of a key and of a quota that always admits, without
// the reading of the clock that it shares with the check of the revocations.
func BenchmarkKeyAndQuota(b *testing.B) {
	for _, tenants := range []int{1, 77, 10_000} {
		entries := make([]snipetable.TenantEntry, tenants)
		for i := range entries {
			entries[i] = snipetable.TenantEntry{Tenant: snipetable.Tenant{Name: fmt.Sprint("t", i)}, Keys: []string{fmt.Sprintf("key-%032d", i)}}
		}
		table := snipetable.New(snipetable.Content{Version: 9, RequiresKeys: true, Tenants: entries})
		r, _ := newTenantGate(b, snipetable.Idempotent)
		q := &request{gate: r.gate, table: table, recent: true, route: &snipetable.Route{}}
		b.Run(fmt.Sprintf("tenants=%d", tenants), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				q.call.Key = entries[i%tenants].Keys[0]
				if !q.authenticate() || !q.chargeQuota() {
					b.Fatal("refused")
				}
			}
		})
	}
}
