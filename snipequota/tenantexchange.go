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
	// reportShare is the fraction of the equal part of a quota above which the demand at a
	// front is reported, and reportRetention is how long it is reported after that.
	reportShare     = 0.25
	reportRetention = 3 * time.Second
	// farNoticePeriod is the number of notices of which one names a tenant that is not near
	// its quota. A jump of the demand at the fronts of the watcher alone brings it near.
	farNoticePeriod = 4
	// seriesUnit is the value of one series in the counters that fronts report. The
	// count of a series stands below it; both are exact in a float64 for 1.7 years.
	seriesUnit = 1 << 24
	// maxSeriesCount is the count after which the next series begins.
	maxSeriesCount = seriesUnit / 2
	// seriesInterval is the least time between the beginnings of two series of a tenant,
	// on average.
	seriesInterval = 100 * time.Millisecond
)

// nextSeries returns the number of a series that begins now, after the series last. It is
// derived from the time, so that series increase although the state of idle tenants is
// removed.
func nextSeries(now snipetime.Instant, last uint64) uint64 {
	return max(last+1, uint64(max(now, 0))/uint64(seriesInterval))
}

// ReportTenants implements snipefeed.TenantExchange.
func (q *TenantQuotas) ReportTenants(now snipetime.Instant, watcher string) []snipefeed.TenantUsage {
	if q.watches() && watcher != q.ownAddress() {
		return nil // it counts its own usage
	}
	q.mu.Lock()
	changed := q.reportedTo != watcher
	q.reportedTo = watcher
	q.mu.Unlock()
	var out []snipefeed.TenantUsage
	fronts := q.numFronts()
	q.eachEntry(func(name string, e *entry) {
		quiet := !now.Before(e.reportUntil)
		own := e.demand.rate(now)
		if own > reportShare*e.quota.PerSecond/fronts {
			e.reportUntil = now.Add(reportRetention)
		}
		if changed || quiet || e.admitted > maxSeriesCount {
			e.beginSeries(now)
		}
		if now.Before(e.reportUntil) {
			out = append(out, snipefeed.TenantUsage{Tenant: name, Admitted: e.report(), Demand: own})
		}
	})
	return out
}

// eachEntry calls f for each entry under the lock of its shard.
func (q *TenantQuotas) eachEntry(f func(name string, e *entry)) {
	for i := range q.shards {
		s := &q.shards[i]
		s.mu.Lock()
		for name, e := range s.entries {
			f(name, e)
		}
		s.mu.Unlock()
	}
}

// beginSeries begins a series of the counter, for another watcher or after a time without
// reports. It begins with what no watcher has acknowledged.
func (e *entry) beginSeries(now snipetime.Instant) {
	e.series = nextSeries(now, e.series)
	e.admitted = max(e.admitted-e.acknowledged, 0)
	e.sent, e.acknowledged = 0, 0
}

// report returns the counter to be sent. Returned tokens lower later increments only,
// because a lower counter is taken for a late message.
func (e *entry) report() float64 {
	e.sent = max(e.sent, e.admitted)
	return float64(e.series)*seriesUnit + e.sent
}

// acknowledge takes over that a watcher received a counter, and returns how many
// requests have been admitted since.
func (e *entry) acknowledge(counter float64) float64 {
	first := float64(e.series) * seriesUnit
	if counter < first {
		return e.admitted
	}
	e.acknowledged = max(e.acknowledged, counter-first)
	return max(e.admitted-(counter-first), 0)
}

// ApplyTenantLevels implements snipefeed.TenantExchange.
func (q *TenantQuotas) ApplyTenantLevels(sent, now snipetime.Instant, watcher string, reported, levels []snipefeed.TenantUsage) {
	counters := make(map[string]float64, len(reported))
	for i := range reported {
		counters[reported[i].Tenant] = reported[i].Admitted
	}
	named := make(map[string]*snipefeed.TenantUsage, len(levels))
	for i := range levels {
		named[levels[i].Tenant] = &levels[i]
	}
	_, complete := named[""] // as TenantLevels marks it
	if !complete || now.Sub(sent) > levelValidity || q.watches() && watcher != q.ownAddress() {
		return
	}
	q.heardAt.Store(max(q.heardAt.Load(), int64(sent)))
	q.heardSince.CompareAndSwap(math.MaxInt64, int64(sent))
	delete(named, "")
	q.addNamed(now, named)
	k := q.knowledge(now)
	q.eachEntry(func(name string, e *entry) {
		unreported := min(e.admitted-e.acknowledged, e.demand.rate(now)*demandMeasureTime.Seconds()+1)
		if c, ok := counters[name]; ok {
			unreported = e.acknowledge(c)
		}
		u := named[name]
		if u == nil {
			e.clear(now, watcher, k)
			return
		}
		e.apply(now, u.Level-unreported, u, watcher, k)
	})
}

