package snipeslot

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkOwners measures one tick of all owners and the heap that they use, by
// the number of groups of 16 targets.
func BenchmarkOwners(b *testing.B) {
	for _, groups := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint("groups=", groups), func(b *testing.B) {
			before := heapBytes()
			var owners []*Owner
			for range groups {
				var targets []Target
				for i := range 16 {
					targets = append(targets, Target{Address: fmt.Sprint(i), Slots: 4})
				}
				owners = append(owners, readyOwner(targets...))
			}
			size := heapBytes() - before
			b.ReportAllocs()
			for b.Loop() {
				for _, o := range owners {
					o.Tick(0)
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
