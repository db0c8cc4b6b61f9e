package snipequota

import (
	"math"
	"time"

	"github.com/snipemoor/snipemoor/snipefeed"
	"github.com/snipemoor/snipemoor/snipetable"
	"github.com/snipemoor/snipemoor/snipetime"
)

const (
	// levelTime is the time constant with which the level over all fronts is spent, and
	// paid back if it is negative. It is longer than the delay of the level, 0.5 to 1 s;
	// a shorter one makes the admitted rate oscillate.
	levelTime = time.Second
	// freeTokens bounds the requests that a front may admit between two messages beyond
	// its share of the level, and freeShare is their greatest share of the level.
	freeTokens = 5.0
	freeShare  = 0.5
	// overDemand is the ratio of demand to rate above which a tenant whose level is below
	// overShare of the burst goes over its quota, and stays over it. The measured demand of
	// a tenant of few requests per second varies by that much.
	overDemand = 1.25
	overShare  = 0.5
	// extraBurst is added to each burst, in requests. The platform allows 20 requests
	// beyond the quota; without some of them, single requests of tenants that send a few
	// per second at random times are refused below the quota.
	extraBurst = 5.0
	// freshTime is the time after an answer of a watcher for which a front may use
	// freeTokens, and a growing own demand raises its share. If the demand grows at all
	// fronts, these add up to more than the quota until the next answer, which comes
	// sooner (after 375 ms and the transit) unless a watcher failed.
	freshTime = 600 * time.Millisecond
	// jumpFactor is the growth of the own demand, since the last answer, with which a front
	// without answers assumes that the demand has jumped at all fronts.
	jumpFactor = 1.5
	// maxPartDebt bounds, in bursts of the part of a front, what a front that hears from no
	// watcher pays back of what it admitted before. A jump to 7.5 times the usual demand,
	// 3.75 times the rate, exceeds the rate by 2 such bursts in 0.75 s.
	maxPartDebt = 2
	// usualTime is the time constant of the rate at which a front usually admits requests.
	// A front of a small tenant admits one in several seconds.
	usualTime = 10 * time.Second
	// minUnusedShare is the share of the rate that fronts without a watcher divide equally
	// at least, for requests that come through other fronts than before.
	minUnusedShare = 0.1
	// maxTenantRetryDelay bounds the retry delays of tenants over their quotas.
	maxTenantRetryDelay = 30 * time.Second
	// minRefill is the least rate, in requests per second, from which a retry delay is
	// derived.
	minRefill = 0.01
)

// enforced returns the quota that is enforced for a stated one.
func enforced(stated snipetable.Quota) snipetable.Quota {
	stated.Burst += extraBurst
	return stated
}

// knowledge is what a front knows that concerns all tenants.
type knowledge struct {
	// fronts is the number of fronts.
	fronts float64
	// heard is set if a watcher answered lately.
	heard bool
}

// entry is the state of a tenant at a front: a token bucket that fills at the share of
// the front in what is left of the tenant's quota.
type entry struct {
	quota  snipetable.Quota
	tokens float64
	// spare is the level of a token bucket of the part of the front, which bounds tokens
	// while it hears from no watcher. What was admitted before counts, so it may be negative.
	spare float64
	// usual is the rate, in requests per second over usualTime, at which the front admitted
	// requests while it heard from a watcher.
	usual float64
	// at is when tokens was last updated.
	at     snipetime.Instant
	demand tenantDemand
	// admitted counts the admitted requests of the series; sent is the highest count
	// that was reported, and acknowledged the highest that a watcher answered.
	admitted, sent, acknowledged float64
	series                       uint64
	// reportUntil is the time until which the tenant is reported.
	reportUntil snipetime.Instant
	// levelAt is when the watcher from last answered, and levelOwn the own demand then.
	// tracked is set if it named the tenant, with its level and total demand over all fronts.
	levelAt      snipetime.Instant
	levelOwn     float64
	tracked      bool
	level, total float64
	// known is set unless the watcher has just started and assumes the level.
	known bool
	from  string
	// over is set while the tenant is over its quota.
	over bool
	// refusing is set while requests are refused; the last one was at refusedAt.
	refusing    bool
	refusedAt   snipetime.Instant
	nextRetryAt snipetime.Instant
}

// start sets the tokens of a new entry, and what the front usually admits: unseen is the share
// of the rate that it is assumed to use and has not seen yet.
func (e *entry) start(k knowledge, unseen float64) {
	e.usual = nearShare * e.quota.PerSecond * unseen
	e.spare = e.partBurst(k)
	if k.heard {
		e.tokens = e.limit(k, 0)
		return
	}
	e.tokens = max(1, startShare*e.partBurst(k))
}

