package snipemeasure

import (
	"math/rand/v2"
	"time"
)

// policy chooses targets within a model.
type policy interface {
	arrive(r *request)
	// change tells the policy that the scenario's change has taken place.
	change()
}

// direct is a policy that sends each request to a target at once.
type direct struct {
	m      *model
	choose func(r *request, usable []*backend) *backend
	// finished is called when a response has arrived; it may be nil.
	finished func(r *request, b *backend)
	usable   []*backend
}

func newDirect(m *model) *direct { return &direct{m: m, usable: m.backends} }

func (d *direct) change() {
	if d.m.scenario == Drained {
		d.usable = d.usable[1:]
	}
}

func (d *direct) arrive(r *request) {
	b := d.choose(r, d.usable)
	r.complete = func(time.Duration) {
		if d.finished != nil {
			d.finished(r, b)
		}
		d.m.finish(r)
	}
	d.m.submit(b, r)
}

func newRandom(m *model, random *rand.Rand) policy {
	d := newDirect(m)
	d.choose = func(_ *request, usable []*backend) *backend { return usable[random.IntN(len(usable))] }
	return d
}

func newRoundRobin(m *model, random *rand.Rand) policy {
	d := newDirect(m)
	next := make([]int, m.settings.Entries)
	for i := range next {
		next[i] = random.IntN(len(m.backends))
	}
	d.choose = func(r *request, usable []*backend) *backend {
		next[r.entry]++
		return usable[next[r.entry]%len(usable)]
	}
	return d
}

func newLocalLeast(m *model, random *rand.Rand) policy {
	d := newDirect(m)
	outstanding := make([][]int, m.settings.Entries)
	for i := range outstanding {
		outstanding[i] = make([]int, len(m.backends))
	}
	d.choose = func(r *request, usable []*backend) *backend {
		counts := outstanding[r.entry]
		var best *backend
		ties := 0
		for _, b := range usable {
			switch {
			case best == nil || counts[b.index] < counts[best.index]:
				best, ties = b, 1
			case counts[b.index] == counts[best.index]:
				ties++
				if random.IntN(ties) == 0 {
					best = b
				}
			}
		}
		counts[best.index]++
		return best
	}
	d.finished = func(r *request, b *backend) { outstanding[r.entry][b.index]-- }
	return d
}

// central is one FIFO queue before all slots. Of the free targets it takes the
// fastest, then the least busy.
type central struct {
	m     *model
	queue []*request
}

func (c *central) change() {}

func (c *central) arrive(r *request) {
	c.queue = append(c.queue, r)
	c.dispatch()
}

func (c *central) dispatch() {
	for len(c.queue) > 0 {
		var best *backend
		for _, b := range c.m.backends {
			if b.draining || b.busy >= b.slots {
				continue
			}
			if best == nil || c.m.factor(b) < c.m.factor(best) || c.m.factor(b) == c.m.factor(best) && b.busy < best.busy {
				best = b
			}
		}
		if best == nil {
			return
		}
		r := c.queue[0]
		c.queue = c.queue[1:]
		r.complete = func(time.Duration) {
			c.m.finish(r)
			c.dispatch()
		}
		c.m.submit(best, r)
	}
}
