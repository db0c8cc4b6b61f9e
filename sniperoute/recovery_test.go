package sniperoute_test

import (
	"testing"
	"time"

	"github.com/snipemoor/snipemoor/sniperoute"
	"github.com/snipemoor/snipemoor/snipetime"
)

// Guards against a burst to a home place whose region was unreachable for an
// hour. The weight must not change without fresh reports and must then rise by
// at most one step per step interval, also when delayed reports arrive together.
func TestWeightAfterAnHourWithoutReports(t *testing.T) {
	const home, other = "home", "other"
	p := sniperoute.NewPlanner(sniperoute.PlannerSettings{}, "r", newRand(1))
	err := p.SetPlaces([]sniperoute.Place{
		{Name: home, FailureDomain: home, Region: "far", Instances: 2},
		{Name: other, FailureDomain: other, Region: "r", Instances: 2},
	}, constantDelay)
	if err != nil {
		t.Fatal(err)
	}
	now := snipetime.Instant(0)
	report := func(place string, free int, age time.Duration) {
		p.ObserveLoad(now, place, sniperoute.LoadReport{Free: free, Total: 48, Queued: max(4-free, 0), Age: age})
	}
	ownShare := func() float64 {
		w, _, _ := p.Weights(home)
		return w
	}
	for range 60 {
		now = now.Add(sniperoute.DefaultStepInterval)
		report(other, 40, 0)
		report(home, 0, 0)
	}
	if ownShare() > 0.1 {
		t.Fatalf("an overloaded home keeps %.2f of its requests after 2 min", ownShare())
	}
	initial := ownShare()
	for range 3600 {
		now = now.Add(time.Second)
		report(other, 40, 0)
		report(home, 48, sniperoute.DefaultMaxReportAge)
		if ownShare() != initial {
			t.Fatalf("weight changed from %.2f to %.2f without a fresh report", initial, ownShare())
		}
	}
	last := initial
	for tick := range 100 {
		now = now.Add(sniperoute.DefaultStepInterval / 4)
		for age := 4; age >= 0; age-- {
			report(home, 48, time.Duration(age)*100*time.Millisecond)
		}
		if ownShare() > last+sniperoute.DefaultStep+1e-9 {
			t.Fatalf("tick %d: weight rose from %.2f to %.2f at once", tick, last, ownShare())
		}
		if elapsed := time.Duration(tick+1) * sniperoute.DefaultStepInterval / 4; ownShare() >
			initial+sniperoute.DefaultStep*float64(elapsed/sniperoute.DefaultStepInterval+1)+1e-9 {
			t.Fatalf("tick %d: weight %.2f after %v is above a step per %v", tick, ownShare(), elapsed, sniperoute.DefaultStepInterval)
		}
		last = ownShare()
	}
	if ownShare() <= initial {
		t.Errorf("weight %.2f has not recovered in 50 s", ownShare())
	}
}
