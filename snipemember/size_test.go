package snipemember_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/snipemoor/snipemoor/snipetime"
)

// BenchmarkTick measures one judgement of silence and one choice of peers by
// the size of the fleet, and the memory of a view.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{12, 120, 460} {
		b.Run(fmt.Sprint("members=", n), func(b *testing.B) {
			before := heapBytes()
			v := bigView(0, n)
			size := heapBytes() - before
			now := snipetime.Instant(0)
			b.ReportAllocs()
			for b.Loop() {
				now++
				v.Tick(now)
				v.Mesh()
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

// BenchmarkControlBytes measures the steady heartbeats and summaries that a
// delegate and another instance send, by the size of the fleet.
func BenchmarkControlBytes(b *testing.B) {
	for _, n := range []int{12, 120, 460} {
		b.Run(fmt.Sprint("members=", n), func(b *testing.B) {
			for b.Loop() {
				least, most := 1e18, 0.0
				fewest, largest := n, 0
				for self := range min(n, 60) {
					peers := bigView(self, n).Mesh()
					if len(peers) >= fewest && len(peers) <= largest {
						continue
					}
					fewest, largest = min(fewest, len(peers)), max(largest, len(peers))
					rate := trafficOf(bigView(self, n), peers)
					least, most = min(least, rate), max(most, rate)
				}
				b.ReportMetric(least, "least-B/s")
				b.ReportMetric(most, "most-B/s")
				b.ReportMetric(float64(largest), "sessions")
			}
		})
	}
}

// BenchmarkSummaries measures the choice of summaries for one heartbeat.
func BenchmarkSummaries(b *testing.B) {
	for _, n := range []int{36, 120, 460} {
		b.Run(fmt.Sprint("members=", n), func(b *testing.B) {
			v := bigView(0, n)
			peer := v.Mesh()[0].Address
			now := snipetime.Instant(0)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Second)
				v.Summaries(peer, now)
			}
		})
	}
}
