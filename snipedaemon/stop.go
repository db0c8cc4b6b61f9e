package snipedaemon

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/snipemoor/snipemoor/snipelookup"
	"github.com/snipemoor/snipemoor/snipemember"
)

// drainPoll is the time between looks at what is still in flight.
const drainPoll = 20 * time.Millisecond

// stop performs a planned stop. The order matters: callers stop coming before
// calls are refused, calls are refused before the records are handed over, and
// positions are released only when no loan of them is in use.
func (d *Daemon) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.stopTimeout)
	defer cancel()
	d.log.Info("stop begins")
	d.stopping.Store(true)
	d.members.beat(d.clock.Now())
	d.trigger()
	d.members.deregister(ctx)
	sleep(ctx, snipelookup.TimeToLive)
	d.forward.refuse()
	successor := d.records.close(ctx, d.successors())
	now := d.clock.Now()
	d.limits.returnAll(now)
	d.positions.release(now)
	// Requests in flight need an owner of their slots, so that positions are
	// passed on before these requests end: without a new owner their grants
	// lapse after the time to live of 5 s and they are cancelled.
	d.waitFor(ctx, "loans", func() bool { return !d.limits.loansEnd(d.clock.Now()).After(d.clock.Now()) })
	d.positions.loansEnded(d.clock.Now())
	d.waitFor(ctx, "requests", func() bool { return d.forward.inFlight() == 0 && d.slots.running() == 0 })
	d.records.update(ctx, successor)
	releaseCtx, cancelRelease := context.WithTimeout(ctx, releaseTimeout)
	defer cancelRelease()
	d.waitFor(releaseCtx, "positions", d.positions.released)
	d.reportToSuccessors(ctx)
	d.log.Info("stop complete")
}

// reportToSuccessors tells the new owners of the slot groups that nothing runs
// here. Without the report they would grant nothing until every grant of this
// instance must have ended, which takes 5 s.
func (d *Daemon) reportToSuccessors(ctx context.Context) {
	if !d.hasRegionalPeer() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, successorTimeout)
	defer cancel()
	d.waitFor(ctx, "new holders of positions", d.positions.succeeded)
	d.slots.renew(d.clock.Now())
	sleep(ctx, reportTime)
}

// hasRegionalPeer reports whether a live member of the region can take the
// positions.
func (d *Daemon) hasRegionalPeer() bool {
	region := d.region()
	return slices.ContainsFunc(d.successors(), func(m snipemember.Member) bool { return m.Region == region })
}

const (
	// successorTimeout bounds the wait for new holders of the positions.
	successorTimeout = 3 * time.Second
	// reportTime lets the last reports leave and be answered.
	reportTime = 200 * time.Millisecond
)

// releaseTimeout bounds the wait for the store when positions are released. A
// position that is not released lapses.
const releaseTimeout = 3 * time.Second

// waitFor waits until done or the end of ctx.
func (d *Daemon) waitFor(ctx context.Context, what string, done func() bool) {
	for !done() {
		if ctx.Err() != nil {
			d.log.Warn("stop goes on without waiting longer", zap.String("for", what))
			return
		}
		sleep(ctx, drainPoll)
	}
}

// successors returns the live members that can take the records over, those of
// the own region first.
func (d *Daemon) successors() []snipemember.Member {
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
