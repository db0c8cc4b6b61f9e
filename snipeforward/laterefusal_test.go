package snipeforward

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/snipemoor/snipemoor/snipepeer"
	"github.com/snipemoor/snipemoor/snipewire"
)

// repeatingTarget refuses the first request with each identifier. When the identifier
// comes again, over whatever connection, it sends the refusal once more and runs the
// request.
type repeatingTarget struct {
	mu      sync.Mutex
	refused map[string]bool
	ran     int
}

// startRepeatingTarget starts a repeatingTarget that runs until the end of the test and
// returns it with its address.
func startRepeatingTarget(t *testing.T) (target *repeatingTarget, address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	target = &repeatingTarget{refused: make(map[string]bool)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go target.serve(c)
		}
	}()
	return target, l.Addr().String()
}

func (s *repeatingTarget) serve(c net.Conn) {
	const refusal = "HTTP/1.1 503 Busy\r\nSnipemoor-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		response := refusal
		s.mu.Lock()
		if id := request.Header.Get(headerRequestID); s.refused[id] {
			s.ran++
			response += "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
		} else {
			s.refused[id] = true
		}
		s.mu.Unlock()
		if _, err := io.WriteString(c, response); err != nil {
			return
		}
	}
}

func (s *repeatingTarget) runCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran
}

// lostRefusalStream loses the refusal of an attempt at server once the attempt has ended
// there.
type lostRefusalStream struct {
	RelayStream
	server *instance
}

// ReadResponse implements RelayStream.
func (s lostRefusalStream) ReadResponse() (*snipewire.RelayAnswer, error) {
	answer, err := s.RelayStream.ReadResponse()
	var refused *snipepeer.RefusedError
	if !errors.As(err, &refused) {
		return answer, err
	}
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	for s.server.endedAttempts == 0 {
		s.server.changed.Wait()
	}
	return nil, io.ErrUnexpectedEOF
}

// TestLateRefusal guards against the outcome not-run for a request of class once that a
// target has run: the target refuses it, gets it again and sends the refusal once more,
// which names no attempt. The request must not come to the target again, also if the
// instance that relayed it knows the refusal from the status of the attempt only.
func TestLateRefusal(t *testing.T) {
	for name, tc := range map[string]struct {
		plan []Place
		lost bool
	}{
		"direct":                {localPlan, false},
		"relayed":               {relayPlan, false},
		"relayed, refusal lost": {relayPlan, true},
	} {
		t.Run(name, func(t *testing.T) {
			target, address := startRepeatingTarget(t)
			a, b := newFleet(t, tc.plan, address)
			if tc.lost {
				a.wrapStream = func(s RelayStream) RelayStream { return lostRefusalStream{s, b} }
			}
			resp, err := a.send(t.Context(), http.MethodPost, "once/x", nil)
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
			if got := resp.Header.Get(headerOutcome); got != outcomeNotRun || target.runCount() != 0 {
				t.Errorf("outcome %s, ran %d times, want %s and 0 times", got, target.runCount(), outcomeNotRun)
			}
		})
	}
}
