package snipeconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/semaphore"
)

// TestStreamReuse guards against a dial for each long response: the connection of a
// streamed response is reused if its defined end was read, and only then.
func TestStreamReuse(t *testing.T) {
	// More than is read ahead, so that a response that is not read does not end.
	const size = 2 * maxReadAheadBytes
	body := strings.Repeat("x", size)
	chunks := fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", size, body)
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", size, body)
	cases := map[string]struct {
		rest   string
		read   int64
		opened uint64 // connections opened for two requests
	}{
		"length":               {length, size + 1, 1},
		"chunks":               {chunks, size + 1, 1},
		"length, not read":     {length, 100_000, 2},
		"length, end not seen": {length, 0, 2},
		"bytes that follow":    {chunks + "x", size + 1, 2},
		"closing":              {"Connection: close\r\n" + length, size + 1, 2},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			address := startTarget(t, func(c net.Conn, r *bufio.Reader) {
				for {
					id, err := readRequest(r)
					if err != nil {
						return
					}
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+idHeader+": "+id+"\r\n"+tc.rest)
				}
			})
			const budget = 2 * maxReadAheadBytes
			memory := semaphore.NewWeighted(budget)
			p := New(Settings{Memory: memory})
			for i := range 2 {
				resp, err := p.Send(context.Background(), newRequest(address, fmt.Sprint(i), 10*time.Second))
				if err != nil {
					t.Fatal(err)
				}
				n, err := io.Copy(io.Discard, io.LimitReader(resp.Stream, tc.read))
				if err != nil || tc.read > size && n+int64(len(resp.Body)) != size {
					t.Fatalf("%d bytes, error %v", n, err)
				}
				resp.Close()
			}
			if opened, _ := p.Counts(); opened != tc.opened {
				t.Errorf("opened %d connections, want %d", opened, tc.opened)
			}
			if !memory.TryAcquire(budget) {
				t.Error("memory is not released")
			}
		})
	}
}

// TestLeadingPart guards against a response that is begun although its target breaks off
// at once: it then cannot be repeated.
func TestLeadingPart(t *testing.T) {
	for _, memory := range []int64{0, 1 << 20} {
		t.Run(fmt.Sprint(memory), func(t *testing.T) {
			address := startTarget(t, func(c net.Conn, r *bufio.Reader) {
				if id, err := readRequest(r); err == nil {
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+idHeader+": "+id+"\r\nContent-Length: 540000\r\n\r\npart")
				}
			})
			p := New(Settings{Memory: semaphore.NewWeighted(memory)})
			_, err := p.Send(context.Background(), newRequest(address, "1", 10*time.Second))
			var failure *Error
			if !errors.As(err, &failure) || failure.Cause != CauseConnectionLost {
				t.Errorf("error %v, want cause %s", err, CauseConnectionLost)
			}
		})
	}
}
