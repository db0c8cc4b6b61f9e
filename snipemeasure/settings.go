package snipemeasure

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Policy names a way to choose targets.
type Policy string

// Policies.
const (
	// Snipemoor is the project's policy: an owner queue for each place.
	Snipemoor Policy = "snipemoor"
	// Random sends each request to a uniformly random target.
	Random Policy = "random"
	// RoundRobin cycles through the targets at each entry instance.
	RoundRobin Policy = "roundRobin"
	// LocalLeast takes the target with the fewest outstanding requests of the
	// entry instance.
	LocalLeast Policy = "localLeast"
	// Central is one queue that knows every slot without delay.
	Central Policy = "central"
)

// Scenario names a condition of the targets.
type Scenario string

// Scenarios.
const (
	// Equal targets behave alike.
	Equal Scenario = "equal"
	// Slow makes one target take SlowFactor times as long.
	Slow Scenario = "slow"
	// Cold restarts one target half-way; its service times fall from
	// ColdFactor times the normal to normal over ColdPeriod.
	Cold Scenario = "cold"
	// Drained announces the drain of one target half-way.
	Drained Scenario = "drained"
)

// Factors of the scenarios.
const (
	SlowFactor = 3.0
	ColdFactor = 5.0
	ColdPeriod = 10 * time.Second
)

// Settings are the parameters of Run. Zero fields mean defaults.
type Settings struct {
	// Seed of arrivals, service times and choices.
	Seed uint64
	// Requests is the number of requests of each cell (50,000).
	Requests int
	// Entries is the number of entry instances (12).
	Entries int
	// Places of one region among which targets and callers are spread (2).
	Places int
	// Targets is the number of targets (16), each with Slots slots (4).
	Targets, Slots int
	// Service is the mean service time (20 ms); it is log-normal with Sigma (0.5).
	Service time.Duration
	Sigma   float64
	// ControlDelay is the delay of a control message each way (0.5 ms).
	ControlDelay time.Duration
	// Timeout is the budget of each request (5 s).
	Timeout time.Duration
	// Loads are shares of the nominal capacity (0.5, 0.7, 0.85, 0.95).
	Loads []float64
	// Policies and Scenarios to run (all).
	Policies  []Policy
	Scenarios []Scenario
}

func (s Settings) withDefaults() Settings {
	s.Requests = cmp.Or(s.Requests, 50000)
	s.Entries = cmp.Or(s.Entries, 12)
	s.Places = cmp.Or(s.Places, 2)
	s.Targets = cmp.Or(s.Targets, 16)
	s.Slots = cmp.Or(s.Slots, 4)
	s.Service = cmp.Or(s.Service, 20*time.Millisecond)
	s.Sigma = cmp.Or(s.Sigma, 0.5)
	s.ControlDelay = cmp.Or(s.ControlDelay, 500*time.Microsecond)
	s.Timeout = cmp.Or(s.Timeout, 5*time.Second)
	if len(s.Loads) == 0 {
		s.Loads = []float64{0.5, 0.7, 0.85, 0.95}
	}
	if len(s.Policies) == 0 {
		s.Policies = []Policy{Snipemoor, Random, RoundRobin, LocalLeast, Central}
	}
	if len(s.Scenarios) == 0 {
		s.Scenarios = []Scenario{Equal, Slow, Cold, Drained}
	}
	return s
}

func (s Settings) validate() error {
	for _, n := range []int{s.Requests, s.Entries, s.Places, s.Targets, s.Slots} {
		if n < 0 {
			return fmt.Errorf("a count is negative: %d", n)
		}
	}
	if s.Targets < 2 || s.Places > s.Targets {
		return fmt.Errorf("%d targets in %d places: at least 2 targets and one for each place are needed", s.Targets, s.Places)
	}
	for _, l := range s.Loads {
		if l <= 0 {
			return fmt.Errorf("load %v is not positive", l)
		}
	}
	for _, p := range s.Policies {
		if !slices.Contains([]Policy{Snipemoor, Random, RoundRobin, LocalLeast, Central}, p) {
			return fmt.Errorf("unknown policy %q", p)
		}
	}
	for _, c := range s.Scenarios {
		if !slices.Contains([]Scenario{Equal, Slow, Cold, Drained}, c) {
			return fmt.Errorf("unknown scenario %q", c)
		}
	}
	return nil
}
