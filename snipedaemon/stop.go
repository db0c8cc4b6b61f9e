package snipedaemon

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/snipemoor/snipemoor/snipelookup"
	"github.com/snipemoor/snipemoor/snipemember"
)

// drainPollInterval is the time between two checks of a condition that stop
// waits for.
const drainPollInterval = 20 * time.Millisecond

// stop performs a planned stop within the setting stopTimeout. The order
// matters: callers stop sending requests before requests are refused, requests
// are refused before the records are handed over, and positions are freed only
// when no loan from them is in use.
func (d *Daemon) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.stopTimeout)
	defer cancel()
	d.log.Info("stop begins")
	d.stopping.Store(true)
	d.members.sendHeartbeats(d.clock.Now())
	d.requestReconcile()
	d.members.deregister(ctx)
	sleep(ctx, snipelookup.ResultTimeToLive)
	d.forward.refuseRequests()
	successor := d.records.closeAndHandOver(ctx, d.handoverCandidates())
	now := d.clock.Now()
	d.limits.returnLoans(now)
	d.positions.release(now)
	// Requests in flight need an owner that renews their grants, so the
	// positions are freed before these requests end: without a new owner the
	// grants would expire after their time to live of 5 s and the requests
	// would be cancelled.
	d.waitFor(ctx, "loans", func() bool { return !d.limits.lastLoanEnd(d.clock.Now()).After(d.clock.Now()) })
	d.positions.loansEnded(d.clock.Now())
	d.waitFor(ctx, "requests", func() bool { return d.forward.inFlight() == 0 && d.slots.runningAttempts() == 0 })
	d.records.sendUpdates(ctx, successor)
	releaseCtx, cancelRelease := context.WithTimeout(ctx, releaseTimeout)
	defer cancelRelease()
	d.waitFor(releaseCtx, "positions", d.positions.released)
	d.reportToSuccessors(ctx)
	d.log.Info("stop complete")
}

// reportToSuccessors reports to the new owners of the slot groups that no
// attempt of this instance is running. Without the report they would grant
// nothing until the grants of this instance must have expired, which takes 5 s.
func (d *Daemon) reportToSuccessors(ctx context.Context) {
	if !d.hasRegionalPeer() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, successorTimeout)
	defer cancel()
	d.waitFor(ctx, "new holders of positions", d.positions.allTakenOver)
	d.slots.renew(d.clock.Now())
	sleep(ctx, reportDelay)
}

// hasRegionalPeer reports whether another live member of the region can take
// over the positions.
func (d *Daemon) hasRegionalPeer() bool {
	region := d.region()
	return slices.ContainsFunc(d.handoverCandidates(), func(m snipemember.Member) bool { return m.Region == region })
}

const (
	// successorTimeout bounds the wait for new holders of the released
	// positions.
	successorTimeout = 3 * time.Second
	// reportDelay is the time for the last reports to be sent and acknowledged.
	reportDelay = 200 * time.Millisecond
)

// releaseTimeout bounds the wait until the released positions are freed in the
// store. The lease of a position that is not freed in time expires.
const releaseTimeout = 3 * time.Second

// waitFor polls done until it returns true or ctx ends. what names the
// condition in the log.
func (d *Daemon) waitFor(ctx context.Context, what string, done func() bool) {
	for !done() {
		if ctx.Err() != nil {
			d.log.Warn("stop goes on without waiting longer", zap.String("for", what))
			return
		}
		sleep(ctx, drainPollInterval)
	}
}

// handoverCandidates returns the other live members, to which the records can
// be handed over, beginning with those of the own region.
func (d *Daemon) handoverCandidates() []snipemember.Member {
	region := d.region()
	var own, others []snipemember.Member
	for _, m := range d.members.view.Snapshot().Members() {
		if m.Address == d.self.address || m.State != snipemember.Live {
			continue
		}
		if m.Region == region {
			own = append(own, m)
		} else {
			others = append(others, m)
		}
	}
	return append(own, others...)
}
