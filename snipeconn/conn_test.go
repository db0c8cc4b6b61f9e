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
	"testing"
	"time"
)

const idHeader = "X-Id"

// target serves each connection with a function.
func target(t *testing.T, serve func(c net.Conn, r *bufio.Reader)) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				serve(c, bufio.NewReader(c))
			}()
		}
	}()
	return l.Addr().String()
}

// readRequest reads a request with its body, and returns its identifier.
func readRequest(r *bufio.Reader) (string, error) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return "", err
	}
	_, err = io.Copy(io.Discard, req.Body)
	return req.Header.Get(idHeader), err
}

func request(address, id string, wait time.Duration) *Request {
	return &Request{
		Address: address, Method: http.MethodGet, URI: "/x", Host: "h",
		Header:   http.Header{idHeader: {id}},
		IDHeader: idHeader, ID: id, Deadline: time.Now().Add(wait),
	}
}

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", idHeader, id, len(body), body)
}

// TestReuse guards against connections that are thrown away although they are
// fit for use, in particular once the deadline of their last request has passed.
func TestReuse(t *testing.T) {
	address := target(t, func(c net.Conn, r *bufio.Reader) {
		for {
			id, err := readRequest(r)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, answer(id, "ok"))
		}
	})
	p := New(Settings{})
	const wait = 30 * time.Millisecond
	for i := range 3 {
		resp, err := p.Send(context.Background(), request(address, fmt.Sprint(i), wait))
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

// TestAnswers guards against answers that belong to another request, are not
// whole, or leave bytes behind on a connection that is used again.
func TestAnswers(t *testing.T) {
	cases := map[string]struct {
		send   func(id string) string
		cause  Cause
		body   string
		opened uint64 // by two requests
	}{
		"plain":       {send: func(id string) string { return answer(id, "ok") }, body: "ok", opened: 1},
		"extra":       {send: func(id string) string { return answer(id, "ok") + answer(id, "ok") }, body: "ok", opened: 2},
		"other first": {send: func(id string) string { return answer("other", "no") + answer(id, "ok") }, body: "ok", opened: 1},
		"informational": {
			send: func(id string) string { return "HTTP/1.1 103 Early Hints\r\n\r\n" + answer(id, "ok") }, body: "ok", opened: 1,
		},
		"closing": {
			send: func(id string) string {
				return strings.Replace(answer(id, "ok"), "\r\n", "\r\nConnection: close\r\n", 1)
			}, body: "ok", opened: 2,
		},
		"cut":       {send: func(id string) string { return answer(id, "ok")[:len(answer(id, "ok"))-1] }, cause: CauseLost},
		"malformed": {send: func(string) string { return "no answer\r\n\r\n" }, cause: CauseMalformed},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			address := target(t, func(c net.Conn, r *bufio.Reader) {
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
				resp, err := p.Send(context.Background(), request(address, fmt.Sprint(i), 2*time.Second))
				if tc.cause != "" {
					var f *Error
					if !errors.As(err, &f) || f.Cause != tc.cause || !f.Begun {
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

// TestNotBegun guards against a failure that leaves open whether the request
// ran although nothing of it was sent.
func TestNotBegun(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	_, err = New(Settings{}).Send(context.Background(), request(address, "1", time.Second))
	var f *Error
	if !errors.As(err, &f) || f.Begun || f.Cause != CauseDial {
		t.Errorf("error %v, want dialFailed, not begun", err)
	}
}

// TestCancel guards against a target that works on for a caller that is gone.
func TestCancel(t *testing.T) {
	closed := make(chan struct{})
	arrived := make(chan struct{})
	address := target(t, func(_ net.Conn, r *bufio.Reader) {
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
	_, err := New(Settings{}).Send(ctx, request(address, "1", 5*time.Second))
	var f *Error
	if !errors.As(err, &f) || !f.Begun || f.Cause != CauseCancelled {
		t.Errorf("error %v, want cancelled", err)
	}
	<-closed
}

// TestEarlyAnswer guards against reuse of a connection on which the rest of a
// body is due, because the target would read the next request as that rest.
func TestEarlyAnswer(t *testing.T) {
	address := target(t, func(c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, answer(req.Header.Get(idHeader), "early"))
		// The target never reads the body.
		<-time.After(300 * time.Millisecond)
	})
	p := New(Settings{})
	req := request(address, "1", 2*time.Second)
	req.Method, req.HasBody, req.Body = http.MethodPost, true, make([]byte, 32<<20)
	resp, err := p.Send(context.Background(), req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Close()
	if c := p.take(address, time.Now()); c != nil {
		t.Error("the connection is kept for reuse")
	}
}

// TestHead guards against an answer to HEAD whose body is waited for.
func TestHead(t *testing.T) {
	address := target(t, func(c net.Conn, r *bufio.Reader) {
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
		req := request(address, fmt.Sprint(i), time.Second)
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

// TestHeaders guards against headers of one connection that reach the target.
func TestHeaders(t *testing.T) {
	r := &Request{
		Method: "GET", URI: "/", Host: "h", HasBody: true, Body: []byte("b"),
		Header: http.Header{
			"Connection": {"close, X-Own"}, "X-Own": {"1"}, "Keep-Alive": {"1"}, "Expect": {"100-continue"},
			"Content-Length": {"9"}, "Kept": {"1", "2"}, "Replaced": {"old"},
		},
		Extra: []Field{{"Replaced", "new"}},
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

// TestSilentConnections guards against one request lost for each kept connection
// after connections to a target went silent together.
func TestSilentConnections(t *testing.T) {
	var mu sync.Mutex
	silent := map[net.Conn]bool{}
	var conns []net.Conn
	address := target(t, func(c net.Conn, r *bufio.Reader) {
		mu.Lock()
		conns = append(conns, c)
		mu.Unlock()
		for {
			id, err := readRequest(r)
			if err != nil {
				return
			}
			mu.Lock()
			quiet := silent[c]
			mu.Unlock()
			if !quiet {
				_, _ = io.WriteString(c, answer(id, "ok"))
			}
		}
	})
	p := New(Settings{})
	const kept = 4
	var wg sync.WaitGroup
	for range kept {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c, err := p.dial(context.Background(), address)
			if err != nil {
				t.Error(err)
				return
			}
			p.put(c, time.Now(), time.Minute)
		}()
	}
	wg.Wait()
	// Wait until the target knows all connections.
	for {
		mu.Lock()
		known := len(conns)
		for _, c := range conns {
			silent[c] = true
		}
		mu.Unlock()
		if known == kept {
			break
		}
		runtime.Gosched()
	}
	_, err := p.Send(context.Background(), request(address, "1", 50*time.Millisecond))
	var e *Error
	if !errors.As(err, &e) || !e.Reused || !e.Begun || e.Cause != CauseTimeout {
		t.Fatalf("error %v, want a timeout on a kept connection", err)
	}
	resp, err := p.Send(context.Background(), request(address, "2", time.Second))
	if err != nil {
		t.Fatalf("the request after a silent connection: %v", err)
	}
	resp.Close()
}
