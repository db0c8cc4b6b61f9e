package snipedemo

import (
	"context"
	"sync"
	"time"
)

const (
	// sampleInterval is the time between looks at generations and slots.
	sampleInterval = 20 * time.Millisecond
	// inForceLimit is how long an accepted configuration may take to be in
	// force, and a leaving target may receive new work (guarantees 6 and 8).
	inForceLimit = 3 * time.Second
)

// commit is an accepted generation.
type commit struct {
	generation uint64
	at         time.Time
	// inForce is when the last running instance had it, zero before that.
	inForce time.Time
}

// occupancy sums samples of the free part of a region's slots.
type occupancy struct {
	samples  int
	sum, low float64
}

func (o *occupancy) add(free float64) {
	if o.samples == 0 || free < o.low {
		o.low = free
	}
	o.samples++
	o.sum += free
}

func (o *occupancy) mean() float64 {
	if o.samples == 0 {
		return 0
	}
	return o.sum / float64(o.samples)
}

// sampler watches the instances and the targets of a demo.
type sampler struct {
	world *world

	mu       sync.Mutex
	last     map[*instance]uint64
	reverts  int
	commits  []commit
	slots    map[string]*occupancy
	underWay bool
}

func newSampler(w *world) *sampler {
	return &sampler{world: w, last: make(map[*instance]uint64), slots: make(map[string]*occupancy)}
}

// run samples until ctx ends.
func (s *sampler) run(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.sample(time.Now())
		case <-ctx.Done():
			return
		}
	}
}

// committed notes that a generation was accepted.
func (s *sampler) committed(generation uint64, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commits = append(s.commits, commit{generation: generation, at: at})
}

// setUnderWay starts and ends the sampling of slots.
func (s *sampler) setUnderWay(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.underWay = on
}

func (s *sampler) sample(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lowest := ^uint64(0)
	for _, i := range s.world.instances {
		if !i.running() {
			continue
		}
		generation := i.daemon.Generation()
		if generation < s.last[i] {
			s.reverts++
		}
		s.last[i] = generation
		lowest = min(lowest, generation)
	}
	for i := range s.commits {
		if c := &s.commits[i]; c.inForce.IsZero() && lowest >= c.generation {
			c.inForce = now
		}
	}
	if s.underWay {
		for region, free := range s.world.freeSlots() {
			if s.slots[region] == nil {
				s.slots[region] = &occupancy{}
			}
			s.slots[region].add(free)
		}
	}
}

// late returns how many generations were not in force in time.
func (s *sampler) late() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, c := range s.commits {
		if c.inForce.IsZero() || c.inForce.Sub(c.at) > inForceLimit {
			n++
		}
	}
	return n
}

// slowest returns the longest time from acceptance to force.
func (s *sampler) slowest() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	var longest time.Duration
	for _, c := range s.commits {
		if !c.inForce.IsZero() {
			longest = max(longest, c.inForce.Sub(c.at))
		}
	}
	return longest
}

// freeSlots returns the free part of the slots of each region.
func (w *world) freeSlots() map[string]float64 {
	busy, all := map[string]int{}, map[string]int{}
	for _, team := range w.deployment.config.Teams() {
		for _, service := range team.Services() {
			for _, t := range service.Targets() {
				target, ok := w.standins.Target(t.Address().String())
				if !ok {
					continue
				}
				running, _ := target.Busy()
				region := t.Place().Region().Name()
				busy[region] += running
				all[region] += service.Template().SlotsPerTarget()
			}
		}
	}
	free := make(map[string]float64, len(all))
	for region, n := range all {
		free[region] = 1 - float64(busy[region])/float64(n)
	}
	return free
}
