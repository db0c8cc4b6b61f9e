package snipegate

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/snipemoor/snipemoor/snipecaller"
	"github.com/snipemoor/snipemoor/snipeconn"
	"github.com/snipemoor/snipemoor/snipetable"
)

// delaySender simulates targets whose response time is the first element of the
// request's path. It counts the requests that run, and the most that ran at once.
type delaySender struct {
	running, maxRunning, sent, cancelled atomic.Int64
	started                              chan string
	body                                 string
}

func (s *delaySender) Send(ctx context.Context, r *snipeconn.Request) (*snipeconn.Response, error) {
	s.sent.Add(1)
	n := s.running.Add(1)
	defer s.running.Add(-1)
	for most := s.maxRunning.Load(); n > most && !s.maxRunning.CompareAndSwap(most, n); most = s.maxRunning.Load() {
	}
	s.started <- r.URI
	took, err := time.ParseDuration(strings.Split(r.URI, "/")[1])
	if err != nil {
		return nil, err
	}
	select {
	case <-ctx.Done():
		s.cancelled.Add(1)
		return nil, &snipeconn.Error{MayHaveBegun: true, Cause: snipeconn.CauseCancelled, Err: ctx.Err()}
	case <-time.After(took):
	}
	h := http.Header{"Signed": {"1"}, "Id": {r.ID}}
	if strings.HasSuffix(r.URI, "/refused") {
		h.Set("Not-Run", "1")
		return &snipeconn.Response{Status: http.StatusServiceUnavailable, Header: h}, nil
	}
	body := r.URI + s.body
	return &snipeconn.Response{Status: http.StatusOK, Header: h, Body: []byte(body), Length: int64(len(body))}, nil
}

// dialGate starts a server with a gate that sends over s, and returns a connection to
// the server and the gate.
func dialGate(t *testing.T, kind snipetable.Kind, s *delaySender) (net.Conn, *testGate) {
	t.Helper()
	r := newTestGate(t, kind)
	r.gate.Sender = s
	setBodyLimit(t, r, 1<<20)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewUnstartedServer(r.gate)
	_ = server.Listener.Close()
	server.Listener = snipecaller.Listen(l, 0, r.gate.ServePipelined)
	server.Config.ConnContext = snipecaller.Context
	server.Start()
	t.Cleanup(server.Close)
	c, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c, r
}

// pipelinedRequests returns GET requests for the paths, to be sent in one write.
func pipelinedRequests(paths ...string) string {
	var b strings.Builder
	for i, path := range paths {
		fmt.Fprintf(&b, "GET %s HTTP/1.1\r\nHost: h\r\nId: %d\r\n\r\n", path, i)
	}
	return b.String()
}

// TestPipelined guards against responses in another order than the requests, and
// against idempotent requests that run one after the other.
func TestPipelined(t *testing.T) {
	s := &delaySender{started: make(chan string, 16), body: strings.Repeat("b", maxBufferedBytes)}
	c, _ := dialGate(t, snipetable.Idempotent, s)
	paths := []string{"/300ms/1", "/100ms/2", "/1ms/refused", "/200ms/4"}
	started := time.Now()
	if _, err := io.WriteString(c, pipelinedRequests(paths...)); err != nil {
		t.Fatal(err)
	}
	answers := bufio.NewReader(c)
	for _, path := range paths {
		resp, err := http.ReadResponse(answers, nil)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Fatal(err)
		}
		want, status := path+s.body, http.StatusOK
		if strings.HasSuffix(path, "/refused") {
			want, status = "targetRefused\n", http.StatusServiceUnavailable
		}
		if resp.StatusCode != status || string(body) != want {
			t.Fatalf("response to %s: %d with %d bytes", path, resp.StatusCode, len(body))
		}
	}
	if took := time.Since(started); took > 550*time.Millisecond {
		t.Errorf("took %v, as long as the requests in sequence", took)
	}
	if s.maxRunning.Load() < 3 {
		t.Errorf("%d requests ran at once", s.maxRunning.Load())
	}
}

// TestPipelinedOnce guards against a non-idempotent request that is sent before the
// responses to earlier requests are delivered: one of these can close the
// connection, and the request has then run without a response to its caller.
func TestPipelinedOnce(t *testing.T) {
	s := &delaySender{started: make(chan string, 16)}
	c, _ := dialGate(t, snipetable.NonIdempotent, s)
	if _, err := io.WriteString(c, pipelinedRequests("/50ms/1", "/50ms/2")); err != nil {
		t.Fatal(err)
	}
	answers := bufio.NewReader(c)
	for range 2 {
		resp, err := http.ReadResponse(answers, nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			t.Fatal(err)
		}
	}
	if s.maxRunning.Load() != 1 || s.sent.Load() != 2 {
		t.Errorf("%d of %d requests ran at once", s.maxRunning.Load(), s.sent.Load())
	}
}

// TestPipelinedCallerLeaves guards against requests that keep running at targets
// after their caller closed the connection.
func TestPipelinedCallerLeaves(t *testing.T) {
	s := &delaySender{started: make(chan string, 16)}
	c, _ := dialGate(t, snipetable.Idempotent, s)
	if _, err := io.WriteString(c, pipelinedRequests("/10s/1", "/10s/2", "/10s/3")); err != nil {
		t.Fatal(err)
	}
	for range 3 {
		<-s.started
	}
	_ = c.Close()
	deadline := time.NewTimer(400 * time.Millisecond)
	defer deadline.Stop()
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for s.cancelled.Load() < 3 {
		select {
		case <-tick.C:
		case <-deadline.C:
			t.Fatalf("%d of 3 requests are cancelled", s.cancelled.Load())
		}
	}
}