// setQuota takes over a quota of another version of the configuration. A lower one ends
// what the front may admit at once.
func (e *entry) setQuota(quota snipetable.Quota) {
	if e.quota == quota {
		return
	}
	if quota.PerSecond < e.quota.PerSecond || quota.Burst < e.quota.Burst {
		e.tokens = min(e.tokens, 1)
	}
	if quota.PerSecond < e.quota.PerSecond {
		e.usual *= quota.PerSecond / e.quota.PerSecond
	}
	e.quota = quota
}

// refill adds the tokens since the last update.
func (e *entry) refill(now snipetime.Instant, k knowledge) {
	dt := now.Sub(e.at).Seconds()
	if dt <= 0 {
		return
	}
	own := e.demand.rate(now)
	// The demand decays between two requests; the mean share counts.
	mean := (e.demand.rate(e.at) - own) * demandMeasureTime.Seconds() / dt
	e.spare = min(e.spare+e.part(k)*dt, e.partBurst(k))
	if k.heard {
		e.usual *= math.Exp(-dt / usualTime.Seconds())
	}
	stale := k.heard && now.Sub(e.levelAt) > freshTime
	if stale {
		mean = min(mean, e.levelOwn)
		e.level = min(e.level, 0) // spent by now
	}
	e.tokens = min(e.tokens+e.perSecond(mean, k)*dt, e.limit(k, own))
	if !k.heard || stale && e.mayExceed(own, k) {
		e.tokens = min(e.tokens, e.spare)
	}
	e.at = now
}

// mayExceed reports whether the fronts together may admit more than the quota if they use
// the last answer after freshTime, because the own demand has jumped to own since, or the
// tenant was not yet over its quota and either most of the demand was at other fronts or
// the total was above the rate.
func (e *entry) mayExceed(own float64, k knowledge) bool {
	if own > jumpFactor*e.levelOwn {
		return true
	}
	equal := e.quota.PerSecond / k.fronts
	return !e.over && (e.levelOwn <= equal || e.tracked && e.total > e.quota.PerSecond)
}

// perSecond returns the rate at which the front may admit requests, if its demand is own.
func (e *entry) perSecond(own float64, k knowledge) float64 {
	equal := e.quota.PerSecond / k.fronts
	switch {
	case !k.heard:
		return e.part(k)
	case !e.tracked:
		return own + equal
	case e.over:
		return e.totalRate() * e.share(own)
	default:
		// Messages add what is left of the level.
		return min(e.totalRate(), e.quota.PerSecond) * max(e.share(own), 1/k.fronts)
	}
}

// totalRate returns the rate, in requests per second, at which all fronts together may
// admit requests.
func (e *entry) totalRate() float64 { return max(e.quota.PerSecond+e.level/levelTime.Seconds(), 0) }

// share returns the share of this front in the demand.
func (e *entry) share(own float64) float64 {
	if own <= 0 {
		return 0
	}
	return own / max(e.total, own)
}

// limit returns the greatest number of tokens, at least 1.
func (e *entry) limit(k knowledge, own float64) float64 {
	switch {
	case !k.heard:
		return e.partBurst(k)
	case !e.tracked:
		return max(1, min(e.quota.Burst*freeShare, max(freeTokens, own)))
	case e.over:
		return 1 + max(e.level, 0)*e.share(own)
	default:
		return max(e.equalBurst(k), e.usableAtOnce(own))
	}
}

// equalBurst returns the greatest number of tokens of the equal part, at least 1.
func (e *entry) equalBurst(k knowledge) float64 { return max(1, e.quota.Burst/k.fronts) }

// part returns the rate, in requests per second, at which the front may admit requests if
// it hears from no watcher. It follows what the front admitted before, because callers may
// send nearly all requests through few fronts. The rest of the rate is divided equally, so
// that the parts of all fronts add up to the rate.
func (e *entry) part(k knowledge) float64 {
	rest, scale := e.unusedShare()
	return rest*e.quota.PerSecond/k.fronts + min(scale*e.usual, (1-rest)*e.quota.PerSecond)
}

