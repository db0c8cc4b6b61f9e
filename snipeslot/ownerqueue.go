package snipeslot

import (
	"slices"
	"time"

	"github.com/snipemoor/snipemoor/sniperoute"
	"github.com/snipemoor/snipemoor/snipetime"
)

func (o *Owner) enqueue(now snipetime.Instant, e *entry, at int) Reply {
	wait := o.expectedWait(at)
	switch {
	case e.acquire.Hedge || e.acquire.MaximumWait <= 0:
		return o.reply(e.acquire, Refused, ReasonNoSlot, wait)
	case len(o.queue.entries) >= o.settings.QueueLength:
		return o.reply(e.acquire, Refused, ReasonQueueFull, wait)
	case !now.Add(wait).Before(e.deadline):
		return o.reply(e.acquire, Refused, ReasonWouldMissDeadline, wait)
	case wait > e.acquire.MaximumWait, e.acquire.MaximumExpected > 0 && wait > e.acquire.MaximumExpected:
		return o.reply(e.acquire, Refused, ReasonNoSlot, wait)
	}
	if r, ok := o.grantSlow(now, e, wait); ok {
		return r
	}
	o.queue.insert(at, e)
	if at < takeOverFirst && !o.recovery.active {
		return o.offer(now, e, o.barred(now))
	}
	return o.reply(e.acquire, Queued, ReasonNone, 0)
}

// expectedWait returns the time until a request with the given number of
// requests ahead is granted a slot. It is 0 before the first release.
func (o *Owner) expectedWait(ahead int) time.Duration {
	usable := 0
	for _, t := range o.order {
		if !t.Draining && !t.removed {
			usable += t.Slots
		}
	}
	return time.Duration(ahead+1) * o.service / time.Duration(max(usable, 1))
}

// tryGrant grants a free slot that the entry does not exclude.
func (o *Owner) tryGrant(now snipetime.Instant, e *entry) (Reply, bool) {
	if !o.collectFree(now, e) {
		return Reply{}, false
	}
	i := o.chooser.Choose(now, o.free)
	if i < 0 {
		return Reply{}, false
	}
	return o.grant(now, e, o.free[i].Address), true
}

// grantSlow grants a slot of a target that is avoided for its latency if the
// entry would wait longer than the target takes in addition.
func (o *Owner) grantSlow(now snipetime.Instant, e *entry, wait time.Duration) (Reply, bool) {
	if !o.collectFree(now, e) {
		return Reply{}, false
	}
	i := o.chooser.ChooseSlow(o.free, wait)
	if i < 0 {
		return Reply{}, false
	}
	return o.grant(now, e, o.free[i].Address), true
}

// collectFree sets o.free to the targets with a free slot that the entry does
// not exclude. It reports false if there are none or no grant may be made.
func (o *Owner) collectFree(now snipetime.Instant, e *entry) bool {
	if o.recovery.active || !now.Before(o.lease) {
		return false
	}
	o.free = o.free[:0]
	for _, t := range o.order {
		if t.free() > 0 && !slices.Contains(e.acquire.Excluded, t.Address) {
			o.free = append(o.free, sniperoute.Candidate{Address: t.Address, Used: t.used, Slots: t.Slots})
		}
	}
	return len(o.free) > 0
}

// dispatch grants free slots to queued requests in deadline order.
func (o *Owner) dispatch(now snipetime.Instant) []Reply {
	if o.recovery.active || !now.Before(o.lease) {
		return nil
	}
	var replies []Reply
	free := o.freeSlots()
	for i := 0; i < len(o.queue.entries) && free > 0; {
		e := o.queue.entries[i]
		if !now.Before(e.giveUp) {
			replies = append(replies, o.expire(now, e))
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
	return o.offerFirst(now, replies)
}

// expire returns the refusal of an entry whose wait has ended.
func (o *Owner) expire(now snipetime.Instant, e *entry) Reply {
	if now.Before(e.deadline) {
		return o.reply(e.acquire, Refused, ReasonNoSlot, o.expectedWait(len(o.queue.entries)))
	}
	return o.reply(e.acquire, Refused, ReasonDeadline, 0)
}
