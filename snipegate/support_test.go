package snipegate

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
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
	"github.com/snipemoor/snipemoor/snipequota"
	"github.com/snipemoor/snipemoor/sniperetry"
	"github.com/snipemoor/snipemoor/snipetable"
	"github.com/snipemoor/snipemoor/snipetime"
)

// testDialect is a HeaderCodec with short header names.
type testDialect struct{}

// sendResult is the result of one call of Send.
type sendResult struct {
	resp *snipeconn.Response
	err  error
}

// scriptedSender returns a list of results in order, and records the requests.
type scriptedSender struct {
	mu      sync.Mutex
	results []sendResult
	sent    []snipeconn.Request
}

func (s *scriptedSender) Send(_ context.Context, r *snipeconn.Request) (*snipeconn.Response, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent = append(s.sent, *r)
	if len(s.results) == 0 {
		return nil, errors.New("no further result")
	}
	next := s.results[0]
	s.results = s.results[1:]
	return next.resp, next.err
}

func successResult(body string) sendResult {
	return sendResult{resp: &snipeconn.Response{Status: 200, Header: http.Header{"Signed": {"1"}}, Body: []byte(body), Length: int64(len(body))}}
}

// statusResult returns a response to the request with ID 1, with the given header fields.
func statusResult(code int, header ...string) sendResult {
	h := http.Header{"Id": {"1"}}
	for _, name := range header {
		h.Set(name, "1")
	}
	return sendResult{resp: &snipeconn.Response{Status: code, Header: h}}
}

func failureResult(cause snipeconn.Cause, begun bool) sendResult {
	return sendResult{err: &snipeconn.Error{Cause: cause, MayHaveBegun: begun, Err: io.ErrUnexpectedEOF}}
}

// testGate is a gate with three targets and a scripted sender.
type testGate struct {
	gate   *Gate
	sender *scriptedSender
	fleet  *snipefleet.Registry
	// born is the start time of the newest incarnation of a target.
	born int64
}

func newTestGate(t testing.TB, kind snipetable.Kind, results ...sendResult) *testGate {
	t.Helper()
	clock := snipetime.New()
	t.Cleanup(clock.Close)
	r := &testGate{sender: &scriptedSender{results: results}, fleet: snipefleet.New(), born: 1}
	for _, id := range []string{"a", "b", "c"} {
		r.fleet.UpdateTarget(clock.Now(), snipefleet.TargetReport{ID: id, Service: "s", Address: id, Slots: 4, Born: 1})
	}
	const maxAttempts = 2
	var tables snipetable.Holder
	tables.UpdateIfNewer(newTestTable(t, 1, kind, maxAttempts))
	limits := snipequota.New(snipefleet.Member{Name: "f"}, r.fleet, zap.NewNop())
	r.gate = New(Dependencies{
		HeaderCodec: testDialect{}, Tables: &tables, Fleet: r.fleet, Chooser: snipeplacement.New("f", snipefleet.Place{}, limits), Limits: limits,
		Sender: r.sender, Clock: clock, Metrics: NewMetrics(prometheus.NewRegistry()), Log: zap.NewNop(), BodyMemory: semaphore.NewWeighted(1 << 20), ResponseMemory: semaphore.NewWeighted(1 << 20),
		RetryBudget: func() sniperetry.BudgetSettings {
			return sniperetry.BudgetSettings{Ratio: 1, MinimumPerSecond: 1, Cap: 10}
		},
	})
	return r
}

// newTestTable returns a version of a configuration with one route.
func newTestTable(t testing.TB, version uint64, kind snipetable.Kind, maxAttempts int) *snipetable.Table {
	t.Helper()
	table := snipetable.New(snipetable.Content{Version: version, Routes: []snipetable.Route{{
		Name: "r", Host: "h", Prefix: "/", Kind: kind, Timeout: 500 * time.Millisecond,
		MaxAttempts: maxAttempts, Backends: []snipetable.Backend{{Service: "s", Weight: 1}},
	}}, Services: []snipetable.Service{{Name: "s"}}, Limits: snipetable.Limits{BodyBytes: 100}})
	if problems := table.Problems(); problems != nil {
		t.Fatal(problems)
	}
	return table
}

// call sends a request with ID 1 to the gate and returns the response.
func (r *testGate) call(method, path, body string) *httptest.ResponseRecorder {
	return r.callAs("1", method, path, body)
}

// callAs is call with the given ID.
func (r *testGate) callAs(id, method, path, body string) *httptest.ResponseRecorder {
	req := httptest.NewRequest(method, path, strings.NewReader(body))
	req.Host = "H:80"
	req.Header.Set("Id", id)
	w := httptest.NewRecorder()
	r.gate.ServeHTTP(w, req)
	return w
}

// loadDialect is a HeaderCodec in which each response reports the same load.
type loadDialect struct {
	testDialect
	load *snipeplacement.Load
}

func (l loadDialect) Statement(status int, h http.Header) ResponseHeaders {
	s := l.testDialect.Statement(status, h)
	s.Load = l.load
	return s
}

// newTestGateAt returns a gate that sends over connections. Its requests are of the given
// kind and may be sent maxAttempts times. Its targets have the given IDs and all the same
// address.
func newTestGateAt(t testing.TB, kind snipetable.Kind, maxAttempts int, address string, ids ...string) *testGate {
	t.Helper()
	r := newTestGate(t, kind)
	r.gate.Tables.UpdateIfNewer(newTestTable(t, 2, kind, maxAttempts))
	now := r.gate.Clock.Now()
	for _, id := range []string{"a", "b", "c"} {
		r.fleet.RemoveTarget(now, id)
	}
	for _, id := range ids {
		r.fleet.UpdateTarget(now, snipefleet.TargetReport{ID: id, Service: "s", Address: address, Slots: 4, Born: 1})
	}
	r.gate.RetryBudget = func() sniperetry.BudgetSettings {
		const retries = 1e9
		return sniperetry.BudgetSettings{Initial: retries, Cap: retries}
	}
	pools := snipeconn.New(snipeconn.Settings{})
	t.Cleanup(func() { pools.CloseExpired(time.Now(), func(string) bool { return false }) })
	r.gate.Sender = pools
	return r
}

// startTarget starts a target that reads a request on each connection and then calls
// serve with it, and returns its address.
func startTarget(t *testing.T, serve func(c net.Conn, r *bufio.Reader, req *http.Request)) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	t.Cleanup(func() {
		_ = l.Close()
		wg.Wait()
	})
	wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			wg.Go(func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				if req, err := http.ReadRequest(r); err == nil {
					serve(c, r, req)
				}
			})
		}
	})
	return l.Addr().String()
}
