package snipemeasure

import (
	"math/rand/v2"
	"time"
)

// policy assigns the requests of a simulation to targets.
type policy interface {
	// arrive handles the arrival of a request at its entry instance.
	arrive(r *request)
	// scenarioChanged is called when the change of the scenario takes place.
	scenarioChanged()
}

// direct is a policy that chooses a target when a request arrives and sends it there
// at once. usable holds the targets that are not draining.
type direct struct {
	sim    *simulation
	choose func(r *request, usable []*target) *target
	// onResponse is called when a response has arrived; it may be nil.
	onResponse func(r *request, t *target)
	usable     []*target
}

func newDirect(sim *simulation) *direct { return &direct{sim: sim, usable: sim.targets} }

func (d *direct) scenarioChanged() {
	if d.sim.scenario == Drained {
		d.usable = d.usable[1:]
	}
}

func (d *direct) arrive(r *request) {
	t := d.choose(r, d.usable)
	r.complete = func(time.Duration) {
		if d.onResponse != nil {
			d.onResponse(r, t)
		}
		d.sim.finish(r)
	}
	d.sim.submit(t, r)
}

func newRandom(sim *simulation, random *rand.Rand) policy {
	d := newDirect(sim)
	d.choose = func(_ *request, usable []*target) *target { return usable[random.IntN(len(usable))] }
	return d
}

func newRoundRobin(sim *simulation, random *rand.Rand) policy {
	d := newDirect(sim)
	next := make([]int, sim.settings.Entries)
	for i := range next {
		next[i] = random.IntN(len(sim.targets))
	}
	d.choose = func(r *request, usable []*target) *target {
		next[r.entry]++
		return usable[next[r.entry]%len(usable)]
	}
	return d
}

func newLocalLeast(sim *simulation, random *rand.Rand) policy {
	d := newDirect(sim)
	outstanding := make([][]int, sim.settings.Entries)
	for i := range outstanding {
		outstanding[i] = make([]int, len(sim.targets))
	}
	d.choose = func(r *request, usable []*target) *target {
		counts := outstanding[r.entry]
		var best *target
		tied := 0
		for _, t := range usable {
			switch {
			case best == nil || counts[t.index] < counts[best.index]:
				best, tied = t, 1
			case counts[t.index] == counts[best.index]:
				tied++
				if random.IntN(tied) == 0 {
					best = t
				}
			}
		}
		counts[best.index]++
		return best
	}
	d.onResponse = func(r *request, t *target) { outstanding[r.entry][t.index]-- }
	return d
}

// central is one FIFO queue for all targets. Among the targets with a free slot it
// chooses the one with the shortest service times, then the least busy one.
type central struct {
	sim   *simulation
	queue []*request
}

func (c *central) scenarioChanged() {}

func (c *central) arrive(r *request) {
	c.queue = append(c.queue, r)
	c.dispatch()
}

// dispatch sends queued requests while a target has a free slot.
func (c *central) dispatch() {
	for len(c.queue) > 0 {
		var best *target
		for _, t := range c.sim.targets {
			if t.draining || t.busy >= t.slots {
				continue
			}
			if best == nil || c.sim.slowdown(t) < c.sim.slowdown(best) || c.sim.slowdown(t) == c.sim.slowdown(best) && t.busy < best.busy {
				best = t
			}
		}
		if best == nil {
			return
		}
		r := c.queue[0]
		c.queue = c.queue[1:]
		r.complete = func(time.Duration) {
			c.sim.finish(r)
			c.dispatch()
		}
		c.sim.submit(best, r)
	}
}
