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

// The headers that a target reads and, for HeaderNotRun, writes.
const (
	HeaderRequestID      = "Snipemoor-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderTimeout        = "Snipemoor-Timeout"
	HeaderNotRun         = "Snipemoor-Not-Run"
)

// loadWire is the JSON form of a load report.
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

// recordProbe counts a probe, charges its cost and returns the faults to apply.
func (t *Target) recordProbe() TargetFaults {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Probes++
	t.pendingCost += t.settings.ProbeCost
	return t.faults
}

func (t *Target) handleHealth(w http.ResponseWriter, _ *http.Request) {
	faults := t.recordProbe()
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
	faults := t.recordProbe()
	if faults.LoadOutage {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	t.mu.Lock()
	load := t.reportedLoad()
	if faults.LoadFrozen {
		load = t.frozenLoad
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

// failAtStage returns if the request does not fail at the stage. If it does, it
// ends the handler by panic, after the client has disconnected if it is silent.
func (t *Target) failAtStage(r *http.Request, stage Stage) {
	fails, silent := t.consumeFault(stage)
	if !fails {
		return
	}
	if silent {
		t.waitForDisconnect(r)
	}
	dropConnection()
}

// waitForDisconnect waits until the client disconnects or the target is closed.
// net/http detects a disconnect only after the body has been read.
func (t *Target) waitForDisconnect(r *http.Request) {
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
	t.failAtStage(r, StageAfterHeaders)
	if !t.acquire(r.Context()) {
		t.writeShed(w)
		return
	}
	// Deferred because a stage that fails leaves the handler by panic.
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
	t.failAtStage(r, StageAfterExecution)
	t.writeAnswer(w, r, e)
}

// writeShed sends the response for a request that was not run, for lack of slots
// or because the target drains.
func (t *Target) writeShed(w http.ResponseWriter) {
	seconds := max(1, int(t.settings.RetryAfter/time.Second))
	w.Header().Set("Retry-After", strconv.Itoa(seconds))
	w.Header().Set(HeaderNotRun, "1")
	writeError(w, http.StatusServiceUnavailable, "no free slot")
}

// readBody reads the body and records its size and digest. If the body is
// incomplete, it ends the handler, so the request does not run.
func (t *Target) readBody(r *http.Request, e *Execution) {
	digest := xxhash.New()
	if half := r.ContentLength / 2; half > 0 {
		n, err := io.CopyN(digest, r.Body, half)
		e.BodyBytes += n
		if err != nil {
			dropConnection()
		}
	}
	t.failAtStage(r, StageMidBody)
	n, err := io.Copy(digest, r.Body)
	if err != nil {
		dropConnection()
	}
	e.BodyBytes += n
	e.BodyDigest = digest.Sum64()
}

// execute runs the request for its service time. It reports false if the request
// was cancelled, by a disconnect or by the deadline in its header.
func (t *Target) execute(r *http.Request, e *Execution) bool {
	d := t.beginExecution(e)
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	if limit, err := time.ParseDuration(r.Header.Get(HeaderTimeout)); err == nil {
		stop := t.clock.After(limit, func(snipetime.Instant) { cancel() })
		defer stop()
	}
	done := sleep(ctx, t.clock, d)
	t.finishExecution(e, !done)
	return done
}

// answerWire is the JSON document in the response body of a target. Padding
// follows it.
type answerWire struct {
	RequestID  string `json:"requestId"`
	Key        string `json:"key"`
	Target     string `json:"target"`
	Path       string `json:"path"`
	BodyBytes  int64  `json:"bodyBytes"`
	BodyDigest uint64 `json:"bodyDigest,string"`
}

// writeAnswer sends a response with the identifiers of the request, so that a
// caller can check that the response belongs to its request. It pads the body
// with spaces to AnswerBytes.
func (t *Target) writeAnswer(w http.ResponseWriter, r *http.Request, e *Execution) {
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
	// A write fails only if the client has disconnected, so the error is ignored.
	_, _ = w.Write(body[:half])
	if fails, silent := t.consumeFault(StageMidAnswer); fails {
		if flusher, ok := w.(http.Flusher); ok {
			flusher.Flush()
		}
		if silent {
			t.waitForDisconnect(r)
		}
		dropConnection()
	}
	_, _ = w.Write(body[half:])
}

// targetListener applies the connection limit and the connect cost, and wraps
// connections so that they can fail before a header is read.
type targetListener struct {
	net.Listener
	target    *Target
	openConns atomic.Int64
}

// Accept returns the next connection within the limit. It closes connections
// beyond the limit.
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
		refuse := limit > 0 && l.openConns.Load() >= int64(limit)
		if refuse {
			t.stats.Refused++
		}
		t.mu.Unlock()
		if refuse {
			_ = conn.Close()
			continue
		}
		l.openConns.Add(1)
		t.addCost(t.settings.ConnectCost)
		return &targetConn{Conn: conn, listener: l}, nil
	}
}

// targetConn is a connection that can fail before a request header is read.
type targetConn struct {
	net.Conn
	listener *targetListener
	// inRequest means that the server is processing a request of the connection.
	inRequest atomic.Bool
	closed    sync.Once
}

// Read reads from the connection. If a request starts that fails before it is
// read, Read drops its bytes, closes the connection and returns an error; a
// silent failure does so only once the client has closed the connection.
func (c *targetConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 || c.inRequest.Load() || isControl(p[:n]) {
		//nolint:wrapcheck // the server compares errors of connections
		return n, err
	}
	t := c.listener.target
	fails, silent := t.Faults().Down, false
	if !fails {
		fails, silent = t.consumeFault(StageBeforeRead)
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

// isControl reports whether bytes are the start of a control request. Faults do
// not apply to these, because they must be able to end faults.
func isControl(start []byte) bool {
	return bytes.HasPrefix(start, []byte("POST /standin/")) || bytes.HasPrefix(start, []byte("GET /standin/"))
}

// Close closes the connection and lowers the number of open ones once.
func (c *targetConn) Close() error {
	c.closed.Do(func() { c.listener.openConns.Add(-1) })
	//nolint:wrapcheck // the server compares errors of connections
	return c.Conn.Close()
}

// trackConnState records whether the server is processing a request of the
// connection.
func trackConnState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*targetConn); ok {
		c.inRequest.Store(state == http.StateActive)
	}
}
