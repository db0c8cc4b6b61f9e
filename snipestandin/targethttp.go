package snipestandin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/snipemoor/snipemoor/snipetime"
)

// The headers that a target reads and writes.
const (
	HeaderRequestID      = "Snipemoor-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderTimeout        = "Snipemoor-Timeout"
	HeaderNotRun         = "Snipemoor-Not-Run"
)

type loadWire struct {
	Slots         int   `json:"slots"`
	Busy          int   `json:"busy"`
	Queued        int   `json:"queued"`
	LatencyMicros int64 `json:"latencyMicros"`
}

// Handler returns the HTTP interface of the target.
func (t *Target) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", t.handleHealth)
	mux.HandleFunc("GET /load", t.handleLoad)
	mux.HandleFunc("POST /standin/fault", t.handleFault)
	mux.HandleFunc("GET /standin/stats", t.handleStats)
	mux.HandleFunc("GET /standin/executions", t.handleExecutions)
	mux.HandleFunc("/", t.handleRequest)
	return mux
}

func (t *Target) probe() TargetFaults {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Probes++
	t.debt += t.settings.ProbeCost
	return t.faults
}

func (t *Target) handleHealth(w http.ResponseWriter, _ *http.Request) {
	faults := t.probe()
	healthy := !faults.Draining
	if faults.ReportHealthy {
		healthy = true
	}
	if faults.ReportUnhealthy {
		healthy = false
	}
	if !healthy {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (t *Target) handleLoad(w http.ResponseWriter, _ *http.Request) {
	faults := t.probe()
	if faults.LoadOutage {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	t.mu.Lock()
	load := t.load()
	if faults.LoadFrozen {
		load = t.frozen
	}
	t.mu.Unlock()
	if faults.ReportBusy != nil {
		load.Busy = *faults.ReportBusy
	}
	writeJSON(w, http.StatusOK, load)
}

func (t *Target) handleFault(w http.ResponseWriter, r *http.Request) {
	var f TargetFaults
	if readControl(w, r, &f) {
		t.SetFaults(f)
		writeJSON(w, http.StatusOK, struct{}{})
	}
}

func (t *Target) handleStats(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, t.Stats())
}

func (t *Target) handleExecutions(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, t.Executions())
}

// failAt ends the request without return if it is to fail at the stage.
func (t *Target) failAt(r *http.Request, stage Stage) {
	fails, silent := t.fails(stage)
	if !fails {
		return
	}
	if silent {
		t.silence(r)
	}
	dropConnection()
}

// silence waits until the client is gone or the target is closed. The server
// notices that the client is gone only once the body has been read.
func (t *Target) silence(r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	select {
	case <-r.Context().Done():
	case <-t.closed:
	}
}

func (t *Target) handleRequest(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	t.stats.Requests++
	t.mu.Unlock()
	t.failAt(r, StageAfterHeaders)
	if !t.acquire(r.Context()) {
		t.shed(w)
		return
	}
	// A failing stage leaves by panic, and the slot must be free then too.
	defer t.release()
	e := &Execution{
		RequestID: r.Header.Get(HeaderRequestID),
		Key:       r.Header.Get(HeaderIdempotencyKey),
		Method:    r.Method,
		Path:      r.URL.RequestURI(),
		Target:    t.address,
	}
	t.readBody(r, e)
	if !t.execute(r, e) {
		dropConnection()
	}
	t.failAt(r, StageAfterExecution)
	t.answer(w, r, e)
}

func (t *Target) shed(w http.ResponseWriter) {
	seconds := max(1, int(t.settings.RetryAfter/time.Second))
	w.Header().Set("Retry-After", strconv.Itoa(seconds))
	w.Header().Set(HeaderNotRun, "1")
	writeError(w, http.StatusServiceUnavailable, "no free slot")
}

// readBody reads the body and records size and digest. A body that ends early
// ends the request before it runs.
func (t *Target) readBody(r *http.Request, e *Execution) {
	digest := xxhash.New()
	if half := r.ContentLength / 2; half > 0 {
		n, err := io.CopyN(digest, r.Body, half)
		e.BodyBytes += n
		if err != nil {
			dropConnection()
		}
	}
	t.failAt(r, StageMidBody)
	n, err := io.Copy(digest, r.Body)
	if err != nil {
		dropConnection()
	}
	e.BodyBytes += n
	e.BodyDigest = digest.Sum64()
}

// execute runs the request and reports false if it was cancelled.
func (t *Target) execute(r *http.Request, e *Execution) bool {
	d := t.begin(e)
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	if limit, err := time.ParseDuration(r.Header.Get(HeaderTimeout)); err == nil {
		stop := t.clock.After(limit, func(snipetime.Instant) { cancel() })
		defer stop()
	}
	done := sleep(ctx, t.clock, d)
	t.finish(e, !done)
	return done
}

// answerWire is the start of the answer of a target.
type answerWire struct {
	RequestID  string `json:"requestId"`
	Key        string `json:"key"`
	Target     string `json:"target"`
	Path       string `json:"path"`
	BodyBytes  int64  `json:"bodyBytes"`
	BodyDigest uint64 `json:"bodyDigest,string"`
}

// answer sends the identifiers of the request, so that a caller can check that
// the answer is its own, padded with spaces to the size of an answer.
func (t *Target) answer(w http.ResponseWriter, r *http.Request, e *Execution) {
	body, err := json.Marshal(answerWire{
		RequestID: e.RequestID, Key: e.Key, Target: e.Target, Path: e.Path,
		BodyBytes: e.BodyBytes, BodyDigest: e.BodyDigest,
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if missing := t.settings.AnswerBytes - len(body); missing > 0 {
		body = append(body, bytes.Repeat([]byte{' '}, missing)...)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	half := len(body) / 2
	// The client may be gone; nobody is left to tell.
	_, _ = w.Write(body[:half])
	if fails, silent := t.fails(StageMidAnswer); fails {
		if flusher, ok := w.(http.Flusher); ok {
			flusher.Flush()
		}
		if silent {
			t.silence(r)
		}
		dropConnection()
	}
	_, _ = w.Write(body[half:])
}

// targetListener applies the connection limit and costs, and wraps connections
// for faults before the header is read.
type targetListener struct {
	net.Listener
	target *Target
	open   atomic.Int64
}

// Accept returns the next connection within the limit.
func (l *targetListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, fmt.Errorf("accept: %w", err)
		}
		t := l.target
		t.mu.Lock()
		t.stats.Connections++
		limit := t.settings.MaxConnections
		refuse := limit > 0 && l.open.Load() >= int64(limit)
		if refuse {
			t.stats.Refused++
		}
		t.mu.Unlock()
		if refuse {
			_ = conn.Close()
			continue
		}
		l.open.Add(1)
		t.addDebt(t.settings.ConnectCost)
		return &targetConn{Conn: conn, listener: l}, nil
	}
}

// targetConn is a connection that can fail before a header is read.
type targetConn struct {
	net.Conn
	listener *targetListener
	// active means that the server reads or answers a request.
	active atomic.Bool
	closed sync.Once
}

// Read reads, but drops the start of a request that is to fail.
func (c *targetConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 || c.active.Load() || isControl(p[:n]) {
		//nolint:wrapcheck // the server compares errors of connections
		return n, err
	}
	t := c.listener.target
	fails, silent := t.Faults().Down, false
	if !fails {
		fails, silent = t.fails(StageBeforeRead)
	}
	if !fails {
		//nolint:wrapcheck // the server compares errors of connections
		return n, err
	}
	if silent {
		_, _ = io.Copy(io.Discard, c.Conn)
	}
	_ = c.Conn.Close()
	return 0, io.ErrUnexpectedEOF
}

// isControl reports whether bytes are the start of a control request, which
// must get through so that faults can be ended.
func isControl(start []byte) bool {
	return bytes.HasPrefix(start, []byte("POST /standin/")) || bytes.HasPrefix(start, []byte("GET /standin/"))
}

// Close closes the connection and lowers the number of open ones.
func (c *targetConn) Close() error {
	c.closed.Do(func() { c.listener.open.Add(-1) })
	//nolint:wrapcheck // the server compares errors of connections
	return c.Conn.Close()
}

// trackState follows whether a connection is within a request.
func trackState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*targetConn); ok {
		c.active.Store(state == http.StateActive)
	}
}
