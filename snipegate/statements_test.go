package snipegate

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/snipemoor/snipemoor/snipeconn"
	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipeplacement"
	"github.com/snipemoor/snipemoor/snipetable"
)

// TestLeavingInAnyResponse guards against a statement that a target leaves which is
// overlooked because of the kind of response that carries it, and against one of another
// target at the same address.
func TestLeavingInAnyResponse(t *testing.T) {
	streamed := statusResult(http.StatusOK, "Signed", "Leaving")
	streamed.resp.Stream, streamed.resp.Length = http.NoBody, -1
	broken := sendResult{err: &snipeconn.Error{
		MayHaveBegun: true, Cause: snipeconn.CauseConnectionLost, Err: http.ErrBodyReadAfterClose,
		Status: http.StatusOK, Header: http.Header{"Leaving": {"1"}},
	}}
	for name, tc := range map[string]struct {
		result  sendResult
		leaving bool
	}{
		"200":           {statusResult(http.StatusOK, "Signed", "Leaving"), true},
		"200, streamed": {streamed, true},
		"200, unsigned": {statusResult(http.StatusOK, "Leaving"), true},
		"200, broken":   {broken, true},
		"404":           {statusResult(http.StatusNotFound, "Signed", "Leaving"), true},
		"500":           {statusResult(http.StatusInternalServerError, "Signed", "Leaving"), true},
		"503":           {statusResult(http.StatusServiceUnavailable, "Not-Run", "Leaving"), true},
		"503, unsigned": {statusResult(http.StatusServiceUnavailable, "Leaving"), true},
		"not stated":    {statusResult(http.StatusOK, "Signed"), false},
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestGate(t, snipetable.NonIdempotent, tc.result, successResult("x"))
			r.call(http.MethodPost, "/", "")
			stated := r.sender.sent[0].Address
			if left := r.fleet.View().Target("s", stated) == nil; left != tc.leaving {
				t.Errorf("taken to leave: %v, want %v", left, tc.leaving)
			}
		})
	}
	t.Run("of another target", func(t *testing.T) {
		r := newTestGate(t, snipetable.NonIdempotent, statusResult(http.StatusMisdirectedRequest, "Leaving"), successResult("x"))
		r.call(http.MethodPost, "/", "")
		if n := len(r.fleet.View().Targets("s")); n != 2 {
			t.Errorf("%d targets are in use, want the 2 that did not answer 421", n)
		}
	})
}

// dialingSender is a Sender that opens a connection for each request. The first time,
// meanwhile is called before the connection is open.
type dialingSender struct {
	scriptedSender
	meanwhile func(r *snipeconn.Request)
}

func (s *dialingSender) Send(ctx context.Context, r *snipeconn.Request) (*snipeconn.Response, error) {
	if s.meanwhile != nil {
		meanwhile := s.meanwhile
		s.meanwhile = nil
		meanwhile(r)
	}
	if r.Confirm != nil {
		if err := r.Confirm(); err != nil {
			return nil, &snipeconn.Error{Cause: snipeconn.CauseWithdrawn, Err: err}
		}
	}
	return s.scriptedSender.Send(ctx, r)
}

// TestChangeDuringDial guards against a request that is sent to its target although the
// target leaves or rests, or to any although the caller disconnects, while the connection
// is opened.
func TestChangeDuringDial(t *testing.T) {
	for name, tc := range map[string]struct {
		meanwhile func(r *testGate, t *snipefleet.Target, disconnect func())
		sends     int
		outcome   int
	}{
		"target states that it leaves": {func(r *testGate, t *snipefleet.Target, _ func()) { r.fleet.MarkLeaving(t) }, 1, http.StatusOK},
		"entry is removed":             {func(r *testGate, t *snipefleet.Target, _ func()) { r.fleet.RemoveTarget(r.gate.Clock.Now(), t.ID) }, 1, http.StatusOK},
		"target asks for rest": {func(r *testGate, t *snipefleet.Target, _ func()) {
			r.gate.Chooser.RecordRest(r.gate.Clock.Now(), t, time.Minute)
		}, 1, http.StatusOK},
		"caller disconnects": {func(_ *testGate, _ *snipefleet.Target, disconnect func()) { disconnect() }, 0, http.StatusServiceUnavailable},
		"nothing":            {func(*testGate, *snipefleet.Target, func()) {}, 1, http.StatusOK},
	} {
		for _, kind := range []snipetable.Kind{snipetable.Idempotent, snipetable.NonIdempotent, snipetable.Upload} {
			t.Run(name+"/"+kind.String(), func(t *testing.T) {
				r := newTestGate(t, kind)
				ctx, disconnect := context.WithCancel(context.Background())
				defer disconnect()
				avoided := ""
				sender := &dialingSender{meanwhile: func(sent *snipeconn.Request) {
					avoided = sent.Address
					tc.meanwhile(r, r.fleet.View().Target("s", sent.Address), disconnect)
				}}
				sender.results = []sendResult{successResult("x")}
				r.gate.Sender = sender
				req := httptest.NewRequestWithContext(ctx, http.MethodPost, "/", nil)
				req.Host = "h"
				req.Header.Set("Id", "1")
				w := httptest.NewRecorder()
				r.gate.ServeHTTP(w, req)
				if w.Code != tc.outcome || len(sender.sent) != tc.sends {
					t.Errorf("status %d after %d sends, want %d after %d", w.Code, len(sender.sent), tc.outcome, tc.sends)
				}
				if name != "nothing" && len(sender.sent) > 0 && sender.sent[0].Address == avoided {
					t.Error("the request was sent to the target")
				}
			})
		}
	}
}

