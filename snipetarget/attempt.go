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

	"github.com/snipemoor/snipemoor/snipeconn"
)

const (
	notRunHeader = "Snipemoor-Not-Run"
	// maxShedBody is the number of bytes that are read of the body of a refusal
	// before its connection is released.
	maxShedBody = 4 << 10
)

// Execution states whether the target of a failed attempt may have begun the
// request.
type Execution int

// Values of Execution.
const (
	// NotBegun means that the target has not begun the request and never will.
	NotBegun Execution = iota + 1
	// MaybeBegun means that the target may have begun or finished the request.
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
	// CauseShed means that the target refused the request without running it, by
	// a response of status 503 with the header Snipemoor-Not-Run: 1.
	CauseShed Cause = "targetShed"
	// CauseConnectionLost means that the connection broke.
	CauseConnectionLost Cause = "connectionLost"
	// CauseTimeout means that the deadline passed.
	CauseTimeout Cause = "timeout"
	// CauseCancelled means that the context was cancelled.
	CauseCancelled Cause = "cancelled"
	// CauseBadResponse means that the response was not valid HTTP, too large or of
	// status 101.
	CauseBadResponse Cause = "badAnswer"
	// CauseBadRequest means that the path of the request cannot be sent unchanged.
	CauseBadRequest Cause = "badRequest"
)

// Error describes a failed attempt.
type Error struct {
	// Execution states whether the target may have begun the request.
	Execution Execution
	// Cause is the kind of the failure.
	Cause Cause
	// RetryAfter is the delay that a target asked for in its refusal, in whole
	// seconds, or zero.
	RetryAfter time.Duration
	// Err is the underlying error, or nil.
	Err error
}

// Error implements error.
func (e *Error) Error() string {
	state := "may have begun"
	if e.Execution == NotBegun {
		state = "not begun"
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
	// Header holds the end-to-end headers. Attempt does not change it.
	Header http.Header
	// Body is the request body; nil for none. It is always closed, possibly
	// after Attempt has returned.
	Body io.ReadCloser
	// ContentLength is the length of Body, or -1 if it is not known.
	ContentLength int64
}

// Response is the response of a target.
type Response struct {
	// Status is the status code.
	Status int
	// Header holds the headers as received.
	Header http.Header
	// ContentLength is the length of the body, or -1 if it is not known.
	ContentLength int64
	// Body must be closed. Reading a truncated body returns an error other than
	// io.EOF.
	Body io.ReadCloser
}

// opaqueBody hides the type of a body, so that net/http cannot send it a second
// time.
type opaqueBody struct{ io.ReadCloser }

// httpRequest returns the request in the form that net/http sends. It fails if
// the path would be changed.
func (r *Request) httpRequest(ctx context.Context) (*http.Request, error) {
	u := &url.URL{Scheme: "http", Host: r.Target}
	path, query, hasQuery := strings.Cut(r.URI, "?")
	u.RawQuery, u.ForceQuery = query, hasQuery
	if !strings.HasPrefix(path, "//") {
		u.Opaque = path
	} else {
		// net/http parses an opaque part that begins with two slashes as an
		// authority.
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
		// A nil value prevents net/http from adding its own User-Agent.
		h["User-Agent"] = nil
	}
	req := &http.Request{Method: r.Method, URL: u, Header: h, Host: r.Target, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}
	if r.Body != nil && r.ContentLength != 0 {
		req.Body = opaqueBody{r.Body}
		req.ContentLength = r.ContentLength
	}
	return req.WithContext(ctx), nil
}

// tracker records the connection of one attempt and the first byte of the
// response, through the hooks of httptrace.
type tracker struct {
	cancel context.CancelFunc

	mu   sync.Mutex
	conn *trackedConn
	// writtenBefore is the number of bytes written to conn before the attempt.
	writtenBefore uint64
	reused        bool
	// maybeBegun is set if net/http changed the connection although a byte had
	// been written to the previous one.
	maybeBegun bool
	firstByte  atomic.Bool
	// written is closed when the whole request has been written.
	written     chan struct{}
	writtenOnce sync.Once
}

// gotConn records the connection. net/http calls it again if it repeats the
// request on another connection. That is allowed only if no byte was written to
// the previous one; otherwise the attempt is cancelled. For a request without a
// body this check alone prevents a repetition, since an empty body cannot be
// wrapped in opaqueBody without losing its Content-Length.
func (t *tracker) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*trackedConn)
	if !ok {
		panic("snipetarget: connection was not opened by the pool")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil && !t.conn.seal(t.writtenBefore) {
		t.maybeBegun = true
		conn.seal(conn.bytesWritten())
		t.cancel()
		return
	}
	t.conn, t.writtenBefore, t.reused = conn, conn.bytesWritten(), info.Reused
	if !conn.beginAttempt() {
		// Nothing is written, so that net/http takes another connection.
		conn.seal(t.writtenBefore)
	}
}

