package sniperoute_test

import (
	"testing"
	"time"

	"github.com/snipemoor/snipemoor/sniperoute"
	"github.com/snipemoor/snipemoor/snipetime"
)

// Guards against a burst towards a home place whose region was cut off for an
// hour: the weight must stay frozen without reports and must then return by at
// most one step per step interval, also when overdue reports arrive together.
func TestReturnAfterAnHour(t *testing.T) {
	const home, other = "home", "other"
	p := sniperoute.NewPlanner(sniperoute.PlannerSettings{}, "r", seeded(1))
	err := p.SetPlaces([]sniperoute.Place{
		{Name: home, FailureDomain: home, Region: "far", Instances: 2},
		{Name: other, FailureDomain: other, Region: "r", Instances: 2},
	}, flat)
	if err != nil {
		t.Fatal(err)
	}
	now := snipetime.Instant(0)
	report := func(place string, free int, age time.Duration) {
		p.Report(now, place, sniperoute.Load{Free: free, Total: 48, Queued: max(4-free, 0), Age: age})
	}
	keep := func() float64 {
		w, _, _ := p.Weights(home)
		return w
	}
	for range 60 {
		now = now.Add(sniperoute.DefaultStepInterval)
		report(other, 40, 0)
		report(home, 0, 0)
	}
	if keep() > 0.1 {
		t.Fatalf("an overloaded home keeps %.2f of its requests after 2 min", keep())
	}
	frozen := keep()
	for range 3600 {
		now = now.Add(time.Second)
		report(other, 40, 0)
		report(home, 48, sniperoute.DefaultReportStale)
		if keep() != frozen {
			t.Fatalf("weight moved from %.2f to %.2f without a fresh report", frozen, keep())
		}
	}
	last := frozen
	for tick := range 100 {
		now = now.Add(sniperoute.DefaultStepInterval / 4)
		for age := 4; age >= 0; age-- {
			report(home, 48, time.Duration(age)*100*time.Millisecond)
		}
		if keep() > last+sniperoute.DefaultStep+1e-9 {
			t.Fatalf("tick %d: weight rose from %.2f to %.2f at once", tick, last, keep())
		}
		if elapsed := time.Duration(tick+1) * sniperoute.DefaultStepInterval / 4; keep() >
			frozen+sniperoute.DefaultStep*float64(elapsed/sniperoute.DefaultStepInterval+1)+1e-9 {
			t.Fatalf("tick %d: weight %.2f after %v is above a step per %v", tick, keep(), elapsed, sniperoute.DefaultStepInterval)
		}
		last = keep()
	}
	if keep() <= frozen {
		t.Errorf("weight %.2f has not returned in 50 s", keep())
	}
}
