package snipeplacement

import (
	"slices"
	"sync"
	"time"

	"github.com/snipemoor/snipemoor/snipefeed"
	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipequota"
	"github.com/snipemoor/snipemoor/snipetable"
	"github.com/snipemoor/snipemoor/snipetime"
)

// Reason is the reason of a refusal in logs and metrics.
type Reason string

// Reasons of refusals.
const (
	// ReasonNoTarget means that no usable target is known.
	ReasonNoTarget Reason = "noTarget"
	// ReasonFull means that a target of the object is at its concurrency limit, and
	// no other is available.
	ReasonFull Reason = "targetsFull"
	// ReasonCold means that the last remaining target is cold and this front may not
	// send to it now.
	ReasonCold Reason = "targetsCold"
	// ReasonLimited means that this front has used up its part of the rate limit of the
	// last remaining target.
	ReasonLimited Reason = "targetsLimited"
	// ReasonResting means that the last remaining target wants no requests from this front,
	// or that this front returns to it slowly after such a time.
	ReasonResting Reason = "targetsResting"
	// ReasonLeft means that the target that was chosen is no longer in use.
	ReasonLeft Reason = "targetLeft"
	// ReasonSuspect means that the last remaining target is excluded after failures.
	ReasonSuspect Reason = "targetsSuspect"
)

// Refusal is the refusal of a request.
type Refusal struct {
	// Reason is ReasonFull if any target was full, ReasonResting if all targets rest, and
	// otherwise the reason at the last target that does not rest.
	Reason Reason
	// RetryAfter is the delay after which the caller should retry.
	RetryAfter time.Duration
	// Candidates are the first targets that were evaluated, at most four.
	Candidates []Candidate
}

// Candidate is a target that was evaluated for a request, with its load at that
// time.
type Candidate struct {
	Target *snipefleet.Target
	// Load is the estimated number of requests that run or wait at the target.
	// LoadAge is the time since the target last reported its load.
	Load    float64
	LoadAge time.Duration
	// Slowness is how long work is estimated to take at the target, as a factor of the
	// usual time.
	Slowness float64
	// Limit is the rate limit that the target states, and the share of this front.
	Limit snipequota.Admission
	// SkipReason is why the target was not chosen, or empty if it was.
	SkipReason Reason
}

// Query describes a request for which a target is chosen.
type Query struct {
	Service string
	// Info is the configuration of the service, or nil if there is none.
	Info  *snipetable.Service
	Route *snipetable.Route
	// Tenant is the tenant of the request, or nil if it has none.
	Tenant *snipetable.Tenant
	// Object is the affinity key.
	Object string
	// Excluded are the targets that are not chosen, nor others at their addresses,
	// because the request was sent there before.
	Excluded []*snipefleet.Target
}

// allowsRegion reports whether targets in a region may serve the request.
func (q *Query) allowsRegion(region string) bool {
	return q.Route.AllowsRegion(region) && (q.Tenant == nil || q.Tenant.AllowsRegion(region))
}

// excludes reports whether t is not chosen. It compares no pointers, because a target that
// is reported anew is another *snipefleet.Target.
func (q *Query) excludes(t *snipefleet.Target) bool {
	return slices.ContainsFunc(q.Excluded, func(x *snipefleet.Target) bool { return x.ID == t.ID || x.Address == t.Address })
}

// Load is the load that a target reports in a response: the numbers of running and
// of waiting requests, and of its slots.
type Load struct {
	Running, Waiting, Slots int
	// Slowness is how long work takes at the target at that moment, as a factor of the
	// usual time, or 0 if it is unknown.
	Slowness float64
}

// Result is the result of an attempt at a target.
type Result struct {
	// Latency is the duration of the attempt.
	Latency time.Duration
	// Load is the load that the response reports, or nil.
	Load *Load
	// Completed is true for a complete response. It ends a sequence of failures.
	Completed bool
	// Unreachable is true if no connection could be opened. It excludes the target at
	// once.
	Unreachable bool
	// Failed is true if the connection broke or the response was late, malformed or
	// incomplete. It counts as one failure.
	Failed bool
}

// Limits decides whether this front may send requests to the targets that state rate
// limits, as snipequota.Table does.
type Limits interface {
	// Check decides whether a request may be sent, and Take counts one that is sent.
	Check(now snipetime.Instant, t *snipefleet.Target) snipequota.Admission
	Take(now snipetime.Instant, t *snipefleet.Target)
	// RetryDelay returns the time after which the caller of a request that was not
	// admitted should retry.
	RetryDelay(now snipetime.Instant, t *snipefleet.Target) time.Duration
	// Share returns the limit of a target and the share of this front without a lease,
	// and false if the target is not limited. Version changes with what it returns.
	Share(t *snipefleet.Target) (limit snipequota.Admission, limited bool)
	Version() uint64
}

