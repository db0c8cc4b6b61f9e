package snipeslot

import (
	"time"

	"github.com/snipemoor/snipemoor/sniperoute"
	"github.com/snipemoor/snipemoor/snipetime"
)

const (
	// takeOverFirst is the number of queued requests, from the head, that their
	// members may start under a grant that they have. A release and a new grant
	// leave a slot idle for a round trip, which the take-over saves. The bound
	// limits by how many places a request is overtaken by later deadlines.
	takeOverFirst = 12
	// takeOverFor bounds the age of a request that takes over, so that a target
	// that the owner stops using is out of use within this time everywhere.
	takeOverFor = time.Second
)

// offer returns the reply that permits the member to take over.
func (o *Owner) offer(now snipetime.Instant, e *entry, barred []string) Reply {
	e.offered = now.Sub(e.arrived) < takeOverFor
	r := o.reply(e.acquire, Queued, ReasonNone, 0)
	r.TakeOver, r.Barred = e.offered, barred
	return r
}

// offerFirst appends the permissions of requests that have come near the head.
func (o *Owner) offerFirst(now snipetime.Instant, replies []Reply) []Reply {
	var barred []string
	known := false
	for _, e := range o.queue.entries[:min(takeOverFirst, len(o.queue.entries))] {
		if e.offered || now.Sub(e.arrived) >= takeOverFor {
			continue
		}
		if !known {
			barred, known = o.barred(now), true
		}
		replies = append(replies, o.offer(now, e, barred))
	}
	return replies
}

// barred returns the targets whose grants end with their attempts: those that
// are leaving, above their slots, ejected or in a slow start.
func (o *Owner) barred(now snipetime.Instant) []string {
	var barred []string
	for _, t := range o.order {
		one := append(o.free[:0], sniperoute.Candidate{Address: t.Address, Used: max(t.used-1, 0), Slots: t.Slots})
		if t.Draining || t.removed || t.used > t.Slots || o.chooser.Choose(now, one) < 0 {
			barred = append(barred, t.Address)
		}
	}
	return barred
}

// move gives a grant to another attempt of the same member. A second grant of
// that attempt ends, because its member does not start an attempt twice.
func (o *Owner) move(now snipetime.Instant, g *grant, attemptID string) {
	if other := o.attempts[attemptID]; other != nil && other != g {
		o.drop(other)
	}
	if i := o.queue.find(attemptID); i >= 0 {
		o.queue.remove(i)
	}
	if o.attempts[g.reply.AttemptID] == g {
		delete(o.attempts, g.reply.AttemptID)
	}
	g.reply.AttemptID, g.granted = attemptID, now
	o.attempts[attemptID] = g
}

// SetBarred states which targets receive no new attempt by a take-over, such as
// those that this instance knows to be draining.
func (h *Holder) SetBarred(barred func(target string) bool) { h.barred = barred }

// HandOver ends an attempt with OutcomeDone and starts a queued request of this
// instance under its grant. It returns the release to send and the attempt that
// runs now. It reports false and changes nothing if the attempt is not running
// or no request may take over; Finish is to be called then.
func (h *Holder) HandOver(now snipetime.Instant, attemptID string, latency time.Duration) (Release, Running, bool) {
	run := h.running[attemptID]
	if run == nil || !now.Before(run.until) || !h.assigned.belongs(run.Target, run.group) {
		return Release{}, Running{}, false
	}
	if h.barred != nil && h.barred(run.Target) {
		return Release{}, Running{}, false
	}
	next, p := h.nextTakeOver(now, run)
	if p == nil {
		return Release{}, Running{}, false
	}
	release, _ := h.Finish(attemptID, OutcomeDone, latency)
	release.Next = next
	h.forget(next, p)
	successor := &held{group: run.group, Running: run.Running, until: run.until}
	successor.AttemptID = next
	h.start(successor)
	return release, successor.Running, true
}

// nextTakeOver returns the waiting request with the earliest deadline that may
// use the target, or nil.
func (h *Holder) nextTakeOver(now snipetime.Instant, run *held) (next string, best *pending) {
	for id := range h.groups[run.group].offered {
		p := h.pending[id]
		if !now.Before(p.latest) || p.bars(run.Target) || !h.usable(p, run.Target) {
			continue
		}
		if best == nil || p.deadline < best.deadline || p.deadline == best.deadline && id < next {
			best, next = p, id
		}
	}
	return next, best
}
