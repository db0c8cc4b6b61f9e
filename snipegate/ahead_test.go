package snipegate

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/snipemoor/snipemoor/snipecaller"
	"github.com/snipemoor/snipemoor/snipeconn"
	"github.com/snipemoor/snipemoor/snipetable"
)

// slow is a sender whose targets take the time that a request's path names.
type slow struct {
	running, most, sent, cancelled atomic.Int64
	started                        chan string
	body                           string
}

func (s *slow) Send(ctx context.Context, r *snipeconn.Request) (*snipeconn.Response, error) {
	s.sent.Add(1)
	n := s.running.Add(1)
	defer s.running.Add(-1)
	for most := s.most.Load(); n > most && !s.most.CompareAndSwap(most, n); most = s.most.Load() {
	}
	s.started <- r.URI
	took, err := time.ParseDuration(strings.Split(r.URI, "/")[1])
	if err != nil {
		return nil, err
	}
	select {
	case <-ctx.Done():
		s.cancelled.Add(1)
		return nil, &snipeconn.Error{Begun: true, Cause: snipeconn.CauseCancelled, Err: ctx.Err()}
	case <-time.After(took):
	}
	h := http.Header{"Signed": {"1"}}
	if strings.HasSuffix(r.URI, "/refused") {
		h.Set("Not-Run", "1")
		return &snipeconn.Response{Status: http.StatusServiceUnavailable, Header: h}, nil
	}
	body := r.URI + s.body
	return &snipeconn.Response{Status: http.StatusOK, Header: h, Body: []byte(body), Length: int64(len(body))}, nil
}

// pipelined serves callers of a gate over s, and returns a connection to it.
func pipelined(t *testing.T, kind snipetable.Kind, s *slow) (net.Conn, *rig) {
	t.Helper()
	r := newRig(t, kind)
	r.gate.Sender = s
	limitBodies(t, r, 1<<20)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewUnstartedServer(r.gate)
	_ = server.Listener.Close()
	server.Listener = snipecaller.Listen(l, r.gate.Ahead)
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

func ask(paths ...string) string {
	var b strings.Builder
	for i, path := range paths {
		fmt.Fprintf(&b, "GET %s HTTP/1.1\r\nHost: h\r\nId: %d\r\n\r\n", path, i)
	}
	return b.String()
}

// TestPipelined guards against answers out of order, and against requests that
// wait for those in front of them although they may run.
func TestPipelined(t *testing.T) {
	s := &slow{started: make(chan string, 16), body: strings.Repeat("b", maxHeldBytes)}
	c, _ := pipelined(t, snipetable.Idempotent, s)
	paths := []string{"/300ms/1", "/100ms/2", "/1ms/refused", "/200ms/4"}
	started := time.Now()
	if _, err := io.WriteString(c, ask(paths...)); err != nil {
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
			t.Fatalf("answer to %s: %d with %d bytes", path, resp.StatusCode, len(body))
		}
	}
	if took := time.Since(started); took > 550*time.Millisecond {
		t.Errorf("took %v, the sum of all requests", took)
	}
	if s.most.Load() < 3 {
		t.Errorf("%d requests ran at once", s.most.Load())
	}
}

// TestPipelinedOnce guards against a request that may run once only and is sent
// before those in front of it are answered, which can close the connection.
func TestPipelinedOnce(t *testing.T) {
	s := &slow{started: make(chan string, 16)}
	c, _ := pipelined(t, snipetable.NonIdempotent, s)
	if _, err := io.WriteString(c, ask("/50ms/1", "/50ms/2")); err != nil {
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
	if s.most.Load() != 1 || s.sent.Load() != 2 {
		t.Errorf("%d of %d requests ran at once", s.most.Load(), s.sent.Load())
	}
}

// TestPipelinedCallerLeaves guards against targets that go on to work for a caller
// that left with several requests outstanding.
func TestPipelinedCallerLeaves(t *testing.T) {
	s := &slow{started: make(chan string, 16)}
	c, _ := pipelined(t, snipetable.Idempotent, s)
	if _, err := io.WriteString(c, ask("/10s/1", "/10s/2", "/10s/3")); err != nil {
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

// TestPipelinedStop guards against a stop that closes a connection in front of
// requests that targets work on, and against requests taken ahead after it.
func TestPipelinedStop(t *testing.T) {
	s := &slow{started: make(chan string, 16)}
	c, r := pipelined(t, snipetable.Idempotent, s)
	if _, err := io.WriteString(c, ask("/200ms/1", "/100ms/2")); err != nil {
		t.Fatal(err)
	}
	<-s.started
	<-s.started
	now := time.Now()
	r.gate.Stop(Stop{Accept: now.Add(time.Minute), End: now.Add(time.Minute)})
	if _, err := io.WriteString(c, ask("/1ms/3")); err != nil {
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
			t.Errorf("answer %d closes the connection: %v, want %v", i, resp.Close, closing)
		}
	}
	if _, err := http.ReadResponse(answers, nil); err == nil || s.sent.Load() != 2 {
		t.Errorf("%d requests were sent, error %v; want 2 and a closed connection", s.sent.Load(), err)
	}
}

// TestPipelinedMemory guards against answers that are held for their turn without
// a bound.
func TestPipelinedMemory(t *testing.T) {
	s := &slow{started: make(chan string, 16)}
	c, r := pipelined(t, snipetable.Idempotent, s)
	memory := semaphore.NewWeighted(maxHeldBytes)
	r.gate.Memory = memory
	if _, err := io.WriteString(c, ask("/50ms/1", "/50ms/2", "/50ms/3")); err != nil {
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
	if s.most.Load() != 2 {
		t.Errorf("%d requests ran at once, want 2 with memory for one answer", s.most.Load())
	}
	if !memory.TryAcquire(maxHeldBytes) {
		t.Error("memory of delivered answers is still held")
	}
}
