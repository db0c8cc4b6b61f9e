package snipemember_test

import (
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/snipemoor/snipemoor/snipemember"
	"github.com/snipemoor/snipemoor/snipetime"
)

// BenchmarkTick measures one update of all states and one choice of peers, and
// the heap that a view uses, by the size of the fleet.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{12, 120, 460} {
		b.Run(fmt.Sprint("members=", n), func(b *testing.B) {
			before := heapBytes()
			v := newFleetView(0, n)
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

// BenchmarkControlBytes measures the bytes per second of the steady heartbeats
// and summaries that a delegate and another instance send, by the size of the
// fleet.
func BenchmarkControlBytes(b *testing.B) {
	for _, n := range []int{12, 120, 460} {
		b.Run(fmt.Sprint("members=", n), func(b *testing.B) {
			for b.Loop() {
				least, most := 1e18, 0.0
				fewest, largest := n, 0
				for self := range min(n, 60) {
					peers := newFleetView(self, n).Mesh()
					if len(peers) >= fewest && len(peers) <= largest {
						continue
					}
					fewest, largest = min(fewest, len(peers)), max(largest, len(peers))
					rate := bytesPerSecond(newFleetView(self, n), peers)
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
			v := newFleetView(0, n)
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

// BenchmarkRotation measures on how many members of other domains a node receives
// another report within 4 minutes when nothing changes, by the size of the fleet,
// for the members of one domain that receive reports on the fewest and on the
// most.
func BenchmarkRotation(b *testing.B) {
	const from, until = 10 * time.Minute, 14 * time.Minute
	for _, n := range []int{36, 120, 460} {
		b.Run(fmt.Sprint("members=", n), func(b *testing.B) {
			for b.Loop() {
				fewest, most, none := n, 0, 0
				var slowest, quickest time.Duration
				for _, heard := range firstHeardByRotation(n, from, until) {
					if len(heard) == 0 {
						none++
					}
					var last time.Duration
					for _, at := range heard {
						last = max(last, at-from)
					}
					if len(heard) < fewest {
						fewest, slowest = len(heard), last
					}
					if len(heard) > most {
						most, quickest = len(heard), last
					}
				}
				b.ReportMetric(float64(fewest), "fewest-heard")
				b.ReportMetric(float64(most), "most-heard")
				b.ReportMetric(float64(none), "members-without-news")
				b.ReportMetric(slowest.Seconds(), "fewest-last-s")
				b.ReportMetric(quickest.Seconds(), "most-last-s")
			}
		})
	}
}

// firstHeardByRotation returns, for each member of the first domain, when it
// first receives a report on each member of other domains after from, in the
// summaries of its own domain.
func firstHeardByRotation(n int, from, until time.Duration) map[string]map[string]time.Duration {
	const domains = 18
	var mu sync.Mutex
	firstHeard := make(map[string]map[string]time.Duration)
	for i := 0; i < n; i += domains {
		firstHeard[newReport(i, domains, "", 0).Address] = make(map[string]time.Duration)
	}
	var senders sync.WaitGroup
	for self := 0; self < n; self += domains {
		senders.Go(func() {
			v := newFleetView(self, n)
			peers := v.Mesh()
			for at := time.Duration(0); at < until; at += snipemember.Period {
				for _, p := range peers {
					if at%p.Period != 0 {
						continue
					}
					reports := v.Summaries(p.Address, snipetime.Instant(0).Add(at))
					mu.Lock()
					firstHeardByPeer := firstHeard[p.Address]
					for _, s := range reports {
						if first, ok := firstHeardByPeer[s.Address]; firstHeardByPeer != nil && at >= from && (!ok || at < first) {
							firstHeardByPeer[s.Address] = at
						}
					}
					mu.Unlock()
				}
			}
		})
	}
	senders.Wait()
	return firstHeard
}
