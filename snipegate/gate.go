package snipegate

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/snipemoor/snipemoor/snipecaller"
	"github.com/snipemoor/snipemoor/snipeconn"
	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipeplacement"
	"github.com/snipemoor/snipemoor/sniperetry"
	"github.com/snipemoor/snipemoor/snipetable"
	"github.com/snipemoor/snipemoor/snipetime"
)

// Sender sends single requests to targets.
type Sender interface {
	Send(ctx context.Context, r *snipeconn.Request) (*snipeconn.Response, error)
}

// Chooser chooses targets.
type Chooser interface {
	Choose(now snipetime.Instant, v *snipefleet.View, q *snipeplacement.Query) (snipeplacement.Look, *snipeplacement.Refusal)
	Done(now snipetime.Instant, t *snipefleet.Target, r snipeplacement.Result)
}

// Fleet is what the gate needs of the registry.
type Fleet interface {
	View() *snipefleet.View
	Misaddressed(t *snipefleet.Target)
}

// Memory is a number of bytes that several parts share.
type Memory interface {
	// TryAcquire takes n bytes, or reports false if there are fewer.
	TryAcquire(n int64) bool
	// Release returns n bytes.
	Release(n int64)
}

// Clock tells the time.
type Clock interface {
	Now() snipetime.Instant
}

// Dependencies are the parts that a Gate uses. All are required.
type Dependencies struct {
	Dialect Dialect
	Tables  *snipetable.Holder
	Fleet   Fleet
	Chooser Chooser
	Sender  Sender
	Clock   Clock
	Metrics *Metrics
	Log     *zap.Logger
	// Memory is what the bodies of all requests share.
	Memory Memory
	// Budget returns the parameters of the retry budget of a service.
	Budget func() sniperetry.BudgetSettings
}

// Gate is the handler of the callers' requests.
type Gate struct {
	Dependencies
	// stopping is set once the front stops.
	stopping atomic.Pointer[Stop]

	mu      sync.Mutex
	budgets map[string]*sniperetry.Budget
}

// New returns a gate.
func New(d Dependencies) *Gate {
	return &Gate{Dependencies: d, budgets: make(map[string]*sniperetry.Budget)}
}

// Stop is the end of a front.
type Stop struct {
	// Accept is until when each request is still taken. After that only those are
	// whose deadline is before End, when the last requests are ended.
	Accept, End time.Time
}

// Stop makes the gate ask callers to close their connections, and refuse requests
// that it could not answer before its end.
func (g *Gate) Stop(s Stop) { g.stopping.Store(&s) }

// tooLate reports whether a request with a deadline comes too late to a front that
// stops.
func (g *Gate) tooLate(now, deadline time.Time) bool {
	s := g.stopping.Load()
	return s != nil && now.After(s.Accept) && deadline.After(s.End)
}

// ServeHTTP implements http.Handler.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived, begun := snipecaller.Take(r)
	defer snipecaller.End(r)
	if begun != nil {
		begun.ServeHTTP(w, r)
		return
	}
	if g.stopping.Load() != nil && !snipecaller.Behind(r) {
		w.Header().Set("Connection", "close")
	}
	q := &request{gate: g, w: w, r: r, started: arrived, call: g.Dialect.Call(r.Header)}
	q.waited = time.Since(q.started)
	defer q.releaseBody()
	q.serve()
	g.report(q)
}

func (g *Gate) report(q *request) {
	elapsed := time.Since(q.started)
	kind := "none"
	fields := []zap.Field{
		zap.String("request", q.call.ID), zap.String("outcome", string(q.outcome)), zap.Int("status", q.status),
		zap.Duration("took", elapsed), zap.Int("attempts", len(q.tried)), zap.Duration("wait", q.call.Wait),
	}
	if q.ahead {
		fields = append(fields, zap.Bool("ahead", true))
	}
	if q.waited > reportedWait {
		fields = append(fields, zap.Duration("waited", q.waited))
	}
	if q.route != nil {
		kind = q.route.Kind.String()
		fields = append(fields, zap.String("route", q.route.Name), zap.String("service", q.service),
			zap.Uint64("version", q.table.Version()), zap.String("object", q.call.Object))
	}
	if n := len(q.tried); n > 0 {
		last := q.tried[n-1]
		fields = append(fields, zap.String("target", last.ID), zap.Float64("load", q.look.Load), zap.Duration("loadAge", q.look.Age),
			zap.Bool("begun", q.begun), zap.Bool("reusedConnection", q.reused))
	}
	if q.status == http.StatusServiceUnavailable {
		fields = append(fields, zap.Duration("retryAfter", q.retryAfter))
	}
	if q.refusal != nil {
		fields = append(fields, zap.Array("looks", looks(q.refusal.Looks)))
	}
	if q.cause != nil {
		fields = append(fields, zap.Error(q.cause))
	}
	g.Log.Info("request", fields...)
	g.Metrics.ended(kind, q.outcome, elapsed)
}

