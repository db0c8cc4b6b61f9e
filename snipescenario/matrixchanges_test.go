package snipescenario_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/snipemoor/snipemoor/snipestandin"
	"github.com/snipemoor/snipemoor/snipestore"
)

// heldRequestTimeout returns the timeout of a request that is held at its target.
// It is longer than a planned stop up to the handover of records, and in cells
// with a pause longer than this plus the pause.
func (c *cell) heldRequestTimeout() time.Duration {
	if c.hasFault(faultPause) {
		return 28 * time.Second
	}
	return 12 * time.Second
}

// applyChange commits the documents of the cluster as an operator would: if the
// change is stale, fails or has an unclear outcome, it ends the faults and repeats
// the change, which is then based on the newest generation. start calls write to
// begin the first attempt. applyChange returns the generation of the change.
func (c *cell) applyChange(start func(write func())) (uint64, error) {
	operation := snipestore.NewOperation()
	base := c.cluster.committed
	done := make(chan struct{})
	var report snipestore.ChangeResult
	var err error
	start(func() {
		go func() {
			defer close(done)
			ctx, cancel := context.WithTimeout(c.ctx, operatorTimeout)
			defer cancel()
			report, err = c.cluster.tryCommit(ctx, operation, base)
		}()
	})
	<-done
	if err == nil && report.Outcome() == snipestore.Committed {
		return report.Generation(), nil
	}
	if err == nil && report.Outcome() == snipestore.Stale && len(report.Difference()) == 0 && !c.storeFails() {
		c.failf(8, "report of a stale change shows no difference")
	}
	unclear := err == nil && report.Outcome() == snipestore.Unclear
	c.healAndSettle()
	if unclear {
		// The repeat must have the same operation and base, to be recognized as the
		// same change.
		if report, err = c.cluster.tryCommit(c.ctx, operation, base); err != nil {
			return 0, err
		}
		if report.Outcome() == snipestore.Committed {
			return report.Generation(), nil
		}
	}
	documents := c.cluster.documents
	if err := c.cluster.reloadConfiguration(c.ctx); err != nil {
		return 0, err
	}
	c.cluster.documents = documents
	if err := c.cluster.commit(c.ctx); err != nil {
		return 0, err
	}
	return c.cluster.committed.Generation(), nil
}

// runApply changes a shift cap and checks that the change comes into force.
func runApply(c *cell) error {
	if _, err := c.cluster.setCap("slotboard", 190); err != nil {
		return err
	}
	var injected error
	generation, err := c.applyChange(func(write func()) {
		prefix := map[string]string{"documents": "config/docs/", "commit": "config/head"}[c.step]
		if prefix == "" {
			write()
			return
		}
		_, injected = c.injectAtStoreCall(snipestandin.CallPut, prefix, func() (*sentRequest, error) {
			write()
			return nil, nil
		})
	})
	if c.step == "accepted" && err == nil {
		injected = c.inject()
	}
	if err := errors.Join(injected, err); err != nil {
		return err
	}
	c.mustBeInForce(generation)
	return nil
}

// mustBeInForce checks that a generation is in force within propagationLimit on
// the instances that the faults leave reachable. It checks nothing while the store
// is down, because no instance can then read a change that none has read before.
func (c *cell) mustBeInForce(generation uint64) {
	if c.hasFault(faultStoreDown) {
		return
	}
	var unreachable []string
	if c.hasFault(faultRegion) {
		unreachable = c.cluster.placesOf(c.cluster.Places[2].Region)
	}
	for _, in := range c.cluster.instances {
		if in.paused {
			unreachable = append(unreachable, in.name)
		}
	}
	if err := pollUntil(propagationLimit, func() error { return c.cluster.checkInForce(generation, unreachable...) }); err != nil {
		c.failf(8, "committed change is not in force: %v", err)
	}
}