// addNamed adds entries for tenants that are near their quotas, so that their first
// request at this front meets the level.
func (q *TenantQuotas) addNamed(now snipetime.Instant, named map[string]*snipefeed.TenantUsage) {
	for name := range named {
		t := q.tenants.Tenant(name)
		if t == nil || !t.Quota.Limited() {
			continue
		}
		s := q.shardOf(name)
		s.mu.Lock()
		if s.entries[name] == nil {
			q.addEntry(now, s, t)
		}
		s.mu.Unlock()
	}
}

// TenantNotice is what a watcher tells the other watchers.
type TenantNotice struct {
	// Peers are the peer addresses to tell.
	Peers []string
	// Fronts is the number of fronts that ask the watcher, itself included.
	Fronts int
	Usage  []snipefeed.TenantUsage
}

// Tick follows changes of the fronts and of the configuration. On a watcher, it also
// adds the usage at this front, and returns what to tell the other watchers. It is called
// several times per second.
func (q *TenantQuotas) Tick(now snipetime.Instant) TenantNotice {
	q.sweep(now)
	q.mu.Lock()
	q.updateMembership(now)
	q.mu.Unlock()
	if !q.watches() {
		return TenantNotice{}
	}
	own := q.ownAddress()
	reported := q.ReportTenants(now, own)
	q.MergeTenants(now, snipefeed.Sender{Address: own}, reported)
	q.ApplyTenantLevels(now, now, own, reported, q.TenantLevels(now))
	return q.notice(now)
}

// watches reports whether this front is a watcher of its group.
func (q *TenantQuotas) watches() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.watch.membership.watches
}

// ownAddress returns what identifies this front among the fronts that ask it.
func (q *TenantQuotas) ownAddress() string { return q.self.Name + "/own" }

// notice returns what to tell the other watchers; nothing if no tenant has been reported
// for activeRetention.
func (q *TenantQuotas) notice(now snipetime.Instant) TenantNotice {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.watch.forget(now)
	if !q.watch.active(now) {
		return TenantNotice{}
	}
	q.watch.ticks++
	n := TenantNotice{Fronts: q.watch.ownFronts(now), Peers: q.otherWatchers()}
	for name, b := range q.watch.buckets {
		quota, limited := q.limitOf(name)
		if limited {
			b.endReports(now, quota.PerSecond)
		}
		q.refillBucket(now, name, b)
		demand, reported := b.ownDemand(now)
		due := (q.watch.ticks+b.series)%farNoticePeriod == 0 || isNear(b.level, b.demand(now), quota, noticeNearShare)
		if !reported || !due {
			continue
		}
		n.Usage = append(n.Usage, snipefeed.TenantUsage{
			Tenant: name, Admitted: b.counter(now), Demand: demand, Level: b.level, LevelKnown: q.established(now),
		})
	}
	return n
}

// otherWatchers returns the peer addresses of the watchers of all groups but this front.
func (q *TenantQuotas) otherWatchers() []string {
	m := &q.watch.membership
	groups := m.current()
	all := append(groups.WatchersOfOthers(m.own), groups.Watchers(m.own)...)
	i := indexOf(all, q.self.Name)
	if i >= 0 {
		all = append(all[:i:i], all[i+1:]...)
	}
	return peerAddresses(all)
}

// updateMembership takes over the fronts of the current view.
func (q *TenantQuotas) updateMembership(now snipetime.Instant) {
	w := &q.watch
	watched := w.membership.watches
	members := q.fleet.View().Members()
	if !snipefleet.SameSlice(w.membership.members, members) {
		w.noteDepartures(now, members)
	}
	w.membership.update(now, q.self, members)
	if !watched && w.membership.watches {
		w.restart()
	}
	count := len(members)
	if indexOf(members, q.self.Name) < 0 {
		count++
	}
	q.initialShare.Store(math.Float64bits(capacityShare(q.self, members)))
	q.fronts.Store(int64(max(count, 1)))
}

// limitOf returns the enforced quota of a tenant, and false if it has none.
func (q *TenantQuotas) limitOf(name string) (snipetable.Quota, bool) {
	t := q.tenants.Tenant(name)
	if t == nil || !t.Quota.Limited() {
		return snipetable.Quota{}, false
	}
	return enforced(t.Quota), true
}
