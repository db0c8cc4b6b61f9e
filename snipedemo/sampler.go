package snipedemo

import (
	"context"
	"sync"
	"time"
)

const (
	// sampleInterval is the time between samples of generations and slots.
	sampleInterval = 20 * time.Millisecond
	// inForceLimit is the longest time until all running instances use an accepted
	// configuration (guarantee 8), and the longest time during which a leaving
	// target may still receive new work (guarantee 6).
	inForceLimit = 3 * time.Second
)

// commit is a generation that the store accepted.
type commit struct {
	generation uint64
	at         time.Time
	// inForce is when all running instances were first seen to use this generation
	// or a later one; zero before that.
	inForce time.Time
}

// headroomStats holds the sum and the minimum of samples of a free fraction, of
// slots or of a link, where 1 means idle.
type headroomStats struct {
	samples     int
	sum, lowest float64
}

func (h *headroomStats) add(free float64) {
	if h.samples == 0 || free < h.lowest {
		h.lowest = free
	}
	h.samples++
	h.sum += free
}

func (h *headroomStats) mean() float64 {
	if h.samples == 0 {
		return 0
	}
	return h.sum / float64(h.samples)
}

// sampler samples the generations of the instances and the free slots of the
// targets. It counts an instance that goes back to an older generation as a revert.
type sampler struct {
	testbed *testbed

	mu             sync.Mutex
	lastGeneration map[*instance]uint64
	reverts        int
	commits        []commit
	slotHeadroom   map[string]*headroomStats
	loadRunning    bool
}

func newSampler(tb *testbed) *sampler {
	return &sampler{testbed: tb, lastGeneration: make(map[*instance]uint64), slotHeadroom: make(map[string]*headroomStats)}
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

// recordCommit records that the store accepted a generation.
func (s *sampler) recordCommit(generation uint64, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commits = append(s.commits, commit{generation: generation, at: at})
}

// setLoadRunning starts and stops the sampling of free slots.
func (s *sampler) setLoadRunning(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loadRunning = on
}

// sample records the state of the running instances and, under load, the free
// slots.
func (s *sampler) sample(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lowest := ^uint64(0)
	for _, i := range s.testbed.instances {
		if !i.running() {
			continue
		}
		generation := i.daemon.Generation()
		if generation < s.lastGeneration[i] {
			s.reverts++
		}
		s.lastGeneration[i] = generation
		lowest = min(lowest, generation)
	}
	for i := range s.commits {
		if c := &s.commits[i]; c.inForce.IsZero() && lowest >= c.generation {
			c.inForce = now
		}
	}
	if s.loadRunning {
		for region, free := range s.testbed.freeSlotFractions() {
			if s.slotHeadroom[region] == nil {
				s.slotHeadroom[region] = &headroomStats{}
			}
			s.slotHeadroom[region].add(free)
		}
	}
}

// lateCommits returns how many generations were not in force within inForceLimit.
func (s *sampler) lateCommits() int {
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

// maxInForceTime returns the longest time from the acceptance of a generation until
// it was in force.
func (s *sampler) maxInForceTime() time.Duration {
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

// freeSlotFractions returns the fraction of free slots by region. It is negative
// where targets execute more requests than they have slots.
func (tb *testbed) freeSlotFractions() map[string]float64 {
	busy, all := map[string]int{}, map[string]int{}
	for _, team := range tb.deployment.config.Teams() {
		for _, service := range team.Services() {
			for _, t := range service.Targets() {
				target, ok := tb.standins.Target(t.Address().String())
				if !ok {
					continue
				}
				running, _ := target.InFlight()
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
