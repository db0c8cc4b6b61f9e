package snipequota

import (
	"slices"
	"time"

	"github.com/snipemoor/snipemoor/snipefeed"
	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipetime"
)

const (
	// leaseDuration is how long a leased share may be used, from the sending of the
	// request for it.
	leaseDuration = 2 * time.Second
	// expiryCaution is the time after the end of a lease for which a share that is below
	// the equal share does not grow to it, because the watcher can have leased the rest.
	expiryCaution = leaseDuration + time.Second
	// learningTime is the time after which the leases of an earlier watcher have ended
	// and all fronts know the new one.
	learningTime = leaseDuration + membershipDelay
	// demandHeadroom is the factor by which a leased share exceeds the measured demand.
	demandHeadroom = 1.25
	// minShareFactor is the part of its equal share that each sender keeps, so that it
	// can serve new demand at once.
	minShareFactor = 0.25
)

// lease is a leased share of a limit. The zero value is no lease.
type lease struct {
	leased float64
	until  snipetime.Instant
}

// share returns the share that may be used at now. equal is the share without a lease.
func (l lease) share(now snipetime.Instant, equal float64) float64 {
	switch {
	case l.held(now):
		return l.leased
	case l.until != 0 && now.Before(l.until.Add(expiryCaution)):
		return min(l.leased, equal)
	default:
		return equal
	}
}

// held reports whether the lease has not ended.
func (l lease) held(now snipetime.Instant) bool { return now.Before(l.until) }

// client is what a watcher knows of a sender.
type client struct {
	// demand is in requests per second.
	demand float64
	// inUse is the share that the sender used when it last reported, and leased is the
	// one that it was leased since then. It can use either until reservedUntil.
	inUse, leased float64
	// holdsLease is set if inUse is a leased share. Otherwise it can grow to the equal
	// share at any time.
	holdsLease    bool
	reservedUntil snipetime.Instant
}

// heard reports whether the sender reported lately.
func (c *client) heard(now snipetime.Instant) bool { return c != nil && now.Before(c.reservedUntil) }

// reserved returns the share that a sender may use until reservedUntil. equal is its
// share without a lease.
func (c *client) reserved(equal float64) float64 {
	if c.holdsLease {
		return max(c.inUse, c.leased)
	}
	return max(c.inUse, c.leased, equal)
}

// report records what a sender reports.
func (q *quota) report(now snipetime.Instant, name string, r *snipefeed.LimitReport) {
	q.clients[name] = &client{demand: r.Demand, inUse: r.Share, holdsLease: r.Leased, reservedUntil: now.Add(leaseDuration)}
}

// leaseFor leases a share of the limit of q to the sender name, which has reported. It
// returns false if name is no sender, the only one, or nothing may be leased yet.
func (t *Table) leaseFor(now snipetime.Instant, q *quota, name string) (share float64, ok bool) {
	list := t.equal(q).senders
	c := q.clients[name]
	if len(list) < 2 || indexOf(list, name) < 0 || !c.heard(now) {
		return 0, false
	}
	equal := 1 / float64(len(list))
	others, allHeard := 0.0, true
	for i := range list {
		if list[i].Name == name {
			continue
		}
		other := q.clients[list[i].Name]
		if !other.heard(now) {
			allHeard = false
			others += equal
			continue
		}
		others += other.reserved(equal)
	}
	if !allHeard && now.Sub(t.membership.watchesSince) < learningTime {
		return 0, false
	}
	share = min(q.fairShare(now, list, name), max(1-others, 0))
	c.leased = share
	c.reservedUntil = now.Add(leaseDuration)
	return share, true
}

// fairShare returns the max-min fair share of a sender by demand (Bertsekas and
// Gallager, 1992, section 6.5). Senders that have not reported keep their equal share,
// each other one gets minShareFactor of its own at least, and what no demand needs is
// divided equally.
func (q *quota) fairShare(now snipetime.Instant, list []snipefleet.Member, name string) float64 {
	equal := 1 / float64(len(list))
	var needs []float64
	ownNeed, left := 0.0, 1.0
	for i := range list {
		c := q.clients[list[i].Name]
		if !c.heard(now) {
			left -= equal
			continue
		}
		need := max(c.demand*demandHeadroom/max(q.statement.PerSecond, minLimit), minShareFactor*equal)
		if list[i].Name == name {
			ownNeed = need
		}
		needs = append(needs, need)
	}
	slices.Sort(needs)
	for i, need := range needs {
		part := left / float64(len(needs)-i)
		if need > part {
			return min(ownNeed, part)
		}
		left -= need
	}
	return ownNeed + left/float64(len(needs))
}
