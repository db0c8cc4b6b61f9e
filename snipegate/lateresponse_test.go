package snipegate

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"

	"github.com/snipemoor/snipemoor/snipeplacement"
)

// lateTarget refuses requests, and sends each refusal once more when the next request
// arrives over the connection. It runs the requests that it does not refuse.
type lateTarget struct {
	mu sync.Mutex
	// refusals are the statuses of the next responses; after them it runs requests.
	refusals []int
	ran      int
}

// serve serves a connection whose first request has been read.
func (l *lateTarget) serve(c net.Conn, r *bufio.Reader, _ int) {
	var late string
	for {
		response, refused := l.next()
		if _, err := io.WriteString(c, late+response); err != nil {
			return
		}
		if late = ""; refused {
			late = response
		}
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
	}
}

// next returns the response to the next request, and whether that is a refusal.
func (l *lateTarget) next() (response string, refused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.refusals) == 0 {
		l.ran++
		return "HTTP/1.1 200 OK\r\nId: 1\r\nSigned: 1\r\nContent-Length: 1\r\n\r\nx", false
	}
	status := l.refusals[0]
	l.refusals = l.refusals[1:]
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status)), true
}

// TestLateRefusal guards against a refusal with the promise that a request has not run,
// although it ran in a later attempt: the late copy of an earlier refusal, over the same
// connection and with the same ID, is taken for the response to that attempt.
func TestLateRefusal(t *testing.T) {
	const full, limited, misdirected = http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest
	for name, tc := range map[string]struct {
		refusals []int
		entries  []string
	}{
		"one target, second attempt":        {[]int{full}, []string{"d"}},
		"one target, third attempt":         {[]int{full, full}, []string{"d"}},
		"one target, fourth attempt":        {[]int{full, limited, full}, []string{"d"}},
		"one target, fifth attempt":         {[]int{full, limited, limited, full}, []string{"d"}},
		"two entries, misdirected":          {[]int{misdirected}, []string{"d", "e"}},
		"two entries, misdirected and full": {[]int{misdirected, full}, []string{"d", "e"}},
		"three entries, misdirected twice":  {[]int{misdirected, misdirected}, []string{"d", "e", "f"}},
		"three entries, full in between":    {[]int{misdirected, full, misdirected, full}, []string{"d", "e", "f"}},
	} {
		t.Run(name, func(t *testing.T) {
			target := &lateTarget{refusals: slices.Clone(tc.refusals)}
			r := newTestGateAt(t, len(tc.refusals)+1, startTarget(t, target.serve), tc.entries...)
			r.gate.HeaderCodec = loadDialect{load: &snipeplacement.Load{Slots: 4}}
			w := r.call(http.MethodPost, "/", "")
			target.mu.Lock()
			defer target.mu.Unlock()
			if w.Code != http.StatusOK || target.ran != 1 {
				t.Errorf("status %d, ran %d times, want 200 and once", w.Code, target.ran)
			}
			if w.Code == http.StatusServiceUnavailable && target.ran > 0 {
				t.Error("refused with the promise that it has not run")
			}
		})
	}
}
