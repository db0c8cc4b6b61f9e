package snipeslot

import (
	"slices"

	"github.com/snipemoor/snipemoor/snipetime"
)

// recovery is the period after a change of owner in which the new owner grants
// nothing, with the members whose reports it waits for.
type recovery struct {
	active bool
	// until is the instant by which every grant of the former owner has expired.
	until snipetime.Instant
	// membersKnown is set once SetMembers has passed a member.
	membersKnown bool
	// members holds the latest incarnation by address.
	members map[string]string
	// replaced holds the incarnations that a newer one at their address has
	// replaced.
	replaced map[Member]bool
	// lastSequence holds the sequence number of the latest list of each member.
	lastSequence map[Member]uint64
}

func newRecovery(until snipetime.Instant) recovery {
	return recovery{
		active:       true,
		until:        until,
		members:      map[string]string{},
		replaced:     map[Member]bool{},
		lastSequence: map[Member]uint64{},
	}
}

// complete reports whether every member has reported. A member that leaves the
// list of members must still report, because the list may lag or omit a paused
// member.
func (r *recovery) complete() bool {
	for address, incarnation := range r.members {
		if r.lastSequence[Member{address, incarnation}] == 0 {
			return false
		}
	}
	return r.membersKnown
}

// SetMembers sets the instances of the region and returns the replies to queued
// requests that it serves. During recovery each instance must report. A new
// incarnation at an address proves that the process of the former one has ended,
// so its grants and requests are removed.
func (o *Owner) SetMembers(now snipetime.Instant, members []Member) []Reply {
	r := &o.recovery
	for _, m := range members {
		if r.replaced[m] {
			continue
		}
		if old, ok := r.members[m.Address]; ok && old != m.Incarnation {
			o.removeReplaced(Member{m.Address, old})
		}
		r.members[m.Address] = m.Incarnation
	}
	r.membersKnown = r.membersKnown || len(members) > 0
	o.releaseHolds(now)
	o.endRecoveryIfComplete()
	return o.dispatch(now)
}

// removeReplaced removes the grants, requests and reports of an incarnation that
// was replaced.
func (o *Owner) removeReplaced(m Member) {
	o.recovery.replaced[m] = true
	delete(o.recovery.lastSequence, m)
	o.addForeign(o.reports[m].appliedForeign, -1)
	delete(o.reports, m)
	for _, g := range o.grants {
		if g.from == m {
			o.removeGrant(g)
		}
	}
	o.queue.entries = slices.DeleteFunc(o.queue.entries, func(e *queueEntry) bool { return e.acquire.From == m })
}

func (o *Owner) endRecoveryIfComplete() {
	if o.recovery.active && o.recovery.complete() {
		o.recovery.active = false
	}
}

// Renew extends the grants of a member's running attempts and returns the replies
// to queued requests that it serves. In recovery the list is the member's report,
// and the owner records a grant for each attempt in it. A grant that was listed
// before and is missing now has ended, and its release was lost.
func (o *Owner) Renew(now snipetime.Instant, r Renew) (RenewReply, []Reply) {
	reply := RenewReply{Group: r.Group, Epoch: r.Epoch, Sequence: r.Sequence}
	if r.Epoch != o.settings.Epoch || !now.Before(o.leaseEnd) || o.recovery.replaced[r.From] {
		return reply, nil
	}
	if r.Sequence <= o.recovery.lastSequence[r.From] {
		return reply, nil
	}
	o.recovery.lastSequence[r.From] = r.Sequence
	reply.Accepted = true
	o.recordReport(now, r)
	listed := make(map[uint64]bool, len(r.Attempts))
	for _, a := range r.Attempts {
		listed[a.GrantID] = true
		if !o.renewAttempt(now, r.From, a) {
			reply.Unknown = append(reply.Unknown, a.AttemptID)
		}
	}
	for id, g := range o.grants {
		if g.from == r.From && g.confirmed && !listed[id] {
			o.removeGrant(g)
		}
	}
	o.endRecoveryIfComplete()
	return reply, o.dispatch(now)
}

// renewAttempt extends the grant of one attempt. It reports false if the member
// has no such grant; in recovery it adds an unknown one.
func (o *Owner) renewAttempt(now snipetime.Instant, from Member, a Running) bool {
	g := o.grants[a.GrantID]
	if g == nil && o.recovery.active {
		g = &grant{from: from, grantedAt: now, reply: Reply{GrantID: a.GrantID, AttemptID: a.AttemptID, Target: a.Target}}
		o.addGrant(g)
		o.targetOrNew(a.Target).used++
	}
	if g == nil || g.from != from {
		return false
	}
	if g.reply.AttemptID != a.AttemptID {
		o.reassign(now, g, a.AttemptID)
	}
	g.confirmed = true
	g.expiresAt = now.Add(o.settings.TimeToLive)
	return true
}
