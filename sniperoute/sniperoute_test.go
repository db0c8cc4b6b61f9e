package sniperoute_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/snipemoor/snipemoor/sniperoute"
	"github.com/snipemoor/snipemoor/snipetime"
)

func newRand(n uint64) *rand.Rand { return rand.New(rand.NewPCG(n, 1)) }

func constantDelay(string, string) time.Duration { return time.Millisecond }

func ExamplePlanner() {
	p := sniperoute.NewPlanner(sniperoute.PlannerSettings{}, "thrissur", newRand(1))
	err := p.SetPlaces([]sniperoute.Place{
		{Name: "tcr-ollur", FailureDomain: "tcr-ollur", Region: "thrissur", Instances: 2},
		{Name: "tcr-kunnam", FailureDomain: "tcr-kunnam", Region: "thrissur", Instances: 2},
		{Name: "ekm-aluva", FailureDomain: "ekm-aluva", Region: "ernakulam", Instances: 2},
	}, constantDelay)
	if err != nil {
		fmt.Println(err)
	}
	for _, c := range p.Plan("tcr-ollur", make([]sniperoute.PlaceCandidate, 0, 4)) {
		fmt.Println(c.Place, c.NeedsShift, c.NeedsLink)
	}
	// Output:
	// tcr-ollur false false
	// tcr-kunnam true false
	// ekm-aluva true true
}

// Guards against ejection of more than half of the targets, after which a failing
// service would receive all its load on one target.
func TestEjectsAtMostHalf(t *testing.T) {
	for n := 1; n <= 16; n++ {
		c := sniperoute.NewChooser(sniperoute.ChooserSettings{}, newRand(1))
		free := make([]sniperoute.Candidate, n)
		addresses := make([]string, n)
		for i := range free {
			addresses[i] = fmt.Sprint("t", i)
			free[i] = sniperoute.Candidate{Address: addresses[i], Slots: 3}
		}
		c.SetTargets(0, addresses, nil)
		for range 10 {
			for _, a := range addresses {
				c.Observe(0, a, sniperoute.Failed, 0)
				c.Probe(0, a, sniperoute.ProbeResult{Healthy: false})
			}
		}
		if got := c.Ejected(); got != n/2 {
			t.Errorf("%d of %d targets ejected, want %d", got, n, n/2)
		}
		if c.Choose(0, free) < 0 {
			t.Errorf("no choice among %d targets", n)
		}
	}
}

// Guards against a cold target that receives its full load at once, against one
// that never does, and against the selection of a draining target.
func TestSlowStartAndDrain(t *testing.T) {
	c := sniperoute.NewChooser(sniperoute.ChooserSettings{}, newRand(2))
	c.SetTargets(0, []string{"a", "b"}, nil)
	c.SetTargets(0, []string{"a", "b"}, func(a string) bool { return a == "b" })
	free := []sniperoute.Candidate{{Address: "b", Slots: 4}}
	if c.Choose(0, free) != -1 {
		t.Error("a draining target was chosen")
	}
	c.SetTargets(0, []string{"a", "b"}, nil)
	for _, step := range []struct {
		after time.Duration
		used  int
		want  int
	}{{0, 0, 0}, {0, 1, -1}, {5 * time.Second, 1, 0}, {5 * time.Second, 3, -1}, {10 * time.Second, 3, 0}} {
		free[0].Used = step.used
		if got := c.Choose(snipetime.Instant(step.after), free); got != step.want {
			t.Errorf("after %v with %d used: choice %d, want %d", step.after, step.used, got, step.want)
		}
	}
}

// Guards against the ejection of a restarted target for its slow first requests,
// and against idle slots there while requests wait for longer than the target
// would need to serve them.
func TestColdTarget(t *testing.T) {
	c := sniperoute.NewChooser(sniperoute.ChooserSettings{}, newRand(1))
	c.SetTargets(0, []string{"a", "b", "c"}, nil)
	observe := func(now snipetime.Instant, a string, latency time.Duration) {
		for range 100 {
			c.Tick(now)
			c.Observe(now, a, sniperoute.Completed, latency)
		}
	}
	for _, a := range []string{"a", "b", "c"} {
		observe(0, a, 10*time.Millisecond)
	}
	c.SetCold(0, "c")
	free := []sniperoute.Candidate{{Address: "c", Used: 1, Slots: 3}}
	if i := c.ChooseDegraded(free, time.Second); i != -1 {
		t.Errorf("choice %d of a target with unknown latency", i)
	}
	observe(0, "c", 50*time.Millisecond)
	if i, j := c.ChooseDegraded(free, 30*time.Millisecond), c.ChooseDegraded(free, 50*time.Millisecond); c.Ejected() > 0 || i != -1 || j != 0 {
		t.Errorf("%d ejected, choices %d and %d, want 0, -1 and 0", c.Ejected(), i, j)
	}
	if observe(snipetime.Instant(sniperoute.DefaultSlowStart), "c", 50*time.Millisecond); c.Ejected() != 1 {
		t.Error("a target that stays slow is not ejected after its slow start")
	}
}

