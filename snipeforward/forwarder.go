package snipeforward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/snipemoor/snipemoor/snipeonce"
	"github.com/snipemoor/snipemoor/sniperetry"
)

const (
	// readHeaderTimeout bounds the time for reading the headers of a request.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is how long a caller's connection may stay idle.
	idleTimeout = 2 * time.Minute
	// defaultWriteTimeout bounds the write of a response to a request without a
	// deadline, such as a look-up.
	defaultWriteTimeout = 10 * time.Second
	// refusalWriteTime is the time after the deadline of a request in which a
	// refusal can still be written.
	refusalWriteTime = time.Second
	// maxRequestHeaderBytes bounds the headers of a request before its service,
	// which has a limit of its own, is known.
	maxRequestHeaderBytes = 1 << 20
	// maxRecordedBodyBytes is the largest response body that is kept to answer
	// repeated requests.
	maxRecordedBodyBytes = 64 << 10
)

// Dependencies holds what a Forwarder needs from other packages.
type Dependencies struct {
	Clock    Clock
	Config   Configuration
	Planner  Planner
	Limits   Limits
	Slots    Slots
	Targets  Attempter
	Relays   Relays
	Records  Records
	Policies Policies
	Lookups  Lookups
	// Incarnation identifies this process in attempt identifiers.
	Incarnation string
	// Log receives panics of relayed requests; nil discards them.
	Log *zap.Logger
	// Region returns the region of this instance, or "" until it is known.
	Region func() string
}

// Forwarder serves the requests of callers and those that other instances relay.
// It is safe for concurrent use.
type Forwarder struct {
	deps         Dependencies
	metrics      *metrics
	log          *zap.Logger
	stopping     atomic.Bool
	inFlight     atomic.Int64
	attemptCount atomic.Uint64
	buffers      bufferPool
}

// New returns a Forwarder and registers its metrics. It panics if a metric is
// already registered.
func New(deps Dependencies, registry prometheus.Registerer) *Forwarder {
	log := deps.Log
	if log == nil {
		log = zap.NewNop()
	}
	return &Forwarder{deps: deps, metrics: newMetrics(registry), log: log}
}

// Server returns an HTTP server for callers that is not started. ready is called
// for /readyz and reports whether the instance accepts requests.
func (f *Forwarder) Server(ready func() bool) *http.Server {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.HTTPErrorHandler = f.handleRouteError
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", func(c echo.Context) error {
		if !ready() {
			return c.String(http.StatusServiceUnavailable, "not ready\n")
		}
		return c.String(http.StatusOK, "ready\n")
	})
	e.GET("/v1/entries", f.serveLookup)
	handler := func(w http.ResponseWriter, r *http.Request) {
		// Replace the write deadline of an earlier request on the connection.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(defaultWriteTimeout))
		// The router of echo rejects methods that it does not know.
		if strings.HasPrefix(r.URL.Path, "/call/") {
			f.serveCall(w, r)
			return
		}
		e.ServeHTTP(w, r)
	}
	return &http.Server{
		Handler: http.HandlerFunc(handler), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxRequestHeaderBytes,
	}
}

// StopAccepting makes the Forwarder refuse new requests and relayed attempts as
// not-run with reason stopping. Requests of class once that come from callers
// or are relayed to their issuer are left to Dependencies.Records. Requests in
// flight continue.
func (f *Forwarder) StopAccepting() { f.stopping.Store(true) }

// InFlight returns the number of requests in flight, including relayed ones.
func (f *Forwarder) InFlight() int { return int(f.inFlight.Load()) }

// handleRouteError answers a request that matches no route or whose route failed.
func (f *Forwarder) handleRouteError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	reason := reasonUnknownService
	var httpError *echo.HTTPError
	if !errors.As(err, &httpError) {
		reason = reasonTargetFailed
	}
	f.setCommonHeaders(c.Response(), "")
	newHTTPSink(c.Response(), c.Request().Method).Refuse(errorReply{outcome: outcomeNotRun, reason: reason, detail: "no such path"})
}

