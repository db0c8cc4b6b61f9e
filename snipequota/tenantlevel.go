package snipequota

import (
	"math"
	"time"

	"github.com/snipemoor/snipemoor/snipefeed"
	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipetable"
	"github.com/snipemoor/snipemoor/snipetime"
)

const (
	// silenceTime is the time without a report after which a front is not heard, and a part
	// of each quota is reserved for it.
	silenceTime = 2 * time.Second
	// noticeSilenceTime is the same for the notices of another watcher, which come every
	// 250 ms. Until then, a watcher that is cut off admits as if the others were idle.
	noticeSilenceTime = 750 * time.Millisecond
	// departureTime is how long a front that has left the membership may still admit
	// its equal part.
	departureTime = 15 * time.Second
	// usageRetention is how long the counter of a sender is kept without a report.
	usageRetention = 4 * time.Second
	// listenTime is the time for which a new watcher only listens.
	listenTime = 750 * time.Millisecond
	// learnTime is the time after which a watcher knows the level of a tenant that no
	// other watcher names: the burst.
	learnTime = 5 * time.Second
	// startShare is the fraction of the burst at which the level begins before that, and
	// that all fronts together begin with. With more, a tenant that jumps 2 s before all
	// fronts restart, which forget its overshoot, runs more requests than the bound.
	startShare = 0.1
	// activeRetention is the time after the last report about a tenant for which notices
	// are sent.
	activeRetention = time.Minute
	// nearShare is the ratio of the demand to the rate above which a tenant is near its
	// quota. It is also near with a level below the same fraction of the burst.
	// noticeNearShare is the demand above which notices name it each time: the first one
	// that shows a tenant near its quota must not be late.
	nearShare       = 0.75
	noticeNearShare = 0.6
)

// watchState is what a watcher knows.
type watchState struct {
	membership membership
	// departed holds the fronts that have left the membership, and when.
	departed map[string]snipetime.Instant
	// heard holds when a front last asked this one, by its address.
	heard map[string]snipetime.Instant
	// watchers holds the last notices of other watchers, by their addresses.
	watchers map[string]*watcherNotice
	// buckets holds the tenants that are in use, by name.
	buckets map[string]*bucket
	// ticks counts the notices.
	ticks uint64
	// activeSince and activeAt are when reports began, and when one last came.
	activeSince, activeAt snipetime.Instant
}

// watcherNotice is the last notice of another watcher, and the number of fronts that ask it.
type watcherNotice struct {
	fronts int
	at     snipetime.Instant
}

// heard reports whether the watcher sent a notice lately.
func (n *watcherNotice) heard(now snipetime.Instant) bool { return now.Sub(n.at) <= noticeSilenceTime }

func newWatchState() watchState {
	return watchState{
		departed: make(map[string]snipetime.Instant), heard: make(map[string]snipetime.Instant),
		watchers: make(map[string]*watcherNotice), buckets: make(map[string]*bucket),
		activeSince: math.MinInt64, activeAt: math.MinInt64,
	}
}

// restart forgets what an earlier time as a watcher left.
func (w *watchState) restart() {
	clear(w.heard)
	clear(w.watchers)
	clear(w.buckets)
	w.activeAt = math.MinInt64
}

// noteDepartures records the fronts that are not among the new members.
func (w *watchState) noteDepartures(now snipetime.Instant, members []snipefleet.Member) {
	present := make(map[string]bool, len(members))
	for i := range members {
		present[members[i].Name] = true
		delete(w.departed, members[i].Name)
	}
	for i := range w.membership.members {
		if name := w.membership.members[i].Name; !present[name] {
			w.departed[name] = now
		}
	}
}

// forget removes what is no longer of use.
func (w *watchState) forget(now snipetime.Instant) {
	for name, at := range w.departed {
		if now.Sub(at) > departureTime {
			delete(w.departed, name)
		}
	}
	for address, at := range w.heard {
		if now.Sub(at) > silenceTime {
			delete(w.heard, address)
		}
	}
	for address, n := range w.watchers {
		if now.Sub(n.at) > usageRetention {
			delete(w.watchers, address)
		}
	}
}

// ownFronts returns the number of fronts that ask this watcher, itself included.
func (w *watchState) ownFronts(now snipetime.Instant) int {
	n := 0
	for _, at := range w.heard {
		if now.Sub(at) <= silenceTime {
			n++
		}
	}
	return max(n, 1)
}

// unheard returns the number of fronts that may admit their equal part unheard.
func (q *TenantQuotas) unheard(now snipetime.Instant) float64 {
	w := &q.watch
	if now.Sub(max(w.activeSince, w.membership.watchesSince)) < silenceTime {
		return 0
	}
	heard := w.ownFronts(now)
	for _, n := range w.watchers {
		if n.heard(now) {
			heard += n.fronts
		}
	}
	return math.Max(q.numFronts()+float64(len(w.departed))-float64(heard), 0)
}

