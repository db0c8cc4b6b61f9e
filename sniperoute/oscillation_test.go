package sniperoute_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/snipemoor/snipemoor/sniperoute"
	"github.com/snipemoor/snipemoor/snipetime"
)

// simulatedPlace is a place whose load, in slots, is the sum of the demand that
// the planners send to it.
type simulatedPlace struct {
	slots  float64
	demand float64 // demand of callers with this home place, in slots
	load   []float64
}

// simulateOverload steps the planners of many instances through 90 s of overload
// in place 0 and then 90 s of low demand. Reports carry the load of 2 s ago.
func simulateOverload(t *testing.T, settings sniperoute.PlannerSettings, instances int) []simulatedPlace {
	const (
		tick  = 100 * time.Millisecond
		ticks = 1800
		lag   = 20   // of reports, in ticks
		draws = 2000 // sampled requests per home place and tick
	)
	places := []simulatedPlace{{slots: 48, demand: 62}, {slots: 48, demand: 20}, {slots: 48, demand: 28}, {slots: 48, demand: 10}}
	var configured []sniperoute.Place
	for i := range places {
		configured = append(configured, sniperoute.Place{Name: fmt.Sprint(i), FailureDomain: fmt.Sprint(i), Region: "r", Instances: 2})
	}
	planners := make([]*sniperoute.Planner, instances)
	for i := range planners {
		planners[i] = sniperoute.NewPlanner(settings, "r", newRand(uint64(i)))
		if err := planners[i].SetPlaces(configured, constantDelay); err != nil {
			t.Fatal(err)
		}
	}
	buffer := make([]sniperoute.PlaceCandidate, 0, 1)
	for step := range ticks {
		now := snipetime.Instant(step) * snipetime.Instant(tick)
		if step == ticks/2 {
			places[0].demand = 30
		}
		load := make([]float64, len(places))
		for home := range places {
			for n := range draws {
				plan := planners[n%instances].Plan(configured[home].Name, buffer)
				for j := range places {
					if plan[0].Place == configured[j].Name {
						load[j] += places[home].demand / draws
					}
				}
			}
		}
		for j := range places {
			places[j].load = append(places[j].load, load[j])
			if step < lag || step%5 != 0 {
				continue
			}
			old := places[j].load[step-lag]
			free := max(places[j].slots-old, 0)
			l := sniperoute.LoadReport{Free: int(free), Total: int(places[j].slots), Queued: int(max(old-places[j].slots, 0)), Age: lag * tick}
			for _, p := range planners {
				p.ObserveLoad(now, configured[j].Name, l)
			}
		}
	}
	return places
}

// Guards against oscillation when many planners react to the same reports, which
// lag by 2 s. The places that receive load from the overloaded one must stay
// within their slots, the load of the overloaded place must fall to its slots
// without being drained, and no load may oscillate.
func TestLoadStaysWithinSlots(t *testing.T) {
	for _, instances := range []int{12, 60} {
		places := simulateOverload(t, sniperoute.PlannerSettings{}, instances)
		for j, p := range places {
			steady := p.load[600:900] // overload, half a minute after its onset
			lowest, highest := steady[0], steady[0]
			for _, l := range steady {
				lowest, highest = min(lowest, l), max(highest, l)
			}
			t.Logf("%d instances, place %d: %.1f to %.1f of %.0f slots", instances, j, lowest, highest, p.slots)
			if highest > p.slots*1.02 { // sampling noise of the draws
				t.Errorf("place %d: load %.1f above %.0f slots", j, highest, p.slots)
			}
			if lowest < p.slots/10 {
				t.Errorf("place %d: load falls to %.1f of %.0f slots", j, lowest, p.slots)
			}
			for step, l := range p.load {
				if j > 0 && l > p.slots {
					t.Fatalf("place %d: load %.1f above %.0f slots at step %d", j, l, p.slots, step)
				}
			}
		}
		if last := places[0].load[len(places[0].load)-1]; last < 0.95*places[0].demand {
			t.Errorf("place 0 serves %.1f of its own %.1f after the overload", last, places[0].demand)
		}
	}
}

// Guards against a simulation that cannot fail: with full steps on every report
// the load must oscillate.
func TestUnboundedStepsOscillate(t *testing.T) {
	places := simulateOverload(t, sniperoute.PlannerSettings{Step: 1, StepInterval: time.Nanosecond}, 12)
	low, high := false, false
	for _, l := range places[0].load[600:900] {
		low = low || l < places[0].slots/10
		high = high || l > places[0].slots*1.02
	}
	if !low || !high {
		t.Error("unbounded steps did not oscillate")
	}
}

