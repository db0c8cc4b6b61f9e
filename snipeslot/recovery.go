package snipeslot

import (
	"slices"

	"github.com/snipemoor/snipemoor/snipetime"
)

// recovery records who has reported to a new owner.
type recovery struct {
	active bool
	// until is the instant at which every grant of the former owner has ended.
	until snipetime.Instant
	// known is set once the members have been stated.
	known bool
	// members holds the latest incarnation by address.
	members map[string]string
	// dead holds incarnations that were replaced at their address.
	dead map[Member]bool
	// sequences holds the latest list of each member.
	sequences map[Member]uint64
}

func newRecovery(until snipetime.Instant) recovery {
	return recovery{
		active:    true,
		until:     until,
		members:   map[string]string{},
		dead:      map[Member]bool{},
		sequences: map[Member]uint64{},
	}
}

// complete reports whether every member has reported. Members stay required
// when they leave the list, because the list may lag or omit a paused one.
func (r *recovery) complete() bool {
	for address, incarnation := range r.members {
		if r.sequences[Member{address, incarnation}] == 0 {
			return false
		}
	}
	return r.known
}

// SetMembers states the instances of the region. During recovery each of them
// must report. A new incarnation at an address proves that the former one is
// dead, so that its grants and requests end.
func (o *Owner) SetMembers(now snipetime.Instant, members []Member) []Reply {
	r := &o.recovery
	for _, m := range members {
		if r.dead[m] {
			continue
		}
		if old, ok := r.members[m.Address]; ok && old != m.Incarnation {
			o.bury(Member{m.Address, old})
		}
		r.members[m.Address] = m.Incarnation
	}
	r.known = r.known || len(members) > 0
	o.endHolds(now)
	o.finishRecovery()
	return o.dispatch(now)
}

func (o *Owner) bury(m Member) {
	o.recovery.dead[m] = true
	delete(o.recovery.sequences, m)
	o.addForeign(o.reports[m].counted, -1)
	delete(o.reports, m)
	for _, g := range o.grants {
		if g.from == m {
			o.drop(g)
		}
	}
	o.queue.entries = slices.DeleteFunc(o.queue.entries, func(e *entry) bool { return e.acquire.From == m })
}

func (o *Owner) finishRecovery() {
	if o.recovery.active && o.recovery.complete() {
		o.recovery.active = false
	}
}

// Renew prolongs the grants of a member's running attempts. In recovery it is
// the member's report and its attempts are adopted. A grant that was listed
// before and is missing now has ended, and its release was lost.
func (o *Owner) Renew(now snipetime.Instant, r Renew) (RenewReply, []Reply) {
	reply := RenewReply{Group: r.Group, Epoch: r.Epoch, Sequence: r.Sequence}
	if r.Epoch != o.settings.Epoch || !now.Before(o.lease) || o.recovery.dead[r.From] {
		return reply, nil
	}
	if r.Sequence <= o.recovery.sequences[r.From] {
		return reply, nil
	}
	o.recovery.sequences[r.From] = r.Sequence
	reply.Accepted = true
	o.setReport(now, r)
	listed := make(map[uint64]bool, len(r.Attempts))
	for _, a := range r.Attempts {
		listed[a.GrantID] = true
		if !o.renewOne(now, r.From, a) {
			reply.Unknown = append(reply.Unknown, a.AttemptID)
		}
	}
	for id, g := range o.grants {
		if g.from == r.From && g.confirmed && !listed[id] {
			o.drop(g)
		}
	}
	o.finishRecovery()
	return reply, o.dispatch(now)
}

func (o *Owner) renewOne(now snipetime.Instant, from Member, a Running) bool {
	g := o.grants[a.GrantID]
	if g == nil && o.recovery.active {
		g = &grant{from: from, granted: now, reply: Reply{GrantID: a.GrantID, AttemptID: a.AttemptID, Target: a.Target}}
		o.add(g)
		o.target(a.Target).used++
	}
	if g == nil || g.from != from {
		return false
	}
	if g.reply.AttemptID != a.AttemptID {
		o.move(now, g, a.AttemptID)
	}
	g.confirmed = true
	g.expires = now.Add(o.settings.TimeToLive)
	return true
}
