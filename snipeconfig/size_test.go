package snipeconfig_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/snipemoor/snipemoor/snipeconfig"
)

// BenchmarkBlocks measures, by the number of client blocks of a team, the time to
// parse and build the configuration, the size of the largest document in bytes,
// and the heap bytes of the snapshot with its documents.
func BenchmarkBlocks(b *testing.B) {
	for _, n := range []int{300, 3_000, 30_000} {
		b.Run(fmt.Sprint("blocks=", n), func(b *testing.B) {
			var text strings.Builder
			for i := range n {
				fmt.Fprintf(&text, `"10.%d.%d.%d/28": "p%d",`, i>>12, i>>4&255, i&15<<4, i%3+1)
			}
			team := teamFile(0, 10)
			team.Data = []byte(strings.Replace(string(team.Data), `"192.168.0.0/16": "p2"`, text.String(), 1))
			files := append(baseFiles(), team)
			before := heapBytes()
			snapshot, err := snipeconfig.BuildFiles(1, "op", files)
			if err != nil {
				b.Fatal(err)
			}
			heapGrowth := heapBytes() - before
			largestDocument := 0
			for _, d := range snapshot.Documents() {
				largestDocument = max(largestDocument, len(d.Canonical()))
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := snipeconfig.BuildFiles(1, "op", files); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(heapGrowth), "heap-bytes")
			b.ReportMetric(float64(largestDocument), "document-bytes")
			runtime.KeepAlive(snapshot)
		})
	}
}

// heapBytes returns the bytes of live heap objects after a garbage collection.
func heapBytes() int64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc)
}
