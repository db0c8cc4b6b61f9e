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
	"github.com/snipemoor/snipemoor/snipequota"
	"github.com/snipemoor/snipemoor/sniperetry"
	"github.com/snipemoor/snipemoor/snipetable"
	"github.com/snipemoor/snipemoor/snipetime"
)

// Limits holds the rate limits that targets state, as snipequota.Table does.
type Limits interface {
	// Record records a statement. It returns the one at the last change of the limit, and
	// whether the limit has changed since.
	Record(t *snipefleet.Target, s snipequota.Statement) (before snipequota.Statement, changed bool)
	// RecordUnreadable records a statement that cannot be read, and reports whether the
	// one before could be.
	RecordUnreadable(t *snipefleet.Target) (first bool)
	// Current returns the newest statement of a target, and the share of its limit that
	// this front last used.
	Current(t *snipefleet.Target) (s snipequota.Statement, share float64)
}

// Sender sends single requests to targets.
type Sender interface {
	// Send sends r once. Its errors are *snipeconn.Error; any other error is treated
	// as a connection that was lost after the target began the request.
	Send(ctx context.Context, r *snipeconn.Request) (*snipeconn.Response, error)
}

// Chooser chooses targets, as snipeplacement.Chooser does.
type Chooser interface {
	Choose(now snipetime.Instant, v *snipefleet.View, q *snipeplacement.Query) (snipeplacement.Candidate, *snipeplacement.Refusal)
	RecordResult(now snipetime.Instant, t *snipefleet.Target, r snipeplacement.Result)
	// Recheck returns why a request for which t was chosen must not be sent to it any more,
	// or an empty reason.
	Recheck(now snipetime.Instant, v *snipefleet.View, t *snipefleet.Target) snipeplacement.Reason
	// RecordRest records how long t wants no requests, and reports whether it did not rest
	// before. RecordUnreadableRest reports whether it is the first
	// statement that cannot be read.
	RecordRest(now snipetime.Instant, t *snipefleet.Target, d time.Duration) (began bool)
	RecordUnreadableRest(t *snipefleet.Target) (first bool)
	// RecordUnreadableSlowness reports whether it is the first statement of t about its
	// slowness that cannot be read.
	RecordUnreadableSlowness(t *snipefleet.Target) (first bool)
	// RestRemaining returns when a caller may retry because all targets rest, or zero.
	RestRemaining(now snipetime.Instant, v *snipefleet.View, q *snipeplacement.Query) time.Duration
}

// Fleet is the part of snipefleet.Registry that the gate uses.
type Fleet interface {
	// View returns the current snapshot of targets and fronts.
	View() *snipefleet.View
	// MarkMisaddressed reports that the address of t belongs to another target, as a
	// connection shows that was opened after t was first reported.
	MarkMisaddressed(t *snipefleet.Target)
	// MarkLeaving reports that t states that it leaves, and returns whether that was not
	// known.
	MarkLeaving(t *snipefleet.Target) (first bool)
}

// Memory is a memory budget that several components share.
type Memory interface {
	// TryAcquire reserves n bytes, or reports false if fewer are available.
	TryAcquire(n int64) bool
	// Release returns n reserved bytes.
	Release(n int64)
}

// Quotas decides whether requests are within the quotas of their tenants.
type Quotas interface {
	// Admit takes a token of the quota of t for a request, or returns after how long the
	// caller should retry. now can be slightly earlier than in an earlier call.
	Admit(now snipetime.Instant, t *snipetable.Tenant) (retryAfter time.Duration, admitted bool)
	// Return gives back the token of a request that has not run and never will.
	Return(now snipetime.Instant, t *snipetable.Tenant)
}

// Revocation tells whether the front knows which keys were revoked lately.
type Revocation interface {
	// Recent reports whether a table that is read after the call contains all
	// revocations that must be in force at now.
	Recent(now snipetime.Instant) bool
}

// Clock provides the current time.
type Clock interface {
	Now() snipetime.Instant
}

// Dependencies are the components that a Gate uses. All are required, except for Quotas
// and Revocation.
type Dependencies struct {
	HeaderCodec HeaderCodec
	Tables      *snipetable.Holder
	Fleet       Fleet
	Chooser     Chooser
	Limits      Limits
	Sender      Sender
	Clock       Clock
	Metrics     *Metrics
	Log         *zap.Logger
	// BodyMemory is the budget for the bodies of all requests.
	BodyMemory Memory
	// ResponseMemory is the budget for the responses to pipelined requests. It should
	// leave a part of BodyMemory free, since callers decide how long it is held.
	ResponseMemory Memory
	// RetryBudget returns the settings of a retry budget. It is called before each use
	// of one, since the part of this front changes with the number of fronts.
	RetryBudget func() sniperetry.BudgetSettings
	// Quotas enforces the quotas of tenants; nil enforces none.
	Quotas Quotas
	// Revocation bounds the age of the configuration by which keys are checked; nil sets
	// no bound.
	Revocation Revocation
}