// TestDuplicateRefusal guards against a refusal with the promise that a request has not
// run, although it ran in a second attempt at the same target: a duplicate of the target's
// first response, which has the same request ID, is then taken for the second. It also guards
// against an idempotent request that is not tried again.
func TestDuplicateRefusal(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	for kind, wanted := range map[snipetable.Kind]struct {
		status int
		ran    int32
	}{
		snipetable.Idempotent:    {http.StatusOK, 1},
		snipetable.NonIdempotent: {http.StatusServiceUnavailable, 0},
	} {
		t.Run(kind.String(), func(t *testing.T) {
			var conns, ran atomic.Int32
			target := startTarget(t, func(c net.Conn, r *bufio.Reader, _ *http.Request) {
				if conns.Add(1) == 1 {
					_, _ = io.WriteString(c, refusal)
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					// The duplicate leaves once the next request is there, as one that was late does.
					_, _ = io.WriteString(c, refusal)
				}
				ran.Add(1)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nSigned: 1\r\nContent-Length: 1\r\n\r\nx")
			})
			r := newTestGateAt(t, kind, 2, target, "d")
			r.gate.HeaderCodec = loadDialect{load: &snipeplacement.Load{Slots: 4}}
			w := r.call(http.MethodPost, "/", "")
			if w.Code != wanted.status || ran.Load() != wanted.ran {
				t.Errorf("status %d, ran %d times, want %d and %d times", w.Code, ran.Load(), wanted.status, wanted.ran)
			}
		})
	}
}

// TestRefusalsOfRestingTargets guards against requests to a target that rests although it
// has free slots, and against refusals with a time at which all targets still rest.
func TestRefusalsOfRestingTargets(t *testing.T) {
	const rest = 3 // seconds
	resting := func() sendResult {
		result := statusResult(http.StatusServiceUnavailable, "Not-Run")
		result.resp.Header.Set("Rest", strconv.Itoa(rest)+"s")
		return result
	}
	r := newTestGate(t, snipetable.NonIdempotent, resting(), successResult("x"), successResult("x"), resting(), resting())
	r.gate.HeaderCodec = loadDialect{load: &snipeplacement.Load{Slots: 4}}
	call := func() (code int, retryAfter float64) {
		w := r.call(http.MethodPost, "/", "")
		retryAfter, _ = strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
		return w.Code, retryAfter
	}
	for range 2 {
		if code, _ := call(); code != http.StatusOK {
			t.Fatalf("status %d while only one target rests", code)
		}
	}
	code, retryAfter := call()
	for _, sent := range r.sender.sent[1:] {
		if sent.Address == r.sender.sent[0].Address {
			t.Errorf("a request was sent to %s, which rests", sent.Address)
		}
	}
	const margin = 0.5 // seconds
	if code != http.StatusServiceUnavailable || retryAfter < rest-margin {
		t.Errorf("status %d, retry after %.1f s when the last targets begin to rest for %d s", code, retryAfter, rest)
	}
	sends := len(r.sender.sent)
	if code, retryAfter = call(); code != http.StatusServiceUnavailable || retryAfter < rest-margin || len(r.sender.sent) != sends {
		t.Errorf("status %d, retry after %.1f s, %d sends while all targets rest", code, retryAfter, len(r.sender.sent)-sends)
	}
}
