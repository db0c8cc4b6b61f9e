package snipetarget

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/snipemoor/snipemoor/snipetime"
)

const testLimit = 10 * time.Second

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testLimit)
	t.Cleanup(cancel)
	return ctx
}

func noLeaks(t *testing.T) {
	t.Helper()
	before := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, before) })
}

// stage says when the faulty target drops a connection.
type stage int

const (
	dropOnAccept stage = iota
	dropBeforeRequest
	dropInHeaders
	dropAfterHeaders
	dropAfterRequest
	dropInAnswer
	stageCount
)

// faultyTarget answers the first keep requests of each connection and drops
// the connection at the given stage of the next one.
type faultyTarget struct {
	listener net.Listener
	stage    stage
	keep     int
	seen     atomic.Int64
	lengths  chan string
}

func newFaultyTarget(t *testing.T, at stage, keep int) *faultyTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &faultyTarget{listener: l, stage: at, keep: keep, lengths: make(chan string, 100)}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go f.serve(c)
		}
	}()
	t.Cleanup(func() {
		_ = l.Close()
		<-done
	})
	return f
}

func (f *faultyTarget) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for range f.keep {
		if !f.run(c, r) {
			return
		}
	}
	switch f.stage {
	case dropOnAccept:
	case dropBeforeRequest:
		_, _ = r.Peek(1)
	case dropInHeaders:
		_, _ = r.ReadString('\n')
	case dropAfterHeaders:
		_, _ = http.ReadRequest(r)
	case dropAfterRequest:
		f.read(r)
	case dropInAnswer:
		f.read(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Le")
	}
}

// read reads a whole request, which then counts as run.
func (f *faultyTarget) read(r *bufio.Reader) bool {
	req, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return false
	}
	f.seen.Add(1)
	f.lengths <- fmt.Sprint(req.ContentLength, req.TransferEncoding)
	return true
}

func (f *faultyTarget) run(c io.Writer, r *bufio.Reader) bool {
	if !f.read(r) {
		return false
	}
	_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	return err == nil
}

// Guards against a second execution by a replay in net/http, and against the
// claim that a request has not begun when the target has seen it.
func TestNeverReplayed(t *testing.T) {
	noLeaks(t)
	for at := range stageCount {
		for keep := range 2 {
			for _, method := range []string{"POST", "PUT", "OPTIONS", "GET"} {
				for _, body := range []string{"", "12345"} {
					name := fmt.Sprintf("stage %d/reused %d/%s/%q", at, keep, method, body)
					t.Run(name, func(t *testing.T) { dropAt(t, at, keep, method, body) })
				}
			}
		}
	}
}

func dropAt(t *testing.T, at stage, keep int, method, body string) {
	f := newFaultyTarget(t, at, keep)
	pools := New(Settings{}, &net.Dialer{})
	defer pools.Close()
	send := func() error {
		r := Request{
			Target: f.listener.Addr().String(), Method: method, URI: "/x",
			Header: http.Header{"Idempotency-Key": {"k"}},
		}
		if body != "" {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
		}
		resp, err := pools.Attempt(testContext(t), r)
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, resp.Body)
		return errors.Join(err, resp.Body.Close())
	}
	for range keep {
		if err := send(); err != nil {
			t.Fatal(err)
		}
		if got, want := <-f.lengths, fmt.Sprint(len(body), []string(nil)); got != want {
			t.Errorf("target saw length %s, want %s", got, want)
		}
	}
	before := f.seen.Load()
	err := send()
	ran := f.seen.Load() - before
	// A reused connection that is closed before the request can be replaced
	// without a risk, and the new connection then answers it.
	if err == nil {
		if keep == 0 || ran != 1 {
			t.Errorf("attempt succeeded with %d executions", ran)
		}
		return
	}
	var failure *Error
	if !errors.As(err, &failure) {
		t.Fatalf("error %v", err)
	}
	if ran > 1 || failure.Known == NotBegun && ran > 0 {
		t.Errorf("%d executions, error %v", ran, failure)
	}
	if at >= dropBeforeRequest && keep == 0 && failure.Known != MaybeBegun {
		t.Errorf("the target has seen the request, but the error is %v", failure)
	}
}

// Guards against failures that are reported with the wrong knowledge.
func TestKnown(t *testing.T) {
	noLeaks(t)
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/shed":
			w.Header().Set("Snipemoor-Not-Run", "1")
			w.Header().Set("Retry-After", "7")
			w.WriteHeader(http.StatusServiceUnavailable)
		case "/slow":
			select {
			case <-release:
			case <-r.Context().Done():
			}
		case "/large":
			w.Header().Set("X", strings.Repeat("x", 64<<10))
		}
	}))
	defer server.Close()
	defer close(release)
	dead, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = dead.Close()
	live := server.Listener.Addr().String()
	pools := New(Settings{MaxConns: 1}, &net.Dialer{})
	defer pools.Close()
	for _, c := range []struct {
		target, uri string
		known       Known
		cause       Cause
	}{
		{dead.Addr().String(), "/", NotBegun, CauseDial},
		{live, "/shed", NotBegun, CauseShed},
		{live, "/large", MaybeBegun, CauseBadAnswer},
		{live, "//a\"b", NotBegun, CauseBadRequest},
		{live, "/slow", MaybeBegun, CauseTimeout},
	} {
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		_, err := pools.Attempt(ctx, Request{Target: c.target, Method: "POST", URI: c.uri})
		cancel()
		var failure *Error
		if !errors.As(err, &failure) || failure.Known != c.known || failure.Cause != c.cause {
			t.Errorf("%s: error %v", c.uri, err)
		}
		if c.cause == CauseShed && failure.RetryAfter != 7*time.Second {
			t.Errorf("delay %v", failure.RetryAfter)
		}
	}
	busy, cancel := context.WithCancel(t.Context())
	defer cancel()
	done := make(chan struct{})
	arrived := make(chan struct{})
	go func() {
		defer close(done)
		body := &signalBody{Reader: strings.NewReader("x"), read: arrived}
		_, _ = pools.Attempt(busy, Request{Target: live, Method: "POST", URI: "/slow", Body: body, ContentLength: 1})
	}()
	<-arrived
	ctx, cancelWait := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancelWait()
	var failure *Error
	_, err = pools.Attempt(ctx, Request{Target: live, Method: "POST", URI: "/"})
	if !errors.As(err, &failure) || failure.Known != NotBegun || failure.Cause != CauseNoConnection {
		t.Errorf("with all connections busy: %v", err)
	}
	cancel()
	<-done
}

