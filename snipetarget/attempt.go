package snipetarget

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	notRunHeader = "Snipemoor-Not-Run"
	// maxShedBody bounds the discarded body of a shed answer, in bytes.
	maxShedBody = 4 << 10
)

// Known says what is known about a failed attempt.
type Known int

// Values of Known.
const (
	// NotBegun means that the target has not begun the request and never will.
	NotBegun Known = iota + 1
	// MaybeBegun means that the target can have begun or finished the request.
	MaybeBegun
)

// Cause is the kind of a failure.
type Cause string

// Causes of failed attempts.
const (
	// CauseDial means that the connection was refused or failed to open.
	CauseDial Cause = "dialFailed"
	// CauseNoConnection means that no connection was free before the deadline.
	CauseNoConnection Cause = "noConnection"
	// CauseShed means that the target refused the request without running it.
	CauseShed Cause = "targetShed"
	// CauseLost means that the connection broke.
	CauseLost Cause = "connectionLost"
	// CauseTimeout means that the deadline passed.
	CauseTimeout Cause = "timeout"
	// CauseCancelled means that the context was cancelled.
	CauseCancelled Cause = "cancelled"
	// CauseBadAnswer means that the answer was not valid HTTP or too large.
	CauseBadAnswer Cause = "badAnswer"
	// CauseBadRequest means that the request cannot be sent unchanged.
	CauseBadRequest Cause = "badRequest"
)

// Error is a failed attempt.
type Error struct {
	// Known says whether the target can have begun the request.
	Known Known
	// Cause is the kind of the failure.
	Cause Cause
	// RetryAfter is the delay that a shedding target asked for, or zero.
	RetryAfter time.Duration
	// Err is the underlying error, or nil.
	Err error
}

// Error implements error.
func (e *Error) Error() string {
	state := "not begun"
	if e.Known == MaybeBegun {
		state = "can have begun"
	}
	if e.Err == nil {
		return fmt.Sprintf("%s (%s)", e.Cause, state)
	}
	return fmt.Sprintf("%s (%s): %v", e.Cause, state, e.Err)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// Request is one attempt.
type Request struct {
	// Target is the address of the target.
	Target string
	// Method is the request method.
	Method string
	// URI is the escaped path and query as they are sent.
	URI string
	// Header holds the end-to-end headers. It is not changed.
	Header http.Header
	// Body is the request body; nil for none. It is closed, possibly after
	// Attempt has returned.
	Body io.ReadCloser
	// ContentLength is the length of Body, or -1 if it is not known.
	ContentLength int64
}

// Response is the answer of a target.
type Response struct {
	// Status is the status code.
	Status int
	// Header holds the headers as received.
	Header http.Header
	// ContentLength is the length of the body, or -1 if it is not known.
	ContentLength int64
	// Body must be closed. A body cut short returns an error other than io.EOF.
	Body io.ReadCloser
}

// opaqueBody hides the type of a body, so that net/http has no means to send it
// a second time.
type opaqueBody struct{ io.ReadCloser }

func (r *Request) build(ctx context.Context) (*http.Request, error) {
	u := &url.URL{Scheme: "http", Host: r.Target}
	path, query, hasQuery := strings.Cut(r.URI, "?")
	u.RawQuery, u.ForceQuery = query, hasQuery
	if !strings.HasPrefix(path, "//") {
		u.Opaque = path
	} else {
		// net/http reads an opaque part with two slashes as an authority.
		decoded, err := url.PathUnescape(path)
		if err != nil {
			return nil, fmt.Errorf("path %q: %w", path, err)
		}
		u.Path, u.RawPath = decoded, path
		if u.EscapedPath() != path {
			return nil, fmt.Errorf("path %q cannot be sent unchanged", path)
		}
	}
	h := make(http.Header, len(r.Header)+1)
	for name, values := range r.Header {
		h[name] = values
	}
	if _, ok := h["User-Agent"]; !ok {
		// A nil value keeps net/http from adding its own name.
		h["User-Agent"] = nil
	}
	req := &http.Request{Method: r.Method, URL: u, Header: h, Host: r.Target, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}
	if r.Body != nil && r.ContentLength != 0 {
		req.Body = opaqueBody{r.Body}
		req.ContentLength = r.ContentLength
	}
	return req.WithContext(ctx), nil
}

// tracker follows one attempt through the hooks of net/http.
type tracker struct {
	cancel context.CancelFunc

	mu        sync.Mutex
	conn      *trackedConn
	mark      uint64
	reused    bool
	begun     bool
	firstByte atomic.Bool
}

// gotConn notes the connection. net/http calls it again if it repeats the
// request on another connection; that is allowed only while the former one has
// written nothing. An empty body cannot be wrapped without losing its
// Content-Length, so this check is what prevents a repetition there.
func (t *tracker) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*trackedConn)
	if !ok {
		panic("snipetarget: connection of a foreign dialer")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil && !t.conn.seal(t.mark) {
		t.begun = true
		conn.seal(conn.mark())
		t.cancel()
		return
	}
	t.conn, t.mark, t.reused = conn, conn.mark(), info.Reused
}

