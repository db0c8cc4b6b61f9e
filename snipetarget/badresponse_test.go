package snipetarget

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
)

// serveTarget starts a target that handles each connection with serve, and returns its
// address.
func serveTarget(t *testing.T, serve func(c net.Conn, r *bufio.Reader)) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go serveEach(l, serve)
	return l.Addr().String()
}

// TestStatus guards against a status that is not one being passed on to a caller, where
// net/http panics on some of them.
func TestStatus(t *testing.T) {
	cases := map[string]bool{
		"000": false, "042": false, "099": false, "+20": false, "600": false, "999": false,
		"200": true, "404": true, "599": true,
	}
	for status, valid := range cases {
		t.Run(status, func(t *testing.T) {
			target := serveTarget(t, func(c net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err == nil {
					_, _ = io.WriteString(c, "HTTP/1.1 "+status+" Text\r\nContent-Length: 0\r\n\r\n")
				}
			})
			pools := New(Settings{}, &net.Dialer{})
			t.Cleanup(pools.Close)
			resp, err := pools.Attempt(testContext(t), Request{Target: target, Method: http.MethodGet, URI: "/"})
			if err == nil {
				_ = resp.Body.Close()
			}
			var failure *Error
			if valid != (err == nil) || !valid && (!errors.As(err, &failure) || failure.Cause != CauseBadResponse || failure.Execution != MaybeBegun) {
				t.Errorf("response %v, error %v", resp, err)
			}
		})
	}
}
