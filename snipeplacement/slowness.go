package snipeplacement

import (
	"math"
	"time"

	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipetime"
)

// slownessDecayTime is the time constant of the exponential decay of a reported slowness
// toward the usual one.
const slownessDecayTime = 500 * time.Millisecond

// minSlowness is the estimated slowness from which a target is taken to be slow. Below it,
// the estimate differs from the usual by less than service times do.
const minSlowness = 1.1

// slowness returns how long work is estimated to take at the target, as a factor of the
// usual time.
func (s *targetState) slowness(now snipetime.Instant) float64 {
	if s.reportedSlowness == 0 || s.reportedSlowness == 1 {
		return 1
	}
	age := now.Sub(s.reportedAt)
	return 1 + (s.reportedSlowness-1)*math.Exp(-age.Seconds()/slownessDecayTime.Seconds())
}

// expectedTime returns how long a request is expected to take at a target, waiting
// included, in usual service times.
func (c *Candidate) expectedTime() float64 {
	slots := float64(max(c.Target.Slots, 1))
	waiting := max(c.Load+1-slots, 0)
	return (1 + waiting/slots) * c.Slowness
}

// postpones reports whether the request is not sent to a target that admits it, because
// another is or may be expected to end it sooner. Only requests of routes that are not
// sticky move away from a slow target. Those of an object stay, because the target has the
// object cached, which saves more than its slowness costs.
func (s *selection) postpones(c *Candidate) bool {
	if s.query.Route.Sticky || s.diverted() {
		return false
	}
	if s.postponed.Target != nil {
		return c.expectedTime() >= s.postponed.expectedTime()
	}
	if s.considered > 1 || c.Slowness < minSlowness {
		return false
	}
	s.postponed, s.postponedState = *c, s.chosen
	return true
}

// RecordUnreadableSlowness records that a statement of t about its slowness could not be
// read. It reports whether it is the first one.
func (c *Chooser) RecordUnreadableSlowness(t *snipefleet.Target) (first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.known(t)
	if s == nil || s.slownessUnreadable {
		return false
	}
	s.slownessUnreadable = true
	return true
}