// runDrain drains a target and checks that it receives no new requests. In the
// step inFlight a request is in flight at the target.
func runDrain(c *cell) error {
	address := c.cluster.target(slices.Index(c.cluster.services, "droplog"), 0, 0)
	var held *sentRequest
	var h *hold
	if c.step == "inFlight" {
		h = c.cluster.holdAt("droplog", snipestandin.StageAfterExecution)
		found, err := c.cluster.lookup(c.cluster.instances[0], "droplog", 0)
		if err != nil {
			return err
		}
		held = c.cluster.send(requestSpec{
			id: found.RequestIDPrefix + ".1", service: "droplog", method: http.MethodPost, to: c.cluster.instances[0], timeout: c.heldRequestTimeout(),
		})
		if err := h.waitReached(c.ctx); err != nil {
			return err
		}
		// Drain the one of the two targets that has the request.
		if t, _ := c.cluster.standins.Target(address); t.Stats().Executed == 0 {
			address = c.cluster.target(slices.Index(c.cluster.services, "droplog"), 0, 1)
		}
	}
	if err := c.cluster.setDocument("drain.json", fmt.Appendf(nil, `{"kind":"drain","name":"leaving","target":%q}`, address)); err != nil {
		return err
	}
	var injected error
	_, err := c.applyChange(func(write func()) {
		if held != nil {
			write()
			return
		}
		_, injected = c.injectAtStoreCall(snipestandin.CallPut, "config/head", func() (*sentRequest, error) {
			write()
			return nil, nil
		})
	})
	if err := errors.Join(injected, err); err != nil {
		return err
	}
	c.cluster.markLeaving(address, 0)
	since := time.Now()
	if held != nil {
		if err := c.inject(); err != nil {
			return err
		}
		h.release()
		c.mustBeDone(held)
	}
	if c.hasFault(faultStoreDown) {
		// No instance can read the drain until the store works again.
		c.healAndSettle()
		c.cluster.restartLeaving(address)
		since = time.Now()
	}
	time.Sleep(time.Until(since.Add(propagationLimit)))
	for i := range 8 {
		if to := c.cluster.instances[i%2]; to.running() && !to.paused {
			c.call(requestSpec{service: "droplog", method: http.MethodPost, from: 0, to: to, timeout: 3 * time.Second})
		}
	}
	return nil
}

// runJoin kills an instance after a booking, restarts it and checks that a repeat
// of the booking does not run again.
func runJoin(c *cell) error {
	o := requestSpec{service: "bookdesk", method: http.MethodPost, from: 2, to: c.faulty, timeout: 3 * time.Second}
	first := c.callUntilDone(o, 1)
	if first == nil || first.String() != "done" {
		c.failf(0, "booking before the restart: %v", first)
		return nil
	}
	if err := c.faulty.kill(); err != nil {
		return err
	}
	start := func() (*sentRequest, error) { return nil, c.cluster.start(c.faulty) }
	var err error
	switch c.step {
	case "register":
		_, err = c.injectAtStoreCall(snipestandin.CallLease, "", start)
	case "claim":
		_, err = c.injectAtStoreCall(snipestandin.CallPut, "positions/", start)
	default:
		if _, err = start(); err == nil {
			err = pollUntil(eventTimeout, func() error {
				s, err := c.faulty.status()
				if err == nil && !s.Ready {
					err = errors.New("not ready")
				}
				return err
			})
			err = errors.Join(err, c.inject())
		}
	}
	if err != nil {
		return err
	}
	c.healAndSettle()
	o.id = first.id
	repeat := c.cluster.send(o)
	<-repeat.done
	if n := c.cluster.standins.RunsByRequestID(first.id); n != 1 {
		c.failf(5, "booking before the restart ran %d times", n)
	}
	return nil
}

// runLeave stops an instance while a booking is in flight there, and checks that
// the booking is done and that the stop succeeds.
func runLeave(c *cell) error {
	h := c.cluster.holdAt("bookdesk", snipestandin.StageAfterExecution)
	o := requestSpec{service: "bookdesk", method: http.MethodPost, from: 2, to: c.faulty, timeout: c.heldRequestTimeout()}
	held, err := c.sendNew(&o)
	if err != nil {
		return err
	}
	if err := h.waitReached(c.ctx); err != nil {
		return err
	}
	if err := c.faulty.signal(syscall.SIGTERM); err != nil {
		return err
	}
	event := map[string]string{"announced": "stop begins", "handedOver": "records handed over"}[c.step]
	if err := pollUntil(eventTimeout, func() error {
		if !strings.Contains(c.faulty.log.String(), event) {
			return fmt.Errorf("log of the instance has no %q", event)
		}
		return nil
	}); err != nil {
		return err
	}
	if err := c.inject(); err != nil {
		return err
	}
	c.heal()
	h.release()
	<-held.done
	if !c.hasFault(faultDeath) {
		if !c.hasFault(faultSilence) && held.String() != "done" {
			c.failf(7, "request in flight ended as %s (%v)", held, held.err)
		}
		select {
		case <-c.faulty.done:
			if c.faulty.exit != nil {
				c.failf(7, "planned stop ended with an error: %v", c.faulty.exit)
			}
		case <-c.ctx.Done():
			c.failf(7, "planned stop has not ended")
		}
	}
	o.id, o.to = held.id, c.cluster.instances[0]
	<-c.cluster.send(o).done
	return nil
}
