package snipeconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// TestReuse guards against reusable connections that are discarded, in particular
// after the deadline of their last request has passed.
func TestReuse(t *testing.T) {
	address := startTarget(t, serveOK)
	p := New(Settings{})
	const wait = 30 * time.Millisecond
	for i := range 3 {
		resp, err := p.Send(context.Background(), newRequest(address, fmt.Sprint(i), wait))
		if err != nil {
			t.Fatal(err)
		}
		resp.Close()
		deadline := time.NewTimer(wait)
		<-deadline.C
	}
	if opened, reused := p.Counts(); opened != 1 || reused != 2 {
		t.Errorf("opened %d, reused %d; want 1, 2", opened, reused)
	}
}

// TestResponses guards against accepting a response to another request or an
// incomplete response, and against reuse of a connection with unread bytes.
func TestResponses(t *testing.T) {
	cases := map[string]struct {
		send   func(id string) string
		cause  Cause
		body   string
		opened uint64 // connections opened for two requests
	}{
		"plain":       {send: func(id string) string { return okResponse(id, "ok") }, body: "ok", opened: 1},
		"extra":       {send: func(id string) string { return okResponse(id, "ok") + okResponse(id, "ok") }, body: "ok", opened: 2},
		"other first": {send: func(id string) string { return okResponse("other", "no") + okResponse(id, "ok") }, body: "ok", opened: 1},
		"informational": {
			send: func(id string) string { return "HTTP/1.1 103 Early Hints\r\n\r\n" + okResponse(id, "ok") }, body: "ok", opened: 1,
		},
		"closing": {
			send: func(id string) string {
				return strings.Replace(okResponse(id, "ok"), "\r\n", "\r\nConnection: close\r\n", 1)
			}, body: "ok", opened: 2,
		},
		"cut":       {send: func(id string) string { return okResponse(id, "ok")[:len(okResponse(id, "ok"))-1] }, cause: CauseConnectionLost},
		"malformed": {send: func(string) string { return "no answer\r\n\r\n" }, cause: CauseMalformed},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			address := startTarget(t, func(c net.Conn, r *bufio.Reader) {
				for {
					id, err := readRequest(r)
					if err != nil {
						return
					}
					_, _ = io.WriteString(c, tc.send(id))
					if tc.cause != "" {
						return
					}
				}
			})
			p := New(Settings{})
			for i := range 2 {
				resp, err := p.Send(context.Background(), newRequest(address, fmt.Sprint(i), 2*time.Second))
				if tc.cause != "" {
					var f *Error
					if !errors.As(err, &f) || f.Cause != tc.cause || !f.MayHaveBegun {
						t.Fatalf("error %v, want cause %s", err, tc.cause)
					}
					continue
				}
				if err != nil {
					t.Fatal(err)
				}
				if string(resp.Body) != tc.body || resp.Header.Get(idHeader) != fmt.Sprint(i) {
					t.Errorf("body %q with id %q", resp.Body, resp.Header.Get(idHeader))
				}
				resp.Close()
			}
			if opened, _ := p.Counts(); tc.opened != 0 && opened != tc.opened {
				t.Errorf("opened %d connections, want %d", opened, tc.opened)
			}
		})
	}
}

// TestNotBegun guards against a dial error that is reported as if the target may
// have begun the request.
func TestNotBegun(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	_, err = New(Settings{}).Send(context.Background(), newRequest(address, "1", time.Second))
	var f *Error
	if !errors.As(err, &f) || f.MayHaveBegun || f.Cause != CauseDial {
		t.Errorf("error %v, want dialFailed, not begun", err)
	}
}

