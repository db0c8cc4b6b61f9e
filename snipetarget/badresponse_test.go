package snipetarget

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
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

// TestEarlyResponse guards against a response without a length whose connection was
// reset, or was closed before the upload was written, being passed on as complete. An
// orderly end after the whole request is complete.
func TestEarlyResponse(t *testing.T) {
	const (
		head    = "HTTP/1.1 200 OK\r\n\r\npart"
		framed  = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart"
		upload  = 600_000
		repeats = 20
		// receiveBytes is the size of the buffer for received bytes of the target.
		receiveBytes = 16 << 10
		someBytes    = 4 << 10
	)
	reset := func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0) }
	halfClose := func(c net.Conn) { _ = c.(*net.TCPConn).CloseWrite() }
	cases := map[string]struct {
		response string
		// readBytes is how much of the request the target reads before it responds.
		readBytes int64
		end       func(net.Conn)
		complete  bool
	}{
		"reset":                        {head, someBytes, reset, false},
		"closed with unread bytes":     {head, someBytes, func(net.Conn) {}, false},
		"half-closed":                  {head, someBytes, halfClose, false},
		"half-closed after the upload": {head, -1, halfClose, true},
		"length, half-closed":          {framed, someBytes, halfClose, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			done := make(chan struct{})
			defer close(done)
			target := serveTarget(t, func(c net.Conn, r *bufio.Reader) {
				if tc.readBytes == someBytes {
					// The rest does not fit, so that it is not acknowledged without being read.
					_ = c.(*net.TCPConn).SetReadBuffer(receiveBytes)
				}
				if tc.readBytes < 0 {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
				} else {
					_, _ = io.CopyN(io.Discard, r, tc.readBytes)
				}
				_, _ = io.WriteString(c, tc.response)
				if tc.end(c); strings.Contains(name, "half-closed") {
					<-done
				}
			})
			for range repeats {
				// Each upload has a new connection, since the target ends the previous one.
				pools := New(Settings{}, &net.Dialer{})
				err := attemptUpload(t, pools, target, upload)
				pools.Close()
				if tc.complete != (err == nil) {
					t.Fatalf("error %v of a response that is complete: %v", err, tc.complete)
				}
			}
		})
	}
}

// attemptUpload sends an upload of n bytes and reads the whole response.
func attemptUpload(t *testing.T, pools *Pools, target string, n int) error {
	t.Helper()
	resp, err := pools.Attempt(testContext(t), Request{
		Target: target, Method: http.MethodPost, URI: "/",
		Body: io.NopCloser(bytes.NewReader(make([]byte, n))), ContentLength: int64(n),
	})
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// TestResponseBeforeReset guards against a complete response that is lost because the
// write of the upload fails: a refusal that promises not to have run is one.
func TestResponseBeforeReset(t *testing.T) {
	const (
		upload  = 600_000
		repeats = 20
	)
	cases := map[string]struct {
		response string
		cause    Cause // of the failure, or empty
	}{
		"response": {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart", ""},
		"refusal":  {"HTTP/1.1 503 X\r\nSnipemoor-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", CauseShed},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			target := serveTarget(t, func(c net.Conn, r *bufio.Reader) {
				_, _ = io.CopyN(io.Discard, r, 4<<10)
				_, _ = io.WriteString(c, tc.response)
				_ = c.(*net.TCPConn).SetLinger(0)
			})
			lost := 0
			for range repeats {
				pools := New(Settings{}, &net.Dialer{})
				err := attemptUpload(t, pools, target, upload)
				pools.Close()
				var failure *Error
				if errors.As(err, &failure) != (tc.cause != "") || failure != nil && failure.Cause != tc.cause {
					lost++
				}
			}
			if lost > 0 {
				t.Errorf("%d of %d responses were lost", lost, repeats)
			}
		})
	}
}
