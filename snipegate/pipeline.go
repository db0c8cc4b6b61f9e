package snipegate

import (
	"bytes"
	"context"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/snipemoor/snipemoor/snipecaller"
	"github.com/snipemoor/snipemoor/snipetable"
)

// maxBufferedBytes bounds the part of a response body that is buffered while the
// responses to earlier requests on the connection are outstanding.
const maxBufferedBytes = 64 << 10

// ServePipelined implements snipecaller.EarlyStarter: it sends a pipelined
// request to a target at once, although earlier requests on its connection have
// no response yet. The returned handler delivers the response when all earlier
// ones are delivered. ServePipelined returns nil, and the request is handled in
// order, if the route is not idempotent, if the front is stopping, or if there
// is no memory to buffer a response.
//
// Only idempotent requests are sent early, because the response to an earlier
// request can close the connection, and the early request has then run although
// its caller gets no response.
func (g *Gate) ServePipelined(r *http.Request, arrived time.Time) http.Handler {
	now, recent, table := g.configuration()
	if g.stopping.Load() != nil || !idempotent(table, r) || !g.ResponseMemory.TryAcquire(maxBufferedBytes) {
		return nil
	}
	h := &bufferedResponse{gate: g, request: r, header: make(http.Header), released: make(chan struct{}), done: make(chan struct{})}
	h.reserved = maxBufferedBytes
	// A later table may have another kind of route for the request.
	q := &request{
		gate: g, w: h, r: r, arrived: arrived, startedEarly: true, call: g.HeaderCodec.Call(r.Header),
		checkedAt: now, recent: recent, table: table,
	}
	go h.run(q)
	return h
}

// idempotent reports whether a request matches an idempotent route of a table. It is false
// if the table is nil, as before the first configuration.
func idempotent(table *snipetable.Table, r *http.Request) bool {
	if table == nil {
		return false
	}
	route := matchRoute(table, r)
	return route != nil && route.Kind.Repeatable()
}

// bufferedResponse is the response to a pipelined request that was sent to a target
// early. It is the http.ResponseWriter of the request, which buffers until the
// responses to earlier requests are delivered, and the http.Handler that then
// delivers the response.
type bufferedResponse struct {
	gate    *Gate
	request *http.Request
	// released is closed when the earlier responses on the connection are
	// delivered, and done when this response is complete or aborted.
	released, done chan struct{}
	// aborted is set if the response ended before it was complete.
	aborted bool

	mu       sync.Mutex
	w        http.ResponseWriter // nil until the response is released
	header   http.Header
	status   int
	body     bytes.Buffer
	deadline time.Time
	// reserved is the part of the memory for responses that body may use, in bytes.
	reserved int
	// stopWatching ends the wait for the caller to disconnect; nil if there is none.
	stopWatching func() bool
}

// run handles the request. It leaves the memory of the buffered bytes reserved until they
// are delivered or the caller disconnects.
func (h *bufferedResponse) run(q *request) {
	h.handle(q)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.keepReserved(h.body.Len())
	if h.w != nil {
		return
	}
	// The context lasts as long as the connection, so release stops the function.
	h.stopWatching = context.AfterFunc(h.request.Context(), func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.keepReserved(0)
	})
}

// keepReserved returns all reserved memory except for n bytes. The caller holds h.mu.
func (h *bufferedResponse) keepReserved(n int) {
	if h.reserved > n {
		h.gate.ResponseMemory.Release(int64(h.reserved - n))
		h.reserved = n
	}
}

// handle handles the request until the response is complete or aborted.
func (h *bufferedResponse) handle(q *request) {
	defer close(h.done)
	defer func() {
		if cause := recover(); cause != nil {
			if cause != http.ErrAbortHandler { //nolint:errorlint // a panic value is compared, as net/http does
				panic(cause)
			}
			h.aborted = true
		}
	}()
	q.serve()
	h.gate.recordRequest(q)
}

// ServeHTTP implements http.Handler: it delivers the buffered part of the response
// and waits until the response is complete.
func (h *bufferedResponse) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.gate.stopping.Load() != nil && !snipecaller.HasEarlyResponses(r) {
		w.Header().Set("Connection", "close")
	}
	h.release(w)
	close(h.released)
	<-h.done
	if h.aborted {
		markTruncated(r)
		panic(http.ErrAbortHandler)
	}
}

// release writes the buffered part of the response to w, to which all later writes
// go directly.
func (h *bufferedResponse) release(w http.ResponseWriter) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.w = w
	defer h.keepReserved(0)
	if h.stopWatching != nil {
		h.stopWatching()
	}
	if !h.deadline.IsZero() {
		// This fails only on a closed connection, on which the next write fails too.
		_ = http.NewResponseController(w).SetWriteDeadline(h.deadline)
	}
	if h.status == 0 {
		return
	}
	maps.Copy(w.Header(), h.header)
	w.WriteHeader(h.status)
	// A write error means that the caller has disconnected.
	_, _ = h.body.WriteTo(w)
	h.body = bytes.Buffer{}
}

// Header implements http.ResponseWriter.
func (h *bufferedResponse) Header() http.Header { return h.header }

// WriteHeader implements http.ResponseWriter.
func (h *bufferedResponse) WriteHeader(status int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.status = status
	if h.w != nil {
		maps.Copy(h.w.Header(), h.header)
		h.w.WriteHeader(status)
	}
}

// Write implements http.ResponseWriter. It blocks until the response is released if
// the buffer would exceed maxBufferedBytes.
func (h *bufferedResponse) Write(p []byte) (int, error) {
	if n, buffered := h.tryBuffer(p); buffered {
		return n, nil
	}
	select {
	case <-h.released:
	case <-h.request.Context().Done():
		return 0, h.request.Context().Err() //nolint:wrapcheck // logged as the cause
	}
	return h.w.Write(p) //nolint:wrapcheck // as of an http.ResponseWriter
}

// tryBuffer buffers p. It reports false if the response is released or the buffer is
// full, and p has to be written to h.w.
func (h *bufferedResponse) tryBuffer(p []byte) (int, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.w != nil || h.body.Len()+len(p) > maxBufferedBytes {
		return 0, false
	}
	n, _ := h.body.Write(p) // a buffer returns no error
	return n, true
}

// SetWriteDeadline implements the method that http.ResponseController calls. The
// deadline is set on the connection when the response is released.
func (h *bufferedResponse) SetWriteDeadline(at time.Time) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.deadline = at
	return nil
}
