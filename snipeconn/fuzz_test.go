package snipeconn

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"regexp"
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
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 99\r\nX-Id: 1\r\n\r\n" + strings.Repeat("x", 98)))
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
		p := New(Settings{MaxBufferedBytes: 64})
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
		checkLength(t, resp)
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

// checkLength checks that a response that was read to its end has its declared length, if
// its status allows a body.
func checkLength(t *testing.T, resp *Response) {
	t.Helper()
	length := len(resp.Body)
	if resp.Stream != nil {
		n, err := io.Copy(io.Discard, resp.Stream)
		var failure *Error
		if err != nil && !errors.As(err, &failure) {
			t.Errorf("the stream ended with %v", err)
		}
		if err != nil {
			return
		}
		length += int(n)
	}
	noBody := resp.Status == http.StatusNoContent || resp.Status == http.StatusNotModified
	text := strings.TrimSpace(resp.Header.Get("Content-Length"))
	if n, err := strconv.Atoi(text); text != "" && !noBody && (err != nil || n != length) {
		t.Errorf("%d bytes were accepted as a body of length %s", length, text)
	}
}

// FuzzCheckStatus guards against a status that is not three digits from 100 to 599, or a
// valid one that is refused.
func FuzzCheckStatus(f *testing.F) {
	for _, line := range []string{"200 OK", "200", "099 X", "+20 X", "600 X", " 200 X", "-01 X", "1e2 X"} {
		f.Add(line)
	}
	valid := regexp.MustCompile(`^ *[1-5][0-9]{2}( |$)`)
	f.Fuzz(func(t *testing.T, line string) {
		if strings.ContainsAny(line, "\r\n") {
			return
		}
		text := "HTTP/1.1 " + line + "\r\nContent-Length: 0\r\n\r\n"
		resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
		if err == nil {
			_ = resp.Body.Close()
			err = CheckStatus(resp)
		}
		if accepted := err == nil; accepted && !valid.MatchString(line) || !accepted && regexp.MustCompile(`^[1-5][0-9]{2} `).MatchString(line) {
			t.Errorf("status line %q: error %v", line, err)
		}
	})
}
