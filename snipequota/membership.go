package snipequota

import (
	"cmp"
	"slices"
	"time"

	"github.com/snipemoor/snipemoor/snipefeed"
	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipetime"
)

const (
	// membershipDelay is the time after a change of the fronts for which a share that
	// grows by it is not used yet. All fronts know of the change by then.
	membershipDelay = 3 * time.Second
	// minSenderRate is the least rate, in requests per second, of a sender's equal
	// share. It keeps the requests that all senders may send at once few.
	minSenderRate = 1.0
)

// membership is the division of the fronts into groups, now and lately.
type membership struct {
	members []snipefleet.Member
	// divisions holds the current division, and before it those that were replaced less
	// than membershipDelay ago. The first one, before any is known, has no groups.
	divisions []division
	// version changes with divisions.
	version uint64
	// own is the group of this front.
	own snipefeed.Group
	// watches is set if this front is a watcher of its group, and watchesSince is when
	// it became one.
	watches      bool
	watchesSince snipetime.Instant
}

// division is the division of the fronts into groups at a time.
type division struct {
	groups snipefeed.Groups
	// replacedAt is when the next one replaced it.
	replacedAt snipetime.Instant
}

// updateMembership takes over the fronts of the current view. A front that becomes a
// watcher forgets what senders reported when it was one before.
func (t *Table) updateMembership(now snipetime.Instant) {
	watched := t.membership.watches
	t.membership.update(now, t.self, t.fleet.View().Members())
	if watched || !t.membership.watches {
		return
	}
	for _, q := range t.quotas {
		clear(q.clients)
	}
}

// update takes over the members of a view.
func (m *membership) update(now snipetime.Instant, self snipefleet.Member, members []snipefleet.Member) {
	if len(m.divisions) == 0 {
		m.divisions = []division{{}}
	}
	for len(m.divisions) > 1 && now.Sub(m.divisions[0].replacedAt) >= membershipDelay {
		m.divisions = m.divisions[1:]
		m.version++
	}
	if snipefleet.SameSlice(m.members, members) {
		return
	}
	m.members = members
	m.version++
	m.divisions[len(m.divisions)-1].replacedAt = now
	groups := snipefeed.NewGroups(self, withPeerAddress(members))
	m.divisions = append(m.divisions, division{groups: groups})
	m.own = groups.At(self.Place)
	watches := indexOf(groups.Watchers(m.own), self.Name) >= 0
	if watches && !m.watches {
		m.watchesSince = now
	}
	m.watches = watches
}

// withPeerAddress returns the members with their names as the missing peer addresses,
// because a front without one sends to targets too.
func withPeerAddress(members []snipefleet.Member) []snipefleet.Member {
	out := slices.Clone(members)
	for i := range out {
		out[i].Peer = cmp.Or(out[i].Peer, out[i].Name)
	}
	return out
}

// current returns the current division.
func (m *membership) current() snipefeed.Groups { return m.divisions[len(m.divisions)-1].groups }

func indexOf(members []snipefleet.Member, name string) int {
	return slices.IndexFunc(members, func(m snipefleet.Member) bool { return m.Name == name })
}

// senders returns the fronts that may send to a limited target: of the group nearest
// to it, those with the highest rendezvous weights for it.
func senders(groups snipefeed.Groups, target *snipefleet.Target, perSecond float64) []snipefleet.Member {
	fronts := slices.Clone(groups.Fronts(groups.Nearest(target.Place)))
	slices.SortFunc(fronts, func(a, b snipefleet.Member) int {
		return cmp.Compare(snipefleet.RendezvousWeight(b.Name, target.ID), snipefleet.RendezvousWeight(a.Name, target.ID))
	})
	n := min(len(fronts), max(1, int(perSecond/minSenderRate)))
	return fronts[:n]
}

// equalShare is the share of a front in a limit without a lease.
type equalShare struct {
	// version and perSecond are those for which the share was computed.
	version   uint64
	perSecond float64
	valid     bool
	// share is 0 for a front that is not a sender.
	share float64
	// senders are the current senders.
	senders []snipefleet.Member
}

// equal returns the equal share of this front in the limit of q: the least one
// according to the divisions of the last membershipDelay.
func (t *Table) equal(q *quota) equalShare {
	e := &q.equal
	if e.valid && e.version == t.membership.version && e.perSecond == q.noted.PerSecond {
		return *e
	}
	*e = equalShare{version: t.membership.version, perSecond: q.noted.PerSecond, valid: true, share: 1}
	for _, d := range t.membership.divisions {
		e.senders = senders(d.groups, q.target, q.noted.PerSecond)
		if indexOf(e.senders, t.self.Name) < 0 {
			e.share = 0
			continue
		}
		e.share = min(e.share, 1/float64(len(e.senders)))
	}
	return *e
}