// unusedShare returns the share of the rate that all fronts together leave unused, or
// minUnusedShare, and the factor by which they reduce what they usually admit for it. An
// untracked tenant uses less than nearShare of the rate.
func (e *entry) unusedShare() (rest, scale float64) {
	if !e.tracked {
		return 1 - nearShare, 1
	}
	used := min(e.total/e.quota.PerSecond, 1)
	rest = max(1-used, minUnusedShare)
	return rest, min((1-rest)/max(used, minUnusedShare), 1)
}

// partBurst returns the greatest number of tokens of the part of the front, at least 1.
func (e *entry) partBurst(k knowledge) float64 {
	return max(1, e.quota.Burst*e.part(k)/e.quota.PerSecond)
}

// take takes a token for a request.
func (e *entry) take(k knowledge) {
	e.tokens--
	e.spare = max(e.spare-1, -maxPartDebt*e.partBurst(k))
	e.admitted++
	if k.heard {
		e.usual += 1 / usualTime.Seconds()
	}
}

// usableAtOnce returns the tokens that a front may use at once, while the tenant is not over
// its quota.
func (e *entry) usableAtOnce(own float64) float64 {
	part := e.level * e.share(own)
	extra := freeTokens
	if !e.known {
		extra = 1
	}
	return max(min(e.level*freeShare, extra+part), part, 0)
}

// apply takes over the level of all fronts, less what was admitted since, and their demand
// from an answer of a watcher.
func (e *entry) apply(now snipetime.Instant, level float64, u *snipefeed.TenantUsage, from string, k knowledge) {
	e.refill(now, k)
	own := e.demand.rate(now)
	e.tracked, e.known, e.level, e.total, e.from = true, u.LevelKnown, level, u.Demand, from
	e.levelAt, e.levelOwn = now, own
	hot := u.Demand > overDemand*e.quota.PerSecond
	over := level <= 0 || hot && (e.over || level < e.quota.Burst*overShare)
	switch {
	case over && !e.over:
		e.tokens = min(e.tokens, max(level, 0)*e.share(own))
	case !over:
		e.tokens = max(e.tokens, e.usableAtOnce(own))
		e.nextRetryAt = 0
	}
	e.over = over
}

// clear records that the tenant is far below its quota, as the watcher from says.
func (e *entry) clear(now snipetime.Instant, from string, k knowledge) {
	e.refill(now, k)
	e.tracked, e.over, e.nextRetryAt = false, false, 0
	own := e.demand.rate(now)
	e.levelAt, e.levelOwn, e.from = now, own, from
	e.tokens = max(e.tokens, e.limit(k, own))
	// The level includes what was admitted more than about a second ago.
	e.spare = max(e.spare, nearShare*e.partBurst(k)-own*demandMeasureTime.Seconds())
}

// retryDelay returns the time after which a refused caller should retry. Callers that
// ask one after the other get successive times, at the rate at which this front may
// admit requests.
func (e *entry) retryDelay(now snipetime.Instant, k knowledge) time.Duration {
	perSecond := max(e.perSecond(e.demand.rate(now), k), e.quota.PerSecond/k.fronts, minRefill)
	if k.heard && e.over {
		perSecond = max(e.quota.PerSecond*e.share(e.demand.rate(now)), minRefill)
	}
	debt := 0.0
	if k.heard && e.tracked {
		debt = max(-e.level, 0) / e.quota.PerSecond
	}
	wait := min(debt+(1-e.tokens)/perSecond, maxTenantRetryDelay.Seconds())
	at := min(max(now.Add(seconds(wait)), e.nextRetryAt), now.Add(maxTenantRetryDelay))
	e.nextRetryAt = at.Add(seconds(1 / perSecond))
	return at.Sub(now)
}

// demandMeasureTime is the time constant of the measured demand of a tenant.
const demandMeasureTime = time.Second

// tenantDemand is the rate at which requests of a tenant ask for admission: each adds
// 1/demandMeasureTime, which decays exponentially.
type tenantDemand struct {
	perSecond float64
	at        snipetime.Instant
}

// decayTo moves the measurement to now.
func (d *tenantDemand) decayTo(now snipetime.Instant) {
	d.perSecond = d.rate(now)
	d.at = now
}

// add counts a request.
func (d *tenantDemand) add(now snipetime.Instant) {
	d.decayTo(now)
	d.perSecond += 1 / demandMeasureTime.Seconds()
}

// rate returns the demand in requests per second.
func (d *tenantDemand) rate(now snipetime.Instant) float64 {
	if d.at == now || d.perSecond == 0 {
		return d.perSecond
	}
	return d.perSecond * math.Exp(-now.Sub(d.at).Seconds()/demandMeasureTime.Seconds())
}
