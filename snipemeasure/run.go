package snipemeasure

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Cell is the result of one policy under one scenario and load.
type Cell struct {
	Policy   Policy   `json:"policy"`
	Scenario Scenario `json:"scenario"`
	Load     float64  `json:"load"`
	// Completed and Refused add up to the requests.
	Completed int `json:"completed"`
	Refused   int `json:"refused"`
	// Retries counts further attempts after a refusal.
	Retries int `json:"retries"`
	// Overloads counts requests that the project's policy sent to a target
	// without a free slot.
	Overloads int `json:"overloads"`
	// Latencies from arrival to response, of completed requests.
	P50  time.Duration `json:"p50Nanoseconds"`
	P90  time.Duration `json:"p90Nanoseconds"`
	P99  time.Duration `json:"p99Nanoseconds"`
	P999 time.Duration `json:"p999Nanoseconds"`
	// Headroom is the free share of the slots of the busiest target, averaged
	// over the run.
	Headroom float64 `json:"headroom"`
	// DrainTime is the time from the drain's announcement until the target is
	// idle; 0 in other scenarios.
	DrainTime time.Duration `json:"drainTimeNanoseconds"`
}

// Report holds the settings and results of a run.
type Report struct {
	Settings Settings `json:"settings"`
	Cells    []Cell   `json:"cells"`
}

// Run measures every policy under every scenario and load. It fails on invalid
// settings. The same settings always give the same report.
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

func runCell(s Settings, scenario Scenario, load float64, name Policy) (Cell, error) {
	cell := Cell{Policy: name, Scenario: scenario, Load: load}
	m := newModel(s, scenario, &cell)
	p, err := newPolicy(m, name)
	if err != nil {
		return Cell{}, err
	}
	m.arrivals(load, p.arrive)
	m.at(m.half, func() {
		if scenario == Drained {
			m.drain()
		}
		p.change()
	})
	m.run()
	m.summarize()
	return cell, nil
}

func newPolicy(m *model, name Policy) (policy, error) {
	random := rand.New(rand.NewPCG(m.settings.Seed, 1))
	switch name {
	case Random:
		return newRandom(m, random), nil
	case RoundRobin:
		return newRoundRobin(m, random), nil
	case LocalLeast:
		return newLocalLeast(m, random), nil
	case Central:
		return &central{m: m}, nil
	default:
		return newProject(m, m.settings.Seed)
	}
}

// Find returns the cell of a policy, scenario and load.
func (r Report) Find(p Policy, scenario Scenario, load float64) (Cell, bool) {
	for _, c := range r.Cells {
		if c.Policy == p && c.Scenario == scenario && c.Load == load {
			return c, true
		}
	}
	return Cell{}, false
}
