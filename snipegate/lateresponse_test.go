package snipegate

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"

	"pgregory.net/rapid"

	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipeplacement"
	"github.com/snipemoor/snipemoor/snipetable"
)

// lateStep is the response of a lateTarget to one request.
type lateStep struct {
	// status is that of the response. The target runs the request unless it refuses it with
	// 421, 429 or 503.
	status int
	// copies are the earlier responses over the connection, modulo their number, of which
	// late copies are sent before the response.
	copies []int
}

// runs reports whether the target runs the request.
func (s lateStep) runs() bool {
	switch s.status {
	case http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return false
	default:
		return true
	}
}

// lateTarget sends late copies of the responses that it has sent before over the same
// connection. After the last step, it refuses all requests with status 503.
type lateTarget struct {
	// anyConn means that it sends a late copy of the last refusal of a request when the same
	// request arrives again over any connection, instead of those of the steps.
	anyConn bool

	mu    sync.Mutex
	steps []lateStep
	// ran is the number of requests that it has run.
	ran int
	// refusals holds the last refusal of each request, by its ID.
	refusals map[string]string
}

// serve serves a connection on which req has arrived.
func (l *lateTarget) serve(c net.Conn, r *bufio.Reader, req *http.Request) {
	var earlier []string
	for {
		id := req.Header.Get("Id")
		step, response := l.next(id)
		text := ""
		if l.anyConn {
			text = l.refusal(id)
			if !step.runs() {
				l.addRefusal(id, response)
			}
		} else {
			for _, i := range step.copies {
				if len(earlier) > 0 {
					text += earlier[i%len(earlier)]
				}
			}
		}
		if _, err := io.WriteString(c, text+response); err != nil {
			return
		}
		earlier = append(earlier, response)
		next, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		req = next
	}
}

// next returns the next step and the response to a request with the given ID. The body of
// a response to a request that ran is the number of requests that ran so far.
func (l *lateTarget) next(id string) (step lateStep, response string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	step.status = http.StatusServiceUnavailable
	if len(l.steps) > 0 {
		step = l.steps[0]
		l.steps = l.steps[1:]
	}
	field, body := "Not-Run", ""
	if step.runs() {
		l.ran++
		field, body = "Signed", strconv.Itoa(l.ran)
	}
	return step, fmt.Sprintf("HTTP/1.1 %d %s\r\nId: %s\r\n%s: 1\r\nContent-Length: %d\r\n\r\n%s",
		step.status, http.StatusText(step.status), id, field, len(body), body)
}

// addRefusal records the last refusal of a request.
func (l *lateTarget) addRefusal(id, response string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.refusals == nil {
		l.refusals = make(map[string]string)
	}
	l.refusals[id] = response
}

// refusal returns the last refusal of a request, or "" if there was none.
func (l *lateTarget) refusal(id string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refusals[id]
}

// runCount returns the number of requests that have run.
func (l *lateTarget) runCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ran
}

// TestLateRefusal guards against a refusal with the promise that a request has not run,
// although it ran in a later attempt: the late copy of an earlier refusal, over the same
// connection and with the same ID, is taken for the response to that attempt. An idempotent
// request is sent again to a target that refused it, any other is not, and none to an address
// at which another target refused it.
func TestLateRefusal(t *testing.T) {
	const full, limited, misdirected = http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest
	for name, tc := range map[string]struct {
		refusals []int
		entries  []string
		// served means that an idempotent request is served.
		served bool
	}{
		"one target, second attempt":        {[]int{full}, []string{"d"}, true},
		"one target, third attempt":         {[]int{full, full}, []string{"d"}, true},
		"one target, fourth attempt":        {[]int{full, limited, full}, []string{"d"}, true},
		"one target, fifth attempt":         {[]int{full, limited, limited, full}, []string{"d"}, true},
		"two entries, full":                 {[]int{full, limited}, []string{"d", "e"}, true},
		"two entries, misdirected":          {[]int{misdirected}, []string{"d", "e"}, false},
		"two entries, misdirected and full": {[]int{misdirected, full}, []string{"d", "e"}, false},
		"three entries, misdirected twice":  {[]int{misdirected, misdirected}, []string{"d", "e", "f"}, false},
		"three entries, full in between":    {[]int{misdirected, full, misdirected, full}, []string{"d", "e", "f"}, false},
	} {
		for _, kind := range []snipetable.Kind{snipetable.Idempotent, snipetable.NonIdempotent} {
			t.Run(name+"/"+kind.String(), func(t *testing.T) {
				target := &lateTarget{}
				for _, status := range append(slices.Clone(tc.refusals), http.StatusOK) {
					target.steps = append(target.steps, lateStep{status, []int{0}})
				}
				r := newTestGateAt(t, kind, len(tc.refusals)+1, startTarget(t, target.serve), tc.entries...)
				r.gate.HeaderCodec = loadDialect{load: &snipeplacement.Load{Slots: 4}}
				status, ran := http.StatusServiceUnavailable, 0
				if tc.served && kind == snipetable.Idempotent {
					status, ran = http.StatusOK, 1
				}
				w := r.call(http.MethodPost, "/", "")
				if got := target.runCount(); w.Code != status || got != ran {
					t.Errorf("status %d, ran %d times, want %d and %d times", w.Code, got, status, ran)
				}
			})
		}
	}
}