// spendRetry takes one retry of a service from the budget.
func (g *Gate) spendRetry(service string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget(service).Spend(g.Clock.Now())
}

func (g *Gate) firstAttempt(service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget(service).FirstAttempt(g.Clock.Now())
}

// budget needs the lock.
func (g *Gate) budget(service string) *sniperetry.Budget {
	b := g.budgets[service]
	if b == nil {
		b = sniperetry.NewBudget(g.Budget(), g.Clock.Now())
		g.budgets[service] = b
	}
	return b
}

// request is one request of a caller on its way.
type request struct {
	gate *Gate
	w    http.ResponseWriter
	r    *http.Request
	// started is when the request arrived, and waited is how long it waited behind
	// others on its connection.
	started time.Time
	waited  time.Duration
	// ahead says that it is served before those in front of it are answered.
	ahead bool
	call  Call

	table   *snipetable.Table
	route   *snipetable.Route
	service string
	uri     string
	// spread replaces the object of a request without one.
	spread string
	body   []byte
	// reserved is the part of the memory for bodies that the request holds.
	reserved int64
	// deadline ends the request.
	deadline time.Time
	tried    []*snipefleet.Target
	// excluded are the targets that are not to be tried again.
	excluded []*snipefleet.Target
	begun    bool
	reused   bool
	// look is the last target as it was chosen, and refusal is why there was none.
	look    snipeplacement.Look
	refusal *snipeplacement.Refusal
	// comeBack is when a caller whose request was refused comes back.
	comeBack time.Duration
	// retryAfter is what the caller is told.
	retryAfter time.Duration

	outcome Outcome
	status  int
	cause   error
}

func (q *request) serve() {
	if !q.admit() {
		return
	}
	if !q.readBody() {
		return
	}
	q.service = q.route.Backend(rand.Float64())
	q.gate.firstAttempt(q.service)
	q.attempts()
}

// admit finds the route and the deadline.
func (q *request) admit() bool {
	q.table = q.gate.Tables.Current()
	if q.table == nil {
		q.refuse(OutcomeNoConfiguration, time.Second)
		return false
	}
	if q.call.ID == "" {
		q.refuse(OutcomeNoID, 0)
		return false
	}
	q.uri = requestURI(q.r)
	q.route = matchRoute(q.table, q.r)
	if q.route == nil {
		q.refuse(OutcomeNoRoute, 0)
		return false
	}
	wait := q.route.Timeout
	if q.call.Wait > 0 {
		wait = min(wait, q.call.Wait)
	}
	q.deadline = q.started.Add(wait)
	if !time.Now().Before(q.deadline) {
		q.refuse(OutcomeTimeout, 0)
		return false
	}
	if q.gate.tooLate(time.Now(), q.deadline) {
		q.refuse(OutcomeStopping, 0)
		return false
	}
	// An answer that is ready at the deadline is still delivered.
	q.set("write", http.NewResponseController(q.w).SetWriteDeadline, q.deadline.Add(answerGrace))
	return true
}

// reportedWait is the shortest wait behind other requests that is logged.
const reportedWait = time.Millisecond

// answerGrace is how long after the deadline a caller may take to read its answer.
const answerGrace = 5 * time.Second

// set sets a deadline of the caller's connection.
func (q *request) set(name string, set func(time.Time) error, at time.Time) {
	if err := set(at); err != nil {
		q.gate.Log.Warn("deadline of a caller's connection is not set", zap.String("request", q.call.ID),
			zap.String("deadline", name), zap.Error(err))
	}
}

// matchRoute returns the route of a request, or nil.
func matchRoute(table *snipetable.Table, r *http.Request) *snipetable.Route {
	path, _, _ := strings.Cut(requestURI(r), "?")
	return table.Match(hostName(r.Host), path)
}

// requestURI returns the path and query as the caller sent them. A caller may
// also send an absolute URI (RFC 9112, section 3.2.2).
func requestURI(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// hostName returns the host of a Host header in lower case, without the port.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// refuse answers for the front itself.
func (q *request) refuse(o Outcome, retryAfter time.Duration) {
	q.outcome = o
	q.retryAfter = max(retryAfter, minRetryAfter)
	q.status = refuse(q.w, o, q.begun, q.retryAfter)
}
