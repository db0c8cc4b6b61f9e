package snipeplacement

import (
	"slices"

	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipetable"
	"github.com/snipemoor/snipemoor/snipetime"
)

// coldUntil returns when a target stops being cold, or 0 if it is not: it reports so itself,
// or the evacuation of its failure domain ended less than info.ColdDuration ago.
func (c *Chooser) coldUntil(now snipetime.Instant, v *snipefleet.View, t *snipefleet.Target, info *snipetable.Service) snipetime.Instant {
	if info == nil || info.ColdRate <= 0 {
		return 0
	}
	until := t.ColdUntil
	if at, ok := v.EvacuationEnd(t.Place.Domain); ok {
		until = max(until, at.Add(info.ColdDuration))
	}
	if !now.Before(until) {
		return 0
	}
	return until
}

// admitsCold reports whether this front may send a request to a cold target now, and if so
// takes a token from the target's bucket. The senders have equal parts of the rate and
// begin at once, all others after the cold time. Since each sender may send one request more
// than its part in a second, there is a sender for every two requests per second, and the sum
// over all fronts stays at 1.5 times the rate. The caller holds the lock.
func (c *Chooser) admitsCold(now, until snipetime.Instant, v *snipefleet.View, t *snipefleet.Target, s *targetState, info *snipetable.Service) bool {
	n, sends := coldSenders(c.callerFronts(v), t, c.name, max(int(info.ColdRate/2), 1))
	if !sends {
		s.pace.begin(c.startAt(t, s, until))
		return false
	}
	s.pace.startNow(now)
	s.pace.coldAt = now
	return s.admitsPace(now) && s.coldBucket.tryTake(now, info.ColdRate/float64(n))
}

// callerFronts returns the fronts that callers use: the large ones, if the directory names
// only these, or else all. A small front that nobody uses would leave a cold target idle. The
// caller holds the lock.
func (c *Chooser) callerFronts(v *snipefleet.View) []snipefleet.Member {
	if members := v.Members(); !snipefleet.SameSlice(c.members, members) || len(members) == 0 {
		c.members, c.large = members, snipefleet.LargeMembers(members)
	}
	if len(c.large) > 0 {
		return c.large
	}
	return c.members
}

// coldSenders returns the number of fronts that send to a cold target, at most limit, and
// whether the front with the given name is one of them. They are chosen by rendezvous hashing
// among the fronts of the target's region, or among all fronts if the region has none.
func coldSenders(members []snipefleet.Member, t *snipefleet.Target, name string, limit int) (n int, sends bool) {
	isLocal := func(m snipefleet.Member) bool { return m.Place.Region == t.Place.Region }
	anyLocal := slices.ContainsFunc(members, isLocal)
	own, better := snipefleet.RendezvousWeight(name, t.ID), 0
	for i := range members {
		m := &members[i]
		if anyLocal && !isLocal(*m) {
			continue
		}
		n++
		switch {
		case m.Name == name:
			sends = true
		case snipefleet.RendezvousWeight(m.Name, t.ID) > own:
			better++
		}
	}
	return min(n, limit), sends && better < limit
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