type signalBody struct {
	io.Reader
	read chan struct{}
	sent bool
}

func (b *signalBody) Read(p []byte) (int, error) {
	if !b.sent {
		b.sent = true
		close(b.read)
	}
	return b.Reader.Read(p)
}

func (b *signalBody) Close() error { return nil }

// Guards against changed paths, queries and headers.
func TestRequestUnchanged(t *testing.T) {
	noLeaks(t)
	var got atomic.Pointer[http.Request]
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { got.Store(r) }))
	defer server.Close()
	target := server.Listener.Addr().String()
	pools := New(Settings{}, &net.Dialer{})
	defer pools.Close()
	for _, uri := range []string{"/", "/a%2Fb/", "//a//b", "/a?", "/a?x=%20&y", "/a\"b^c", "/%41?q=a+b", "/a;b=c,d"} {
		resp, err := pools.Attempt(testContext(t), Request{Target: target, Method: "GET", URI: uri, Header: http.Header{"X": {"2", "1"}}})
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		r := got.Load()
		if r.RequestURI != uri || r.Host != target || fmt.Sprint(r.Header) != "map[X:[2 1]]" {
			t.Errorf("sent %s, target saw %s, host %s, headers %v", uri, r.RequestURI, r.Host, r.Header)
		}
	}
}

// Guards against a pool that keeps silent connections while new ones work, and
// against one that discards connections of a target that is merely slow.
func TestSilentPool(t *testing.T) {
	noLeaks(t)
	for _, onlyOld := range []bool{true, false} {
		t.Run(fmt.Sprintf("only old connections silent %v", onlyOld), func(t *testing.T) {
			var silent atomic.Bool
			var conns atomic.Int64
			type connKey struct{}
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				first := r.Context().Value(connKey{}) == int64(1)
				if silent.Load() && (first || !onlyOld) {
					<-r.Context().Done()
				}
			}))
			server.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
				return context.WithValue(ctx, connKey{}, conns.Add(1))
			}
			server.Start()
			defer server.Close()
			target := server.Listener.Addr().String()
			pools := New(Settings{SilentAfter: time.Millisecond}, &net.Dialer{})
			defer pools.Close()
			send := func() error {
				ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
				defer cancel()
				resp, err := pools.Attempt(ctx, Request{Target: target, Method: "GET", URI: "/"})
				if err != nil {
					return err
				}
				return resp.Body.Close()
			}
			if err := send(); err != nil {
				t.Fatal(err)
			}
			tp, _ := pools.pool(target)
			old := tp.current
			silent.Store(true)
			if err := send(); err == nil {
				t.Fatal("a silent connection answered")
			}
			err := send()
			if (err == nil) != onlyOld {
				t.Fatalf("new connection: %v", err)
			}
			if discarded := tp.current != old; discarded != onlyOld || tp.candidate != nil {
				t.Errorf("pool discarded: %v, candidate %v", discarded, tp.candidate)
			}
		})
	}
}

// Guards against probes that outlive Stop, lost reports and accepted nonsense.
func TestProber(t *testing.T) {
	noLeaks(t)
	var load atomic.Value
	load.Store(`{"slots":4,"busy":3,"queued":1,"latencyMicros":250}`)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/load" {
			_, _ = io.WriteString(w, load.Load().(string))
		}
	}))
	defer server.Close()
	target := server.Listener.Addr().String()
	clock := snipetime.NewManual(0)
	var reports []Report
	p := NewProber(time.Second, testLimit, clock, &net.Dialer{}, func(r Report) { reports = append(reports, r) })
	defer p.Close()
	p.Start(target)
	clock.Advance(time.Second)
	load.Store(`{"slots":-1}`)
	clock.Advance(time.Second)
	p.Stop(target)
	clock.Advance(time.Minute)
	if len(reports) != 3 {
		t.Fatalf("%d reports", len(reports))
	}
	want := Load{Slots: 4, Busy: 3, Queued: 1, LatencyMicros: 250}
	if r := reports[1]; !r.Healthy || !r.HasLoad || r.Load != want || r.Err != nil {
		t.Errorf("report %+v", r)
	}
	if r := reports[2]; !r.Healthy || r.HasLoad || r.Err == nil {
		t.Errorf("report of a negative value %+v", r)
	}
}
