package snipegate

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/snipemoor/snipemoor/snipeconn"
	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipetable"
)

// TestBrokenDownload guards against a download that fails although its caller has received
// nothing of it, and against one that is truncated and looks complete.
func TestBrokenDownload(t *testing.T) {
	const size = 540_000
	length := "Content-Length: " + strconv.Itoa(size) + "\r\n\r\n"
	cases := map[string]struct {
		headers string
		// sent is how much of the first response is sent.
		sent    int
		kind    snipetable.Kind
		retried bool
	}{
		"nothing":                  {length, 0, snipetable.Download, true},
		"a leading part":           {length, 4 << 10, snipetable.Download, true},
		"most":                     {length, 400_000, snipetable.Download, false},
		"most, without a length":   {"Transfer-Encoding: chunked\r\n\r\nfffff\r\n", 400_000, snipetable.Download, false},
		"nothing, must not repeat": {length, 0, snipetable.NonIdempotent, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var responses atomic.Int32
			serve := func(c net.Conn, _ *bufio.Reader, _ *http.Request) {
				n, headers := tc.sent, tc.headers
				if responses.Add(1) > 1 {
					n, headers = size, length
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nSigned: 1\r\nConnection: close\r\n"+headers+strings.Repeat("x", n))
			}
			r := newTestGateAt(t, tc.kind, 2, startTarget(t, serve), "x")
			r.fleet.UpdateTarget(r.gate.Clock.Now(), snipefleet.TargetReport{ID: "y", Service: "s", Address: startTarget(t, serve), Slots: 4, Born: 1})
			server := httptest.NewServer(r.gate)
			defer server.Close()
			resp, err := get(t, server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			n, err := io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			whole := resp.StatusCode == http.StatusOK && n == size && err == nil
			failed := resp.StatusCode == http.StatusBadGateway || errors.Is(err, io.ErrUnexpectedEOF)
			if tc.retried != whole || whole == failed || tc.retried != (responses.Load() > 1) {
				t.Errorf("status %d, %d bytes, error %v after %d attempts", resp.StatusCode, n, err, responses.Load())
			}
		})
	}
}

// TestTruncatedForOldCaller guards against a truncated response that looks complete to a
// caller of HTTP/1.0, which knows the end of a body without a length by the end of the
// connection.
func TestTruncatedForOldCaller(t *testing.T) {
	for _, end := range []string{"", "\r\n0\r\n\r\n"} {
		target := startTarget(t, func(c net.Conn, _ *bufio.Reader, _ *http.Request) {
			const size = 0x60000
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nSigned: 1\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n"+
				"60000\r\n"+strings.Repeat("x", size)+end)
		})
		c, r := dialGate(t, snipetable.Download, nil)
		r.fleet.UpdateTarget(r.gate.Clock.Now(), snipefleet.TargetReport{ID: "a", Service: "s", Address: target, Slots: 4, Born: 2})
		r.gate.Sender = snipeconn.New(snipeconn.Settings{})
		for _, id := range []string{"b", "c"} {
			r.fleet.RemoveTarget(r.gate.Clock.Now(), id)
		}
		if _, err := io.WriteString(c, "GET / HTTP/1.0\r\nHost: h\r\nId: 1\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		text, err := io.ReadAll(c)
		if !strings.HasPrefix(string(text), "HTTP/1.0 200") || (end == "") != errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("end %q: %.20q, error %v", end, text, err)
		}
	}
}
