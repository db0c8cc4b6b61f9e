package snipeplacement

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/snipemoor/snipemoor/snipefeed"
	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipetable"
	"github.com/snipemoor/snipemoor/snipetime"
)

const (
	// setSize is the number of targets to which an object belongs.
	setSize = 2
	// firstFill is the load at which the first target of an object takes no more,
	// in units of its slots: one request in each slot and one that waits for it.
	firstFill = 2.0
	// furtherFill is that of the others. They take the object only where a slot is
	// free, since objects that spread cool the caches.
	furtherFill = 1.0
)

// fill returns the fill of the target with the given rank among those of an
// object; 1 is the first.
func fill(rank int) float64 {
	if rank <= 1 {
		return firstFill
	}
	return furtherFill
}

// Reason is why a request is refused, as logs and metrics name it.
type Reason string

// Reasons of refusals.
const (
	// ReasonNoTarget means that no usable target is known.
	ReasonNoTarget Reason = "noTarget"
	// ReasonFull means that the targets of the object have no room.
	ReasonFull Reason = "targetsFull"
	// ReasonCold means that the targets that are left are cold and have taken
	// their share.
	ReasonCold Reason = "targetsCold"
	// ReasonSuspect means that requests to the targets that are left failed.
	ReasonSuspect Reason = "targetsSuspect"
)

// Refusal says why a request is refused and when to come back.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
	// Looks are the targets that were considered.
	Looks []Look
}

// Look is a target as it was seen by a decision.
type Look struct {
	Target *snipefleet.Target
	// Load is the number of requests believed to be at the target, and Age is how
	// old the part of it is that other fronts sent.
	Load float64
	Age  time.Duration
	// Skipped is why the target was left out, or empty.
	Skipped Reason
}

// Query is a request that needs a target.
type Query struct {
	Service string
	// Info is the service as the operator states it, or nil.
	Info  *snipetable.Service
	Route *snipetable.Route
	// Object is the affinity key.
	Object string
	// Tried are the targets that the request was sent to.
	Tried []*snipefleet.Target
}

// Load is what a target says of itself in an answer.
type Load struct {
	Running, Waiting, Slots int
}

// Result is the end of a request at a target.
type Result struct {
	// Latency is the time since the choice.
	Latency time.Duration
	// Load is what the answer states, or nil.
	Load *Load
	// Answered is true for a complete answer.
	Answered bool
	// Unreachable is true if no connection could be opened.
	Unreachable bool
	// Broken is true if the connection broke or stayed silent.
	Broken bool
}

// Chooser chooses targets for one front. It is safe for concurrent use.
type Chooser struct {
	name string
	own  snipefleet.Place

	mu     sync.Mutex
	ranks  ranks
	states map[string]*state
}

// New returns a chooser for the front with the given name and place.
func New(name string, own snipefleet.Place) *Chooser {
	return &Chooser{name: name, own: own, ranks: ranks{own: own}, states: make(map[string]*state)}
}

// Choose returns a target for q and counts the request as in flight there until
// Done, or returns a refusal.
func (c *Chooser) Choose(now snipetime.Instant, v *snipefleet.View, q *Query) (Look, *Refusal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	search := search{c: c, now: now, view: v, query: q, refusal: Refusal{Reason: ReasonNoTarget, RetryAfter: noTargetDelay}}
	bulky := q.Route.Kind == snipetable.Upload
	key := rankKey{q.Service, q.Object, bulky}
	look, found := search.among(c.ranks.of(v, key))
	if more := len(v.Targets(q.Service)); !found && search.considered < setSize && more > bestTargets {
		look, found = search.among(c.ranks.all(v, key)[bestTargets:])
	}
	if !found {
		return Look{}, search.refuse()
	}
	c.state(look.Target).inFlight++
	return look, nil
}

// maxLooks bounds the targets that a refusal names.
const maxLooks = 4

// search looks for a target with room among those of an object.
type search struct {
	c          *Chooser
	now        snipetime.Instant
	view       *snipefleet.View
	query      *Query
	considered int
	refusal    Refusal
	looks      [maxLooks]Look
	seen       int
	// next is the full target that is expected to have room first, at free.
	next *state
	free snipetime.Instant
}

// refuse returns the refusal. A caller that comes back to a full target is
// expected there at a time of its own.
func (s *search) refuse() *Refusal {
	out := s.refusal
	out.Looks = slices.Clone(s.looks[:s.seen])
	if s.next != nil && out.Reason == ReasonFull {
		out.RetryAfter = s.next.expect(s.now, s.free)
	}
	return &out
}

func (s *search) among(targets []*snipefleet.Target) (Look, bool) {
	for _, t := range targets {
		if s.considered == setSize {
			break
		}
		if !s.query.Route.AllowsRegion(t.Place.Region) || slices.Contains(s.query.Tried, t) {
			continue
		}
		look := s.look(t)
		if look.Skipped == "" {
			return look, true
		}
		if s.seen < maxLooks {
			s.looks[s.seen] = look
			s.seen++
		}
	}
	return Look{}, false
}

// look decides whether a target takes the request now.
func (s *search) look(t *snipefleet.Target) Look {
	state := s.c.state(t)
	look := Look{Target: t, Load: state.load(s.now), Age: s.now.Sub(state.othersAt)}
	switch {
	case state.suspect(s.now):
		look.Skipped = ReasonSuspect
		s.refusal.worsen(ReasonSuspect, noTargetDelay)
		return look
	case s.c.cold(s.now, s.view, t, s.query.Info):
		if !s.c.trial(s.now, s.view, t, state, s.query.Info) {
			look.Skipped = ReasonCold
			s.refusal.worsen(ReasonCold, coldDelay)
		}
		return look
	}
	s.considered++
	if room := fill(s.considered)*float64(t.Slots) - look.Load; room < 1 {
		look.Skipped = ReasonFull
		s.full(t, state, 1-room)
	}
	return look
}

