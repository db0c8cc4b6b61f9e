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
	// readHeaderTimeout bounds the time in which a caller sends its headers.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout ends idle connections of callers.
	idleTimeout = 2 * time.Minute
	// plainTimeout bounds the write of a response that is not forwarded.
	plainTimeout = 10 * time.Second
	// refusalTime is left after the deadline of a request to write a refusal.
	refusalTime = time.Second
	// maxServerHeader bounds headers before the limit of the service is known.
	maxServerHeader = 1 << 20
	// keptAnswerBytes is the largest response that a record keeps.
	keptAnswerBytes = 64 << 10
)

// Dependencies are the parts that a Forwarder decides with.
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
	// Incarnation identifies this process in the identifiers of attempts.
	Incarnation string
	// Log receives panics of relayed requests; nil discards them.
	Log *zap.Logger
	// Region is the region of this instance; "" until it is known.
	Region func() string
}

// Forwarder serves callers and relayed requests.
type Forwarder struct {
	deps     Dependencies
	metrics  *metrics
	log      *zap.Logger
	stopping atomic.Bool
	inFlight atomic.Int64
	attempts atomic.Uint64
	buffers  bufferPool
}

// New returns a forwarder and registers its metrics. It panics if a metric is
// registered already.
func New(deps Dependencies, registry prometheus.Registerer) *Forwarder {
	log := deps.Log
	if log == nil {
		log = zap.NewNop()
	}
	return &Forwarder{deps: deps, metrics: newMetrics(registry), log: log}
}

// Server returns an HTTP server for callers. ready reports whether the instance
// accepts calls.
func (f *Forwarder) Server(ready func() bool) *http.Server {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.HTTPErrorHandler = f.routeError
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", func(c echo.Context) error {
		if !ready() {
			return c.String(http.StatusServiceUnavailable, "not ready\n")
		}
		return c.String(http.StatusOK, "ready\n")
	})
	e.GET("/v1/entries", f.entries)
	handler := func(w http.ResponseWriter, r *http.Request) {
		// The deadline of an earlier request on the connection must not stay.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(plainTimeout))
		// The router of echo accepts only the methods that it knows.
		if strings.HasPrefix(r.URL.Path, "/call/") {
			f.call(w, r)
			return
		}
		e.ServeHTTP(w, r)
	}
	return &http.Server{
		Handler: http.HandlerFunc(handler), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxServerHeader,
	}
}

// Refuse makes new requests end as not-run with reason stopping. Requests in
// flight go on.
func (f *Forwarder) Refuse() { f.stopping.Store(true) }

// InFlight returns the number of requests that have not ended.
func (f *Forwarder) InFlight() int { return int(f.inFlight.Load()) }

// routeError answers requests that no route takes.
func (f *Forwarder) routeError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	reason := reasonUnknownService
	var httpError *echo.HTTPError
	if !errors.As(err, &httpError) {
		reason = reasonTargetFailed
	}
	f.commonHeaders(c.Response(), "")
	newHTTPSink(c.Response(), c.Request().Method).Refuse(end{outcome: outcomeNotRun, reason: reason, detail: "no such path"})
}

func (f *Forwarder) commonHeaders(w http.ResponseWriter, id string) {
	w.Header().Set(headerGeneration, strconv.FormatUint(f.deps.Config.Generation(), 10))
	if id != "" {
		w.Header().Set(headerRequestID, id)
	}
}

// call serves one request of a caller.
func (f *Forwarder) call(w http.ResponseWriter, r *http.Request) {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	s := newHTTPSink(w, r.Method)
	started := f.deps.Clock.Now()
	q, refused := f.accept(w, r, s.control)
	if refused != nil {
		s.Refuse(*refused)
		f.metrics.ended(q.service, *refused)
		return
	}
	if !q.body.whole {
		defer endUpload(w, q.body, s.control)
	}
	observed := &observer{sink: s, metrics: f.metrics, service: q.service, clock: f.deps.Clock, started: started}
	f.serve(r.Context(), q, observed)
	if s.aborted {
		panic(http.ErrAbortHandler)
	}
}

