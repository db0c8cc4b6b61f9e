package snipeconfig_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/snipemoor/snipemoor/snipeconfig"
)

// BenchmarkBlocks measures the parsing and building of a team with client
// blocks, the bytes of its document and the memory of the snapshot with its
// documents, by the number of blocks.
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
			kept, err := snipeconfig.BuildFiles(1, "op", files)
			if err != nil {
				b.Fatal(err)
			}
			size := heapBytes() - before
			document := 0
			for _, d := range kept.Documents() {
				document = max(document, len(d.Canonical()))
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := snipeconfig.BuildFiles(1, "op", files); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(size), "heap-bytes")
			b.ReportMetric(float64(document), "document-bytes")
			runtime.KeepAlive(kept)
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc)
}
