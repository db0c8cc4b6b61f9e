package snipequota

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipetime"
)

const (
	// burstTime is the time whose rate a sender may send at once, beyond one request.
	burstTime = time.Second
	// minLimit is the limit, in requests per second, as which a lower one counts. The
	// requests show when the limit ends.
	minLimit = 0.2
	// probeShare is the part of a limit that the fronts without a share may use all
	// together, if they have not heard of the limit for minProbePause.
	probeShare    = 0.05
	minProbePause = 10 * time.Second
	// senderProbePause is the time without an answer after which a sender sends a request.
	senderProbePause = 2 * time.Second
	// noShareRetryDelay is the retry delay at a target in whose limit this front has no
	// share.
	noShareRetryDelay = 500 * time.Millisecond
	// maxRetryDelay bounds the retry delays at a limited target.
	maxRetryDelay = time.Second
	// demandTime is the time constant of the measured demand.
	demandTime = 2 * time.Second
)

// Admission is the decision on a request to a target.
type Admission struct {
	// Admitted is set if the request may be sent, because the target is not limited or
	// this front has a part of its limit left.
	Admitted bool
	// PerSecond is the limit, and Share is the share of it that this front may use.
	PerSecond, Share float64
}

// Check decides whether a request may be sent to a target, and counts it as demand.
// The caller calls Take if it sends the request.
func (t *Table) Check(now snipetime.Instant, target *snipefleet.Target) Admission {
	t.mu.Lock()
	defer t.mu.Unlock()
	q := t.quota(target)
	if q == nil || !q.statement.Limited {
		return Admission{Admitted: true}
	}
	q.demand.add(now)
	t.setShare(now, q)
	return Admission{Admitted: t.mayTake(now, q), PerSecond: q.statement.PerSecond, Share: q.share}
}

// Take counts a request that is sent to a target.
func (t *Table) Take(now snipetime.Instant, target *snipefleet.Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	q := t.quota(target)
	switch {
	case q == nil || !q.statement.Limited:
	case q.share == 0:
		q.probedAt = now
	default:
		q.limiter.AllowN(wallTime(now), 1)
	}
}

// Share returns the limit of a target and the share of this front without a lease, and
// false if the target is not limited or this front is to find out whether it still is.
func (t *Table) Share(target *snipefleet.Target) (limit Admission, limited bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	q := t.quota(target)
	if q == nil || !q.statement.Limited || q.probing {
		return Admission{}, false
	}
	return Admission{PerSecond: max(q.noted.PerSecond, minLimit), Share: t.equal(q).share}, true
}

// Version returns a number that changes with what Share returns.
func (t *Table) Version() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.quotas) == 0 {
		return t.limitsVersion
	}
	return t.limitsVersion + t.membership.version
}

// RetryDelay returns the time after which a caller should retry whose request was not
// admitted at a target. Callers that ask one after the other get successive times, at
// the rate at which this front may send.
func (t *Table) RetryDelay(now snipetime.Instant, target *snipefleet.Target) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	q := t.quota(target)
	if q == nil || q.limiter == nil || q.share == 0 {
		return noShareRetryDelay
	}
	perSecond := float64(q.limiter.Limit())
	missing := max(1-q.limiter.TokensAt(wallTime(now)), 0)
	at := max(now.Add(seconds(missing/perSecond)), q.nextRetryAt)
	at = min(at, now.Add(maxRetryDelay))
	q.nextRetryAt = at.Add(seconds(1 / perSecond))
	return at.Sub(now)
}

// setShare sets the share of this front in the limit of q, and the rate of its limiter.
func (t *Table) setShare(now snipetime.Instant, q *quota) {
	t.updateMembership(now)
	q.share = q.lease.share(now, t.equal(q).share)
	limit := rate.Limit(q.share * max(q.statement.PerSecond, minLimit))
	if q.limiter == nil {
		q.limiter = rate.NewLimiter(limit, 1)
		q.limiter.AllowN(wallTime(now), 1) // begins without a request to send
		return
	}
	if q.limiter.Limit() == limit {
		return
	}
	q.limiter.SetLimitAt(wallTime(now), limit)
	q.limiter.SetBurstAt(wallTime(now), 1+int(float64(limit)*burstTime.Seconds()))
}

// mayTake reports whether this front may send a request to the target of q now.
func (t *Table) mayTake(now snipetime.Instant, q *quota) bool {
	if q.share == 0 {
		return t.probeDue(now, q)
	}
	return q.limiter.TokensAt(wallTime(now)) >= 1
}

// probeDue reports whether this front should find out whether the limit of q still
// holds. A sender whose target gets few requests asks soon, since it may.
func (t *Table) probeDue(now snipetime.Instant, q *quota) bool {
	if t.equal(q).share > 0 {
		return now.Sub(q.statement.At) >= senderProbePause
	}
	return now.Sub(max(q.statement.At, q.probedAt)) >= t.probePause(q)
}

// probePause returns the time after the last statement and the last own request after
// which this front, which has no share, sends a request.
func (t *Table) probePause(q *quota) time.Duration {
	perSecond := probeShare * max(q.statement.PerSecond, minLimit) / float64(max(len(t.membership.members), 1))
	pause := max(seconds(1/perSecond), minProbePause)
	spread := float64(snipefleet.RendezvousWeight(t.self.Name, q.target.ID)) / math.MaxUint64
	return time.Duration((1 + spread) * float64(pause))
}

// wallTime converts an instant for rate.Limiter, which uses time differences only.
func wallTime(t snipetime.Instant) time.Time { return time.Unix(0, int64(t)) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// demand is the rate at which requests ask for a target: each one adds 1/demandTime,
// which decays exponentially.
type demand struct {
	perSecond float64
	at        snipetime.Instant
}

// add counts a request.
func (d *demand) add(now snipetime.Instant) {
	d.perSecond = d.rate(now) + 1/demandTime.Seconds()
	d.at = now
}

// rate returns the demand in requests per second.
func (d *demand) rate(now snipetime.Instant) float64 {
	return d.perSecond * math.Exp(-now.Sub(d.at).Seconds()/demandTime.Seconds())
}
