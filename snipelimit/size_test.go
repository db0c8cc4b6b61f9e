package snipelimit

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/snipemoor/snipemoor/snipetime"
)

// BenchmarkTickLimits measures a tick by the number of limits, without demand,
// and the memory of a ledger.
func BenchmarkTickLimits(b *testing.B) {
	for _, n := range []int{30, 300, 3000} {
		b.Run(fmt.Sprint("limits=", n), func(b *testing.B) {
			before := heapBytes()
			l := New(Config{Incarnation: "a1", Positions: 12}, 0)
			var limits []Limit
			for i := range n {
				limits = append(limits, Limit{ID: fmt.Sprint("limit", i), PerSecond: 1000, Fraction: 1})
			}
			l.Configure(0, limits)
			l.SetHoldings(0, []Holding{{LeaseEnd: never}})
			size := heapBytes() - before
			now := snipetime.Instant(0)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(200 * time.Millisecond)
				l.Tick(now)
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
