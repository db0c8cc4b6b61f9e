package snipelookup_test

import (
	"cmp"
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/snipemoor/snipemoor/snipelookup"
)

type block struct {
	prefix netip.Prefix
	place  uint16
}

// build returns the table of blocks.
func build(t interface{ Fatal(...any) }, blocks []block) *snipelookup.BlockTable {
	table, err := snipelookup.Build(func(yield func(netip.Prefix, uint16) bool) {
		for _, b := range blocks {
			if !yield(b.prefix, b.place) {
				return
			}
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// compareBlocks is the order in which a configuration lists blocks.
func compareBlocks(a, b block) int {
	return cmp.Or(a.prefix.Addr().Compare(b.prefix.Addr()), cmp.Compare(a.prefix.Bits(), b.prefix.Bits()))
}

// scanLongest is the reference implementation of Lookup: a scan of all blocks for
// the longest one that contains a.
func scanLongest(blocks []block, a netip.Addr) (place uint16, ok bool) {
	best := -1
	for _, b := range blocks {
		if b.prefix.Contains(a) && b.prefix.Bits() >= best {
			best, place, ok = b.prefix.Bits(), b.place, true
		}
	}
	return place, ok
}

// drawAddr draws addresses from few distinct octets, so that blocks are often
// nested, adjacent or equal.
func drawAddr(t *rapid.T, label string) netip.Addr {
	octet := rapid.SampledFrom([]byte{0, 1, 127, 128, 254, 255})
	if rapid.Bool().Draw(t, label+" IPv4") {
		return netip.AddrFrom4([4]byte(rapid.SliceOfN(octet, 4, 4).Draw(t, label)))
	}
	var a [16]byte
	for _, i := range []int{0, 3, 4, 7, 8, 15} {
		a[i] = octet.Draw(t, label)
	}
	return netip.AddrFrom16(a)
}

// Guards against a wrong home place at the boundaries of blocks that are nested,
// adjacent, equal or as large as the address space.
func TestLookupMatchesScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var blocks []block
		probes := []netip.Addr{drawAddr(t, "probe")}
		for range rapid.IntRange(0, 24).Draw(t, "blocks") {
			a := drawAddr(t, "block")
			p := netip.PrefixFrom(a, rapid.IntRange(0, a.BitLen()).Draw(t, "bits")).Masked()
			blocks = append(blocks, block{p, uint16(rapid.IntRange(0, 4).Draw(t, "place"))})
			probes = append(probes, p.Addr(), p.Addr().Prev(), lastAddr(p), lastAddr(p).Next())
		}
		ordered := slices.SortedStableFunc(slices.Values(blocks), compareBlocks)
		for _, table := range []*snipelookup.BlockTable{build(t, blocks), build(t, ordered)} {
			for _, a := range probes {
				if !a.IsValid() {
					continue
				}
				place, ok := table.Lookup(a)
				wantPlace, want := scanLongest(blocks, a)
				if ok != want || ok && place != wantPlace {
					t.Fatalf("%v: got %d %v, want %d %v", a, place, ok, wantPlace, want)
				}
			}
		}
	})
}

// lastAddr returns the last address of p.
func lastAddr(p netip.Prefix) netip.Addr {
	b := p.Addr().AsSlice()
	for i := p.Bits(); i < 8*len(b); i++ {
		b[i/8] |= 0x80 >> (i % 8)
	}
	a, _ := netip.AddrFromSlice(b)
	return a
}

// testBlocks returns n blocks: three quarters are IPv4 /28 with gaps between them,
// the others IPv6 /56 in random /32.
func testBlocks(n int) []block {
	r := rand.New(rand.NewPCG(1, 2))
	blocks := make([]block, 0, n)
	for i := range n {
		place := uint16(r.IntN(140))
		if i%4 != 3 {
			var a [4]byte
			binary.BigEndian.PutUint32(a[:], uint32(i)<<10|uint32(r.IntN(32))<<4)
			blocks = append(blocks, block{netip.PrefixFrom(netip.AddrFrom4(a), 28), place})
			continue
		}
		var a [16]byte
		binary.BigEndian.PutUint64(a[:], 0x2000_0000_0000_0000|uint64(r.IntN(40_000))<<32|uint64(r.IntN(1<<24))<<8)
		blocks = append(blocks, block{netip.PrefixFrom(netip.AddrFrom16(a), 56), place})
	}
	return blocks
}

// buildMeasuringPeak builds a table while another one is in use, as after a change
// of the configuration. It returns the table and the largest size of the heap in
// bytes, including garbage but not the blocks. It samples the heap whenever Build
// has read 100,000 blocks, because Build reads blocks until its end.
func buildMeasuringPeak(t testing.TB, blocks []block) (table *snipelookup.BlockTable, peak uint64) {
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	runtime.GC()
	before := heap()
	inUse := build(t, blocks)
	runtime.GC()
	peak = heap()
	n := 0
	table, err := snipelookup.Build(func(yield func(netip.Prefix, uint16) bool) {
		for _, b := range blocks {
			if n++; n%100_000 == 0 {
				peak = max(peak, heap())
			}
			if !yield(b.prefix, b.place) {
				return
			}
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	peak = max(peak, heap())
	runtime.KeepAlive(inUse)
	return table, peak - before
}

// Guards against a table that exceeds the memory budget of an instance, and
// against a change of the configuration that does: it needs the table in use, the
// new one and the temporary memory of Build at the same time.
func TestTableMemory(t *testing.T) {
	if testing.Short() {
		t.Skip("builds 3.4 million blocks")
	}
	const limit, peakLimit, blocks = 40_000_000, 64_000_000, 3_400_000
	ordered := testBlocks(blocks)
	slices.SortFunc(ordered, compareBlocks)
	table, peak := buildMeasuringPeak(t, ordered)
	t.Logf("%d blocks in %d bytes: %.2f bytes per block", blocks, table.Bytes(), float64(table.Bytes())/blocks)
	t.Logf("peak of %d bytes with a table in use", peak)
	if table.Bytes() > limit {
		t.Errorf("table has %d bytes, limit %d", table.Bytes(), limit)
	}
	if peak > peakLimit {
		t.Errorf("peak of %d bytes, limit %d", peak, peakLimit)
	}
}

func BenchmarkBuild(b *testing.B) {
	for _, order := range []string{"sorted", "random"} {
		for _, n := range []int{34_000, 340_000, 3_400_000} {
			b.Run(order+"/"+sizeName(n), func(b *testing.B) {
				blocks := testBlocks(n)
				if order == "sorted" {
					slices.SortFunc(blocks, compareBlocks)
				}
				_, peak := buildMeasuringPeak(b, blocks)
				b.ReportAllocs()
				for b.Loop() {
					build(b, blocks)
				}
				b.ReportMetric(float64(peak), "peak-bytes")
			})
		}
	}
}

func BenchmarkBlockTableLookup(b *testing.B) {
	for _, n := range []int{34_000, 340_000, 3_400_000} {
		b.Run(sizeName(n), func(b *testing.B) {
			blocks := testBlocks(n)
			table := build(b, blocks)
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				i = (i + 7919) % n
				table.Lookup(blocks[i].prefix.Addr())
			}
			b.ReportMetric(float64(table.Bytes())/float64(n), "bytes/block")
		})
	}
}