// Gate is the http.Handler of the callers' requests. It is safe for concurrent use.
type Gate struct {
	Dependencies
	// stopping is nil until BeginStop is called.
	stopping atomic.Pointer[StopSchedule]
	refusals *refusalMemory

	mu      sync.Mutex
	budgets map[string]*sniperetry.Budget
}

// New returns a gate that uses the given components.
func New(d Dependencies) *Gate {
	return &Gate{Dependencies: d, refusals: newRefusalMemory(), budgets: make(map[string]*sniperetry.Budget)}
}

// StopSchedule is the schedule of a graceful stop.
type StopSchedule struct {
	// AcceptUntil is the time until which every request is accepted. Later
	// requests are accepted only if their deadline is not after TerminateAt,
	// the time at which requests still in flight are terminated.
	AcceptUntil, TerminateAt time.Time
}

// BeginStop begins a graceful stop: responses ask callers to close their
// connections, and requests whose deadline the schedule excludes are refused.
func (g *Gate) BeginStop(s StopSchedule) { g.stopping.Store(&s) }

// rejectsWhileStopping reports whether a stopping front refuses a request with the
// given deadline, because it might not be complete when the front ends.
func (g *Gate) rejectsWhileStopping(now, deadline time.Time) bool {
	s := g.stopping.Load()
	return s != nil && now.After(s.AcceptUntil) && deadline.After(s.TerminateAt)
}

// ServeHTTP implements http.Handler.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived, deliver := snipecaller.BeginServing(r)
	defer snipecaller.EndServing(r)
	if deliver != nil {
		deliver.ServeHTTP(w, r)
		return
	}
	if g.stopping.Load() != nil && !snipecaller.HasEarlyResponses(r) {
		w.Header().Set("Connection", "close")
	}
	q := &request{gate: g, w: w, r: r, arrived: arrived, call: g.HeaderCodec.Call(r.Header)}
	q.pipelineWait = time.Since(q.arrived)
	defer q.releaseBodyMemory()
	q.serve()
	g.recordRequest(q)
}

// recordRequest logs and counts a request that has ended.
func (g *Gate) recordRequest(q *request) {
	elapsed := time.Since(q.arrived)
	kind := "none"
	fields := []zap.Field{
		zap.String("request", q.call.ID), zap.String("outcome", string(q.outcome)), zap.Int("status", q.status),
		zap.Duration("took", elapsed), zap.Int("attempts", len(q.tried)), zap.Duration("wait", q.call.Timeout),
	}
	if q.startedEarly {
		fields = append(fields, zap.Bool("ahead", true))
	}
	if q.pipelineWait > minLoggedWait {
		fields = append(fields, zap.Duration("waited", q.pipelineWait))
	}
	if q.route != nil {
		kind = q.route.Kind.String()
		fields = append(fields, zap.String("route", q.route.Name), zap.String("service", q.service),
			zap.Uint64("version", q.table.Version()), zap.String("object", q.call.Object))
	}
	if n := len(q.tried); n > 0 {
		last := q.tried[n-1]
		fields = append(fields, zap.String("target", last.ID), zap.Float64("load", q.chosen.Load), zap.Duration("loadAge", q.chosen.LoadAge),
			zap.Bool("begun", q.attempts.promise() == nil), zap.Bool("reusedConnection", q.reused))
		if s, share := g.Limits.Current(last); s.Limited {
			fields = append(fields, zap.Float64("limit", s.PerSecond), zap.Duration("limitAge", g.Clock.Now().Sub(s.At)), zap.Float64("share", share))
		}
	}
	if q.tenant != nil {
		fields = append(fields, zap.String("tenant", q.tenant.Name))
	}
	if statesRetryAfter(q.status) {
		fields = append(fields, zap.Duration("retryAfter", q.retryAfter))
	}
	if impliesNotRun(q.status) && q.route != nil {
		fields = append(fields, zap.String("kind", kind),
			zap.Array("notRun", q.attempts), zap.Int("offered", len(q.attempts)), zap.String("caller", q.r.RemoteAddr))
	}
	if q.refusedBefore > 0 {
		fields = append(fields, zap.Int("refusedBefore", q.refusedBefore))
	}
	if q.refusal != nil {
		fields = append(fields, zap.Array("looks", loggedCandidates(q.refusal.Candidates)))
	}
	if q.cause != nil {
		fields = append(fields, zap.Error(q.cause))
	}
	g.Log.Info("request", fields...)
	if impliesNotRun(q.status) {
		g.Metrics.countPromise(q.attempts.promise())
	}
	g.Metrics.observe(kind, q.outcome, elapsed)
}

// spendRetry charges one retry to the budget of a service, and reports whether the
// budget allowed it.
func (g *Gate) spendRetry(service string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget(service).Spend(g.Clock.Now())
}

// recordFirstAttempt counts a first attempt, which adds to the retry budget of a
// service.
func (g *Gate) recordFirstAttempt(service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget(service).FirstAttempt(g.Clock.Now())
}

