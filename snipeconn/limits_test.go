package snipeconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/semaphore"
)

// writeBytes is the least size of the writes in which endless responses are sent.
const writeBytes = 4 << 10

// startEndlessTarget starts a target that responds with begin and then with repeat
// over and over until the connection is closed. It then sends to closed.
func startEndlessTarget(t *testing.T, begin, repeat string, closed chan<- struct{}) string {
	text := strings.Repeat(repeat, writeBytes/len(repeat)+1)
	return startTarget(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := readRequest(r); err != nil {
			return
		}
		_, err := io.WriteString(c, begin)
		for err == nil {
			_, err = io.WriteString(c, text)
		}
		closed <- struct{}{}
	})
}

// endlessCases returns responses that never end, named by their endless part.
func endlessCases() map[string]struct {
	begin, repeat string
	cause         Cause
} {
	const own = "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\n"
	const other = "HTTP/1.1 200 OK\r\n" + idHeader + ": 2\r\n"
	return map[string]struct {
		begin, repeat string
		cause         Cause
	}{
		"status line":                    {"HTTP/1.1 200 ", "a", CauseResponseTooLong},
		"no status line":                 {"", "\x00\x01 no answer", CauseMalformed},
		"headers":                        {own, "X-More: of it\r\n", CauseResponseTooLong},
		"one header":                     {own + "X-More: ", "a", CauseResponseTooLong},
		"folded header":                  {own + "X-More: a\r\n", " a\r\n", CauseResponseTooLong},
		"interim responses":              {"", "HTTP/1.1 103 Early Hints\r\n\r\n", CauseMalformed},
		"headers of an interim response": {"HTTP/1.1 103 Early Hints\r\n", "X-More: of it\r\n", CauseResponseTooLong},
		"response to another request":    {other + "\r\n", "body", CauseResponseTooLong},
		"chunks for another request":     {other + "Transfer-Encoding: chunked\r\n\r\n", "2\r\nok\r\n", CauseResponseTooLong},
		"responses to other requests":    {"", other + "Content-Length: 0\r\n\r\n", CauseMalformed},
		"chunk size":                     {own + "Transfer-Encoding: chunked\r\n\r\n", "0", CauseMalformed},
		"one chunk extension":            {own + "Transfer-Encoding: chunked\r\n\r\n2;", "x", CauseMalformed},
		"many chunk extensions":          {own + "Transfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("x", 200) + "\r\na\r\n", CauseMalformed},
		"trailers":                       {own + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: of it\r\n", CauseMalformed},
		"chunks":                         {own + "Transfer-Encoding: chunked\r\n\r\n", "2\r\nok\r\n", CauseResponseTooLong},
		"body without a length":          {own + "\r\n", "body", CauseResponseTooLong},
		"body of a declared length":      {own + "Content-Length: 9000000000000000000\r\n\r\n", "body", CauseResponseTooLong},
	}
}

// TestEndlessResponses guards against a target that never stops sending: the
// exchange must end long before its deadline, allocate little memory and close the
// connection to the target.
func TestEndlessResponses(t *testing.T) {
	const (
		bodyBytes = 512 << 10
		// maxAllocated bounds the bytes that one exchange allocates in total.
		maxAllocated = 8 << 20
		maxElapsed   = 5 * time.Second
		wait         = time.Minute
	)
	for name, tc := range endlessCases() {
		t.Run(name, func(t *testing.T) {
			closed := make(chan struct{}, 1)
			address := startEndlessTarget(t, tc.begin, tc.repeat, closed)
			p := New(Settings{MaxBodyBytes: bodyBytes})
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			started := time.Now()
			read, err := sendAndRead(p, newRequest(address, "1", wait))
			elapsed := time.Since(started)
			runtime.ReadMemStats(&after)
			var failure *Error
			if !errors.As(err, &failure) || failure.Cause != tc.cause || !failure.MayHaveBegun {
				t.Fatalf("error %v, want cause %s of a request that may have begun", err, tc.cause)
			}
			const maxTextBytes = 1 << 10
			if n := len(err.Error()); n > maxTextBytes {
				t.Errorf("the error has %d bytes, limit %d", n, maxTextBytes)
			}
			if read > bodyBytes {
				t.Errorf("%d bytes of the body were read, limit %d", read, bodyBytes)
			}
			if elapsed > maxElapsed {
				t.Errorf("took %v", elapsed)
			}
			if n := after.TotalAlloc - before.TotalAlloc; n > maxAllocated {
				t.Errorf("%d bytes were allocated, limit %d", n, maxAllocated)
			}
			select {
			case <-closed:
			case <-time.After(maxElapsed):
				t.Error("the connection is still open")
			}
		})
	}
}

// sendAndRead sends r, reads the whole response and returns the number of body
// bytes read.
func sendAndRead(p *Pools, r *Request) (int64, error) {
	resp, err := p.Send(context.Background(), r)
	if err != nil {
		return 0, err
	}
	defer resp.Close()
	n := int64(len(resp.Body))
	if resp.Stream == nil {
		return n, nil
	}
	more, err := io.Copy(io.Discard, resp.Stream)
	return n + more, err
}

// TestLongResponses guards against size limits that reject valid responses just
// below them.
func TestLongResponses(t *testing.T) {
	const limit = 300 << 10
	body := strings.Repeat("b", limit-1)
	head := "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nX-Long: " + strings.Repeat("h", 16<<10) + "\r\n"
	cases := map[string]string{
		"length":    head + "Content-Length: 307199\r\n\r\n" + body,
		"unframed":  head + "\r\n" + body,
		"chunked":   head + "Transfer-Encoding: chunked\r\n\r\n4AFFF\r\n" + body + "\r\n0\r\n\r\n",
		"no reason": "HTTP/1.0 200\r\n" + idHeader + ": 1\r\n\r\n" + body,
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			address := startTarget(t, func(c net.Conn, r *bufio.Reader) {
				if _, err := readRequest(r); err == nil {
					_, _ = io.WriteString(c, text)
				}
			})
			n, err := sendAndRead(New(Settings{MaxBodyBytes: limit}), newRequest(address, "1", time.Minute))
			if err != nil || n != limit-1 {
				t.Errorf("read %d bytes, %v; want %d", n, err, limit-1)
			}
		})
	}
}

// TestMemoryReturned guards against reserved memory that is not released after a
// response has ended, whether complete, broken off or streamed.
func TestMemoryReturned(t *testing.T) {
	const memory = 1 << 20
	own := "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\n"
	cases := map[string]string{
		"whole":                    own + "Content-Length: 2\r\n\r\nok",
		"without a length":         own + "\r\nok",
		"cut":                      own + "Content-Length: 9\r\n\r\nok",
		"cut chunks":               own + "Transfer-Encoding: chunked\r\n\r\n9\r\nok",
		"passed on, cut":           own + "Content-Length: 500000\r\n\r\nok",
		"more than the memory has": own + "Transfer-Encoding: chunked\r\n\r\n80000\r\n" + strings.Repeat("a", 0x80000) + "\r\n0\r\n\r\n",
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			address := startTarget(t, func(c net.Conn, r *bufio.Reader) {
				if _, err := readRequest(r); err == nil {
					_, _ = io.WriteString(c, text)
				}
			})
			shared := semaphore.NewWeighted(memory)
			p := New(Settings{Memory: shared})
			for range 2 {
				// Some cases break off and fail, which is not checked here.
				_, _ = sendAndRead(p, newRequest(address, "1", time.Minute))
			}
			if !shared.TryAcquire(memory) {
				t.Error("memory of ended responses is still reserved")
			}
		})
	}
}
