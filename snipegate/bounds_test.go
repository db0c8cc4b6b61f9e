package snipegate

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/snipemoor/snipemoor/snipeconn"
	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipetable"
)

// TestBodyMemory guards against bodies that exhaust the memory of the process, and
// against memory that is not released: a request without enough memory for its body
// is refused at once.
func TestBodyMemory(t *testing.T) {
	const memory = 40 << 10
	body := strings.Repeat("b", 30<<10)
	cases := map[string]struct {
		reserved int64
		length   int64 // -1 for a chunked body
		status   int
	}{
		"enough":            {0, int64(len(body)), http.StatusOK},
		"enough for chunks": {0, -1, http.StatusOK},
		"used up":           {20 << 10, int64(len(body)), http.StatusServiceUnavailable},
		"used up by chunks": {20 << 10, -1, http.StatusServiceUnavailable},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r := newTestGate(t, snipetable.Upload, successResult("x"))
			setBodyLimit(t, r, 1<<20)
			pool := semaphore.NewWeighted(memory)
			r.gate.BodyMemory = pool
			if !pool.TryAcquire(tc.reserved) {
				t.Fatal("memory is not reserved")
			}
			req := httptest.NewRequest(http.MethodPost, "/", io.MultiReader(strings.NewReader(body)))
			req.ContentLength, req.Host = tc.length, "h"
			req.Header.Set("Id", "1")
			w := httptest.NewRecorder()
			r.gate.ServeHTTP(w, req)
			if w.Code != tc.status {
				t.Fatalf("status %d, want %d", w.Code, tc.status)
			}
			if hasRetryAfter := w.Header().Get("Retry-After") != ""; wasRefused(w) != hasRetryAfter || wasRefused(w) != (len(r.sender.sent) == 0) {
				t.Errorf("refused %v with header %v after %d sends", wasRefused(w), w.Header(), len(r.sender.sent))
			}
			if !wasRefused(w) && string(r.sender.sent[0].Body) != body {
				t.Error("the target received a different body")
			}
			pool.Release(tc.reserved)
			if !pool.TryAcquire(memory) {
				t.Error("memory of an ended request is not released")
			}
		})
	}
}

func wasRefused(w *httptest.ResponseRecorder) bool { return w.Code == http.StatusServiceUnavailable }

// setBodyLimit installs a routing table that allows bodies of n bytes.
func setBodyLimit(t *testing.T, r *testGate, n int64) {
	t.Helper()
	old := r.gate.Tables.Current()
	table := snipetable.New(snipetable.Content{
		Version: old.Version() + 1, Routes: []snipetable.Route{*old.Match("h", "/")},
		Services: []snipetable.Service{{Name: "s"}}, Limits: snipetable.Limits{BodyBytes: n},
	})
	if problems := table.Problems(); problems != nil {
		t.Fatal(problems)
	}
	r.gate.Tables.UpdateIfNewer(table)
}

// startEndlessTarget starts a target whose responses consist of begin and endless
// copies of repeat, and returns its address. It sends to closed whenever a connection
// has been closed by the front.
func startEndlessTarget(t *testing.T, begin, repeat string, closed chan<- struct{}) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	const copies = 1 << 10
	text := strings.Repeat(repeat, copies)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, err := io.WriteString(c, begin)
				for err == nil {
					_, err = io.WriteString(c, text)
				}
				closed <- struct{}{}
			}()
		}
	}()
	return l.Addr().String()
}

// serveGate starts a server with the gate, replaces its targets by a single one that
// it reaches over TCP, and returns the server's address.
func serveGate(t *testing.T, r *testGate, target string) string {
	t.Helper()
	for _, id := range []string{"a", "b", "c"} {
		r.fleet.RemoveTarget(0, id)
	}
	r.fleet.UpdateTarget(0, snipefleet.TargetReport{ID: "endless", Service: "s", Address: target, Slots: 4, Born: 1})
	r.gate.Sender = snipeconn.New(snipeconn.Settings{MaxBodyBytes: 1 << 20, MaxBufferedBytes: 64 << 10})
	server := httptest.NewServer(r.gate)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func get(t *testing.T, address string) (*http.Response, error) {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+address+"/", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set("Id", "1")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Minute}
	return client.Do(req)
}

// TestEndlessResponse guards against an endless response that is delivered as a
// complete one, and against further requests to its target.
func TestEndlessResponse(t *testing.T) {
	const signed = "HTTP/1.1 200 OK\r\nId: 1\r\nSigned: 1\r\n"
	cases := map[string]struct{ begin, repeat string }{
		"head":            {signed, "X-More: of it\r\n"},
		"body":            {signed + "\r\n", "body"},
		"chunks":          {signed + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n"},
		"no answer":       {"", "\x00\x01"},
		"interim answers": {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r := newTestGate(t, snipetable.NonIdempotent)
			closed := make(chan struct{}, 2)
			address := serveGate(t, r, startEndlessTarget(t, tc.begin, tc.repeat, closed))
			for range 2 {
				resp, err := get(t, address)
				if err != nil {
					t.Fatal(err)
				}
				_, err = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				if cut := errors.Is(err, io.ErrUnexpectedEOF); cut == (resp.StatusCode == http.StatusBadGateway) {
					t.Fatalf("status %d with body error %v, want a truncated response or a 502", resp.StatusCode, err)
				}
				<-closed
			}
			resp, err := get(t, address)
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusServiceUnavailable {
				t.Errorf("status %d after two failures of the only target, want 503", resp.StatusCode)
			}
		})
	}
}

// TestCallerReadsNothing guards against callers that occupy memory and connections
// by not reading their responses.
func TestCallerReadsNothing(t *testing.T) {
	t.Parallel()
	r := newTestGate(t, snipetable.Idempotent)
	closed := make(chan struct{}, 1)
	target := startEndlessTarget(t, "HTTP/1.1 200 OK\r\nId: 1\r\nSigned: 1\r\nContent-Length: 900000000\r\n\r\n", "body", closed)
	address := serveGate(t, r, target)
	r.gate.Sender = snipeconn.New(snipeconn.Settings{MaxBodyBytes: 1 << 30})
	c, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\nId: 1\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	const routeTimeout = 500 * time.Millisecond
	select {
	case <-closed:
	case <-time.After(2 * (routeTimeout + writeGrace)):
		t.Error("the connection to the target is still open")
	}
}

// TestRefusedAfterPause guards against a refusal that does not reach its caller on a
// kept connection, because the write deadline of the previous response has passed.
func TestRefusedAfterPause(t *testing.T) {
	t.Parallel()
	r := newTestGate(t, snipetable.Idempotent, successResult("x"))
	server := httptest.NewServer(r.gate)
	defer server.Close()
	c, err := net.Dial("tcp4", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	answers := bufio.NewReader(c)
	const routeTimeout = 500 * time.Millisecond
	expectStatus := func(host string, status int) {
		t.Helper()
		if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: "+host+"\r\nId: 1\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(answers, nil)
		if err != nil || resp.StatusCode != status {
			t.Fatalf("host %s: %+v, %v; want status %d", host, resp, err, status)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			t.Fatal(err)
		}
	}
	expectStatus("h", http.StatusOK)
	pause := time.NewTimer(routeTimeout + writeGrace + 100*time.Millisecond)
	<-pause.C
	expectStatus("other", http.StatusNotFound)
}
