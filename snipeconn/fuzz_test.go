package snipeconn

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// FuzzAnswer guards against bytes of a target that are taken for an answer to
// another request, and against a connection that is kept with bytes left on it.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte(answer("1", "ok")))
	f.Add([]byte(answer("2", "no") + answer("1", "ok")))
	f.Add([]byte(answer("1", "ok") + "x"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Id: 1\r\n\r\n2\r\nok\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Id: 1\r\n\r\n2;ext=1\r\nok\r\n0\r\nX-Trailer: a\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Long: " + strings.Repeat("a", 64<<10) + "\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 204 No Content\r\nX-Id: 1\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nunframed"))
	f.Fuzz(func(t *testing.T, data []byte) {
		near, far := net.Pipe()
		go func() {
			// The far end ends with whatever the near end accepts.
			_, _ = bufio.NewReader(far).ReadString('\n')
			go func() { _, _ = io.Copy(io.Discard, far) }()
			_, _ = far.Write(data)
			_ = far.Close()
		}()
		p := New(Settings{})
		c := newConn(near, "a")
		r := request("a", "1", 300*time.Millisecond)
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
		if id := resp.Header.Get(idHeader); id != "" && id != "1" {
			t.Errorf("an answer to %q was taken", id)
		}
		if resp.Rest == nil && !bytes.Contains(data, resp.Body) && !bytes.Contains(bytes.ToLower(data), []byte("chunked")) {
			t.Errorf("body %q is not in the bytes received", resp.Body)
		}
		for _, kept := range p.idle["a"] {
			if kept.reader.Buffered() > 0 {
				t.Error("a connection is kept with bytes left on it")
			}
		}
		resp.Close()
		c.discard()
	})
}
