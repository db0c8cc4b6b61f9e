package snipeplacement

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/snipemoor/snipemoor/snipefeed"
	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipequota"
	"github.com/snipemoor/snipemoor/snipetable"
	"github.com/snipemoor/snipemoor/snipetime"
)

const (
	// targetsPerObject is the number of targets to which an object is assigned.
	targetsPerObject = 2
	// firstMaxLoad is the concurrency limit of the first target of an object, in
	// requests per slot: one that runs and one that waits for the slot.
	firstMaxLoad = 2.0
	// furtherMaxLoad is the limit of the other targets of an object, in requests per
	// slot. They get requests only if a slot is free, since an object that is used at
	// several targets occupies the caches of all of them.
	furtherMaxLoad = 1.0
	// divertedMaxLoad is the limit, in requests per slot, of a target that gets a request
	// because the rate limit of another does not admit it. Such requests take the places
	// of other objects in the caches of the target, which only one with few requests can
	// bear.
	divertedMaxLoad = 0.5
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
	// ReasonSuspect means that the last remaining target is excluded after failures.
	ReasonSuspect Reason = "targetsSuspect"
)

// Refusal is the refusal of a request.
type Refusal struct {
	// Reason is ReasonFull if any target was full, and otherwise the reason at the
	// target that was evaluated last.
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
	// Object is the affinity key.
	Object string
	// Excluded are the targets that are not chosen, because the request was
	// sent to them before.
	Excluded []*snipefleet.Target
}

