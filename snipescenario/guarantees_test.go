package snipescenario_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/snipemoor/snipemoor/snipestandin"
	"github.com/snipemoor/snipemoor/snipetime"
)

// propagation is the time within which a change is in force everywhere and a
// leaving target receives no new work (section 1.2 of the design).
const propagation = 3 * time.Second

// drained is a target that leaves, and since when.
type drained struct {
	address string
	since   snipetime.Instant
}

// violations checks all requests sent so far and everything that ran against
// the guarantees that can be seen from outside, and returns each violation with
// the number of its guarantee. Requests must have ended.
func (w *world) violations() []string {
	var found []string
	add := func(guarantee int, format string, args ...any) {
		found = append(found, fmt.Sprintf("guarantee %d: ", guarantee)+fmt.Sprintf(format, args...))
	}
	w.mu.Lock()
	sent := slices.Clone(w.sent)
	leaving := slices.Clone(w.leaving)
	w.mu.Unlock()
	for _, in := range w.instances {
		for _, sign := range []string{"panic:", "WARNING: DATA RACE"} {
			if strings.Contains(in.log.String(), sign) {
				add(0, "log of %s has %q", in.name, sign)
			}
		}
	}
	for _, r := range sent {
		runs := w.standins.Runs(r.id)
		// Without a record, a refusal is about the last of several tries only.
		if r.outcome == "not-run" && runs > 0 && (r.once || r.tries == 1) {
			add(4, "%s of %s was answered %s and ran %d times", r.id, r.service, r, runs)
		}
		if r.once && runs > 1 {
			add(5, "%s of %s ran %d times", r.id, r.service, runs)
		}
		if n := w.standins.RunsOfKey(r.key); r.once && r.key != "" && n > 1 {
			add(5, "key %s of %s ran %d times", r.key, r.service, n)
		}
		if r.outcome == "done" && r.err == nil {
			if err := r.ownAnswer(); err != nil {
				add(3, "%s of %s: %v", r.id, r.service, err)
			}
		}
	}
	for _, service := range w.services {
		if n, at := w.mostAway(service); n > w.cap(service) {
			add(1, "%d requests of %s were served away from home in the second from %d, the cap is %d", n, service, at, w.cap(service))
		}
		for address, t := range w.targetsOf(service) {
			if excess := t.Stats().SlotExcess; excess > 0 {
				add(2, "%d requests came to target %s of %s beyond its slots", excess, address, service)
			}
		}
	}
	for _, d := range leaving {
		t, _ := w.standins.Target(d.address)
		for _, e := range t.Executions() {
			if e.Started.After(d.since.Add(propagation)) {
				add(6, "target %s received work %s after its drain", d.address, e.Started.Sub(d.since))
			}
		}
	}
	return found
}

// cap returns the shift cap of a service in requests/s.
func (w *world) cap(service string) int {
	if c, ok := w.caps[service]; ok {
		return c
	}
	return defaultCap
}

// mostAway returns the highest number of requests of a service that began away
// from the home place of their callers within one second. The path of a request
// names the place of its caller.
func (w *world) mostAway(service string) (most int, at snipetime.Instant) {
	var starts []snipetime.Instant
	for address, t := range w.targetsOf(service) {
		for _, e := range t.Executions() {
			var from int
			if _, err := fmt.Sscanf(e.Path, "/from/%d/", &from); err == nil && !w.inPlace(address, from) {
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

func (w *world) inPlace(target string, place int) bool {
	return strings.HasPrefix(target, fmt.Sprintf("%s%d:", w.prefix, hostTarget+place))
}

// executions returns how often requests of a service ran at the targets of a
// place.
func (w *world) executions(service string, place int) int {
	sum := 0
	for address, t := range w.targetsOf(service) {
		if w.inPlace(address, place) {
			sum += int(t.Stats().Executed)
		}
	}
	return sum
}

// inForce checks that the running instances have the generation, except those
// named as unreachable.
func (w *world) inForce(generation uint64, except ...string) error {
	for _, in := range w.instances {
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
func (w *world) setTargetFaults(service string, f snipestandin.TargetFaults) {
	for _, t := range w.targetsOf(service) {
		t.SetFaults(f)
	}
}