// Guards against weights that change on a stale, repeated or early report.
func TestIgnoredReports(t *testing.T) {
	p := sniperoute.NewPlanner(sniperoute.PlannerSettings{}, "r", newRand(1))
	places := []sniperoute.Place{{Name: "a", Region: "r"}, {Name: "b", Region: "r"}}
	if err := p.SetPlaces(places, constantDelay); err != nil {
		t.Fatal(err)
	}
	full := sniperoute.LoadReport{Total: 10, Queued: 5}
	at := func(s float64) snipetime.Instant { return snipetime.Instant(s * float64(time.Second)) }
	for _, step := range []struct {
		now      float64
		load     sniperoute.LoadReport
		b        bool
		ownShare float64
	}{
		{10, full, false, 1}, // no report on b
		{13, full, true, 0.95},
		{13, full, true, 0.95}, // repeated
		{14, full, true, 0.95}, // early
		{17, full, true, 0.90},
		{30, sniperoute.LoadReport{Total: 10, Queued: 5, Age: 5 * time.Second}, true, 0.90}, // stale
		{40, full, false, 0.90}, // b is stale
		{50, sniperoute.LoadReport{Total: 10, Free: 9}, false, 0.95},
	} {
		if step.b {
			p.ObserveLoad(at(step.now), "b", sniperoute.LoadReport{Total: 10, Free: 9})
		}
		p.ObserveLoad(at(step.now), "a", step.load)
		if ownShare, _, _ := p.Weights("a"); ownShare < step.ownShare-1e-9 || ownShare > step.ownShare+1e-9 {
			t.Errorf("at %v s: keep %v, want %v", step.now, ownShare, step.ownShare)
		}
	}
}

func BenchmarkPlan(b *testing.B) {
	for _, instances := range []int{12, 120, 460} {
		b.Run(fmt.Sprint("instances=", instances), func(b *testing.B) {
			const places = 140
			p := sniperoute.NewPlanner(sniperoute.PlannerSettings{}, "r0", newRand(1))
			var all []sniperoute.Place
			var relays []sniperoute.Relay
			for i := range places {
				all = append(all, sniperoute.Place{
					Name: fmt.Sprint("p", i), FailureDomain: fmt.Sprint("d", i%18), Region: fmt.Sprint("r", i%6),
					Instances: instances/places + 1,
				})
			}
			for i := range instances {
				relays = append(relays, sniperoute.Relay{Address: fmt.Sprint(i), Place: all[i%places].Name, Region: all[i%places].Region})
			}
			if err := p.SetPlaces(all, constantDelay); err != nil {
				b.Fatal(err)
			}
			r := sniperoute.NewRelays(newRand(2))
			r.SetInstances(relays)
			for round := range 15 {
				for i := range all {
					l := sniperoute.LoadReport{Total: 10, Free: 6}
					if i%3 == 0 {
						l = sniperoute.LoadReport{Total: 10, Queued: 3}
					}
					p.ObserveLoad(snipetime.Instant(3*round)*snipetime.Instant(time.Second), all[i].Name, l)
				}
			}
			buffer := make([]sniperoute.PlaceCandidate, 0, 6)
			homes := rand.New(rand.NewPCG(3, 3)).Perm(places)
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				n++
				plan := p.Plan(all[homes[n%places]].Name, buffer)
				if last := plan[len(plan)-1]; last.NeedsLink {
					r.Choose(last.Region, last.Place, "")
				}
			}
		})
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, targets := range []int{4, 8, 16} {
		b.Run(fmt.Sprint("targets=", targets), func(b *testing.B) {
			c := sniperoute.NewChooser(sniperoute.ChooserSettings{}, newRand(1))
			var addresses []string
			var free []sniperoute.Candidate
			for i := range targets {
				addresses = append(addresses, fmt.Sprint("10.0.0.", i, ":80"))
				free = append(free, sniperoute.Candidate{Address: addresses[i], Used: i % 4, Slots: 5})
			}
			c.SetTargets(0, addresses, nil)
			b.ReportAllocs()
			for b.Loop() {
				i := c.Choose(0, free)
				c.Observe(0, free[i].Address, sniperoute.Completed, time.Millisecond)
			}
		})
	}
}