// Load is the load that a target reports in a response: the numbers of running and
// of waiting requests, and of its slots.
type Load struct {
	Running, Waiting, Slots int
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
		if s := c.states[t.ID]; s != nil && s.born == t.Born {
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
	candidate, found := sel.firstAdmitting(c.rankings.best(v, key))
	if total := len(v.Targets(q.Service)); !found && sel.considered < targetsPerObject && total > cachedTargets {
		candidate, found = sel.firstAdmitting(c.rankings.all(v, key)[cachedTargets:])
	}
	if !found {
		return Candidate{}, sel.buildRefusal()
	}
	c.state(candidate.Target).inFlight++
	c.limits.Take(now, candidate.Target)
	return candidate, nil
}

// maxReportedCandidates bounds the candidates that a refusal lists.
const maxReportedCandidates = 4

// selection is the state of one search for a target below its concurrency limit.
type selection struct {
	chooser *Chooser
	now     snipetime.Instant
	view    *snipefleet.View
	query   *Query
	// considered is the number of targets that were neither suspect nor cold, and whose
	// rate limits admit the request.
	considered int
	refusal    Refusal
	skipped    [maxReportedCandidates]Candidate
	numSkipped int
	// soonest is the full target that is expected to be below its limit first, at
	// soonestFree.
	soonest     *targetState
	soonestFree snipetime.Instant
	// limited is the first target whose rate limit does not admit the request, and
	// numLimited the number of such targets.
	limited    *snipefleet.Target
	numLimited int
}

// buildRefusal returns the refusal. If targets are full or limited, it reserves a retry
// time of its own for this caller, so that refused callers do not all retry at once.
func (s *selection) buildRefusal() *Refusal {
	out := s.refusal
	out.Candidates = slices.Clone(s.skipped[:s.numSkipped])
	switch {
	case s.soonest != nil && out.Reason == ReasonFull:
		out.RetryAfter = s.soonest.reserveRetry(s.now, s.soonestFree)
	case s.limited != nil && out.Reason == ReasonLimited:
		out.RetryAfter = s.chooser.limits.RetryDelay(s.now, s.limited)
	}
	return &out
}

// firstAdmitting returns the first of the targets to which the request can be sent,
// and false if there is none among the first targetsPerObject that are neither
// suspect nor cold and whose rate limits admit the request.
func (s *selection) firstAdmitting(targets []*snipefleet.Target) (Candidate, bool) {
	for _, t := range targets {
		if s.considered == targetsPerObject {
			break
		}
		if !s.query.Route.AllowsRegion(t.Place.Region) || slices.Contains(s.query.Excluded, t) {
			continue
		}
		candidate := s.evaluate(t)
		if candidate.SkipReason == "" {
			return candidate, true
		}
		if s.numSkipped < maxReportedCandidates {
			s.skipped[s.numSkipped] = candidate
			s.numSkipped++
		}
	}
	return Candidate{}, false
}

// evaluate decides whether the request can be sent to a target now, and records the
// reason if not.
func (s *selection) evaluate(t *snipefleet.Target) Candidate {
	state := s.chooser.state(t)
	candidate := Candidate{Target: t, Load: state.estimatedLoad(s.now), LoadAge: s.now.Sub(state.reportedAt)}
	if state.suspect(s.now) {
		candidate.SkipReason = ReasonSuspect
		s.refusal.merge(ReasonSuspect, noTargetRetryDelay)
		return candidate
	}
	if !s.admitsLimit(t, &candidate) {
		candidate.SkipReason = ReasonLimited
		return candidate
	}
	if s.chooser.cold(s.now, s.view, t, s.query.Info) {
		if !s.chooser.acquireColdToken(s.now, s.view, t, state, s.query.Info) {
			candidate.SkipReason = ReasonCold
			s.refusal.merge(ReasonCold, coldRetryDelay)
		}
		return candidate
	}
	s.considered++
	room := s.maxLoad(t) - candidate.Load
	switch {
	case room >= 1:
	case s.diverted():
		candidate.SkipReason = ReasonFull
	default:
		candidate.SkipReason = ReasonFull
		s.recordFull(t, state, 1-room)
	}
	return candidate
}

// admitsLimit reports whether the rate limit of a target, if it states one, admits the
// request. It is asked for targetsPerObject targets at most, so that objects do not
// occupy the caches of many limited targets.
func (s *selection) admitsLimit(t *snipefleet.Target, candidate *Candidate) bool {
	if s.numLimited == targetsPerObject {
		_, limited := s.chooser.limits.Share(t)
		return !limited
	}
	candidate.Limit = s.chooser.limits.Check(s.now, t)
	if candidate.Limit.Admitted {
		return true
	}
	s.numLimited++
	s.limited = cmp.Or(s.limited, t)
	s.refusal.merge(ReasonLimited, 0)
	return false
}

// diverted reports whether the rate limit of a target before did not admit the request.
func (s *selection) diverted() bool { return s.numLimited > 0 }

// maxLoad returns the concurrency limit, in requests, of the target that is considered.
func (s *selection) maxLoad(t *snipefleet.Target) float64 {
	perSlot := furtherMaxLoad
	switch {
	case s.diverted():
		perSlot = divertedMaxLoad
	case s.considered <= 1:
		perSlot = firstMaxLoad
	}
	return max(perSlot*float64(t.Slots), 1)
}

// recordFull records a full target, which is below its limit when n of its requests
// have ended.
func (s *selection) recordFull(t *snipefleet.Target, st *targetState, n float64) {
	s.refusal.merge(ReasonFull, 0)
	free := st.slotFreeAt(s.now, t, n)
	if s.soonest == nil || free.Before(s.soonestFree) {
		s.soonest, s.soonestFree = st, free
	}
}

// merge adds the reason and the delay at another target: of the same reason, the
// shortest delay counts; ReasonFull is kept; any other reason is replaced.
func (r *Refusal) merge(reason Reason, delay time.Duration) {
	if r.Reason == reason {
		r.RetryAfter = min(r.RetryAfter, delay)
		return
	}
	if r.Reason == ReasonFull {
		return
	}
	r.Reason, r.RetryAfter = reason, delay
}

// RecordResult records the result of a request that Choose counted as in flight
// at t.
func (c *Chooser) RecordResult(now snipetime.Instant, t *snipefleet.Target, r Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state(t).recordResult(now, r)
}

// Forget deletes the state of targets for whose ID known returns false and that have
// no request in flight.
func (c *Chooser) Forget(known func(id string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, s := range c.states {
		if s.inFlight == 0 && !known(id) {
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
			out = append(out, snipefeed.Load{Target: id, Requests: s.reportedLoad, Age: now.Sub(s.reportedAt)})
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
			s.recordLoad(now.Add(-l.Age), l.Requests)
		}
	}
}

// state returns the state of a target, which begins anew with each incarnation.
func (c *Chooser) state(t *snipefleet.Target) *targetState {
	s := c.states[t.ID]
	if s == nil || s.born != t.Born {
		s = &targetState{born: t.Born, serviceTime: defaultServiceTime}
		c.states[t.ID] = s
	}
	return s
}

const (
	// noTargetRetryDelay is the retry delay if no target is known, or if the targets
	// are suspect. Targets register within about that time.
	noTargetRetryDelay = 500 * time.Millisecond
	// coldRetryDelay is the retry delay if the targets are cold.
	coldRetryDelay = 300 * time.Millisecond
	// defaultServiceTime is the assumed service time of a target that has not
	// responded yet.
	defaultServiceTime = 150 * time.Millisecond
	// othersDecayTime is the time constant of the exponential decay of the load that
	// other fronts were last reported to cause at a target.
	othersDecayTime = time.Second
	// maxFullRetryDelay bounds the reserved retry times at a full target. Callers
	// give up soon after.
	maxFullRetryDelay = time.Second
	// serviceTimeSmoothing is the weight of a new sample in the moving average of the
	// service time.
	serviceTimeSmoothing = 0.1
)

// targetState is the state of one incarnation of a target at this front.
type targetState struct {
	born int64
	// inFlight is the number of requests that this front has in flight.
	inFlight int
	// othersLoad is the number of requests of other fronts at the time reportedAt.
	othersLoad float64
	reportedAt snipetime.Instant
	// reportedLoad is the number of requests that the target reported then.
	reportedLoad int
	// serviceTime is the moving average of the latency of complete responses.
	serviceTime time.Duration
	// failures is the number of consecutive failures, and failedAt is the time of the
	// last one.
	failures int
	failedAt snipetime.Instant
	// coldBucket limits the rate of requests to a cold target.
	coldBucket tokenBucket
	// slotInterval is the expected time between two requests that end, and
	// nextRetryAt is the earliest retry time for the next refused caller.
	slotInterval time.Duration
	nextRetryAt  snipetime.Instant
}

// estimatedLoad returns the estimated number of requests at the target: those of
// this front, and those of other fronts with an exponential decay since the last
// report.
func (s *targetState) estimatedLoad(now snipetime.Instant) float64 {
	age := now.Sub(s.reportedAt)
	return float64(s.inFlight) + s.othersLoad*math.Exp(-age.Seconds()/othersDecayTime.Seconds())
}

// slotFreeAt returns the expected time at which n more requests will have ended at t,
// but not before nextRetryAt. It updates slotInterval.
func (s *targetState) slotFreeAt(now snipetime.Instant, t *snipefleet.Target, n float64) snipetime.Instant {
	s.slotInterval = time.Duration(float64(s.serviceTime) / float64(max(t.Slots, 1)))
	return max(now.Add(time.Duration(n*float64(s.slotInterval))), s.nextRetryAt)
}

// reserveRetry reserves the time free for the retry of a refused caller, and returns
// the delay until then. Callers that are refused in succession thus retry in
// succession, at the rate at which slots become free.
func (s *targetState) reserveRetry(now, free snipetime.Instant) time.Duration {
	s.nextRetryAt = min(free.Add(s.slotInterval), now.Add(maxFullRetryDelay))
	return free.Sub(now)
}

// recordLoad records the number of requests that the target reported at a time,
// unless a later report is recorded.
func (s *targetState) recordLoad(at snipetime.Instant, requests int) {
	if at.Before(s.reportedAt) {
		return
	}
	s.reportedLoad = requests
	s.othersLoad = float64(max(requests-s.inFlight, 0))
	s.reportedAt = at
}

// recordResult updates the load, the service time and the failures.
func (s *targetState) recordResult(now snipetime.Instant, r Result) {
	s.inFlight--
	if r.Load != nil {
		s.recordLoad(now, r.Load.Running+r.Load.Waiting)
	}
	switch {
	case r.Completed:
		s.failures = 0
		s.serviceTime += time.Duration(serviceTimeSmoothing * float64(r.Latency-s.serviceTime))
	case r.Unreachable:
		s.failures += suspectFailures
		s.failedAt = now
	case r.Failed:
		s.failures++
		s.failedAt = now
	}
}