// sealConn seals the connection of a failed attempt and returns whether the
// target may have begun the request.
func (t *tracker) sealConn() Execution {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.maybeBegun || t.conn != nil && !t.conn.seal(t.writtenBefore) {
		return MaybeBegun
	}
	return NotBegun
}

// sealRefused seals the connection over which the attempt was refused and returns whether
// the target may have begun it over an earlier connection.
func (t *tracker) sealRefused() Execution {
	t.sealConn()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.maybeBegun {
		return MaybeBegun
	}
	return NotBegun
}

// connection reports whether the attempt was assigned a connection, and whether
// an earlier attempt had used it.
func (t *tracker) connection() (found, reused bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.conn != nil, t.reused
}

// Attempt sends r once and returns the response when its headers have arrived.
// ctx applies until the body of the response is closed. Its deadline also bounds
// the time to connect and to wait for the headers. Errors are of type *Error.
func (p *Pools) Attempt(ctx context.Context, r Request) (*Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	t := &tracker{cancel: cancel, written: make(chan struct{})}
	trace := &httptrace.ClientTrace{
		GotConn:              t.gotConn,
		GotFirstResponseByte: func() { t.firstByte.Store(true) },
		WroteRequest:         t.wroteRequest,
	}
	req, err := r.httpRequest(httptrace.WithClientTrace(ctx, trace))
	if err != nil {
		cancel()
		closeBody(r.Body)
		return nil, &Error{Execution: NotBegun, Cause: CauseBadRequest, Err: err}
	}
	if req.Body == nil {
		closeBody(r.Body)
	}
	pool, err := p.pool(r.Target)
	if err != nil {
		cancel()
		closeBody(r.Body)
		return nil, &Error{Execution: NotBegun, Cause: CauseNoConnection, Err: err}
	}
	pt := pool.acquire()
	started := time.Now()
	resp, err := pt.transport.RoundTrip(req) //nolint:bodyclose // the caller of Attempt closes the body
	if err != nil {
		failure := classify(ctx, t, err)
		pool.recordFailure(pt, t, failure, time.Since(started))
		pool.release(pt)
		cancel()
		return nil, failure
	}
	pool.recordResponse(pt)
	body := &responseBody{ReadCloser: resp.Body, done: func() {
		cancel()
		pool.release(pt)
	}}
	return newResponse(resp, body, t)
}

// newResponse returns the response to an attempt. It closes body and returns an error of
// type *Error if the response is malformed, or states that the request was not run.
func newResponse(resp *http.Response, body *responseBody, t *tracker) (*Response, error) {
	if err := snipeconn.CheckStatus(resp); err != nil {
		_ = body.Close()
		return nil, &Error{Execution: MaybeBegun, Cause: CauseBadResponse, Err: err}
	}
	if snipeconn.EndsWithConn(resp) {
		body.ReadCloser = &unframedBody{ReadCloser: resp.Body, tracker: t}
	}
	if resp.StatusCode == http.StatusSwitchingProtocols {
		_ = body.Close()
		return nil, &Error{Execution: MaybeBegun, Cause: CauseBadResponse, Err: errors.New("response switches protocols")}
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(notRunHeader) == "1" {
		_, _ = io.CopyN(io.Discard, body, maxShedBody)
		_ = body.Close()
		return nil, &Error{Execution: t.sealRefused(), Cause: CauseShed, RetryAfter: retryAfter(resp.Header)}
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

// classify returns the error of a failed attempt and seals its connection.
func classify(ctx context.Context, t *tracker, err error) *Error {
	found, _ := t.connection()
	e := &Error{Execution: t.sealConn(), Err: err}
	ctxErr := ctx.Err()
	t.mu.Lock()
	maybeBegun := t.maybeBegun
	t.mu.Unlock()
	switch {
	case maybeBegun:
		e.Cause = CauseConnectionLost
	case errors.Is(ctxErr, context.Canceled):
		e.Cause = CauseCancelled
	case ctxErr != nil && !found:
		e.Cause = CauseNoConnection
	case ctxErr != nil:
		e.Cause = CauseTimeout
	case !found:
		e.Cause = CauseDial
	case t.firstByte.Load():
		e.Cause = CauseBadResponse
	default:
		e.Cause = CauseConnectionLost
	}
	return e
}

// retryAfter returns the delay of a Retry-After header in whole seconds. It
// returns zero if the header is missing or has another form.
func retryAfter(h http.Header) time.Duration {
	n, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || n < 0 {
		return 0
	}
	return time.Duration(n) * time.Second
}

// responseBody calls done once when the body is closed.
type responseBody struct {
	io.ReadCloser
	once sync.Once
	done func()
}

// Close implements io.Closer. Closing before the end of the body closes the
// connection.
func (b *responseBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.done)
	if err != nil {
		return fmt.Errorf("close response body: %w", err)
	}
	return nil
}