// setCommonHeaders sets the headers that every response has; id is empty for a
// response without a request identifier.
func (f *Forwarder) setCommonHeaders(w http.ResponseWriter, id string) {
	w.Header().Set(headerGeneration, strconv.FormatUint(f.deps.Config.Generation(), 10))
	if id != "" {
		w.Header().Set(headerRequestID, id)
	}
}

// serveCall serves one request of a caller.
func (f *Forwarder) serveCall(w http.ResponseWriter, r *http.Request) {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	s := newHTTPSink(w, r.Method)
	started := f.deps.Clock.Now()
	q, refused := f.accept(w, r, s.control)
	if refused != nil {
		s.Refuse(*refused)
		f.metrics.countRefusal(q.service, *refused)
		return
	}
	if !q.body.fullyBuffered {
		defer endUpload(w, q.body, s.control)
	}
	observed := &meteredSink{sink: s, metrics: f.metrics, service: q.service, clock: f.deps.Clock, started: started}
	f.serve(r.Context(), q, observed)
	if s.aborted {
		s.closeTruncated(r)
		panic(http.ErrAbortHandler)
	}
}

// endUpload ends a request body that was streamed. If part of the body is still
// unread, the connection is closed after the response: in full duplex, net/http
// would read the rest too late and then panic on the next request, or parse the
// rest as that request.
func endUpload(w http.ResponseWriter, b *body, control *http.ResponseController) {
	if b.detach(func() { _ = control.SetReadDeadline(time.Unix(1, 0)) }) {
		return
	}
	// Exceeding the limit of http.MaxBytesReader is the documented way to make
	// net/http close a connection after a response whose headers are already
	// sent.
	_, _ = http.MaxBytesReader(w, io.NopCloser(strings.NewReader("x")), 0).Read(make([]byte, 1))
}

// serve processes an accepted request until its response is written.
func (f *Forwarder) serve(ctx context.Context, q *request, s sink) {
	if q.class == sniperetry.Once {
		f.serveOnce(ctx, q, s)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, f.remaining(q))
	defer cancel()
	f.runAttempts(ctx, q, s)
}

// remaining returns the time until the deadline of a request; it can be negative.
func (f *Forwarder) remaining(q *request) time.Duration { return q.deadline.Sub(f.deps.Clock.Now()) }

// accept parses and checks a request. The returned request is never nil; with a
// refusal it holds at least the service, if that was found, for the metrics.
func (f *Forwarder) accept(w http.ResponseWriter, r *http.Request, control *http.ResponseController) (*request, *errorReply) {
	q := &request{method: r.Method, header: r.Header, idempotencyKey: r.Header.Get(headerIdempotencyKey), currentTarget: new(atomic.Pointer[string])}
	given := r.Header.Get(headerRequestID)
	f.setCommonHeaders(w, "")
	if given != "" {
		id, err := snipeonce.ParseRequestID(given)
		if err != nil {
			return q, &errorReply{outcome: outcomeNotRun, reason: reasonBadRequestID, detail: err.Error()}
		}
		q.id, q.idReceived = id, true
	} else {
		q.id = f.deps.Records.Issue()
	}
	f.setCommonHeaders(w, q.id.String())
	refused := f.checkRequest(q, r, control)
	if refused == nil {
		return q, nil
	}
	return q, f.revokeRefused(q, *refused)
}