// endUpload ends a body that was sent while it arrived. A connection with a rest
// of the body is closed after the response: in full duplex net/http would read
// the rest too late and panic on the next request, or take it for that request.
func endUpload(w http.ResponseWriter, b *body, control *http.ResponseController) {
	if b.detach(func() { _ = control.SetReadDeadline(time.Unix(1, 0)) }) {
		return
	}
	// A body above its limit is the documented way to have net/http close a
	// connection after a response whose headers are already sent.
	_, _ = http.MaxBytesReader(w, io.NopCloser(strings.NewReader("x")), 0).Read(make([]byte, 1))
}

// serve takes an accepted request to its end.
func (f *Forwarder) serve(ctx context.Context, q *request, s sink) {
	if q.class == sniperetry.Once {
		f.serveOnce(ctx, q, s)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, f.left(q))
	defer cancel()
	f.run(ctx, q, s)
}

// left returns the time left to a request.
func (f *Forwarder) left(q *request) time.Duration { return q.deadline.Sub(f.deps.Clock.Now()) }

// accept checks a request. With a refusal the request has at least a service
// name for the counters.
func (f *Forwarder) accept(w http.ResponseWriter, r *http.Request, control *http.ResponseController) (*request, *end) {
	q := &request{method: r.Method, header: r.Header, key: r.Header.Get(headerKey), running: new(atomic.Pointer[string])}
	given := r.Header.Get(headerRequestID)
	f.commonHeaders(w, "")
	if given != "" {
		id, err := snipeonce.ParseRequestID(given)
		if err != nil {
			return q, &end{outcome: outcomeNotRun, reason: reasonBadRequestID, detail: err.Error()}
		}
		q.id, q.named = id, true
	} else {
		q.id = f.deps.Records.Issue()
	}
	f.commonHeaders(w, q.id.String())
	refused := f.check(q, r, control)
	if refused == nil {
		return q, nil
	}
	return q, f.finalRefusal(q, *refused)
}

// check finds the service and checks the limits of a request.
func (f *Forwarder) check(q *request, r *http.Request, control *http.ResponseController) *end {
	team, name, uri, ok := splitURI(r.RequestURI)
	if !ok {
		return &end{outcome: outcomeNotRun, reason: reasonUnknownService, detail: "the path names no team and service"}
	}
	q.uri = uri
	service, refusal := f.deps.Config.Service(team, name)
	if refusal != nil {
		e := refusal.end()
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
		return &end{outcome: outcomeNotRun, reason: reasonBadTimeout, detail: err.Error()}
	}
	q.deadline = f.deps.Clock.Now().Add(budget)
	if f.stopping.Load() && q.class != sniperetry.Once {
		return &end{outcome: outcomeNotRun, reason: reasonStopping, retryAfter: time.Second}
	}
	// A caller that neither sends its body nor takes the response must not keep
	// a slot. Writers that have no deadlines are those of tests.
	_ = control.SetReadDeadline(time.Now().Add(budget))
	_ = control.SetWriteDeadline(time.Now().Add(budget + refusalTime))
	if headerBytes(r.Header)+int64(len(uri)) > service.MaxHeader {
		e := notRun(reasonHeaderTooLarge)
		return &e
	}
	if q.body, err = readBody(r.Body, r.ContentLength, service.MaxBody); err != nil {
		e := notRun(bodyFault(err))
		e.detail = err.Error()
		return &e
	}
	if !q.body.whole {
		// A target can answer before it has read the whole body. Otherwise
		// net/http discards the rest when the response begins.
		_ = control.EnableFullDuplex()
	}
	if client, err := netip.ParseAddrPort(r.RemoteAddr); err == nil {
		q.client = client.Addr()
	}
	q.home = f.deps.Config.Home(team, name, q.client)
	return nil
}

// finalRefusal makes a refusal of a request with a caller's identifier safe to
// report: an earlier try with the same identifier can have run.
func (f *Forwarder) finalRefusal(q *request, e end) *end {
	if !q.named || q.method == http.MethodGet || q.method == http.MethodHead {
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

// splitURI takes the request target apart without decoding it.
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
