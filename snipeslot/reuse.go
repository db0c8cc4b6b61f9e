package snipeslot

import (
	"time"

	"github.com/snipemoor/snipemoor/sniperoute"
	"github.com/snipemoor/snipemoor/snipetime"
)

const (
	// maximumReuseEntries is the number of queued requests, from the head, that
	// their members may start under the grant of a completed attempt. A release
	// and a new grant leave a slot idle for a round trip, which reuse of the grant
	// avoids. The bound limits how many requests with later deadlines can overtake
	// a request.
	maximumReuseEntries = 12
	// reuseWindow bounds the age of a request that reuses a grant, so that every
	// member stops using a target within this time after the owner does.
	reuseWindow = time.Second
)

// allowReuse returns the reply that permits the member to start the entry under
// the grant of a completed attempt, unless the entry is too old.
func (o *Owner) allowReuse(now snipetime.Instant, e *queueEntry, blocked []string) Reply {
	e.mayReuse = now.Sub(e.arrived) < reuseWindow
	r := o.newReply(e.acquire, Queued, ReasonNone, 0)
	r.MayReuseGrant, r.ReuseBlocked = e.mayReuse, blocked
	return r
}

// allowReuseAtHead appends the permissions of entries that have come near the
// head of the queue and have none yet.
func (o *Owner) allowReuseAtHead(now snipetime.Instant, replies []Reply) []Reply {
	var blocked []string
	computed := false
	for _, e := range o.queue.entries[:min(maximumReuseEntries, len(o.queue.entries))] {
		if e.mayReuse || now.Sub(e.arrived) >= reuseWindow {
			continue
		}
		if !computed {
			blocked, computed = o.blockedTargets(now), true
		}
		replies = append(replies, o.allowReuse(now, e, blocked))
	}
	return replies
}

// blockedTargets returns the targets whose grants may not be reused: those that
// are draining, removed, above their slots, ejected or in a slow start.
func (o *Owner) blockedTargets(now snipetime.Instant) []string {
	var blocked []string
	for _, t := range o.sortedTargets {
		candidate := append(o.candidates[:0], sniperoute.Candidate{Address: t.Address, Used: max(t.used-1, 0), Slots: t.Slots})
		if t.Draining || t.removed || t.used > t.Slots || o.chooser.Choose(now, candidate) < 0 {
			blocked = append(blocked, t.Address)
		}
	}
	return blocked
}

// reassign moves a grant to another attempt of the same member. A second grant
// of that attempt is removed, because the member does not start an attempt
// twice.
func (o *Owner) reassign(now snipetime.Instant, g *grant, attemptID string) {
	if other := o.attempts[attemptID]; other != nil && other != g {
		o.removeGrant(other)
	}
	if i := o.queue.find(attemptID); i >= 0 {
		o.queue.remove(i)
	}
	if o.attempts[g.reply.AttemptID] == g {
		delete(o.attempts, g.reply.AttemptID)
	}
	g.reply.AttemptID, g.grantedAt = attemptID, now
	o.attempts[attemptID] = g
}

// SetReuseBlocked sets a function that reports the targets at which ReuseGrant
// does not reuse a grant, such as those that are draining at this instance.
func (h *Holder) SetReuseBlocked(blocked func(target string) bool) { h.reuseBlocked = blocked }

// ReuseGrant ends an attempt with OutcomeDone and starts a queued request of this
// instance under its grant. It returns the release to send and the attempt that
// runs now. It reports false and changes nothing if the attempt is not running
// or no request may reuse its grant; the caller must then call Finish.
func (h *Holder) ReuseGrant(now snipetime.Instant, attemptID string, latency time.Duration) (Release, Running, bool) {
	run := h.running[attemptID]
	if run == nil || !now.Before(run.expiresAt) || !h.assignment.assigns(run.Target, run.group) {
		return Release{}, Running{}, false
	}
	if h.reuseBlocked != nil && h.reuseBlocked(run.Target) {
		return Release{}, Running{}, false
	}
	next, p := h.nextForReuse(now, run)
	if p == nil {
		return Release{}, Running{}, false
	}
	release, _ := h.Finish(attemptID, OutcomeDone, latency)
	release.Next = next
	h.removePending(next, p)
	successor := &runningAttempt{group: run.group, Running: run.Running, expiresAt: run.expiresAt}
	successor.AttemptID = next
	h.addRunning(successor)
	return release, successor.Running, true
}

// nextForReuse returns the queued request with the earliest deadline that may
// reuse the grant of the running attempt, or nil.
func (h *Holder) nextForReuse(now snipetime.Instant, run *runningAttempt) (next string, best *pendingRequest) {
	for id := range h.groups[run.group].mayReuse {
		p := h.pending[id]
		if !now.Before(p.reuseDeadline) || p.blocks(run.Target) || !h.inGroupSinceSent(p, run.Target) {
			continue
		}
		if best == nil || p.deadline < best.deadline || p.deadline == best.deadline && id < next {
			best, next = p, id
		}
	}
	return next, best
}
