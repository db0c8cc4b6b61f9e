package snipeplacement

import (
	"cmp"
	"slices"
	"time"

	"github.com/snipemoor/snipemoor/snipetime"
)

const (
	// demandWindow is the length of a window in which requests are counted by rank. The
	// current and the previous window count.
	demandWindow = 2 * time.Second
	// fullShortage is the share of the requests for a service, refused for lack of room,
	// from which the limits of a less urgent rank are at their lowest.
	fullShortage = 0.2
	// fullUrgency is the share of more urgent requests from which that is so. Few of them
	// need little room.
	fullUrgency = 0.5
	// lowestLimit is the part of the concurrency limits that a less urgent rank keeps
	// then. Its requests get the slots of a target, and do not wait there.
	lowestLimit = 0.5
	// minRankShare is the share of the requests for a service from which a rank counts as
	// one of several. Single requests by which operators test a route do not.
	minRankShare = 0.05
	// minServedShare is the part of the share served of all requests for a service below
	// which the requests of a rank have the limits of the most urgent one. No rank may be
	// served less than a quarter as often as all requests; the rest is a margin.
	minServedShare = 0.5
)

// rank is the urgency of a request. Lower numbers are more urgent, and tenant goes first.
type rank struct{ tenant, route int }

// rank returns the rank of the request. Without a tenant, it is that of a tenant of the
// highest priority.
func (q *Query) rank() rank {
	if q.Tenant == nil {
		return rank{0, q.Route.Priority}
	}
	return rank{q.Tenant.Priority, q.Route.Priority}
}

func (r rank) compare(other rank) int {
	return cmp.Or(cmp.Compare(r.tenant, other.tenant), cmp.Compare(r.route, other.route))
}

// rankCounts counts the requests of a rank in the current and the previous window.
type rankCounts struct {
	rank
	// offered counts the requests, and admitted those for which a target was chosen.
	offered, admitted windowCount
}

// windowCount is a number in the current and the previous window.
type windowCount struct{ current, previous int }

func (w *windowCount) rotate() { *w = windowCount{previous: w.current} }

func (w windowCount) sum() float64 { return float64(w.current + w.previous) }

// demand holds the recent requests for one service at this front, by rank.
type demand struct {
	windowStart snipetime.Instant
	// ranks is ordered, the most urgent first, and holds no rank without requests.
	ranks []rankCounts
	// short counts the requests that were refused at the limits of the most urgent rank.
	short windowCount
}

// rotate begins a new window if the current one is over.
func (d *demand) rotate(now snipetime.Instant) {
	elapsed := now.Sub(d.windowStart)
	if elapsed < demandWindow {
		return
	}
	d.windowStart = now
	if elapsed >= 2*demandWindow {
		d.ranks, d.short = d.ranks[:0], windowCount{}
		return
	}
	d.short.rotate()
	for i := range d.ranks {
		d.ranks[i].offered.rotate()
		d.ranks[i].admitted.rotate()
	}
	d.ranks = slices.DeleteFunc(d.ranks, func(c rankCounts) bool { return c.offered.previous == 0 })
}

// admit counts a request of the rank at an index for which a target was chosen.
func (d *demand) admit(index int) { d.ranks[index].admitted.current++ }

// refuse counts a request that was refused for lack of room. lowered is set if a target had
// room for a more urgent one.
func (d *demand) refuse(lowered bool) {
	if !lowered {
		d.short.current++
	}
}

// offer counts a request and returns the index of its rank, which holds until the next
// call.
func (d *demand) offer(now snipetime.Instant, r rank) int {
	d.rotate(now)
	i := 0
	for i < len(d.ranks) && d.ranks[i].compare(r) < 0 {
		i++
	}
	if i == len(d.ranks) || d.ranks[i].rank != r {
		d.ranks = slices.Insert(d.ranks, i, rankCounts{rank: r})
	}
	d.ranks[i].offered.current++
	return i
}

// ranked reports whether several ranks lately had minRankShare of the requests each.
func (d *demand) ranked() bool {
	if len(d.ranks) < 2 {
		return false
	}
	offered := 0.0
	for i := range d.ranks {
		offered += d.ranks[i].offered.sum()
	}
	n := 0
	for i := range d.ranks {
		if d.ranks[i].offered.sum() >= minRankShare*offered {
			n++
		}
	}
	return n > 1
}

// limitFactor returns the part of the concurrency limits of a target that the rank at an
// index keeps: all for the most urgent one, and while no requests are refused for lack of
// room. The more requests are refused, and the more of them are more urgent, the less.
func (d *demand) limitFactor(index int) float64 {
	if index == 0 || d.short == (windowCount{}) {
		return 1
	}
	offered, admitted, moreUrgent := 0.0, 0.0, 0.0
	for i := range d.ranks {
		if i == index {
			moreUrgent = offered
		}
		offered += d.ranks[i].offered.sum()
		admitted += d.ranks[i].admitted.sum()
	}
	if own := &d.ranks[index]; own.admitted.sum()*offered < minServedShare*admitted*own.offered.sum() {
		return 1
	}
	shortage := min(d.short.sum()/(offered*fullShortage), 1)
	return 1 - (1-lowestLimit)*shortage*min(moreUrgent/(offered*fullUrgency), 1)
}
