package snipegate

import (
	"bytes"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/snipemoor/snipemoor/snipecaller"
	"github.com/snipemoor/snipemoor/snipetable"
)

// maxHeldBytes bounds the part of an answer that is held until its turn.
const maxHeldBytes = 64 << 10

// Ahead implements snipecaller.Begin: it sends an idempotent request that waits
// behind others on its connection to a target at once. Its answer is held until
// its turn.
func (g *Gate) Ahead(r *http.Request, arrived time.Time) http.Handler {
	if g.stopping.Load() != nil || !g.idempotent(r) || !g.Memory.TryAcquire(maxHeldBytes) {
		return nil
	}
	h := &held{gate: g, request: r, header: make(http.Header), turn: make(chan struct{}), done: make(chan struct{})}
	q := &request{gate: g, w: h, r: r, started: arrived, ahead: true, call: g.Dialect.Call(r.Header)}
	go h.run(q)
	return h
}

// idempotent reports whether the route of a request allows it to run more than
// once.
func (g *Gate) idempotent(r *http.Request) bool {
	table := g.Tables.Current()
	if table == nil {
		return false
	}
	route := matchRoute(table, r)
	return route != nil && route.Kind == snipetable.Idempotent
}

// held is the answer to a request that waits for its turn. It is the request's
// http.ResponseWriter, and the http.Handler that delivers the answer.
type held struct {
	gate    *Gate
	request *http.Request
	// turn is closed when the turn has come, and done when the answer is complete
	// or given up.
	turn, done chan struct{}
	// aborted says that the answer broke off.
	aborted bool

	mu       sync.Mutex
	w        http.ResponseWriter // nil before the turn
	header   http.Header
	status   int
	body     bytes.Buffer
	deadline time.Time
}

// run serves the request.
func (h *held) run(q *request) {
	defer close(h.done)
	defer h.gate.Memory.Release(maxHeldBytes)
	defer func() {
		if cause := recover(); cause != nil {
			if cause != http.ErrAbortHandler { //nolint:errorlint // a panic value is compared, as net/http does
				panic(cause)
			}
			h.aborted = true
		}
	}()
	q.serve()
	h.gate.report(q)
}

// ServeHTTP implements http.Handler: it delivers the answer.
func (h *held) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.gate.stopping.Load() != nil && !snipecaller.Behind(r) {
		w.Header().Set("Connection", "close")
	}
	h.begin(w)
	close(h.turn)
	<-h.done
	if h.aborted {
		panic(http.ErrAbortHandler)
	}
}

// begin passes on what is held.
func (h *held) begin(w http.ResponseWriter) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.w = w
	if !h.deadline.IsZero() {
		// The connection is closed if this fails, and so is the next write.
		_ = http.NewResponseController(w).SetWriteDeadline(h.deadline)
	}
	if h.status == 0 {
		return
	}
	maps.Copy(w.Header(), h.header)
	w.WriteHeader(h.status)
	// A caller that is gone needs no answer.
	_, _ = h.body.WriteTo(w)
}

// Header implements http.ResponseWriter.
func (h *held) Header() http.Header { return h.header }

// WriteHeader implements http.ResponseWriter.
func (h *held) WriteHeader(status int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.status = status
	if h.w != nil {
		maps.Copy(h.w.Header(), h.header)
		h.w.WriteHeader(status)
	}
}

// Write implements http.ResponseWriter. It waits for the turn where too much would
// have to be held.
func (h *held) Write(p []byte) (int, error) {
	if n, kept := h.keep(p); kept {
		return n, nil
	}
	select {
	case <-h.turn:
	case <-h.request.Context().Done():
		return 0, h.request.Context().Err() //nolint:wrapcheck // logged as the cause
	}
	return h.w.Write(p) //nolint:wrapcheck // as of an http.ResponseWriter
}

// keep holds p back, and reports false if it is to be passed on.
func (h *held) keep(p []byte) (int, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.w != nil || h.body.Len()+len(p) > maxHeldBytes {
		return 0, false
	}
	n, _ := h.body.Write(p) // a buffer returns no error
	return n, true
}

// SetWriteDeadline is used by http.ResponseController.
func (h *held) SetWriteDeadline(at time.Time) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.deadline = at
	return nil
}
