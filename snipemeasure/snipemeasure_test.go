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
	snipemoor, _ := report.Find(snipemeasure.Snipemoor, snipemeasure.Equal, 0.85)
	random, _ := report.Find(snipemeasure.Random, snipemeasure.Equal, 0.85)
	fmt.Println(snipemoor.P99 < random.P99)
	// Output: true
}

// forEachGoalCase calls f for two shapes and three seeds with the p99 in seconds of
// the policies Snipemoor, Random and Central at 85 % of capacity.
func forEachGoalCase(t *testing.T, f func(name string, snipemoor, random, central float64)) {
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

// Guards against a p99 of Snipemoor above 1.2 times that of Central.
func TestWithinCentral(t *testing.T) {
	forEachGoalCase(t, func(name string, snipemoor, _, central float64) {
		if snipemoor > 1.2*central {
			t.Errorf("%s: p99 %.4f s against central %.4f s", name, snipemoor, central)
		}
	})
}

// Guards against a p99 of Snipemoor above half of that of Random.
func TestHalfOfRandom(t *testing.T) {
	forEachGoalCase(t, func(name string, snipemoor, random, central float64) {
		if 2*snipemoor > random {
			t.Errorf("%s: p99 %.4f s against random %.4f s (central %.4f s)", name, snipemoor, random, central)
		}
	})
}

// Guards against requests without a result, more grants than slots, a drain without
// an end, reports that differ between two runs with the same settings, SVG output
// that cannot be parsed, and invalid input that gives no error.
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