// full notes a target that has room after n more requests have ended.
func (s *search) full(t *snipefleet.Target, st *state, n float64) {
	s.refusal.worsen(ReasonFull, 0)
	free := st.freeAt(s.now, t, n)
	if s.next == nil || free.Before(s.free) {
		s.next, s.free = st, free
	}
}

// worsen replaces the reason and keeps the shortest delay of one reason.
func (r *Refusal) worsen(reason Reason, delay time.Duration) {
	if r.Reason == reason {
		r.RetryAfter = min(r.RetryAfter, delay)
		return
	}
	if r.Reason == ReasonFull {
		return
	}
	r.Reason, r.RetryAfter = reason, delay
}

// Done ends a request that Choose counted at t.
func (c *Chooser) Done(now snipetime.Instant, t *snipefleet.Target, r Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state(t).done(now, r)
}

// Forget drops what is known of targets that the view does not name, and that
// have no request in flight.
func (c *Chooser) Forget(known func(id string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, s := range c.states {
		if s.inFlight == 0 && !known(id) {
			delete(c.states, id)
		}
	}
}

// RecentLoads returns the loads that targets stated at most a given time ago.
func (c *Chooser) RecentLoads(now snipetime.Instant, age time.Duration) []snipefeed.Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []snipefeed.Load
	for id, s := range c.states {
		if s.othersAt != 0 && now.Sub(s.othersAt) <= age {
			out = append(out, snipefeed.Load{Target: id, Requests: s.stated, Age: now.Sub(s.othersAt)})
		}
	}
	return out
}

// MergeLoads takes loads that targets stated to other fronts.
func (c *Chooser) MergeLoads(now snipetime.Instant, loads []snipefeed.Load) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range loads {
		if s := c.states[l.Target]; s != nil {
			s.setLoad(now.Add(-l.Age), l.Requests)
		}
	}
}

func (c *Chooser) state(t *snipefleet.Target) *state {
	s := c.states[t.ID]
	if s == nil || s.born != t.Born {
		s = &state{born: t.Born, service: defaultService}
		c.states[t.ID] = s
	}
	return s
}

const (
	// noTargetDelay is when a caller comes back if no target is known; targets
	// register within about that time.
	noTargetDelay = 500 * time.Millisecond
	// coldDelay is when a caller comes back to a cold target.
	coldDelay = 300 * time.Millisecond
	// defaultService is the expected time of a request at a target that has not
	// answered yet.
	defaultService = 150 * time.Millisecond
	// othersDecay is the time constant with which the load of other callers, as
	// last seen, is forgotten.
	othersDecay = time.Second
	// maxExpected bounds for how long callers are told to stay away from a full
	// target. Callers give up soon after.
	maxExpected = time.Second
	// smoothing is the weight of a new sample of the service time.
	smoothing = 0.1
)

// state is what this front knows of one incarnation of a target.
type state struct {
	born     int64
	inFlight int
	// others is the load of other callers at the time othersAt.
	others   float64
	othersAt snipetime.Instant
	// stated is the load that the target stated then.
	stated int
	// service is the smoothed time of an answered request.
	service time.Duration
	// failures counts the failures in a row, and failedAt is the last one.
	failures int
	failedAt snipetime.Instant
	// trials is the allowance for requests to a cold or suspect target.
	trials bucket
	// turn is the time between two ends of requests, and expected is when the next
	// caller is told to come back at the earliest.
	turn     time.Duration
	expected snipetime.Instant
}

func (s *state) load(now snipetime.Instant) float64 {
	age := now.Sub(s.othersAt)
	return float64(s.inFlight) + s.others*math.Exp(-age.Seconds()/othersDecay.Seconds())
}

// freeAt returns when n requests will have ended at t, after the callers that are
// expected back.
func (s *state) freeAt(now snipetime.Instant, t *snipefleet.Target, n float64) snipetime.Instant {
	s.turn = time.Duration(float64(s.service) / float64(max(t.Slots, 1)))
	return max(now.Add(time.Duration(n*float64(s.turn))), s.expected)
}

// expect notes a caller that comes back when a request has ended at the time
// free, and returns the delay until then. Callers that are refused one after the
// other come back one after the other, as slots become free.
func (s *state) expect(now, free snipetime.Instant) time.Duration {
	s.expected = min(free.Add(s.turn), now.Add(maxExpected))
	return free.Sub(now)
}

// setLoad takes the load that the target stated at a time, unless a later one is
// known.
func (s *state) setLoad(at snipetime.Instant, requests int) {
	if at.Before(s.othersAt) {
		return
	}
	s.stated = requests
	s.others = float64(max(requests-s.inFlight, 0))
	s.othersAt = at
}

func (s *state) done(now snipetime.Instant, r Result) {
	s.inFlight--
	if r.Load != nil {
		s.setLoad(now, r.Load.Running+r.Load.Waiting)
	}
	switch {
	case r.Answered:
		s.failures = 0
		s.service += time.Duration(smoothing * float64(r.Latency-s.service))
	case r.Unreachable:
		s.failures += suspectFailures
		s.failedAt = now
	case r.Broken:
		s.failures++
		s.failedAt = now
	}
}
