package snipemeasure

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Cell is the result of one policy under one scenario and load. Load is a fraction
// of the nominal capacity.
type Cell struct {
	Policy   Policy   `json:"policy"`
	Scenario Scenario `json:"scenario"`
	Load     float64  `json:"load"`
	// Completed and Refused are numbers of requests. They add up to
	// Settings.Requests.
	Completed int `json:"completed"`
	Refused   int `json:"refused"`
	// Retries is the number of attempts after the first one of a request; only
	// Snipemoor retries.
	Retries int `json:"retries"`
	// Overloads is the number of requests that Snipemoor sent to a target without a
	// free slot; any number but 0 is a fault.
	Overloads int `json:"overloads"`
	// P50, P90, P99 and P999 are quantiles of the latency of completed requests, from
	// arrival to response.
	P50  time.Duration `json:"p50Nanoseconds"`
	P90  time.Duration `json:"p90Nanoseconds"`
	P99  time.Duration `json:"p99Nanoseconds"`
	P999 time.Duration `json:"p999Nanoseconds"`
	// Headroom is the mean fraction of free slots of the busiest target over the
	// run, in [0, 1].
	Headroom float64 `json:"headroom"`
	// DrainTime is the time from the announcement of the drain until the target is
	// idle; 0 in other scenarios than Drained.
	DrainTime time.Duration `json:"drainTimeNanoseconds"`
}

// Report holds the settings and results of a run.
type Report struct {
	Settings Settings `json:"settings"`
	Cells    []Cell   `json:"cells"`
}

// Run simulates every policy under every scenario and load. It returns an error on
// invalid settings. The same settings always give the same report.
func Run(settings Settings) (Report, error) {
	s := settings.withDefaults()
	if err := s.validate(); err != nil {
		return Report{}, fmt.Errorf("measurement settings: %w", err)
	}
	report := Report{Settings: s}
	for _, scenario := range s.Scenarios {
		for _, load := range s.Loads {
			for _, p := range s.Policies {
				cell, err := runCell(s, scenario, load, p)
				if err != nil {
					return Report{}, fmt.Errorf("policy %s: %w", p, err)
				}
				report.Cells = append(report.Cells, cell)
			}
		}
	}
	return report, nil
}

// runCell simulates one policy under one scenario and load.
func runCell(s Settings, scenario Scenario, load float64, name Policy) (Cell, error) {
	cell := Cell{Policy: name, Scenario: scenario, Load: load}
	sim := newSimulation(s, scenario, &cell)
	p, err := newPolicy(sim, name)
	if err != nil {
		return Cell{}, err
	}
	sim.scheduleArrivals(load, p.arrive)
	sim.schedule(sim.changeTime, func() {
		if scenario == Drained {
			sim.drain()
		}
		p.scenarioChanged()
	})
	sim.run()
	sim.summarize()
	return cell, nil
}

func newPolicy(sim *simulation, name Policy) (policy, error) {
	random := rand.New(rand.NewPCG(sim.settings.Seed, 1))
	switch name {
	case Random:
		return newRandom(sim, random), nil
	case RoundRobin:
		return newRoundRobin(sim, random), nil
	case LocalLeast:
		return newLocalLeast(sim, random), nil
	case Central:
		return &central{sim: sim}, nil
	default:
		return newSnipemoorPolicy(sim, sim.settings.Seed)
	}
}

// Find returns the cell of a policy, scenario and load. It reports false if there is
// none.
func (r Report) Find(p Policy, scenario Scenario, load float64) (Cell, bool) {
	for _, c := range r.Cells {
		if c.Policy == p && c.Scenario == scenario && c.Load == load {
			return c, true
		}
	}
	return Cell{}, false
}
