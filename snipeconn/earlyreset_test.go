package snipeconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	unframedHead = "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\n\r\n"
	framedHead   = "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nContent-Length: 4\r\n\r\n"
	chunkedHead  = "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nTransfer-Encoding: chunked\r\n\r\n"
)

// resetConn is a connection that delivers a reset to the writer of the request body
// only: the reader gets the response and then io.EOF.
type resetConn struct {
	net.Conn // nil; the methods that are not replaced are not called
	response *strings.Reader
	writes   int
	// failed is closed when the reset has been delivered.
	failed chan struct{}
}

func (c *resetConn) Write(p []byte) (int, error) {
	c.writes++
	if c.writes == 1 {
		return len(p), nil
	}
	defer close(c.failed)
	return 0, &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", syscall.ECONNRESET)}
}

func (c *resetConn) Read(p []byte) (int, error) {
	if c.response.Len() == 0 {
		<-c.failed
	}
	return c.response.Read(p) //nolint:wrapcheck // as of a connection
}

func (c *resetConn) SetDeadline(time.Time) error      { return nil }
func (c *resetConn) SetWriteDeadline(time.Time) error { return nil }
func (c *resetConn) Close() error                     { return nil }

// TestResetReportedToWriter guards against a truncated response that is taken for a
// complete one, because the reset of the connection was reported to the writer of the
// request body and the reader saw an ordinary end. A response that states its end is
// complete without the end of the connection.
func TestResetReportedToWriter(t *testing.T) {
	long := strings.Repeat("x", 300<<10)
	cases := map[string]struct {
		response string
		complete bool
	}{
		"without a length, short":    {unframedHead + "part", false},
		"without a length, streamed": {unframedHead + long, false},
		"without a length, empty":    {unframedHead, false},
		"in the length":              {framedHead + "par", false},
		"in a chunk":                 {chunkedHead + "4\r\npar", false},
		"before the last chunk":      {chunkedHead + "4\r\npart\r\n", false},
		"in the last chunk":          {chunkedHead + "4\r\npart\r\n0\r\n", false},
		"complete with a length":     {framedHead + "part", true},
		"complete with chunks":       {chunkedHead + "4\r\npart\r\n0\r\n\r\n", true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			raw := &resetConn{response: strings.NewReader(tc.response), failed: make(chan struct{})}
			r := newUpload("a", len(long))
			e := &exchange{pools: New(Settings{}), conn: newConn(raw, "a"), request: r, ctx: context.Background()}
			resp, failure := e.run()
			if failure != nil {
				checkBrokenOff(t, failure, tc.complete)
				return
			}
			checkBrokenOff(t, readRest(resp), tc.complete)
		})
	}
}

// readRest reads the streamed part of a response and closes it.
func readRest(resp *Response) error {
	defer resp.Close()
	if resp.Stream == nil {
		return nil
	}
	_, err := io.Copy(io.Discard, resp.Stream)
	return err
}

// checkBrokenOff checks that err reports a response that broke off unless it was
// complete. net/http reports an end within the last chunk by an error of its own.
func checkBrokenOff(t *testing.T, err error, complete bool) {
	t.Helper()
	var failure *Error
	switch {
	case complete && err != nil:
		t.Errorf("a complete response failed: %v", err)
	case complete:
	case err == nil:
		t.Error("a truncated response was taken for a complete one")
	case !errors.As(err, &failure) || !failure.MayHaveBegun,
		failure.Cause != CauseConnectionLost && !strings.Contains(err.Error(), "unexpected EOF reading trailer"):
		t.Errorf("error %v, want cause %s of a request that may have begun", err, CauseConnectionLost)
	}
}

// newUpload returns a request with a body of n bytes.
func newUpload(address string, n int) *Request {
	const wait = 10 * time.Second
	r := newRequest(address, "1", wait)
	r.Method, r.Body, r.HasBody = http.MethodPost, make([]byte, n), true
	return r
}

// sendUpload sends an upload of n bytes and reads the whole response.
func sendUpload(address string, n int) error {
	resp, err := New(Settings{}).Send(context.Background(), newUpload(address, n))
	if err != nil {
		return err
	}
	return readRest(resp)
}

// TestEarlyResponses guards against a response without a length whose connection was
// reset, or was closed before the upload was written, and that is taken for a complete
// one: 7 of 60 uploads of 600 kB were answered so. An orderly end after the whole
// request, and a response that states its end, are complete.
func TestEarlyResponses(t *testing.T) {
	const (
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
		"reset":                        {unframedHead + "part", someBytes, reset, false},
		"reset, later":                 {unframedHead + "part", 300_000, reset, false},
		"closed with unread bytes":     {unframedHead + "part", someBytes, func(net.Conn) {}, false},
		"half-closed":                  {unframedHead + "part", someBytes, halfClose, false},
		"half-closed after the upload": {unframedHead + "part", -1, halfClose, true},
		"closed after the upload":      {unframedHead + "part", -1, func(net.Conn) {}, true},
		"length, half-closed":          {framedHead + "part", someBytes, halfClose, true},
		"chunks, half-closed":          {chunkedHead + "4\r\npart\r\n0\r\n\r\n", someBytes, halfClose, true},
		"length, reset":                {framedHead + "part", someBytes, reset, true},
		"reset in the length":          {framedHead + "par", someBytes, reset, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			done := make(chan struct{})
			address := startTarget(t, func(c net.Conn, r *bufio.Reader) {
				if tc.readBytes == someBytes {
					// The rest does not fit, so that it is not acknowledged without being read.
					_ = c.(*net.TCPConn).SetReadBuffer(receiveBytes)
				}
				if tc.readBytes < 0 {
					_, _ = readRequest(r)
				} else {
					_, _ = io.CopyN(io.Discard, r, tc.readBytes)
				}
				_, _ = io.WriteString(c, tc.response)
				if tc.end(c); strings.Contains(name, "half-closed") {
					// The connection stays half-open until the exchange has ended.
					<-done
				}
			})
			defer close(done)
			for i := range repeats {
				err := sendUpload(address, upload)
				checkBrokenOff(t, err, tc.complete)
				if t.Failed() {
					t.Fatal("repeat " + strconv.Itoa(i))
				}
			}
		})
	}
}