// known seals the connection of a failed attempt.
func (t *tracker) known() Known {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.begun || t.conn != nil && !t.conn.seal(t.mark) {
		return MaybeBegun
	}
	return NotBegun
}

func (t *tracker) connection() (found, reused bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.conn != nil, t.reused
}

// Attempt sends r once and returns the answer when its headers have arrived.
// ctx bounds the attempt to the end of the answer's body; its deadline is the
// limit for connecting and for the wait for headers. Errors are *Error.
func (p *Pools) Attempt(ctx context.Context, r Request) (*Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	t := &tracker{cancel: cancel}
	trace := &httptrace.ClientTrace{
		GotConn:              t.gotConn,
		GotFirstResponseByte: func() { t.firstByte.Store(true) },
	}
	req, err := r.build(httptrace.WithClientTrace(ctx, trace))
	if err != nil {
		cancel()
		closeBody(r.Body)
		return nil, &Error{Known: NotBegun, Cause: CauseBadRequest, Err: err}
	}
	if req.Body == nil {
		closeBody(r.Body)
	}
	pool, err := p.pool(r.Target)
	if err != nil {
		cancel()
		closeBody(r.Body)
		return nil, &Error{Known: NotBegun, Cause: CauseNoConnection, Err: err}
	}
	g := pool.acquire()
	started := time.Now()
	resp, err := g.transport.RoundTrip(req) //nolint:bodyclose // the caller of Attempt closes the body
	if err != nil {
		failure := classify(ctx, t, err)
		pool.failed(g, t, failure, time.Since(started))
		pool.release(g)
		cancel()
		return nil, failure
	}
	pool.answered(g)
	body := &responseBody{ReadCloser: resp.Body, done: func() {
		cancel()
		pool.release(g)
	}}
	if resp.StatusCode == http.StatusSwitchingProtocols {
		_ = body.Close()
		return nil, &Error{Known: MaybeBegun, Cause: CauseBadAnswer, Err: errors.New("answer switches protocols")}
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(notRunHeader) == "1" {
		_, _ = io.CopyN(io.Discard, body, maxShedBody)
		_ = body.Close()
		return nil, &Error{Known: NotBegun, Cause: CauseShed, RetryAfter: retryAfter(resp.Header)}
	}
	return &Response{
		Status:        resp.StatusCode,
		Header:        resp.Header,
		ContentLength: resp.ContentLength,
		Body:          body,
	}, nil
}

func closeBody(b io.Closer) {
	if b != nil {
		_ = b.Close()
	}
}

func classify(ctx context.Context, t *tracker, err error) *Error {
	found, _ := t.connection()
	e := &Error{Known: t.known(), Err: err}
	ended := ctx.Err()
	t.mu.Lock()
	begun := t.begun
	t.mu.Unlock()
	switch {
	case begun:
		e.Cause = CauseLost
	case errors.Is(ended, context.Canceled):
		e.Cause = CauseCancelled
	case ended != nil && !found:
		e.Cause = CauseNoConnection
	case ended != nil:
		e.Cause = CauseTimeout
	case !found:
		e.Cause = CauseDial
	case t.firstByte.Load():
		e.Cause = CauseBadAnswer
	default:
		e.Cause = CauseLost
	}
	return e
}

// retryAfter returns the delay in seconds form, or zero.
func retryAfter(h http.Header) time.Duration {
	n, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || n < 0 {
		return 0
	}
	return time.Duration(n) * time.Second
}

// responseBody releases the attempt when the body is closed.
type responseBody struct {
	io.ReadCloser
	once sync.Once
	done func()
}

// Close implements io.Closer. Closing before the end closes the connection.
func (b *responseBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.done)
	if err != nil {
		return fmt.Errorf("close answer body: %w", err)
	}
	return nil
}
