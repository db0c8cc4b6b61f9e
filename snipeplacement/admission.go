package snipeplacement

import (
	"cmp"
	"time"

	"github.com/snipemoor/snipemoor/snipefleet"
)

const (
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

// evaluate decides whether the request can be sent to a target now, and records the
// reason and the time until it may be if not. It asks in this order: what the target
// states about its rest, whether requests to it fail, its rate limit, whether it is cold,
// and its load. Targets that leave are not in the view.
func (s *selection) evaluate(t *snipefleet.Target) Candidate {
	state := s.chooser.state(t)
	s.chosen = state
	candidate := Candidate{Target: t, Load: state.estimatedLoad(s.now), LoadAge: s.now.Sub(state.reportedAt), Slowness: state.slowness(s.now)}
	if left, resting := s.resting(t, state); resting {
		candidate.SkipReason = ReasonResting
		s.refusal.merge(ReasonResting, left)
		return candidate
	}
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
		if s.postponed.Target != nil || !s.chooser.acquireColdToken(s.now, s.view, t, state, s.query.Info) {
			candidate.SkipReason = ReasonCold
			s.refusal.merge(ReasonCold, coldRetryDelay)
		}
		return candidate
	}
	candidate.SkipReason = s.evaluateLoad(t, state, &candidate)
	return candidate
}

// evaluateLoad decides by the load of a target whether the request can be sent there, and
// returns the reason if not. Requests of lower ranks get a part of the concurrency limit.
func (s *selection) evaluateLoad(t *snipefleet.Target, state *targetState, candidate *Candidate) Reason {
	s.considered++
	limit := s.maxLoad(t)
	room := max(limit*s.limitFactor, 1) - candidate.Load
	if room >= 1 {
		if s.postpones(candidate) {
			return ReasonFull
		}
		return ""
	}
	if !s.diverted() {
		s.recordFull(t, state, 1-room)
		s.lowered = s.lowered || limit-candidate.Load >= 1
	}
	return ReasonFull
}

// resting reports whether a target wants no requests from this front, or no more than it
// has in flight while it returns, and the expected time until the target takes one.
func (s *selection) resting(t *snipefleet.Target, state *targetState) (left time.Duration, resting bool) {
	left = s.chooser.restRemaining(s.now, s.view, t, state)
	switch {
	case left > 0:
		return left, true
	case s.chooser.returning(s.now, s.view, t, state):
		return state.interval(t), true
	default:
		return 0, false
	}
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
// have ended. Where requests have ranks, callers of this front are told to return only as
// often as its share of the requests at the target allows. A single rank keeps the earlier
// retry times.
func (s *selection) recordFull(t *snipefleet.Target, st *targetState, n float64) {
	s.refusal.merge(ReasonFull, 0)
	share := 1.0
	if s.ranked {
		share = st.ownShare(s.now)
	}
	free := st.slotFreeAt(s.now, t, n, share, s.urgent)
	if s.soonest == nil || free.Before(s.soonestFree) {
		s.soonest, s.soonestFree = st, free
	}
}
