package snipescenario_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/snipemoor/snipemoor/snipestandin"
	"github.com/snipemoor/snipemoor/snipetime"
)

// propagationLimit is the time after which a change must be in force everywhere
// and a leaving target must receive no new request (section 1.2 of the design).
const propagationLimit = 3 * time.Second

// leavingTarget is a target that is leaving, and the instant at which it began.
type leavingTarget struct {
	address string
	since   snipetime.Instant
}

// violations checks the guarantees that can be observed from outside against all
// requests sent so far and all executions at the targets. It returns each
// violation with the number of its guarantee, or with 0 for a panic or a data
// race in the log of an instance. Requests must have ended.
func (cl *cluster) violations() []string {
	var found []string
	add := func(guarantee int, format string, args ...any) {
		found = append(found, fmt.Sprintf("guarantee %d: ", guarantee)+fmt.Sprintf(format, args...))
	}
	cl.mu.Lock()
	sent := slices.Clone(cl.sent)
	leaving := slices.Clone(cl.leaving)
	cl.mu.Unlock()
	for _, in := range cl.instances {
		for _, marker := range []string{"panic:", "WARNING: DATA RACE"} {
			if strings.Contains(in.log.String(), marker) {
				add(0, "log of %s has %q", in.name, marker)
			}
		}
	}
	for _, r := range sent {
		runs := cl.standins.RunsByRequestID(r.id)
		// Only requests of class once have a record of earlier tries. For others,
		// not-run refers to the last try only.
		if r.outcome == "not-run" && runs > 0 && (r.atMostOnce || r.tries == 1) {
			add(4, "%s of %s ended as %s but ran %d times", r.id, r.service, r, runs)
		}
		if r.atMostOnce && runs > 1 {
			add(5, "%s of %s ran %d times", r.id, r.service, runs)
		}
		if n := cl.standins.RunsByKey(r.key); r.atMostOnce && r.key != "" && n > 1 {
			add(5, "key %s of %s ran %d times", r.key, r.service, n)
		}
		if r.outcome == "done" && r.err == nil {
			if err := r.checkAnswer(); err != nil {
				add(3, "%s of %s: %v", r.id, r.service, err)
			}
		}
	}
	for _, service := range cl.services {
		if n, at := cl.maxShiftedPerSecond(service); n > cl.shiftCap(service) {
			add(1, "%d requests of %s ran outside the places of their callers in the second from %d, the shift cap is %d", n, service, at, cl.shiftCap(service))
		}
		for address, t := range cl.targetsOf(service) {
			if excess := t.Stats().SlotExcess; excess > 0 {
				add(2, "%d requests arrived at target %s of %s while all its slots were busy", excess, address, service)
			}
		}
	}
	for _, d := range leaving {
		t, _ := cl.standins.Target(d.address)
		for _, e := range t.Executions() {
			if e.Started.After(d.since.Add(propagationLimit)) {
				add(6, "target %s started a request %s after it began to leave", d.address, e.Started.Sub(d.since))
			}
		}
	}
	return found
}

// shiftCap returns the shift cap of a service in requests/s.
func (cl *cluster) shiftCap(service string) int {
	if c, ok := cl.shiftCaps[service]; ok {
		return c
	}
	return defaultCap
}

// maxShiftedPerSecond returns the highest number of requests of a service that
// began within one second at targets outside the places of their callers, and the
// start of that second. The path of a request contains the place of its caller.
func (cl *cluster) maxShiftedPerSecond(service string) (most int, at snipetime.Instant) {
	var starts []snipetime.Instant
	for address, t := range cl.targetsOf(service) {
		for _, e := range t.Executions() {
			var from int
			if _, err := fmt.Sscanf(e.Path, "/from/%d/", &from); err == nil && !cl.isInPlace(address, from) {
				starts = append(starts, e.Started)
			}
		}
	}
	slices.Sort(starts)
	first := 0
	for i, s := range starts {
		for s.Sub(starts[first]) >= time.Second {
			first++
		}
		if i-first+1 > most {
			most, at = i-first+1, starts[first]
		}
	}
	return most, at
}

// isInPlace reports whether the address of a target is in a place.
func (cl *cluster) isInPlace(target string, place int) bool {
	return strings.HasPrefix(target, fmt.Sprintf("%s%d:", cl.subnet, hostTarget+place))
}

// countExecutions returns how many requests of a service ran at the targets of a
// place.
func (cl *cluster) countExecutions(service string, place int) int {
	sum := 0
	for address, t := range cl.targetsOf(service) {
		if cl.isInPlace(address, place) {
			sum += int(t.Stats().Executed)
		}
	}
	return sum
}

// checkInForce checks that the running instances have the generation or a later
// one. Instances named in except are not checked.
func (cl *cluster) checkInForce(generation uint64, except ...string) error {
	for _, in := range cl.instances {
		if !in.running() || slices.Contains(except, in.name) {
			continue
		}
		s, err := in.status()
		if err != nil {
			return err
		}
		if s.Generation < generation {
			return fmt.Errorf("%s has generation %d, want %d", in.name, s.Generation, generation)
		}
	}
	return nil
}

// setTargetFaults sets faults at all targets of a service.
func (cl *cluster) setTargetFaults(service string, f snipestandin.TargetFaults) {
	for _, t := range cl.targetsOf(service) {
		t.SetFaults(f)
	}
}