// TestResponseWithoutID guards against a late response to an earlier request on the
// connection that is taken for that to the next one because it has no identifier.
func TestResponseWithoutID(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
	address := startTarget(t, func(c net.Conn, r *bufio.Reader) {
		for n := 0; ; n++ {
			id, err := readRequest(r)
			if err != nil {
				return
			}
			if n > 0 {
				_, _ = io.WriteString(c, refusal)
			}
			_, _ = io.WriteString(c, okResponse(id, "x"))
		}
	})
	pools := New(Settings{})
	t.Cleanup(func() { pools.closeIdle(address) })
	if _, err := pools.Send(context.Background(), newRequest(address, "1", time.Second)); err != nil {
		t.Fatal(err)
	}
	resp, err := pools.Send(context.Background(), newRequest(address, "2", time.Second))
	var f *Error
	if !errors.As(err, &f) || !f.MayHaveBegun {
		t.Errorf("response %+v, error %v, want an error after which the request may have begun", resp, err)
	}
}

// TestUnconfirmed guards against a request that is written although it must not be sent
// any more when its connection is open, and against the loss of that connection.
func TestUnconfirmed(t *testing.T) {
	var requests atomic.Int32
	address := startTarget(t, func(c net.Conn, r *bufio.Reader) {
		for {
			id, err := readRequest(r)
			if err != nil {
				return
			}
			requests.Add(1)
			_, _ = io.WriteString(c, okResponse(id, "x"))
		}
	})
	pools := New(Settings{})
	withdrawn := newRequest(address, "1", time.Second)
	withdrawn.Confirm = func() error { return errors.New("not any more") }
	_, err := pools.Send(context.Background(), withdrawn)
	var f *Error
	if !errors.As(err, &f) || f.MayHaveBegun || f.Cause != CauseWithdrawn || requests.Load() != 0 {
		t.Fatalf("error %v after %d requests, want withdrawn, not begun", err, requests.Load())
	}
	resp, err := pools.Send(context.Background(), newRequest(address, "2", time.Second))
	if err != nil || !resp.Reused {
		t.Errorf("response %+v, error %v, want one over the connection that was opened", resp, err)
	}
}

// TestHeadOfBrokenResponse guards against losing what a target states in the head of a
// response that then breaks off.
func TestHeadOfBrokenResponse(t *testing.T) {
	address := startTarget(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := readRequest(r); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 404 Not Found\r\nStated: yes\r\nContent-Length: 10\r\n\r\nabc")
		}
	})
	_, err := New(Settings{}).Send(context.Background(), newRequest(address, "1", time.Second))
	var f *Error
	if !errors.As(err, &f) || f.Status != http.StatusNotFound || f.Header.Get("Stated") != "yes" {
		t.Errorf("error %+v, want the head of the response", err)
	}
}