// Guards against an empty plan while a usable place exists.
func TestPlanNeverEmpty(t *testing.T) {
	p := sniperoute.NewPlanner(sniperoute.PlannerSettings{}, "r", newRand(3))
	places := []sniperoute.Place{
		{Name: "a", Region: "r", Drained: true},
		{Name: "b", Region: "r"},
		{Name: "c", Region: "far"},
		{Name: "d", Region: "s", Instances: 1},
	}
	if err := p.SetPlaces(places, constantDelay); err != nil {
		t.Fatal(err)
	}
	for step := range 100 {
		now := snipetime.Instant(step) * snipetime.Instant(3*time.Second)
		for _, pl := range places {
			p.ObserveLoad(now, pl.Name, sniperoute.LoadReport{Total: 4, Queued: 1})
		}
		plan := p.Plan("a", make([]sniperoute.PlaceCandidate, 0, 4))
		if len(plan) == 0 {
			t.Fatal("no candidate")
		}
		for _, c := range plan {
			if c.Place == "a" || c.Place == "c" {
				t.Errorf("unusable place %s in the plan", c.Place)
			}
			if !c.NeedsShift || c.NeedsLink != (c.Region != "r") {
				t.Errorf("wrong flags: %+v", c)
			}
		}
	}
}

// Guards against a slow target that is not ejected, against its readmission
// without a slow start, and against an ejection that never ends.
func TestLatencyEjection(t *testing.T) {
	c := sniperoute.NewChooser(sniperoute.ChooserSettings{}, newRand(1))
	addresses := []string{"a", "b", "c"}
	c.SetTargets(0, addresses, nil)
	for range 100 {
		c.Tick(0)
		c.Observe(0, "a", sniperoute.Completed, 10*time.Millisecond)
		c.Observe(0, "b", sniperoute.Completed, 12*time.Millisecond)
		c.Observe(0, "c", sniperoute.Completed, 100*time.Millisecond)
	}
	if c.Ejected() != 1 || c.Weight(0, "c") != 0 {
		t.Fatalf("%d ejected, weight of c %v", c.Ejected(), c.Weight(0, "c"))
	}
	// A request may use the slow target if it would wait for longer than the
	// additional latency of that target, unless the target fails as well.
	free := []sniperoute.Candidate{{Address: "a", Slots: 1}, {Address: "c", Slots: 1}}
	if i, j := c.ChooseDegraded(free, 80*time.Millisecond), c.ChooseDegraded(free, 100*time.Millisecond); i != -1 || j != 1 {
		t.Errorf("choices %d and %d, want -1 and 1", i, j)
	}
	c.Probe(0, "c", sniperoute.ProbeResult{Healthy: false})
	if i := c.ChooseDegraded(free, time.Second); i != -1 {
		t.Errorf("choice %d of an unhealthy target", i)
	}
	readmitted := snipetime.Instant(sniperoute.DefaultEjection)
	c.Tick(readmitted)
	if w := c.Weight(readmitted, "c"); w <= 0 || w > 0.5 {
		t.Errorf("weight %v after the ejection", w)
	}
}

// Guards against a relay to a leaving, excluded or failing instance while
// another one is available.
func TestRelays(t *testing.T) {
	r := sniperoute.NewRelays(newRand(5))
	r.SetInstances([]sniperoute.Relay{
		{Address: "1", Place: "p", Region: "r"},
		{Address: "2", Place: "q", Region: "r"},
		{Address: "3", Place: "p", Region: "r", Leaving: true},
	})
	for range 200 {
		if got, ok := r.Choose("r", "p", "1"); !ok || got != "2" {
			t.Fatalf("chose %q, want 2", got)
		}
	}
	if _, ok := r.Choose("s", "p", ""); ok {
		t.Error("chose an instance of a region without any")
	}
	r.Started("1")
	r.Finished("1", false, 0)
	chosen := map[string]int{}
	for range 400 {
		got, _ := r.Choose("r", "p", "")
		chosen[got]++
	}
	if chosen["1"] >= chosen["2"] {
		t.Errorf("a failing instance is preferred: %v", chosen)
	}
}

// Guards against a request that queues at a full home place although another
// place of the region has a free slot: the weight of that place is 0 because of
// a report that is seconds old.
func TestPlanIncludesPlaceWithoutWeight(t *testing.T) {
	p := sniperoute.NewPlanner(sniperoute.PlannerSettings{}, "r", newRand(4))
	places := []sniperoute.Place{{Name: "a", Region: "r"}, {Name: "b", Region: "r"}, {Name: "c", Region: "s", Instances: 1}}
	if err := p.SetPlaces(places, constantDelay); err != nil {
		t.Fatal(err)
	}
	for step := range 20 {
		now := snipetime.Instant(step) * snipetime.Instant(3*time.Second)
		for _, pl := range places {
			p.ObserveLoad(now, pl.Name, sniperoute.LoadReport{Total: 4, Queued: 1})
		}
		included := map[string]int{}
		for _, c := range p.Plan("a", make([]sniperoute.PlaceCandidate, 0, 4)) {
			included[c.Place]++
		}
		if included["a"] != 1 || included["b"] != 1 {
			t.Fatalf("step %d: the plan contains the places %v", step, included)
		}
	}
}