// Chooser chooses targets for one front. It is safe for concurrent use.
type Chooser struct {
	name   string
	own    snipefleet.Place
	limits Limits

	mu       sync.Mutex
	rankings rankingCache
	states   map[string]*targetState
}

// New returns a chooser for the front with the given name and place.
func New(name string, own snipefleet.Place, limits Limits) *Chooser {
	c := &Chooser{name: name, own: own, limits: limits, states: make(map[string]*targetState)}
	c.rankings = rankingCache{own: own, limits: limits, serviceTime: c.meanServiceTime}
	return c
}

// meanServiceTime returns the mean of the service times of targets, as far as they have
// responded to this front.
func (c *Chooser) meanServiceTime(targets []*snipefleet.Target) time.Duration {
	sum, n := time.Duration(0), 0
	for _, t := range targets {
		if s := c.known(t); s != nil {
			sum += s.serviceTime
			n++
		}
	}
	if n == 0 {
		return defaultServiceTime
	}
	return sum / time.Duration(n)
}

// Choose returns a target for q and counts the request as in flight there until
// RecordResult is called, or returns a refusal. The returned Candidate is the
// zero value with a refusal.
func (c *Chooser) Choose(now snipetime.Instant, v *snipefleet.View, q *Query) (Candidate, *Refusal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sel := selection{chooser: c, now: now, view: v, query: q, refusal: Refusal{Reason: ReasonNoTarget, RetryAfter: noTargetRetryDelay}}
	largeBody := q.Route.Kind == snipetable.Upload
	key := rankingKey{q.Service, q.Object, largeBody}
	service := c.rankings.service(v, q.Service)
	index := service.demand.offer(now, q.rank())
	sel.limitFactor, sel.ranked = service.demand.limitFactor(index), service.demand.ranked()
	sel.urgent = sel.ranked && index == 0
	candidate, found := sel.firstAdmitting(c.rankings.bestOf(service, v, key))
	if total := len(v.Targets(q.Service)); !found && sel.considered < targetsPerObject && total > cachedTargets {
		candidate, found = sel.firstAdmitting(c.rankings.all(v, key)[cachedTargets:])
	}
	if !found {
		if sel.soonest != nil {
			service.demand.refuse(sel.lowered)
		}
		return Candidate{}, sel.buildRefusal()
	}
	service.demand.admit(index)
	sel.chosen.inFlight++
	c.limits.Take(now, candidate.Target)
	return candidate, nil
}

// RecordResult records the result of a request that Choose counted as in flight
// at t.
func (c *Chooser) RecordResult(now snipetime.Instant, t *snipefleet.Target, r Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.known(t); s != nil {
		s.recordResult(now, r)
	}
}

// Forget deletes the state of targets for whose ID known returns false and that have no
// request in flight. That of a target that rests is kept, since its entry may return.
func (c *Chooser) Forget(now snipetime.Instant, known func(id string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, s := range c.states {
		if s.inFlight == 0 && s.rest.over(now) && !known(id) {
			delete(c.states, id)
		}
	}
}

// RecentLoads returns the loads that targets reported at most the given age ago.
func (c *Chooser) RecentLoads(now snipetime.Instant, age time.Duration) []snipefeed.Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []snipefeed.Load
	for id, s := range c.states {
		if s.reportedAt != 0 && now.Sub(s.reportedAt) <= age {
			out = append(out, snipefeed.Load{Target: id, Requests: s.reportedLoad, Slowness: s.reportedSlowness, Age: now.Sub(s.reportedAt)})
		}
	}
	return out
}

// MergeLoads records loads that targets reported to other fronts. It ignores those
// that are older than the recorded load of a target, and those of targets to which
// this front has not sent a request.
func (c *Chooser) MergeLoads(now snipetime.Instant, loads []snipefeed.Load) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range loads {
		if s := c.states[l.Target]; s != nil {
			s.recordLoad(now.Add(-l.Age), l.Requests, l.Slowness)
		}
	}
}

// known returns the state of a target, or nil if there is none for its incarnation.
func (c *Chooser) known(t *snipefleet.Target) *targetState {
	if s := c.states[t.ID]; s != nil && s.born == t.Born {
		return s
	}
	return nil
}

// state returns the state of a target, which begins anew with each incarnation.
func (c *Chooser) state(t *snipefleet.Target) *targetState {
	if s := c.known(t); s != nil {
		return s
	}
	s := &targetState{born: t.Born, serviceTime: defaultServiceTime}
	c.states[t.ID] = s
	return s
}
