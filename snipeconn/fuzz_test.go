package snipeconn

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// FuzzResponse guards against a response that is accepted for the wrong request,
// and against a connection that is kept for reuse with unread bytes.
func FuzzResponse(f *testing.F) {
	f.Add([]byte(okResponse("1", "ok")))
	f.Add([]byte(okResponse("2", "no") + okResponse("1", "ok")))
	f.Add([]byte(okResponse("1", "ok") + "x"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Id: 1\r\n\r\n2\r\nok\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Id: 1\r\n\r\n2;ext=1\r\nok\r\n0\r\nX-Trailer: a\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Long: " + strings.Repeat("a", 64<<10) + "\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 204 No Content\r\nX-Id: 1\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nunframed"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Id: 1\r\n\r\n2\r\nok\r\n0\r\n"))
	f.Add([]byte("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\nX-Id: 1\r\n\r\n2\r\nok\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nX-Id: 1\r\n\r\nok"))
	for _, status := range []string{"000", "042", "099", "+20", "600", "999", "20", "2000", "199"} {
		f.Add([]byte("HTTP/1.1 " + status + " X\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n"))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		near, far := net.Pipe()
		go func() {
			// The near end may stop reading at any byte, so errors are ignored.
			_, _ = bufio.NewReader(far).ReadString('\n')
			go func() { _, _ = io.Copy(io.Discard, far) }()
			_, _ = far.Write(data)
			_ = far.Close()
		}()
		p := New(Settings{})
		c := newConn(near, "a")
		r := newRequest("a", "1", 300*time.Millisecond)
		e := &exchange{pools: p, conn: c, request: r, ctx: context.Background()}
		resp, err := e.run()
		if err != nil {
			var failure *Error
			if !errors.As(err, &failure) || failure.Err == nil {
				t.Fatalf("error without a cause: %v", err)
			}
			c.discard()
			return
		}
		if resp.Status < http.StatusOK || resp.Status > 599 {
			t.Errorf("status %d was accepted", resp.Status)
		}
		if n := resp.Header.Get("Content-Length"); n != "" && resp.Stream == nil && n != strconv.Itoa(len(resp.Body)) {
			t.Errorf("%d bytes were accepted as a body of length %s", len(resp.Body), n)
		}
		if id := resp.Header.Get(idHeader); id != "" && id != "1" {
			t.Errorf("a response to request %q was accepted", id)
		}
		if resp.Stream == nil && !bytes.Contains(data, resp.Body) && !bytes.Contains(bytes.ToLower(data), []byte("chunked")) {
			t.Errorf("body %q is not in the bytes received", resp.Body)
		}
		for _, idle := range p.idle["a"] {
			if idle.reader.Buffered() > 0 {
				t.Error("a connection was kept with unread bytes")
			}
		}
		resp.Close()
		c.discard()
	})
}
