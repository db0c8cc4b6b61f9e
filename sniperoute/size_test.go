package sniperoute_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/snipemoor/snipemoor/sniperoute"
	"github.com/snipemoor/snipemoor/snipetime"
)

// BenchmarkServices measures one report on each of 140 places for each service,
// and the memory of the planners, by the number of services.
func BenchmarkServices(b *testing.B) {
	const places = 140
	var all []sniperoute.Place
	for i := range places {
		all = append(all, sniperoute.Place{
			Name: fmt.Sprint("p", i), FailureDomain: fmt.Sprint("d", i%18), Region: fmt.Sprint("r", i%6), Instances: 4,
		})
	}
	for _, services := range []int{1, 10, 100} {
		b.Run(fmt.Sprint("services=", services), func(b *testing.B) {
			before := heapBytes()
			var planners []*sniperoute.Planner
			for i := range services {
				p := sniperoute.NewPlanner(sniperoute.PlannerSettings{}, "r0", newRand(uint64(i)))
				if err := p.SetPlaces(all, constantDelay); err != nil {
					b.Fatal(err)
				}
				planners = append(planners, p)
			}
			size := heapBytes() - before
			now := snipetime.Instant(0)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(500 * time.Millisecond)
				for _, p := range planners {
					for i := range all {
						p.ObserveLoad(now, all[i].Name, sniperoute.LoadReport{Total: 10, Free: 6})
					}
				}
			}
			b.ReportMetric(float64(size), "heap-bytes")
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc)
}