// budget returns the retry budget of a service, and creates it if there is none.
// g.mu must be held.
func (g *Gate) budget(service string) *sniperetry.Budget {
	b, now := g.budgets[service], g.Clock.Now()
	if b == nil {
		b = sniperetry.NewBudget(g.RetryBudget(), now)
		g.budgets[service] = b
		return b
	}
	b.Configure(g.RetryBudget(), now)
	return b
}

// request is the state of one request of a caller while it is handled.
type request struct {
	gate *Gate
	w    http.ResponseWriter
	r    *http.Request
	// arrived is when the request arrived, and pipelineWait is how long it waited for
	// the responses to earlier requests on its connection.
	arrived      time.Time
	pipelineWait time.Duration
	// startedEarly is set if the request was sent before the responses to earlier
	// requests on its connection were delivered.
	startedEarly bool
	call         RequestHeaders

	// checkedAt is when table was read, or 0 if nothing depends on it. recent is set if
	// table contains all revocations that must be in force at that time.
	checkedAt snipetime.Instant
	recent    bool
	table     *snipetable.Table
	route     *snipetable.Route
	// tenant is the tenant of the key, or nil for a request that needs none.
	tenant *snipetable.Tenant
	// charged is the tenant of whose quota the request holds a token, or nil.
	charged *snipetable.Tenant
	service string
	uri     string
	// spreadKey is the random affinity key of a request without an object.
	spreadKey string
	body      []byte
	// reservedBytes is the body memory that the request has reserved.
	reservedBytes int64
	// deadline is the time at which attempts end and no retry begins.
	deadline time.Time
	// tried are the targets of all attempts, in order.
	tried []*snipefleet.Target
	// excluded are the targets that are not chosen again, nor others at their addresses.
	excluded []*snipefleet.Target
	// refusedBefore is the number of targets that refused an earlier request with the same
	// identifier.
	refusedBefore int
	// reused is set if the last attempt used a kept connection.
	reused bool
	// chosen is the target of the last attempt with its load when it was chosen;
	// refusal is set if no target was available.
	chosen  snipeplacement.Candidate
	refusal *snipeplacement.Refusal
	// attempts records all attempts, including those that were not sent.
	attempts attemptRecord
	// retryDelay is the delay before a retry by the caller that the last refusal of a
	// target implies; zero means none.
	retryDelay time.Duration
	// retryAfter is the delay in the Retry-After header.
	retryAfter time.Duration

	outcome Outcome
	status  int
	cause   error
}

// serve handles the request from admission to the response.
func (q *request) serve() {
	if !q.admit() {
		return
	}
	if !q.readBody() {
		return
	}
	if revoked := q.recheckKey(); revoked != "" {
		q.refuse(revoked, disabledRetryDelay)
		return
	}
	q.service = q.route.PickService(rand.Float64())
	q.gate.recordFirstAttempt(q.service)
	q.runAttempts()
}

// admit determines the route, the tenant and the deadline. It refuses requests that cannot
// be routed, are not allowed or have no time left, and then returns false.
func (q *request) admit() bool {
	if q.table == nil {
		q.checkedAt, q.recent, q.table = q.gate.configuration()
	}
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
	if !q.authenticate() {
		return false
	}
	wait := q.route.Timeout
	if q.call.Timeout > 0 {
		wait = min(wait, q.call.Timeout)
	}
	q.deadline = q.arrived.Add(wait)
	if !time.Now().Before(q.deadline) {
		q.refuse(OutcomeTimeout, 0)
		return false
	}
	if q.gate.rejectsWhileStopping(time.Now(), q.deadline) {
		q.refuse(OutcomeStopping, 0)
		return false
	}
	if !q.chargeQuota() {
		return false
	}
	// A response that is ready at the deadline can still be written.
	q.setConnDeadline("write", http.NewResponseController(q.w).SetWriteDeadline, q.deadline.Add(writeGrace))
	return true
}

// minLoggedWait is the pipelineWait above which the wait is logged.
const minLoggedWait = time.Millisecond

// writeGrace is how long after the deadline of a request its response may still be
// written to the caller.
const writeGrace = 5 * time.Second

// setConnDeadline calls set, which sets the read or the write deadline of the
// caller's connection, and logs an error under the given name.
func (q *request) setConnDeadline(name string, set func(time.Time) error, at time.Time) {
	if err := set(at); err != nil {
		q.gate.Log.Warn("deadline of a caller's connection is not set", zap.String("request", q.call.ID),
			zap.String("deadline", name), zap.Error(err))
	}
}

// matchRoute returns the route of a request, or nil if none matches.
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

// refuse writes a response of the front itself, with retryAfter raised to
// minRetryAfter.
func (q *request) refuse(o Outcome, retryAfter time.Duration) {
	q.outcome = o
	q.retryAfter = max(retryAfter, minRetryAfter)
	if q.call.ID != "" {
		// The caller can tell by it to which of its requests the refusal belongs.
		q.w.Header().Set(q.gate.HeaderCodec.IDHeader(), q.call.ID)
	}
	p := q.attempts.promise()
	if p != nil {
		q.returnToken()
	}
	q.status = writeRefusal(q.w, o, p, q.retryAfter)
}
