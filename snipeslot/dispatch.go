package snipeslot

import (
	"slices"
	"time"

	"github.com/snipemoor/snipemoor/sniperoute"
	"github.com/snipemoor/snipemoor/snipetime"
)

// enqueueOrRefuse queues a request that Acquire could not grant a free slot,
// unless a limit on the queue or on its wait refuses it, or a slow target serves
// it sooner. at is its index in the queue.
func (o *Owner) enqueueOrRefuse(now snipetime.Instant, e *queueEntry, at int) Reply {
	wait := o.expectedWait(at)
	switch {
	case e.acquire.Hedge || e.acquire.MaximumWait <= 0:
		return o.newReply(e.acquire, Refused, ReasonNoSlot, wait)
	case len(o.queue.entries) >= o.settings.QueueLength:
		return o.newReply(e.acquire, Refused, ReasonQueueFull, wait)
	case !now.Add(wait).Before(e.deadline):
		return o.newReply(e.acquire, Refused, ReasonWouldMissDeadline, wait)
	case wait > e.acquire.MaximumWait, e.acquire.MaximumExpected > 0 && wait > e.acquire.MaximumExpected:
		return o.newReply(e.acquire, Refused, ReasonNoSlot, wait)
	}
	if r, ok := o.grantSlowTarget(now, e, wait); ok {
		return r
	}
	o.queue.insert(at, e)
	if at < maximumReuseEntries && !o.recovery.active {
		return o.allowReuse(now, e, o.blockedTargets(now))
	}
	return o.newReply(e.acquire, Queued, ReasonNone, 0)
}

// expectedWait returns the estimated time until a request with the given number
// of requests ahead of it is granted a slot. It is 0 before the first release.
func (o *Owner) expectedWait(ahead int) time.Duration {
	totalSlots := 0
	for _, t := range o.sortedTargets {
		if !t.Draining && !t.removed {
			totalSlots += t.Slots
		}
	}
	return time.Duration(ahead+1) * o.meanServiceTime / time.Duration(max(totalSlots, 1))
}

// tryGrant grants a free slot that the entry does not exclude.
func (o *Owner) tryGrant(now snipetime.Instant, e *queueEntry) (Reply, bool) {
	if !o.collectCandidates(now, e) {
		return Reply{}, false
	}
	i := o.chooser.Choose(now, o.candidates)
	if i < 0 {
		return Reply{}, false
	}
	return o.grantSlot(now, e, o.candidates[i].Address), true
}

// grantSlowTarget grants a slot of a target that Chooser.Choose avoids for its
// latency if the entry would wait longer than the additional latency.
func (o *Owner) grantSlowTarget(now snipetime.Instant, e *queueEntry, wait time.Duration) (Reply, bool) {
	if !o.collectCandidates(now, e) {
		return Reply{}, false
	}
	i := o.chooser.ChooseDegraded(o.candidates, wait)
	if i < 0 {
		return Reply{}, false
	}
	return o.grantSlot(now, e, o.candidates[i].Address), true
}

// collectCandidates sets o.candidates to the targets with a free slot that the
// entry does not exclude. It reports false if there are none, or if the owner is
// in recovery or without lease and may grant nothing.
func (o *Owner) collectCandidates(now snipetime.Instant, e *queueEntry) bool {
	if o.recovery.active || !now.Before(o.leaseEnd) {
		return false
	}
	o.candidates = o.candidates[:0]
	for _, t := range o.sortedTargets {
		if t.freeSlots() > 0 && !slices.Contains(e.acquire.Excluded, t.Address) {
			o.candidates = append(o.candidates, sniperoute.Candidate{Address: t.Address, Used: t.used, Slots: t.Slots})
		}
	}
	return len(o.candidates) > 0
}

// dispatch grants free slots to queued requests in deadline order.
func (o *Owner) dispatch(now snipetime.Instant) []Reply {
	if o.recovery.active || !now.Before(o.leaseEnd) {
		return nil
	}
	var replies []Reply
	free := o.freeSlots()
	for i := 0; i < len(o.queue.entries) && free > 0; {
		e := o.queue.entries[i]
		if !now.Before(e.waitEnd) {
			replies = append(replies, o.refuseExpired(now, e))
			o.queue.remove(i)
			continue
		}
		r, ok := o.tryGrant(now, e)
		if !ok {
			i++
			continue
		}
		replies = append(replies, r)
		o.queue.remove(i)
		free--
	}
	return o.allowReuseAtHead(now, replies)
}

// refuseExpired returns the refusal of an entry whose wait has ended.
func (o *Owner) refuseExpired(now snipetime.Instant, e *queueEntry) Reply {
	if now.Before(e.deadline) {
		return o.newReply(e.acquire, Refused, ReasonNoSlot, o.expectedWait(len(o.queue.entries)))
	}
	return o.newReply(e.acquire, Refused, ReasonDeadline, 0)
}