// checkRequest finds the service of a request, checks the limits and sets the
// fields that depend on the service.
func (f *Forwarder) checkRequest(q *request, r *http.Request, control *http.ResponseController) *errorReply {
	team, name, uri, ok := splitURI(r.RequestURI)
	if !ok {
		return &errorReply{outcome: outcomeNotRun, reason: reasonUnknownService, detail: "the path names no team and service"}
	}
	q.uri = uri
	service, refusal := f.deps.Config.Service(team, name)
	if refusal != nil {
		e := refusal.errorReply()
		e.detail = "service " + team + "/" + name
		return &e
	}
	q.service = service
	q.class = service.Class
	if r.Method == http.MethodGet || r.Method == http.MethodHead {
		q.class = sniperetry.Safe
	}
	budget, err := parseBudget(r.Header.Get(headerTimeout), service)
	if err != nil {
		return &errorReply{outcome: outcomeNotRun, reason: reasonBadTimeout, detail: err.Error()}
	}
	q.deadline = f.deps.Clock.Now().Add(budget)
	if f.stopping.Load() && q.class != sniperetry.Once {
		return &errorReply{outcome: outcomeNotRun, reason: reasonStopping, retryAfter: time.Second}
	}
	// A caller that neither sends its body nor reads the response must not keep
	// a slot. Only response writers of tests support no deadlines.
	_ = control.SetReadDeadline(time.Now().Add(budget))
	_ = control.SetWriteDeadline(time.Now().Add(budget + refusalWriteTime))
	if headerBytes(r.Header)+int64(len(uri)) > service.MaxHeader {
		e := notRun(reasonHeaderTooLarge)
		return &e
	}
	if q.body, err = readBody(r.Body, r.ContentLength, service.MaxBody); err != nil {
		e := notRun(bodyErrorReason(err))
		e.detail = err.Error()
		return &e
	}
	if !q.body.fullyBuffered {
		// A target can respond before it has read the whole body. Without full
		// duplex, net/http discards the rest when the response begins.
		_ = control.EnableFullDuplex()
	}
	if client, err := netip.ParseAddrPort(r.RemoteAddr); err == nil {
		q.client = client.Addr()
	}
	q.home = f.deps.Config.Home(team, name, q.client)
	return nil
}

// revokeRefused revokes a refused request whose identifier the caller chose. An
// earlier request with the same identifier can have run; unless the issuer
// excludes that, the outcome becomes unknown.
func (f *Forwarder) revokeRefused(q *request, e errorReply) *errorReply {
	if !q.idReceived || q.method == http.MethodGet || q.method == http.MethodHead {
		return &e
	}
	if q.service.Name != "" && q.class != sniperetry.Once {
		return &e
	}
	if f.deps.Records.Revoke(q.id).State != snipeonce.NeverStarted {
		e.outcome = outcomeUnknown
	}
	return &e
}

// splitURI splits a request target /call/TEAM/SERVICE/... into team, service and
// the URI for the target, without decoding escapes.
func splitURI(target string) (team, service, uri string, ok bool) {
	if _, rest, absolute := strings.Cut(target, "://"); absolute && !strings.HasPrefix(target, "/") {
		// The absolute form of RFC 9112, section 3.2.2, names the host too.
		_, rest, _ = strings.Cut(rest, "/")
		target = "/" + rest
	}
	rest, ok := strings.CutPrefix(target, "/call/")
	team, rest, found := strings.Cut(rest, "/")
	stop := strings.IndexAny(rest, "/?")
	if stop < 0 {
		stop = len(rest)
	}
	service, uri = rest[:stop], rest[stop:]
	if !strings.HasPrefix(uri, "/") {
		uri = "/" + uri
	}
	return team, service, uri, ok && found && team != "" && service != ""
}

var errBadTimeout = errors.New(headerTimeout + " is not a positive Go duration such as 2s")

// parseBudget returns the time budget of a request from the value of the header
// Snipemoor-Timeout, which may be empty. It is at most s.MaxTimeout.
func parseBudget(header string, s Service) (time.Duration, error) {
	if header == "" {
		return s.DefaultTimeout, nil
	}
	d, err := time.ParseDuration(header)
	if err != nil || d <= 0 {
		return 0, errBadTimeout
	}
	return min(d, s.MaxTimeout), nil
}