// reserved returns the share, from 0 to 1, of a tenant's quota that fronts may use which no
// watcher hears: their equal part, or what they asked for before if that is more. The fronts
// that ask this watcher keep their equal part, also if it hears of no others.
func (q *TenantQuotas) reserved(now snipetime.Instant, b *bucket, quota snipetable.Quota) float64 {
	fronts := q.numFronts()
	others := max(fronts-float64(q.watch.ownFronts(now)), 0)
	unheard := min(q.unheard(now), others)
	if unheard == 0 {
		return 0
	}
	return min(max(unheard, fronts*b.silentShare(now, quota.PerSecond)), others) / fronts
}

// noteActive records that a tenant with a quota is in use.
func (w *watchState) noteActive(now snipetime.Instant) {
	if w.activeAt == math.MinInt64 || now.Sub(w.activeAt) > activeRetention {
		w.activeSince = now
	}
	w.activeAt = now
}

// active reports whether notices are to be sent.
func (w *watchState) active(now snipetime.Instant) bool {
	return w.activeAt != math.MinInt64 && now.Sub(w.activeAt) <= activeRetention
}

// established reports whether this watcher knows the levels.
func (q *TenantQuotas) established(now snipetime.Instant) bool {
	return now.Sub(q.watch.membership.watchesSince) >= learnTime
}

// refillBucket adds the tokens since the last update. Changes of the quota apply to the
// time since then. It removes a bucket without a quota, and a full one without usage, from
// the state of the watcher.
func (q *TenantQuotas) refillBucket(now snipetime.Instant, name string, b *bucket) {
	quota, limited := q.limitOf(name)
	if !limited {
		delete(q.watch.buckets, name)
		return
	}
	perSecond := quota.PerSecond * (1 - q.reserved(now, b, quota))
	b.level = min(b.level+perSecond*max(now.Sub(b.at).Seconds(), 0), quota.Burst)
	b.at = max(b.at, now)
	if len(b.usage) == 0 && b.level >= quota.Burst {
		delete(q.watch.buckets, name)
	}
}

// bucketOf returns the bucket of a tenant, or nil if it has no quota.
func (q *TenantQuotas) bucketOf(now snipetime.Instant, name string) *bucket {
	quota, limited := q.limitOf(name)
	if !limited {
		return nil
	}
	if b := q.watch.buckets[name]; b != nil {
		q.refillBucket(now, name, b)
		q.watch.buckets[name] = b // refillBucket may have removed it
		return b
	}
	level := quota.Burst
	if !q.established(now) {
		level *= startShare
	}
	b := &bucket{level: level, at: now, series: nextSeries(now, 0), usage: make(map[snipefeed.Sender]*usage)}
	q.watch.buckets[name] = b
	return b
}

// MergeTenants implements snipefeed.TenantExchange.
func (q *TenantQuotas) MergeTenants(now snipetime.Instant, from snipefeed.Sender, reports []snipefeed.TenantUsage) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.updateMembership(now)
	if !q.watch.membership.watches {
		return
	}
	q.watch.heard[from.Address] = now
	for i := range reports {
		b := q.bucketOf(now, reports[i].Tenant)
		if b == nil {
			continue
		}
		q.watch.noteActive(now)
		b.merge(now, from, &reports[i], nil, q.established(now))
	}
}

// MergeTenantNotice implements snipefeed.TenantExchange.
func (q *TenantQuotas) MergeTenantNotice(now snipetime.Instant, from snipefeed.Sender, fronts int, reports []snipefeed.TenantUsage) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.updateMembership(now)
	if fronts == 0 || !q.watch.membership.watches {
		return
	}
	notice := q.watch.watchers[from.Address]
	if notice == nil {
		notice = &watcherNotice{}
		q.watch.watchers[from.Address] = notice
	}
	notice.fronts, notice.at = fronts, now
	for i := range reports {
		r := &reports[i]
		b := q.bucketOf(now, r.Tenant)
		if b == nil {
			continue
		}
		q.watch.noteActive(now)
		b.merge(now, from, r, notice, q.established(now))
		if r.LevelKnown && !q.established(now) {
			b.level = min(b.level, r.Level)
		}
	}
}

// TenantLevels implements snipefeed.TenantExchange.
func (q *TenantQuotas) TenantLevels(now snipetime.Instant) []snipefeed.TenantUsage {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.updateMembership(now)
	m := &q.watch.membership
	if !m.watches || now.Sub(m.watchesSince) < listenTime {
		return nil
	}
	out := []snipefeed.TenantUsage{{}} // The entry without a name marks a complete answer.
	for name, b := range q.watch.buckets {
		q.refillBucket(now, name, b)
		quota, limited := q.limitOf(name)
		if !limited {
			continue
		}
		level := b.available(q.reserved(now, b, quota), quota)
		demand := b.demand(now)
		if isNear(level, demand, quota, nearShare) {
			out = append(out, snipefeed.TenantUsage{Tenant: name, Demand: demand, Level: level, LevelKnown: q.established(now)})
		}
	}
	return out
}
