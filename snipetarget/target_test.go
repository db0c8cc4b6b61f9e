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

const testTimeout = 10 * time.Second

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

func checkGoroutineLeaks(t *testing.T) {
	t.Helper()
	before := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, before) })
}

// dropStage is the point at which the faulty target drops a connection.
type dropStage int

const (
	dropOnAccept dropStage = iota
	dropBeforeRequest
	dropInHeaders
	dropAfterHeaders
	dropAfterRequest
	dropInResponse
	dropStageCount
)

// faultyTarget responds to the first normalRequests requests of each connection
// and drops the connection at the given stage of the next one. It counts the
// requests that it has read in full, and sends their lengths to lengths.
type faultyTarget struct {
	listener       net.Listener
	dropStage      dropStage
	normalRequests int
	executions     atomic.Int64
	lengths        chan string
}

func newFaultyTarget(t *testing.T, at dropStage, normalRequests int) *faultyTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &faultyTarget{listener: l, dropStage: at, normalRequests: normalRequests, lengths: make(chan string, 100)}
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
	for range f.normalRequests {
		if !f.respond(c, r) {
			return
		}
	}
	switch f.dropStage {
	case dropOnAccept:
	case dropBeforeRequest:
		_, _ = r.Peek(1)
	case dropInHeaders:
		_, _ = r.ReadString('\n')
	case dropAfterHeaders:
		_, _ = http.ReadRequest(r)
	case dropAfterRequest:
		f.readRequest(r)
	case dropInResponse:
		f.readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Le")
	}
}

// readRequest reads a whole request, which then counts as executed.
func (f *faultyTarget) readRequest(r *bufio.Reader) bool {
	req, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return false
	}
	f.executions.Add(1)
	f.lengths <- fmt.Sprint(req.ContentLength, req.TransferEncoding)
	return true
}

func (f *faultyTarget) respond(c io.Writer, r *bufio.Reader) bool {
	if !f.readRequest(r) {
		return false
	}
	_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	return err == nil
}

// Guards against a second execution of a request that net/http repeats, and
// against an error that reports a request as not begun after the target has
// received it.
func TestNeverReplayed(t *testing.T) {
	checkGoroutineLeaks(t)
	for at := range dropStageCount {
		for normalRequests := range 2 {
			for _, method := range []string{"POST", "PUT", "OPTIONS", "GET"} {
				for _, body := range []string{"", "12345"} {
					name := fmt.Sprintf("stage %d/reused %d/%s/%q", at, normalRequests, method, body)
					t.Run(name, func(t *testing.T) { testDroppedConnection(t, at, normalRequests, method, body) })
				}
			}
		}
	}
}

func testDroppedConnection(t *testing.T, at dropStage, normalRequests int, method, body string) {
	f := newFaultyTarget(t, at, normalRequests)
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
	for range normalRequests {
		if err := send(); err != nil {
			t.Fatal(err)
		}
		if got, want := <-f.lengths, fmt.Sprint(len(body), []string(nil)); got != want {
			t.Errorf("target received length %s, want %s", got, want)
		}
	}
	before := f.executions.Load()
	err := send()
	ran := f.executions.Load() - before
	// If a reused connection is closed before the request is written, sending
	// the request on a new connection is safe, and the attempt succeeds.
	if err == nil {
		if normalRequests == 0 || ran != 1 {
			t.Errorf("attempt succeeded with %d executions", ran)
		}
		return
	}
	var failure *Error
	if !errors.As(err, &failure) {
		t.Fatalf("error %v", err)
	}
	if ran > 1 || failure.Execution == NotBegun && ran > 0 {
		t.Errorf("%d executions, error %v", ran, failure)
	}
	if at >= dropBeforeRequest && normalRequests == 0 && failure.Execution != MaybeBegun {
		t.Errorf("the target has received the request, but the error is %v", failure)
	}
}

// Guards against failures that are reported with the wrong cause, or with the
// wrong statement whether the target may have begun the request.
func TestFailureClassification(t *testing.T) {
	checkGoroutineLeaks(t)
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
		known       Execution
		cause       Cause
	}{
		{dead.Addr().String(), "/", NotBegun, CauseDial},
		{live, "/shed", NotBegun, CauseShed},
		{live, "/large", MaybeBegun, CauseBadResponse},
		{live, "//a\"b", NotBegun, CauseBadRequest},
		{live, "/slow", MaybeBegun, CauseTimeout},
	} {
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		_, err := pools.Attempt(ctx, Request{Target: c.target, Method: "POST", URI: c.uri})
		cancel()
		var failure *Error
		if !errors.As(err, &failure) || failure.Execution != c.known || failure.Cause != c.cause {
			t.Errorf("%s: error %v", c.uri, err)
		}
		if c.cause == CauseShed && failure.RetryAfter != 7*time.Second {
			t.Errorf("delay %v", failure.RetryAfter)
		}
	}
	busyCtx, cancel := context.WithCancel(t.Context())
	defer cancel()
	done := make(chan struct{})
	arrived := make(chan struct{})
	go func() {
		defer close(done)
		body := &signalBody{Reader: strings.NewReader("x"), firstRead: arrived}
		_, _ = pools.Attempt(busyCtx, Request{Target: live, Method: "POST", URI: "/slow", Body: body, ContentLength: 1})
	}()
	<-arrived
	ctx, cancelWait := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancelWait()
	var failure *Error
	_, err = pools.Attempt(ctx, Request{Target: live, Method: "POST", URI: "/"})
	if !errors.As(err, &failure) || failure.Execution != NotBegun || failure.Cause != CauseNoConnection {
		t.Errorf("with all connections busy: %v", err)
	}
	cancel()
	<-done
}

// signalBody closes firstRead when it is read for the first time.
type signalBody struct {
	io.Reader
	firstRead chan struct{}
	sent      bool
}

func (b *signalBody) Read(p []byte) (int, error) {
	if !b.sent {
		b.sent = true
		close(b.firstRead)
	}
	return b.Reader.Read(p)
}

func (b *signalBody) Close() error { return nil }

// Guards against paths, queries and headers that are changed on the way to the
// target.
func TestRequestUnchanged(t *testing.T) {
	checkGoroutineLeaks(t)
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
			t.Errorf("sent %s, target received %s, host %s, headers %v", uri, r.RequestURI, r.Host, r.Header)
		}
	}
}

// Guards against a pool that keeps using silent connections while new ones work,
// and against one that replaces the connections of a target that is only slow.
func TestSilentConnections(t *testing.T) {
	checkGoroutineLeaks(t)
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
				t.Fatal("an attempt on a silent connection succeeded")
			}
			err := send()
			if (err == nil) != onlyOld {
				t.Fatalf("new connection: %v", err)
			}
			if replaced := tp.current != old; replaced != onlyOld || tp.candidate != nil {
				t.Errorf("transport replaced: %v, candidate %v", replaced, tp.candidate)
			}
		})
	}
}

// Guards against probes that continue after Stop, lost reports and load reports
// with negative values that are accepted.
func TestProber(t *testing.T) {
	checkGoroutineLeaks(t)
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
	var reports []ProbeReport
	p := NewProber(time.Second, testTimeout, clock, &net.Dialer{}, func(r ProbeReport) { reports = append(reports, r) })
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
