package snipelimit_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/snipemoor/snipemoor/snipelimit"
)

const (
	fleetStep       = 20 * time.Millisecond
	fleetPositions  = 4
	leaseTickSteps  = 5  // steps
	ledgerTickSteps = 10 // steps
	fleetAmount     = 5.0
)

// run steps the fleet and returns the first violation of the limit.
func (f *fleet) run(d time.Duration) error {
	for end := f.now + d; f.now < end; {
		f.now += fleetStep
		for _, run := range f.queue[f.now] {
			run()
			if err := f.check(); err != nil {
				return err
			}
		}
		delete(f.queue, f.now)
		for i, n := range f.nodes {
			if f.now >= n.pausedUntil {
				f.stepInstance(n, int(f.now/fleetStep)+i)
			}
		}
		if err := f.check(); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) stepInstance(n *instance, tick int) {
	// Callers wait for at most 200 ms.
	n.offeredAmount = min(n.offeredAmount+n.demand*fleetStep.Seconds(), fleetAmount+n.demand/5)
	b, _ := n.ledger.Bucket("x")
	for ; n.offeredAmount >= fleetAmount; n.offeredAmount -= fleetAmount {
		if _, err := b.Spend(f.localTime(n), fleetAmount); err != nil {
			break
		}
	}
	if tick%leaseTickSteps == 0 {
		if n.stopping && !n.ledger.OutstandingLoansEnd(f.localTime(n)).After(f.localTime(n)) {
			n.manager.LoansEnded(f.localTime(n))
		}
		f.performLeaseActions(n, n.manager.Tick(f.localTime(n)))
	}
	if tick%ledgerTickSteps == 0 {
		f.sendLoanMessages(n, n.ledger.Tick(f.localTime(n)))
	}
}

// check adds up the usable rates of all instances, paused ones included. Their
// sum must not exceed the highest limit that any instance has configured.
func (f *fleet) check() error {
	sum, limit, borrowed := 0.0, 0.0, 0
	for _, n := range f.nodes {
		s := n.ledger.Status(f.localTime(n))[0]
		sum += float64(s.Units) / snipelimit.UnitsPerLimit * n.limit
		limit = max(limit, n.limit)
		borrowed += s.Borrowed
	}
	if borrowed > 0 {
		f.borrowed++
	}
	const rounding = 1e-9
	if sum > limit*(1+rounding) {
		return fmt.Errorf("seed %d at %v: usable rates of %.1f/s, limit %.1f/s", f.seed, f.now, sum, limit)
	}
	return nil
}

func (f *fleet) injectFault(kind, i int) {
	n := f.nodes[i]
	switch kind {
	case 0:
		f.storeDown = !f.storeDown
	case 1:
		n.pausedUntil = f.now + time.Duration(f.rng.Int64N(int64(30*time.Second)))
	case 2:
		f.restart(i, false)
	case 3:
		f.restart(i, true)
	case 4:
		n.partitioned = !n.partitioned
	case 5:
		n.storePartitioned = !n.storePartitioned
	case 6: // The platform's list drops an instance that still runs, or lags.
		for _, o := range f.nodes {
			o.manager.SetMembers(f.localTime(o), []string{n.address})
		}
	case 7:
		f.announceMembersToAll()
	case 8:
		f.limit = float64(100 + f.rng.IntN(1900))
		f.announceLimit()
	case 9:
		n.stopping = true
		n.manager.Release(f.localTime(n))
		f.setHoldings(n)
		f.sendLoanMessages(n, n.ledger.ReturnAll(f.localTime(n)))
	default:
		n.demand = f.rng.Float64() * 1500
	}
}

// announceLimit delivers the limit to each instance within 3 s.
func (f *fleet) announceLimit() {
	for _, n := range f.nodes {
		f.deliver(f.now+time.Duration(f.rng.Int64N(int64(3*time.Second))), n.address, f.configure)
	}
}

const faultKinds = 14

// Guards against leases and loans that are each safe but together exceed the
// limit, at any moment and in any sequence of faults.
func TestLeasesAndLoansWithinLimit(t *testing.T) {
	borrowed := 0
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(3, 6).Draw(t, "instances"), disabledRules{})
		f.loss = rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "loss")
		f.maxDelay = rapid.SampledFrom([]time.Duration{fleetStep, 700 * time.Millisecond, 4 * time.Second}).Draw(t, "delay")
		gaps := []time.Duration{fleetStep, 500 * time.Millisecond, 2 * time.Second, 5 * time.Second, 11 * time.Second, 24 * time.Second}
		for range rapid.IntRange(1, 25).Draw(t, "faults") {
			if err := f.run(rapid.SampledFrom(gaps).Draw(t, "gap")); err != nil {
				t.Fatal(err)
			}
			f.injectFault(rapid.IntRange(0, faultKinds-1).Draw(t, "fault"), rapid.IntRange(0, len(f.nodes)-1).Draw(t, "node"))
		}
		borrowed += f.borrowed
	})
	t.Logf("loans were in use in %d checks", borrowed)
	if borrowed == 0 {
		t.Error("no run has used a loan")
	}
}

// Guards against a check that cannot fail: each variant disables one rule, and
// some seed must exceed the limit. With all rules the same runs pass. The drift
// margins are disabled in the tests of the two packages instead, because the
// steps of those tests are shorter than the clock drift during a loan.
func TestFleetCheckCatchesViolations(t *testing.T) {
	for _, v := range []struct {
		name  string
		rules disabledRules
		safe  bool
	}{
		{name: "all rules", safe: true},
		{name: "no wait for loans of a released position", rules: disabledRules{loanDrain: 1}},
		{name: "no wait for loans of the former process", rules: disabledRules{ignoreInherited: true}},
	} {
		t.Run(v.name, func(t *testing.T) {
			var err error
			for seed := uint64(0); seed < 10 && err == nil; seed++ {
				f := newFleet(seed, 5, v.rules)
				err = f.runFaultSequence()
			}
			t.Log(err)
			if v.safe != (err == nil) {
				t.Errorf("violation %v, want none: %v", err, v.safe)
			}
		})
	}
}

// runFaultSequence restarts, stops and pauses instances while others borrow from
// them.
func (f *fleet) runFaultSequence() error {
	if err := f.run(5 * time.Second); err != nil {
		return err
	}
	for range 8 {
		i := f.rng.IntN(len(f.nodes))
		for k, n := range f.nodes {
			n.demand = 0
			if k != i {
				n.demand = 600
			}
		}
		if err := f.run(4 * time.Second); err != nil {
			return err
		}
		f.injectFault([]int{1, 2, 6, 7, 9}[f.rng.IntN(5)], i)
		if err := f.run(10 * time.Second); err != nil {
			return err
		}
		f.announceMembersToAll()
		if f.nodes[i].stopping {
			f.restart(i, false)
		}
	}
	return nil
}
