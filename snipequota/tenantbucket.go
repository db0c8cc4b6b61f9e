package snipequota

import (
	"math"

	"github.com/snipemoor/snipemoor/snipefeed"
	"github.com/snipemoor/snipemoor/snipetable"
	"github.com/snipemoor/snipemoor/snipetime"
)

// bucket is the token bucket of a tenant over all fronts.
type bucket struct {
	level float64
	at    snipetime.Instant
	// counted counts the admissions of the fronts that ask this watcher.
	counted float64
	series  uint64
	usage   map[snipefeed.Sender]*usage
}

// usage is what a front, or another watcher, last reported about a tenant.
type usage struct {
	counter, demand float64
	at              snipetime.Instant
	// notice is the last notice of the watcher, or nil for a front that asks this one.
	notice *watcherNotice
	// silent is set if the sender has not reported lately. assumed are the
	// admissions that were subtracted for that time.
	silent  bool
	assumed float64
}

// heard reports whether the sender reported lately.
func (u *usage) heard(now snipetime.Instant) bool {
	return now.Sub(u.at) <= silenceTime && (u.notice == nil || u.notice.heard(now))
}

// endReports subtracts what senders are assumed to have admitted before they were known to
// be silent, and removes those that have been silent for long. Without the subtraction,
// both parts of a divided network would use the whole rate in that time.
func (b *bucket) endReports(now snipetime.Instant, perSecond float64) {
	total := 0.0
	for _, u := range b.usage {
		if now.Sub(u.at) <= usageRetention {
			total += u.demand
		}
	}
	for from, u := range b.usage {
		silence := now.Sub(u.at)
		if !u.heard(now) && silence <= usageRetention && !u.silent {
			u.silent = true
			admitted := min(u.demand, perSecond*u.demand/max(total, 1)) * min(silence, silenceTime).Seconds()
			u.assumed = min(admitted, max(b.level, 0))
			b.charge(u.assumed, u.notice == nil)
		}
		if silence > departureTime {
			delete(b.usage, from)
		}
	}
}

// charge subtracts admissions from the level.
func (b *bucket) charge(admitted float64, own bool) {
	b.level -= admitted
	if own {
		b.counted += admitted
	}
}

// isNear reports whether a tenant is near its quota, by its level or by a demand above
// demandShare of the rate.
func isNear(level, demand float64, quota snipetable.Quota, demandShare float64) bool {
	return level < nearShare*quota.Burst || demand > demandShare*quota.PerSecond
}

// available returns the level for the fronts that a watcher hears. The others may use the
// part unheard, from 0 to 1, of the rate and of the level. Fronts admit requests at the
// rate plus what the level adds, so that the reserve of a second is subtracted.
func (b *bucket) available(unheard float64, quota snipetable.Quota) float64 {
	level := b.level
	if level > 0 {
		level *= 1 - unheard
	}
	return level - unheard*quota.PerSecond*levelTime.Seconds()
}

// counter returns the counter for other watchers.
func (b *bucket) counter(now snipetime.Instant) float64 {
	if b.counted > maxSeriesCount {
		b.counted, b.series = 0, nextSeries(now, b.series)
	}
	return float64(b.series)*seriesUnit + b.counted
}

// ownDemand returns the demand at the fronts that ask this watcher, and whether any of
// them reports the tenant.
func (b *bucket) ownDemand(now snipetime.Instant) (perSecond float64, reported bool) {
	for _, u := range b.usage {
		if u.notice == nil && u.heard(now) {
			perSecond += u.demand
			reported = true
		}
	}
	return perSecond, reported
}

// silentShare returns the share of the rate that fronts may use which reported to this
// watcher, or to the watcher of a notice, and are no longer heard. They follow what they
// admitted before.
func (b *bucket) silentShare(now snipetime.Instant, perSecond float64) float64 {
	silent, total := 0.0, 0.0
	for _, u := range b.usage {
		total += u.demand
		if !u.heard(now) {
			silent += u.demand
		}
	}
	return silent / max(total, perSecond)
}

// demand returns the demand over all fronts.
func (b *bucket) demand(now snipetime.Instant) (perSecond float64) {
	for _, u := range b.usage {
		if u.heard(now) {
			perSecond += u.demand
		}
	}
	return perSecond
}

// unknownUsage returns the most that the counter of an unknown sender counts for. What the
// sender admitted before is unknown, or was subtracted already. In the first seconds of a
// watcher, most of a counter was subtracted by the watchers before it; later, the tenant
// is new at the sender.
func unknownUsage(r *snipefeed.TenantUsage, established bool) float64 {
	recent := r.Demand * demandMeasureTime.Seconds()
	if established {
		recent++
	}
	return recent
}

// merge takes over a report of a front that asks this watcher, or of the notice of another
// watcher.
func (b *bucket) merge(now snipetime.Instant, from snipefeed.Sender, r *snipefeed.TenantUsage, notice *watcherNotice, established bool) {
	u := b.usage[from]
	first := u == nil
	if first {
		u = &usage{}
		b.usage[from] = u
	}
	if r.Admitted < u.counter {
		return // a late message
	}
	added := r.Admitted - u.counter
	if math.Floor(r.Admitted/seriesUnit) != math.Floor(u.counter/seriesUnit) {
		added = math.Mod(r.Admitted, seriesUnit)
	}
	unknown := first || now.Sub(u.at) > usageRetention
	switch {
	case unknown && r.LevelKnown:
		// The level of the other watcher counts what its fronts admitted.
		b.level, added = min(b.level, r.Level), 0
	case unknown:
		added = min(added, unknownUsage(r, established))
	}
	added = max(added-u.assumed, 0)
	*u = usage{counter: r.Admitted, demand: r.Demand, at: now, notice: notice}
	b.charge(added, notice == nil)
}
