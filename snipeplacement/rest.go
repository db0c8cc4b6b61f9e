package snipeplacement

import (
	"math"
	"time"

	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipetime"
)

const (
	// returnTime is the time after a rest in which this front returns to the concurrency
	// limit of the target, from one request.
	returnTime = 2 * time.Second
	// maxReturnSpread bounds the time over which fronts begin to return to a target.
	maxReturnSpread = 2 * time.Second
)

// rest is the time for which a target wants no requests from this front. The zero value
// is none.
type rest struct {
	// until is when the rest ends.
	until snipetime.Instant
	// unreadable is set once a statement could not be read.
	unreadable bool
}

// extend records a statement by which the rest ends at until. An earlier end does not
// shorten the rest, since responses to requests that were sent together arrive in any
// order. extend reports whether the target did not rest before.
func (r *rest) extend(now, until snipetime.Instant) (began bool) {
	began = !now.Before(r.until)
	r.until = max(r.until, until)
	return began
}

// over reports whether there is neither a rest nor a return after one.
func (r *rest) over(now snipetime.Instant) bool {
	return r.until == 0 || now.Sub(r.until) >= maxReturnSpread+returnTime
}

// RecordRest records that t stated at now that it wants no requests from this front for
// the time d. It reports whether t did not rest before.
func (c *Chooser) RecordRest(now snipetime.Instant, t *snipefleet.Target, d time.Duration) (began bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.known(t)
	return s != nil && s.rest.extend(now, now.Add(d))
}

// RecordUnreadableRest records that a statement of t about its rest could not be read. It
// reports whether it is the first one.
func (c *Chooser) RecordUnreadableRest(t *snipefleet.Target) (first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.known(t)
	if s == nil {
		return false
	}
	first = !s.rest.unreadable
	s.rest.unreadable = true
	return first
}

// NumResting returns the number of targets that want no requests from this front.
func (c *Chooser) NumResting(now snipetime.Instant) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, s := range c.states {
		if now.Before(s.rest.until) {
			n++
		}
	}
	return n
}

// Recheck returns why a request for which t was chosen must not be sent to it any more,
// or an empty reason.
func (c *Chooser) Recheck(now snipetime.Instant, v *snipefleet.View, t *snipefleet.Target) Reason {
	current := v.Target(t.Service, t.ID)
	if current == nil || current.Born != t.Born || current.Address != t.Address {
		return ReasonLeft
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.known(t); s != nil && now.Before(s.rest.until) {
		return ReasonResting
	}
	return ""
}

// RestRemaining returns the time until a caller may retry whose request no target takes
// because all targets for it rest, or zero if not all do. Callers that ask one after the
// other get successive times.
func (c *Chooser) RestRemaining(now snipetime.Instant, v *snipefleet.View, q *Query) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	var soonest *targetState
	var soonestTarget *snipefleet.Target
	remaining := time.Duration(math.MaxInt64)
	for _, t := range v.Targets(q.Service) {
		if !q.allowsRegion(t.Place.Region) {
			continue
		}
		s := c.known(t)
		if s == nil {
			return 0
		}
		left := c.restRemaining(now, v, t, s)
		if left == 0 {
			return 0
		}
		if left < remaining {
			soonest, soonestTarget, remaining = s, t, left
		}
	}
	if soonest == nil {
		return 0
	}
	return soonest.retryAfterRest(now, now.Add(remaining), soonestTarget)
}

// restRemaining returns the time until this front begins to return to a target that
// rests, or zero if it does not wait. The caller holds the lock.
func (c *Chooser) restRemaining(now snipetime.Instant, v *snipefleet.View, t *snipefleet.Target, s *targetState) time.Duration {
	if s.rest.over(now) {
		return 0
	}
	return max(c.returnAt(v, t, s).Sub(now), 0)
}

// returnAt returns when this front begins to return to a target. The fronts begin one
// after the other, in a random order, as fast as the target frees slots. The caller holds
// the lock.
func (c *Chooser) returnAt(v *snipefleet.View, t *snipefleet.Target, s *targetState) snipetime.Instant {
	spread := min(time.Duration(len(v.Members()))*s.interval(t), maxReturnSpread)
	return s.rest.until.Add(time.Duration(uniformHash(c.name, t.ID) * float64(spread)))
}

// returning reports whether this front returns to a target after a rest and has as many
// requests in flight there as it may have so far. The caller holds the lock.
func (c *Chooser) returning(now snipetime.Instant, v *snipefleet.View, t *snipefleet.Target, s *targetState) bool {
	if s.rest.over(now) {
		return false
	}
	elapsed := now.Sub(c.returnAt(v, t, s))
	if elapsed >= returnTime {
		return false
	}
	allowed := 1 + int(float64(t.Slots)*elapsed.Seconds()/returnTime.Seconds())
	return s.inFlight >= allowed
}

// retryAfterRest reserves a retry time for a caller, not before the time at, and returns
// the delay until then.
func (s *targetState) retryAfterRest(now, at snipetime.Instant, t *snipefleet.Target) time.Duration {
	retryAt := max(at, min(s.nextRetryAt, at.Add(maxFullRetryDelay)))
	s.nextRetryAt = retryAt.Add(s.interval(t))
	return retryAt.Sub(now)
}
