package snipegate

import (
	"context"
	"net/http"
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
