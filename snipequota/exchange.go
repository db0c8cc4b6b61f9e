package snipequota

import (
	"time"

	"go.uber.org/zap"

	"github.com/snipemoor/snipemoor/snipefeed"
	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipetime"
)

// LimitReports implements snipefeed.LimitExchange.
func (t *Table) LimitReports(now snipetime.Instant, age time.Duration) []snipefeed.LimitReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []snipefeed.LimitReport
	for _, q := range t.quotas {
		divided := t.isDivided(now, q)
		if !divided && !q.learnedWithin(now, age) {
			continue
		}
		r := q.limitReport(now)
		if divided {
			t.reportDemand(now, q, &r)
		}
		out = append(out, r)
	}
	return out
}

// reportDemand adds the demand and the share of this front to a report.
func (t *Table) reportDemand(now snipetime.Instant, q *quota, r *snipefeed.LimitReport) {
	t.setShare(now, q)
	r.Divided, r.Demand, r.Share, r.Leased = true, q.demand.rate(now), q.share, q.lease.held(now)
}

// isDivided reports whether this front is one of several senders of a limited target.
func (t *Table) isDivided(now snipetime.Instant, q *quota) bool {
	if !q.statement.Limited {
		return false
	}
	t.updateMembership(now)
	list := t.equal(q).senders
	return len(list) > 1 && indexOf(list, t.self.Name) >= 0
}

// learnedWithin reports whether the limit is to be passed on to those who last asked
// the given time ago.
func (q *quota) learnedWithin(now snipetime.Instant, age time.Duration) bool {
	return q.learnedAt != 0 && now.Sub(q.learnedAt) <= age
}

// limitReport returns the statement for other fronts.
func (q *quota) limitReport(now snipetime.Instant) snipefeed.LimitReport {
	return snipefeed.LimitReport{
		Target: q.target.ID, Service: q.target.Service, Born: q.target.Born,
		Limited: q.statement.Limited, PerSecond: q.statement.PerSecond, Age: now.Sub(q.statement.At),
	}
}

// MergeLimitReports implements snipefeed.LimitExchange.
func (t *Table) MergeLimitReports(now snipetime.Instant, peer string, reports []snipefeed.LimitReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateMembership(now)
	sender := t.senderAt(peer)
	for i := range reports {
		r := &reports[i]
		if q := t.merge(now, peer, r); q != nil && r.Divided && sender != "" {
			q.report(now, sender, r)
		}
	}
}

// senderAt returns the name of the front with the given peer address, or an empty
// string if none is known.
func (t *Table) senderAt(peer string) string {
	for _, m := range t.fleet.View().Members() {
		if m.Peer == peer {
			return m.Name
		}
	}
	return ""
}

// merge records a statement that another front reports. It returns the state of the
// target, or nil if there is none.
func (t *Table) merge(now snipetime.Instant, peer string, r *snipefeed.LimitReport) *quota {
	target := t.fleet.View().Target(r.Service, r.Target)
	if target == nil || target.Born != r.Born {
		return nil
	}
	s := Statement{Limited: r.Limited, PerSecond: r.PerSecond, At: now.Add(-r.Age)}
	if before, changed := t.record(target, s, now); changed {
		t.log.Info("target limit", zap.String("target", r.Target), zap.String("service", r.Service),
			zap.Bool("limited", s.Limited), zap.Float64("perSecond", s.PerSecond),
			zap.Bool("limitedBefore", before.Limited), zap.Float64("perSecondBefore", before.PerSecond),
			zap.String("from", peer), zap.Duration("age", r.Age))
	}
	return t.quota(target)
}

// AnswerLimitReports implements snipefeed.LimitExchange.
func (t *Table) AnswerLimitReports(now snipetime.Instant, peer string, age time.Duration) []snipefeed.LimitReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	sender := t.senderAt(peer)
	var out []snipefeed.LimitReport
	for _, q := range t.quotas {
		share, leased := 0.0, false
		if q.statement.Limited && sender != "" && t.mayLease(now, q) {
			share, leased = t.leaseFor(now, q, sender)
		}
		if !leased && !q.learnedWithin(now, age) {
			continue
		}
		r := q.limitReport(now)
		r.Divided, r.Share = leased, share
		out = append(out, r)
	}
	return out
}

// mayLease reports whether this front leases shares of the limit of q.
func (t *Table) mayLease(now snipetime.Instant, q *quota) bool {
	t.updateMembership(now)
	return t.membership.watches && t.isNearest(q)
}

// isNearest reports whether the group of this front sends to the target of q.
func (t *Table) isNearest(q *quota) bool {
	return t.membership.current().Nearest(q.target.Place) == t.membership.own
}

// ApplyLimitReports implements snipefeed.LimitExchange.
func (t *Table) ApplyLimitReports(sent, now snipetime.Instant, peer string, reports []snipefeed.LimitReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range reports {
		r := &reports[i]
		if q := t.merge(now, peer, r); q != nil && r.Divided {
			q.lease = lease{leased: r.Share, until: sent.Add(leaseDuration)}
		}
	}
}

// Notice is what a watcher tells the watchers of other groups.
type Notice struct {
	// Peers are the peer addresses to tell.
	Peers   []string
	Reports []snipefeed.LimitReport
}

// Tick follows changes of the fronts. On a watcher, it also leases this front its own
// shares, and returns the limits of targets nearest to its group that it has learned at
// most the given age ago. It is called several times per leaseDuration.
func (t *Table) Tick(now snipetime.Instant, age time.Duration) Notice {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateMembership(now)
	t.startProbes(now)
	if !t.membership.watches || len(t.quotas) == 0 {
		return Notice{}
	}
	var n Notice
	for _, q := range t.quotas {
		if !t.isNearest(q) {
			continue
		}
		t.leaseOwn(now, q)
		if q.learnedWithin(now, age) {
			n.Reports = append(n.Reports, q.limitReport(now))
		}
	}
	if len(n.Reports) > 0 {
		n.Peers = peerAddresses(t.membership.current().WatchersOfOthers(t.membership.own))
	}
	return n
}

// startProbes marks the limits of which this front has not heard for long, so that
// requests are assigned to their targets until one answers.
func (t *Table) startProbes(now snipetime.Instant) {
	for _, q := range t.quotas {
		if q.statement.Limited && !q.probing && t.probeDue(now, q) {
			q.probing = true
			t.limitsVersion++
		}
	}
}

// leaseOwn leases a share of the limit of q to this front, if it is a sender.
func (t *Table) leaseOwn(now snipetime.Instant, q *quota) {
	if !t.isDivided(now, q) {
		return
	}
	r := q.limitReport(now)
	t.reportDemand(now, q, &r)
	q.report(now, t.self.Name, &r)
	if share, ok := t.leaseFor(now, q, t.self.Name); ok {
		q.lease = lease{leased: share, until: now.Add(leaseDuration)}
	}
}

// peerAddresses returns the peer addresses of fronts that have one.
func peerAddresses(members []snipefleet.Member) []string {
	var out []string
	for i := range members {
		if members[i].Peer != "" {
			out = append(out, members[i].Peer)
		}
	}
	return out
}
