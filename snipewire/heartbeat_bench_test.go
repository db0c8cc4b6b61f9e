package snipewire_test

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/snipemoor/snipemoor/snipewire"
)

// BenchmarkHeartbeat measures the encoding time and the encoded size in bytes of
// a heartbeat with different numbers of group load reports.
func BenchmarkHeartbeat(b *testing.B) {
	for _, groups := range []int{0, 1, 10, 100} {
		b.Run(fmt.Sprint("groups=", groups), func(b *testing.B) {
			h := &snipewire.Heartbeat{
				Address: "10.20.30.40:8080", PeerAddress: "10.20.30.40:8081", Incarnation: "68a1b2c300000001",
				Place: "tcr-ollur", Sequence: 1 << 20, Generation: 1 << 20, Digest: 1 << 60, Ready: true, InstantMillis: 86_400_000,
			}
			for i := range groups {
				h.Groups = append(h.Groups, &snipewire.GroupLoad{
					Group: fmt.Sprintf("growers/slotboard/tcr-ollur/%d", i), FreeSlots: 20, Queued: 3, TotalSlots: 64,
					LatencyMicros: 20_000, AgeMillis: 300,
				})
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := proto.Marshal(h); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(proto.Size(h)), "bytes")
		})
	}
}