// TestLateRefusalOverAnotherConnection guards against a refusal with the promise that a
// request has not run, although it ran in a later attempt over another connection.
func TestLateRefusalOverAnotherConnection(t *testing.T) {
	const full, limited, misdirected = http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest
	for name, tc := range map[string]struct {
		refusals []int
		entries  []string
	}{
		"one target, full":              {[]int{full}, []string{"d"}},
		"one target, limited":           {[]int{limited}, []string{"d"}},
		"one target, fourth attempt":    {[]int{full, limited, full}, []string{"d"}},
		"two entries, misdirected":      {[]int{misdirected}, []string{"d", "e"}},
		"two entries, full":             {[]int{full}, []string{"d", "e"}},
		"three entries, third attempt":  {[]int{misdirected, full}, []string{"d", "e", "f"}},
		"three entries, fourth attempt": {[]int{full, misdirected, limited}, []string{"d", "e", "f"}},
	} {
		t.Run(name, func(t *testing.T) {
			target := &lateTarget{anyConn: true}
			for _, status := range append(tc.refusals, http.StatusOK) {
				target.steps = append(target.steps, lateStep{status: status})
			}
			r := newTestGateAt(t, snipetable.NonIdempotent, len(tc.refusals)+1, startTarget(t, target.serve), tc.entries...)
			r.gate.HeaderCodec = loadDialect{load: &snipeplacement.Load{Slots: 4}}
			w := r.call(http.MethodPost, "/", "")
			if ran := target.runCount(); w.Code != http.StatusServiceUnavailable || ran > 0 {
				t.Errorf("status %d, and ran %d times, want 503 and not run", w.Code, ran)
			}
		})
	}
}

// lateScenario is a sequence of requests to one address.
type lateScenario struct {
	kind        snipetable.Kind
	maxAttempts int
	// anyConn is that of the lateTarget.
	anyConn bool
	// entries are the IDs of the targets at the address.
	entries []string
	steps   []lateStep
	// ids are those of the requests; one that occurs again is sent again by its caller.
	ids []string
}

// drawLateScenario draws a scenario.
func drawLateScenario(t *rapid.T) lateScenario {
	const mostAttempts, maxSteps, maxRequests, maxCopies, numEarlier = 5, 20, 8, 2, 4
	step := rapid.Custom(func(t *rapid.T) lateStep {
		return lateStep{
			rapid.SampledFrom([]int{200, 421, 429, 500, 503}).Draw(t, "status"),
			rapid.SliceOfN(rapid.IntRange(0, numEarlier-1), 0, maxCopies).Draw(t, "copies"),
		}
	})
	return lateScenario{
		kind:        rapid.SampledFrom([]snipetable.Kind{snipetable.Idempotent, snipetable.NonIdempotent}).Draw(t, "kind"),
		maxAttempts: rapid.IntRange(1, mostAttempts).Draw(t, "attempts"),
		entries:     []string{"d", "e", "f"}[:rapid.IntRange(1, 3).Draw(t, "entries")],
		steps:       rapid.SliceOfN(step, 1, maxSteps).Draw(t, "steps"),
		ids:         rapid.SliceOfN(rapid.SampledFrom([]string{"1", "2", "3"}), 1, maxRequests).Draw(t, "ids"),
		anyConn:     rapid.Bool().Draw(t, "any connection"),
	}
}

// TestLateCopies guards against late copies that change the answer to a caller, in any
// order of refusals of all kinds, for any number of attempts and of entries at the address,
// and for IDs that a caller sends again: a promise that does not hold, a second execution
// of a request that is not idempotent, or the answer to another attempt.
func TestLateCopies(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawLateScenario(rt)
		target := &lateTarget{steps: s.steps, anyConn: s.anyConn}
		address := startTarget(t, target.serve)
		r := newTestGateAt(t, s.kind, s.maxAttempts, address, s.entries...)
		r.gate.HeaderCodec = loadDialect{load: &snipeplacement.Load{Slots: 4}}
		for i, id := range s.ids {
			before := target.runCount()
			w := r.callAs(id, http.MethodPost, "/", "")
			ran := target.runCount() - before
			switch {
			case ran > 1 && s.kind != snipetable.Idempotent:
				rt.Fatalf("request %d ran %d times", i, ran)
			case impliesNotRun(w.Code) && ran > 0 && (s.kind != snipetable.Idempotent || !s.anyConn):
				rt.Fatalf("request %d was refused with status %d and ran", i, w.Code)
			case w.Code == http.StatusOK && (ran == 0 || w.Body.String() != strconv.Itoa(before+ran)):
				rt.Fatalf("request %d ran %d times and got the response to execution %s", i, ran, w.Body)
			}
			r.restoreEntries(address, s.entries)
		}
	})
}

// restoreEntries reports new incarnations of the targets that were excluded.
func (r *testGate) restoreEntries(address string, ids []string) {
	for _, id := range ids {
		if r.fleet.View().Target("s", id) == nil {
			r.born++
			r.fleet.UpdateTarget(r.gate.Clock.Now(), snipefleet.TargetReport{ID: id, Service: "s", Address: address, Slots: 4, Born: r.born})
		}
	}
}