// TestCancel guards against a connection that stays open after its context is
// cancelled, so that the target goes on working for a disconnected caller.
func TestCancel(t *testing.T) {
	closed := make(chan struct{})
	arrived := make(chan struct{})
	address := startTarget(t, func(_ net.Conn, r *bufio.Reader) {
		if _, err := readRequest(r); err != nil {
			return
		}
		close(arrived)
		_, _ = r.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-arrived
		cancel()
	}()
	_, err := New(Settings{}).Send(ctx, newRequest(address, "1", 5*time.Second))
	var f *Error
	if !errors.As(err, &f) || !f.MayHaveBegun || f.Cause != CauseCancelled {
		t.Errorf("error %v, want cancelled", err)
	}
	<-closed
}

// TestEarlyResponse guards against reuse of a connection whose request body is not
// completely written: the target would read the next request as part of that body.
func TestEarlyResponse(t *testing.T) {
	address := startTarget(t, func(c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, okResponse(req.Header.Get(idHeader), "early"))
		// The target never reads the body.
		<-time.After(300 * time.Millisecond)
	})
	p := New(Settings{})
	req := newRequest(address, "1", 2*time.Second)
	req.Method, req.HasBody, req.Body = http.MethodPost, true, make([]byte, 32<<20)
	resp, err := p.Send(context.Background(), req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Close()
	if c := p.takeIdle(address, time.Now(), func(*conn) bool { return true }); c != nil {
		t.Error("the connection was kept for reuse")
	}
}

// TestHead guards against waiting for a body after a response to HEAD, which has a
// Content-Length but no body.
func TestHead(t *testing.T) {
	address := startTarget(t, func(c net.Conn, r *bufio.Reader) {
		for {
			id, err := readRequest(r)
			if err != nil {
				return
			}
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 70\r\n\r\n", idHeader, id)
		}
	})
	p := New(Settings{})
	for i := range 2 {
		req := newRequest(address, fmt.Sprint(i), time.Second)
		req.Method = http.MethodHead
		resp, err := p.Send(context.Background(), req)
		if err != nil {
			t.Fatal(err)
		}
		if resp.Length != 70 || len(resp.Body) != 0 {
			t.Errorf("length %d, body %q", resp.Length, resp.Body)
		}
		resp.Close()
	}
	if opened, _ := p.Counts(); opened != 1 {
		t.Errorf("opened %d connections, want 1", opened)
	}
}

// TestHopByHopFields guards against hop-by-hop header fields that are forwarded to
// the target.
func TestHopByHopFields(t *testing.T) {
	r := &Request{
		Method: "GET", URI: "/", Host: "h", HasBody: true, Body: []byte("b"),
		Header: http.Header{
			"Connection": {"close, X-Own"}, "X-Own": {"1"}, "Keep-Alive": {"1"}, "Expect": {"100-continue"},
			"Content-Length": {"9"}, "Kept": {"1", "2"}, "Replaced": {"old"},
		},
		Overrides: []Field{{"Replaced", "new"}},
	}
	got := r.head().String()
	for _, unwanted := range []string{"X-Own", "Keep-Alive", "Expect", "Connection", "old", "Content-Length: 9"} {
		if strings.Contains(got, unwanted) {
			t.Errorf("head contains %q:\n%s", unwanted, got)
		}
	}
	for _, wanted := range []string{"Kept: 1\r\n", "Kept: 2\r\n", "Replaced: new\r\n", "Content-Length: 1\r\n"} {
		if !strings.Contains(got, wanted) {
			t.Errorf("head lacks %q:\n%s", wanted, got)
		}
	}
}

// TestUnresponsiveConnections guards against one failed request for each idle
// connection after all connections to a target have become unresponsive together.
func TestUnresponsiveConnections(t *testing.T) {
	var mu sync.Mutex
	unresponsive := map[net.Conn]bool{}
	var conns []net.Conn
	address := startTarget(t, func(c net.Conn, r *bufio.Reader) {
		mu.Lock()
		conns = append(conns, c)
		mu.Unlock()
		for {
			id, err := readRequest(r)
			if err != nil {
				return
			}
			mu.Lock()
			ignored := unresponsive[c]
			mu.Unlock()
			if !ignored {
				_, _ = io.WriteString(c, okResponse(id, "ok"))
			}
		}
	})
	p := New(Settings{})
	const idle = 4
	var wg sync.WaitGroup
	for range idle {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c, err := p.dial(context.Background(), address)
			if err != nil {
				t.Error(err)
				return
			}
			p.putIdle(c, time.Now(), time.Minute)
		}()
	}
	wg.Wait()
	// Wait until the target has accepted all connections.
	for {
		mu.Lock()
		accepted := len(conns)
		for _, c := range conns {
			unresponsive[c] = true
		}
		mu.Unlock()
		if accepted == idle {
			break
		}
		runtime.Gosched()
	}
	_, err := p.Send(context.Background(), newRequest(address, "1", 50*time.Millisecond))
	var e *Error
	if !errors.As(err, &e) || !e.Reused || !e.MayHaveBegun || e.Cause != CauseTimeout {
		t.Fatalf("error %v, want a timeout on a reused connection", err)
	}
	resp, err := p.Send(context.Background(), newRequest(address, "2", time.Second))
	if err != nil {
		t.Fatalf("request after a timeout on a reused connection: %v", err)
	}
	resp.Close()
}