// TestPipelinedStop guards against a stop that closes a connection before the
// responses to requests in flight are delivered, and against requests that are sent
// early after the stop began.
func TestPipelinedStop(t *testing.T) {
	s := &delaySender{started: make(chan string, 16)}
	c, r := dialGate(t, snipetable.Idempotent, s)
	if _, err := io.WriteString(c, pipelinedRequests("/200ms/1", "/100ms/2")); err != nil {
		t.Fatal(err)
	}
	<-s.started
	<-s.started
	now := time.Now()
	r.gate.BeginStop(StopSchedule{AcceptUntil: now.Add(time.Minute), TerminateAt: now.Add(time.Minute)})
	if _, err := io.WriteString(c, pipelinedRequests("/1ms/3")); err != nil {
		t.Fatal(err)
	}
	answers := bufio.NewReader(c)
	for i, closing := range []bool{false, true} {
		resp, err := http.ReadResponse(answers, nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			t.Fatal(err)
		}
		if resp.Close != closing {
			t.Errorf("response %d closes the connection: %v, want %v", i, resp.Close, closing)
		}
	}
	if _, err := http.ReadResponse(answers, nil); err == nil || s.sent.Load() != 2 {
		t.Errorf("%d requests were sent, error %v; want 2 and a closed connection", s.sent.Load(), err)
	}
}

// TestPipelinedMemory guards against unbounded memory for buffered responses.
func TestPipelinedMemory(t *testing.T) {
	s := &delaySender{started: make(chan string, 16)}
	c, r := dialGate(t, snipetable.Idempotent, s)
	memory := semaphore.NewWeighted(maxBufferedBytes)
	r.gate.ResponseMemory = memory
	if _, err := io.WriteString(c, pipelinedRequests("/50ms/1", "/50ms/2", "/50ms/3")); err != nil {
		t.Fatal(err)
	}
	answers := bufio.NewReader(c)
	for range 3 {
		resp, err := http.ReadResponse(answers, nil)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("%+v, %v", resp, err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			t.Fatal(err)
		}
	}
	if s.maxRunning.Load() != 2 {
		t.Errorf("%d requests ran at once, want 2 with memory for one buffered response", s.maxRunning.Load())
	}
	if !memory.TryAcquire(maxBufferedBytes) {
		t.Error("memory of delivered responses is not released")
	}
}

// TestUndeliveredMemory guards against memory that is held without being counted: a
// response that waits behind an earlier one counts until its caller gets it or leaves.
func TestUndeliveredMemory(t *testing.T) {
	for _, leaves := range []bool{false, true} {
		t.Run(fmt.Sprintf("caller leaves %v", leaves), func(t *testing.T) {
			s := &delaySender{started: make(chan string, 16), body: strings.Repeat("x", 20<<10)}
			c, r := dialGate(t, snipetable.Idempotent, s)
			memory := &countedMemory{changed: make(chan int64, 16)}
			r.gate.ResponseMemory = memory
			if _, err := io.WriteString(c, pipelinedRequests("/300ms/1", "/1ms/2")); err != nil {
				t.Fatal(err)
			}
			if n := <-memory.changed; n != maxBufferedBytes {
				t.Fatalf("%d bytes are reserved for a response, want %d", n, maxBufferedBytes)
			}
			if n, want := <-memory.changed, int64(len("/1ms/2")+len(s.body)); n != want {
				t.Fatalf("%d bytes are reserved for a complete response, want %d", n, want)
			}
			if leaves {
				_ = c.Close()
			} else {
				go func() { _, _ = io.Copy(io.Discard, c) }()
			}
			if n := <-memory.changed; n != 0 {
				t.Errorf("%d bytes are reserved after the response", n)
			}
		})
	}
}

// countedMemory is an unlimited Memory that sends the reserved bytes after each change.
type countedMemory struct {
	reserved atomic.Int64
	changed  chan int64
}

func (m *countedMemory) TryAcquire(n int64) bool { m.changed <- m.reserved.Add(n); return true }
func (m *countedMemory) Release(n int64)         { m.changed <- m.reserved.Add(-n) }

// TestDeliveredResponseIsFree guards against responses that their connection keeps after
// they were delivered: it may carry any number of pipelined requests.
func TestDeliveredResponseIsFree(t *testing.T) {
	r := newTestGate(t, snipetable.Idempotent, successResult("x"))
	req := httptest.NewRequest(http.MethodGet, "/", nil)
	ctx, cancel := context.WithCancel(req.Context())
	defer cancel()
	req = req.WithContext(ctx)
	req.Host = "h"
	req.Header.Set("Id", "1")
	h, ok := r.gate.ServePipelined(req, time.Now()).(*bufferedResponse)
	if !ok {
		t.Fatal("the request was not sent early")
	}
	<-h.done
	// run has set stopWatching once it has returned the unused memory.
	for waiting := true; waiting; {
		h.mu.Lock()
		waiting = h.stopWatching == nil
		h.mu.Unlock()
		runtime.Gosched()
	}
	h.ServeHTTP(httptest.NewRecorder(), req)
	if h.stopWatching() {
		t.Error("the connection keeps a response that was delivered")
	}
}
