package snipemeasure

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Policy is the name of a load-balancing policy.
type Policy string

// Policies.
const (
	// Snipemoor is the policy of snipemoor: in each place one owner grants the slots
	// of the targets and queues requests.
	Snipemoor Policy = "snipemoor"
	// Random sends each request to a target chosen uniformly at random.
	Random Policy = "random"
	// RoundRobin cycles through the targets, separately at each entry instance.
	RoundRobin Policy = "roundRobin"
	// LocalLeast chooses the target with the fewest requests in flight from the same
	// entry instance.
	LocalLeast Policy = "localLeast"
	// Central is one queue for all targets that observes every slot without delay,
	// the ideal for comparison.
	Central Policy = "central"
)

// Scenario is the name of a condition of the targets.
type Scenario string

// Scenarios.
const (
	// Equal gives all targets the same service times.
	Equal Scenario = "equal"
	// Slow multiplies the service times of one target by SlowFactor.
	Slow Scenario = "slow"
	// Cold restarts one target half-way through the arrivals. Its service times then
	// fall linearly from ColdFactor times the normal ones to normal over ColdPeriod.
	Cold Scenario = "cold"
	// Drained announces the drain of one target half-way through the arrivals.
	Drained Scenario = "drained"
)

// Parameters of the scenarios Slow and Cold. The factors multiply service times.
const (
	SlowFactor = 3.0
	ColdFactor = 5.0
	ColdPeriod = 10 * time.Second
)

// Settings are the parameters of Run. A field that is zero or empty has the default
// value given in parentheses.
type Settings struct {
	// Seed is the seed of arrivals, service times and random choices (0).
	Seed uint64
	// Requests is the number of requests in each cell (50,000).
	Requests int
	// Entries is the number of entry instances (12).
	Entries int
	// Places is the number of places of one region among which targets and callers
	// are spread (2). Each place has at least one target.
	Places int
	// Targets is the number of targets (16), at least 2. Each has Slots slots (4),
	// the number of requests that it runs at once.
	Targets, Slots int
	// Service is the mean of the log-normal service time (20 ms), and Sigma the
	// standard deviation of its logarithm (0.5).
	Service time.Duration
	Sigma   float64
	// ControlDelay is the one-way delay of a control message (0.5 ms).
	ControlDelay time.Duration
	// Timeout is the time budget of each request (5 s).
	Timeout time.Duration
	// Loads are fractions of the nominal capacity (0.5, 0.7, 0.85, 0.95), each
	// greater than 0.
	Loads []float64
	// Policies and Scenarios are those to run (all).
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
			return fmt.Errorf("number of requests, entries, places, targets or slots is negative: %d", n)
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
