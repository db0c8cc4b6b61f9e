package snipemeasure_test

import (
	"bytes"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"reflect"
	"testing"

	"github.com/snipemoor/snipemoor/snipemeasure"
)

func ExampleRun() {
	report, err := snipemeasure.Run(snipemeasure.Settings{
		Seed: 1, Requests: 2000, Loads: []float64{0.85},
		Scenarios: []snipemeasure.Scenario{snipemeasure.Equal},
	})
	if err != nil {
		fmt.Println(err)
	}
	project, _ := report.Find(snipemeasure.Snipemoor, snipemeasure.Equal, 0.85)
	random, _ := report.Find(snipemeasure.Random, snipemeasure.Equal, 0.85)
	fmt.Println(project.P99 < random.P99)
	// Output: true
}

// forGoals calls f with the project's, random and central p99 at 85 % of capacity.
func forGoals(t *testing.T, f func(name string, project, random, central float64)) {
	const load = 0.85
	for _, shape := range []struct{ targets, slots int }{{12, 3}, {16, 4}} {
		for seed := range uint64(3) {
			report, err := snipemeasure.Run(snipemeasure.Settings{
				Seed: seed, Requests: 30000, Targets: shape.targets, Slots: shape.slots,
				Loads: []float64{load}, Scenarios: []snipemeasure.Scenario{snipemeasure.Equal},
			})
			if err != nil {
				t.Fatal(err)
			}
			p99 := func(p snipemeasure.Policy) float64 {
				c, _ := report.Find(p, snipemeasure.Equal, load)
				return c.P99.Seconds()
			}
			name := fmt.Sprintf("%v, seed %d", shape, seed)
			f(name, p99(snipemeasure.Snipemoor), p99(snipemeasure.Random), p99(snipemeasure.Central))
		}
	}
}

// Guards against a p99 above 1.2 times that of the central queue.
func TestWithinCentral(t *testing.T) {
	forGoals(t, func(name string, project, _, central float64) {
		if project > 1.2*central {
			t.Errorf("%s: p99 %.4f s against central %.4f s", name, project, central)
		}
	})
}

// Guards against a p99 above half of that of random choice.
func TestHalfOfRandom(t *testing.T) {
	forGoals(t, func(name string, project, random, central float64) {
		if 2*project > random {
			t.Errorf("%s: p99 %.4f s against random %.4f s (central %.4f s)", name, project, random, central)
		}
	})
}

// Guards against lost requests, grants beyond the slots, reports that differ
// between two runs, and output that cannot be read.
func TestReport(t *testing.T) {
	s := snipemeasure.Settings{Seed: 3, Requests: 4000, Loads: []float64{0.5, 1.3}}
	report, err := snipemeasure.Run(s)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range report.Cells {
		if c.Completed+c.Refused != s.Requests || c.Overloads > 0 {
			t.Errorf("%s %s %v: %+v", c.Policy, c.Scenario, c.Load, c)
		}
		if c.Scenario == snipemeasure.Drained && c.DrainTime <= 0 {
			t.Errorf("%s %v: no drain time", c.Policy, c.Load)
		}
	}
	again, err := snipemeasure.Run(s)
	if err != nil || !reflect.DeepEqual(report, again) {
		t.Errorf("seed %d: two runs differ (%v)", s.Seed, err)
	}
	var svg bytes.Buffer
	if err := (snipemeasure.Reports{report, again}).WriteSVG(&svg); err != nil {
		t.Fatal(err)
	}
	for d := xml.NewDecoder(&svg); ; {
		if _, err := d.Token(); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			t.Fatal(err)
		}
	}
	if err := (snipemeasure.Reports{}).WriteSVG(io.Discard); err == nil {
		t.Error("no error for a plot without results")
	}
	if _, err := snipemeasure.Run(snipemeasure.Settings{Policies: []snipemeasure.Policy{"none"}}); err == nil {
		t.Error("no error for an unknown policy")
	}
}
