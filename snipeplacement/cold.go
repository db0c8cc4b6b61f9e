package snipeplacement

import (
	"time"

	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipetable"
	"github.com/snipemoor/snipemoor/snipetime"
)

const (
	// suspectFailures is the number of consecutive failures after which a target is
	// excluded.
	suspectFailures = 2
	// initialExclusion is how long a target is excluded at first. The time doubles
	// with each further failure, up to maxExclusion.
	initialExclusion = time.Second
	maxExclusion     = 4 * time.Second
)

// suspect reports whether the target is excluded because requests to it failed. After
// the exclusion, requests are sent to it one at a time until one succeeds.
func (s *targetState) suspect(now snipetime.Instant) bool {
	if s.failures < suspectFailures {
		return false
	}
	wait := maxExclusion
	if more := s.failures - suspectFailures; more < 8 {
		wait = min(initialExclusion<<more, maxExclusion)
	}
	return now.Sub(s.failedAt) < wait || s.inFlight > 0
}

// cold reports whether a target is cold, or may be: it reports so itself, or the
// evacuation of its failure domain ended less than info.ColdDuration ago.
func (c *Chooser) cold(now snipetime.Instant, v *snipefleet.View, t *snipefleet.Target, info *snipetable.Service) bool {
	if info == nil || info.ColdRate <= 0 {
		return false
	}
	if now.Before(t.ColdUntil) {
		return true
	}
	at, ok := v.EvacuationEnd(t.Place.Domain)
	return ok && now.Sub(at) < info.ColdDuration
}

// acquireColdToken reports whether this front may send a request to a cold target now,
// and if so takes a token from the target's bucket. Only one front sends to a cold
// target, so that the sum over all fronts stays below info.ColdRate.
func (c *Chooser) acquireColdToken(now snipetime.Instant, v *snipefleet.View, t *snipefleet.Target, s *targetState, info *snipetable.Service) bool {
	return coldSender(v.Members(), t) == c.name && s.coldBucket.tryTake(now, info.ColdRate)
}

// coldSender returns the name of the front that sends to a cold target, chosen by
// rendezvous hashing among the fronts of the target's region, or among all fronts if
// the region has none.
func coldSender(members []snipefleet.Member, t *snipefleet.Target) string {
	name, best, bestIsLocal := "", uint64(0), false
	for i := range members {
		m := &members[i]
		local := m.Place.Region == t.Place.Region
		if bestIsLocal && !local {
			continue
		}
		h := snipefleet.RendezvousWeight(m.Name, t.ID)
		if name == "" || local && !bestIsLocal || h > best {
			name, best, bestIsLocal = m.Name, h, local
		}
	}
	return name
}

// tokenBucket is a token bucket of capacity one. It starts full.
type tokenBucket struct {
	used bool
	last snipetime.Instant
}

// tryTake takes the token and reports whether there was one. rate is in tokens per
// second.
func (b *tokenBucket) tryTake(now snipetime.Instant, rate float64) bool {
	if b.used && now.Sub(b.last).Seconds() < 1/rate {
		return false
	}
	b.used, b.last = true, now
	return true
}
