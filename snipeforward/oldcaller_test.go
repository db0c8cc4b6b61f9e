package snipeforward

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
)

// TestTruncatedForOldCaller guards against a truncated response that looks complete to a
// caller of HTTP/1.0, which knows the end of a body without a length by the end of the
// connection.
func TestTruncatedForOldCaller(t *testing.T) {
	for name, plan := range plans {
		for _, truncated := range []bool{false, true} {
			target := serveTarget(t, func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, strings.Repeat("x", 50000))
				_ = http.NewResponseController(w).Flush()
				if truncated {
					panic(http.ErrAbortHandler)
				}
			})
			a, _ := newFleet(t, plan, target)
			c, err := net.Dial("tcp4", a.server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.WriteString(c, "GET /call/t/safe/x HTTP/1.0\r\nHost: h\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			text, err := io.ReadAll(c)
			_ = c.Close()
			if !strings.HasPrefix(string(text), "HTTP/1.0 200") || truncated != errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("%s, truncated %v: %.20q, error %v", name, truncated, text, err)
			}
			a.waitIdle(t)
		}
	}
}
