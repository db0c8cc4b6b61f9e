package snipetarget

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

// TestLateShed guards against a request that is reported as not begun although the target
// runs it: the late copy of an earlier refusal over the same connection is taken for the
// response to it.
func TestLateShed(t *testing.T) {
	const head = "HTTP/1.1 503 Service Unavailable\r\nSnipemoor-Not-Run: 1\r\nContent-Length: "
	for name, refusal := range map[string]string{"without a body": head + "0\r\n\r\n", "with a body": head + "4\r\n\r\nfull"} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = l.Close() })
			var shed atomic.Bool
			var ran atomic.Int32
			go serveEach(l, func(c net.Conn, r *bufio.Reader) {
				for late := ""; ; {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					if shed.CompareAndSwap(false, true) {
						late = refusal
						_, _ = io.WriteString(c, refusal)
						continue
					}
					ran.Add(1)
					_, _ = io.WriteString(c, late+"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
			})
			pools := New(Settings{}, &net.Dialer{})
			t.Cleanup(pools.Close)
			for i := range 2 {
				resp, err := pools.Attempt(testContext(t), Request{Target: l.Addr().String(), Method: http.MethodPost, URI: "/"})
				var failure *Error
				if i == 0 && (!errors.As(err, &failure) || failure.Cause != CauseShed) {
					t.Fatalf("error %v, want a refusal", err)
				}
				if errors.As(err, &failure) && failure.Execution == NotBegun && ran.Load() > 0 {
					t.Errorf("attempt %d is reported as not begun, and ran", i)
				}
				if err == nil {
					_ = resp.Body.Close()
				}
			}
			if ran.Load() != 1 {
				t.Errorf("ran %d times, want once", ran.Load())
			}
		})
	}
}

// serveEach calls serve for each connection that l accepts.
func serveEach(l net.Listener, serve func(c net.Conn, r *bufio.Reader)) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = c.Close() }()
			serve(c, bufio.NewReader(c))
		}()
	}
}
