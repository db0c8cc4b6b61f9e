package snipescenario_test

import (
	"context"
	"fmt"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/snipemoor/snipemoor/snipestandin"
	"github.com/snipemoor/snipemoor/snipestore"
)

// fault is one of the faults of section 1.4 of the design. inject begins the fault
// and heal ends it.
type fault struct {
	name   string
	inject func(c *cell) error
	heal   func(c *cell) error
}

// Names of the faults, as in the golden table.
const (
	faultMeasurements = "measurements stop"
	faultRegion       = "region fails"
	faultSilence      = "connection silent"
	faultRace         = "operators race"
	faultStoreDown    = "store down"
	faultStoreSlow    = "store slow"
	faultAnswerLost   = "answer lost"
	faultDeath        = "process dies"
	faultPause        = "lease lapses in pause"
)

// matrixFaults returns the faults in the order in which a pair is injected. Faults
// that are set through the processes come before those that kill or pause one.
func matrixFaults() []fault {
	none := func(*cell) error { return nil }
	return []fault{
		{faultMeasurements, func(c *cell) error { c.setLoadReports(false); return nil }, func(c *cell) error { c.setLoadReports(true); return nil }},
		{faultRegion, func(c *cell) error { return c.cluster.partition("cut", c.cluster.Places[2].Region) }, func(c *cell) error {
			return c.cluster.partition("heal", c.cluster.Places[2].Region)
		}},
		{faultSilence, (*cell).silenceConnections, none},
		{faultRace, (*cell).raceOperators, none},
		{faultStoreDown, (*cell).failStore, (*cell).healStore},
		{faultStoreSlow, func(c *cell) error { c.storeFaults.Delay = slowStoreDelay; c.applyStoreFaults(); return nil }, (*cell).healStore},
		{faultAnswerLost, func(c *cell) error { c.storeFaults.LoseAnswers = 2; c.applyStoreFaults(); return nil }, (*cell).healStore},
		{faultDeath, func(c *cell) error { return c.killedInstance().kill() }, func(c *cell) error {
			if c.killedInstance().running() {
				return nil
			}
			return c.cluster.start(c.killedInstance())
		}},
		{faultPause, (*cell).pause, func(c *cell) error { return c.faulty.resume() }},
	}
}

const (
	// slowStoreDelay is the delay of each call to a slow store. It is below the
	// timeout of a call, which is 1 s.
	slowStoreDelay = 700 * time.Millisecond
	// pauseDuration is how long a process is paused: longer than a position lease,
	// which is 10 s.
	pauseDuration = 11 * time.Second
)

// hasFault reports whether the cell injects the fault with the name.
func (c *cell) hasFault(name string) bool {
	return slices.ContainsFunc(c.faults, func(f fault) bool { return f.name == name })
}

// killedInstance returns the instance that is killed: the faulty one or, in a pair
// with a pause, the other instance of its region.
func (c *cell) killedInstance() *instance {
	if c.hasFault(faultPause) {
		return c.regionPeer
	}
	return c.faulty
}

// setLoadReports stops or resumes the load reports of all targets. When they are
// stopped, odd seeds repeat an old report and even seeds fail the call.
func (c *cell) setLoadReports(works bool) {
	for _, service := range c.cluster.services {
		c.cluster.setTargetFaults(service, snipestandin.TargetFaults{LoadFrozen: !works, LoadOutage: !works && c.seed%2 == 0})
	}
}

// silenceConnections makes all open connections from and to the place of the
// faulty instance hang.
func (c *cell) silenceConnections() error {
	var all []string
	for _, p := range c.cluster.Places {
		all = append(all, p.Name)
	}
	return c.cluster.controlNetworks("silence", []string{c.faulty.place}, all)
}

// failStore begins an outage of the store. With odd seeds it responds with errors,
// with even seeds it does not respond.
func (c *cell) failStore() error {
	c.storeFaults.Outage = snipestandin.OutageError
	if c.seed%2 == 0 {
		c.storeFaults.Outage = snipestandin.OutageSilent
	}
	c.applyStoreFaults()
	return nil
}

// applyStoreFaults sets the faults that the cell has collected for the store.
func (c *cell) applyStoreFaults() { c.cluster.standins.Store().SetFaults(c.storeFaults) }

func (c *cell) healStore() error {
	c.storeFaults = snipestandin.StoreFaults{}
	c.applyStoreFaults()
	return nil
}

// raceOperators applies two concurrent changes of the same shift cap that have the
// same base. At most one may be committed, and exactly one if the store works.
func (c *cell) raceOperators() error {
	base, err := snipestore.NewReader(c.cluster.storeClient).Load(c.ctx, nil)
	if err != nil {
		return fmt.Errorf("read base of concurrent changes: %w", err)
	}
	var outcomes [2]snipestore.Outcome
	group := &errgroup.Group{}
	for i := range outcomes {
		documents, err := c.cluster.documentsWithCap(c.cluster.services[0], 150+10*i)
		if err != nil {
			return err
		}
		group.Go(func() error {
			// While the store fails, the change may end with an error; it then counts
			// as not committed.
			report, err := snipestore.NewWriter(c.cluster.storeClient).Apply(c.ctx, snipestore.Change{
				Operation: snipestore.NewOperation(), Base: base, Set: documents,
			})
			if err == nil {
				outcomes[i] = report.Outcome()
			}
			return nil
		})
	}
	_ = group.Wait()
	committed := 0
	for _, o := range outcomes {
		if o == snipestore.Committed {
			committed++
		}
	}
	if committed > 1 || committed == 0 && !c.storeFails() {
		c.failf(8, "%d of two concurrent changes were committed, want 1", committed)
	}
	return nil
}

// pause suspends the faulty instance and expires all leases, and waits until the
// instance has been suspended for longer than a position lease.
func (c *cell) pause() error {
	if err := c.faulty.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	c.faulty.paused = true
	c.cluster.standins.Store().ExpireAllLeases()
	ctx, cancel := context.WithTimeout(c.ctx, pauseDuration)
	defer cancel()
	<-ctx.Done()
	return nil
}

// resume continues a paused instance.
func (in *instance) resume() error {
	if !in.paused {
		return nil
	}
	in.paused = false
	return in.signal(syscall.SIGCONT)
}
