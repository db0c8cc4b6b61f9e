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

// heldTimeout is the time limit of a request that is held at its target; it
// outlasts a planned stop up to the hand-over, and in cells with a pause that too.
func (c *cell) heldTimeout() time.Duration {
	if c.has(faultPause) {
		return 28 * time.Second
	}
	return 12 * time.Second
}

// apply commits documents as an operator does: it repeats a change that was
// stale on the new base, and one with an error or an unclear outcome after the
// faults. It returns the generation of the change.
func (c *cell) apply(start func(write func())) (uint64, error) {
	operation := snipestore.NewOperation()
	base := c.w.base
	done := make(chan struct{})
	var report snipestore.ChangeResult
	var err error
	start(func() {
		go func() {
			defer close(done)
			ctx, cancel := context.WithTimeout(c.ctx, operatorPatience)
			defer cancel()
			report, err = c.w.tryCommit(ctx, operation, base)
		}()
	})
	<-done
	if err == nil && report.Outcome() == snipestore.Committed {
		return report.Generation(), nil
	}
	if err == nil && report.Outcome() == snipestore.Stale && len(report.Difference()) == 0 && !c.storeFails() {
		c.failf(8, "stale change shows no difference")
	}
	unclear := err == nil && report.Outcome() == snipestore.Unclear
	c.recover()
	if unclear {
		// A repetition of the change has the same identifier and base.
		if report, err = c.w.tryCommit(c.ctx, operation, base); err != nil {
			return 0, err
		}
		if report.Outcome() == snipestore.Committed {
			return report.Generation(), nil
		}
	}
	documents := c.w.documents
	if err := c.w.sync(c.ctx); err != nil {
		return 0, err
	}
	c.w.documents = documents
	if err := c.w.commit(c.ctx); err != nil {
		return 0, err
	}
	return c.w.base.Generation(), nil
}

func runApply(c *cell) error {
	if _, err := c.w.setCap("slotboard", 190); err != nil {
		return err
	}
	var injected error
	generation, err := c.apply(func(write func()) {
		prefix := map[string]string{"documents": "config/docs/", "commit": "config/head"}[c.step]
		if prefix == "" {
			write()
			return
		}
		_, injected = c.atStoreCall(snipestandin.CallPut, prefix, func() (*outcome, error) {
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

// mustBeInForce checks that a generation is in force within 3 s on the instances
// that the faults leave reachable. While the store is down no instance can learn
// of a change that none had read.
func (c *cell) mustBeInForce(generation uint64) {
	if c.has(faultStoreDown) {
		return
	}
	var unreachable []string
	if c.has(faultRegion) {
		unreachable = c.w.placesOf(c.w.Places[2].Region)
	}
	for _, in := range c.w.instances {
		if in.paused {
			unreachable = append(unreachable, in.name)
		}
	}
	if err := until(propagation, func() error { return c.w.inForce(generation, unreachable...) }); err != nil {
		c.failf(8, "accepted change: %v", err)
	}
}

// runDrain drains a target, in one step with a request in flight there.
func runDrain(c *cell) error {
	address := c.w.target(slices.Index(c.w.services, "droplog"), 0, 0)
	var held *outcome
	var h *hold
	if c.step == "inFlight" {
		h = c.w.holdAt("droplog", snipestandin.StageAfterExecution)
		found, err := c.w.lookup(c.w.instances[0], "droplog", 0)
		if err != nil {
			return err
		}
		held = c.w.send(order{
			id: found.RequestIDPrefix + ".1", service: "droplog", method: http.MethodPost, to: c.w.instances[0], timeout: c.heldTimeout(),
		})
		if err := h.wait(c.ctx); err != nil {
			return err
		}
		// The request is at one of the two targets; that one leaves.
		if t, _ := c.w.standins.Target(address); t.Stats().Executed == 0 {
			address = c.w.target(slices.Index(c.w.services, "droplog"), 0, 1)
		}
	}
	if err := c.w.setDocument("drain.json", fmt.Appendf(nil, `{"kind":"drain","name":"leaving","target":%q}`, address)); err != nil {
		return err
	}
	var injected error
	_, err := c.apply(func(write func()) {
		if held != nil {
			write()
			return
		}
		_, injected = c.atStoreCall(snipestandin.CallPut, "config/head", func() (*outcome, error) {
			write()
			return nil, nil
		})
	})
	if err := errors.Join(injected, err); err != nil {
		return err
	}
	c.w.markLeaving(address, 0)
	since := time.Now()
	if held != nil {
		if err := c.inject(); err != nil {
			return err
		}
		h.release()
		c.mustBeDone(held)
	}
	if c.has(faultStoreDown) {
		// Until the store works again nobody can learn of the drain.
		c.recover()
		c.w.markLeavingAgain(address)
		since = time.Now()
	}
	time.Sleep(time.Until(since.Add(propagation)))
	for i := range 8 {
		if to := c.w.instances[i%2]; to.running() && !to.paused {
			c.call(order{service: "droplog", method: http.MethodPost, from: 0, to: to, timeout: 3 * time.Second})
		}
	}
	return nil
}

// runJoin kills an instance after a booking and starts it again.
func runJoin(c *cell) error {
	o := order{service: "bookdesk", method: http.MethodPost, from: 2, to: c.victim, timeout: 3 * time.Second}
	first := c.callUntilDone(o, 1)
	if first == nil || first.String() != "done" {
		c.failf(0, "booking before the restart: %v", first)
		return nil
	}
	if err := c.victim.kill(); err != nil {
		return err
	}
	start := func() (*outcome, error) { return nil, c.w.start(c.victim) }
	var err error
	switch c.step {
	case "register":
		_, err = c.atStoreCall(snipestandin.CallLease, "", start)
	case "claim":
		_, err = c.atStoreCall(snipestandin.CallPut, "positions/", start)
	default:
		if _, err = start(); err == nil {
			err = until(eventLimit, func() error {
				s, err := c.victim.status()
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
	c.recover()
	o.id = first.id
	repeat := c.w.send(o)
	<-repeat.done
	if n := c.w.standins.Runs(first.id); n != 1 {
		c.failf(5, "booking before the restart ran %d times", n)
	}
	return nil
}

// runLeave stops an instance while a booking is in flight there.
func runLeave(c *cell) error {
	h := c.w.holdAt("bookdesk", snipestandin.StageAfterExecution)
	o := order{service: "bookdesk", method: http.MethodPost, from: 2, to: c.victim, timeout: c.heldTimeout()}
	held, err := c.begin(&o)
	if err != nil {
		return err
	}
	if err := h.wait(c.ctx); err != nil {
		return err
	}
	if err := c.victim.signal(syscall.SIGTERM); err != nil {
		return err
	}
	event := map[string]string{"announced": "stop begins", "handedOver": "records handed over"}[c.step]
	if err := until(eventLimit, func() error {
		if !strings.Contains(c.victim.log.String(), event) {
			return fmt.Errorf("no %q in the log", event)
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
	if !c.has(faultDeath) {
		if !c.has(faultSilence) && held.String() != "done" {
			c.failf(7, "request in flight ended as %s (%v)", held, held.err)
		}
		select {
		case <-c.victim.done:
			if c.victim.exit != nil {
				c.failf(7, "planned stop: %v", c.victim.exit)
			}
		case <-c.ctx.Done():
			c.failf(7, "planned stop does not end")
		}
	}
	o.id, o.to = held.id, c.w.instances[0]
	<-c.w.send(o).done
	return nil
}
