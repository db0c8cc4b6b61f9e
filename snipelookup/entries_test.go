package snipelookup_test

import (
	"fmt"
	"net/netip"
	"strconv"
	"testing"

	"pgregory.net/rapid"

	"github.com/snipemoor/snipemoor/snipelookup"
)

// sizeName returns the name of the sub-benchmark for n.
func sizeName(n int) string { return strconv.Itoa(n) }

// testFleet returns the given number of places in at most 18 failure domains of 6
// regions, and usable instances that are distributed over them in turn.
func testFleet(instances, places int) ([]snipelookup.Place, []snipelookup.Instance) {
	var ps []snipelookup.Place
	for i := range places {
		domain := i % 18
		ps = append(ps, snipelookup.Place{
			Name: fmt.Sprint("p", i), Domain: fmt.Sprint("d", domain), Region: fmt.Sprint("r", domain%6),
		})
	}
	var ins []snipelookup.Instance
	for i := range instances {
		p := ps[i%places]
		ins = append(ins, snipelookup.Instance{
			Address: fmt.Sprint("a", i), Place: p.Name, Domain: p.Domain, Region: p.Region, Usable: true,
		})
	}
	return ps, ins
}

// Guards against unusable or repeated entries, a list whose entries are all in one
// failure domain although another one has usable instances, and a first entry
// outside the home place although that place has a usable instance.
func TestEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ps, ins := testFleet(rapid.IntRange(0, 40).Draw(t, "instances"), rapid.IntRange(1, 30).Draw(t, "places"))
		byAddress := make(map[string]snipelookup.Instance)
		domains := make(map[string]bool)
		atHome := make(map[string]int)
		usable := 0
		for i := range ins {
			ins[i].Usable = rapid.Bool().Draw(t, "usable")
			byAddress[ins[i].Address] = ins[i]
			if ins[i].Usable {
				usable++
				domains[ins[i].Domain] = true
				atHome[ins[i].Place]++
			}
		}
		entries := snipelookup.NewEntries(ps, ins)
		for i, p := range ps {
			block := netip.PrefixFrom(netip.AddrFrom4([4]byte{10, byte(i)}), 24)
			list := entries.ListFor(uint16(i), block)
			if list.Len() != min(usable, snipelookup.MaxEntries) {
				t.Fatalf("%d entries of %d usable instances", list.Len(), usable)
			}
			seen, seenDomains := make(map[string]bool), make(map[string]bool)
			for j := range list.Len() {
				in := byAddress[list.At(j).Address]
				if !in.Usable || seen[in.Address] {
					t.Fatalf("entry %v is unusable or repeated", in)
				}
				seen[in.Address], seenDomains[in.Domain] = true, true
			}
			if len(seenDomains) < min(2, len(domains)) {
				t.Fatalf("list in %d of %d domains", len(seenDomains), len(domains))
			}
			if atHome[p.Name] > 0 && list.At(0).Place != p.Name {
				t.Fatalf("first entry for %s is in %s", p.Name, list.At(0).Place)
			}
		}
	})
}

// Guards against an uneven distribution of the blocks of a place over its
// instances, for example all blocks with the same first entry.
func TestEntriesSpread(t *testing.T) {
	ps, ins := testFleet(460, 140)
	entries := snipelookup.NewEntries(ps, ins)
	first := make(map[string]int)
	const blocks = 4000
	for i := range blocks {
		block := netip.PrefixFrom(netip.AddrFrom4([4]byte{10, byte(i >> 8), byte(i)}), 24)
		first[entries.ListFor(0, block).At(0).Address]++
	}
	for address, n := range first {
		if share := blocks / len(first); n < share*8/10 || n > share*12/10 {
			t.Errorf("instance %s is first for %d of %d blocks", address, n, blocks)
		}
	}
}

func BenchmarkDecide(b *testing.B) {
	blocks := testBlocks(100_000)
	table := build(b, blocks)
	for _, n := range []int{12, 120, 460} {
		b.Run(sizeName(n), func(b *testing.B) {
			ps, ins := testFleet(n, 140)
			var l snipelookup.Lookup
			l.Publish(&snipelookup.State{
				Blocks:  map[string]*snipelookup.BlockTable{"t": table},
				Entries: snipelookup.NewEntries(ps, ins),
			})
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				i = (i + 7919) % len(blocks)
				l.Entries("t", blocks[i].prefix, 0)
			}
		})
	}
}

func ExampleLookup() {
	table, err := snipelookup.Build(func(yield func(netip.Prefix, uint16) bool) {
		_ = yield(netip.MustParsePrefix("10.1.0.0/16"), 1)
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	places := []snipelookup.Place{
		{Name: "tanta", Domain: "tanta", Region: "delta"},
		{Name: "mansoura", Domain: "mansoura", Region: "delta"},
	}
	instances := []snipelookup.Instance{
		{Address: "10.0.0.1:80", Place: "tanta", Domain: "tanta", Region: "delta", Usable: true},
		{Address: "10.0.0.2:80", Place: "mansoura", Domain: "mansoura", Region: "delta", Usable: true},
	}
	var l snipelookup.Lookup
	l.Publish(&snipelookup.State{
		Blocks:  map[string]*snipelookup.BlockTable{"bakhour": table},
		Entries: snipelookup.NewEntries(places, instances),
	})
	list, _ := l.Entries("bakhour", netip.MustParsePrefix("10.1.2.0/24"), 0)
	for i := range list.Len() {
		fmt.Println(list.At(i).Address, list.At(i).Place)
	}
	// Output:
	// 10.0.0.2:80 mansoura
	// 10.0.0.1:80 tanta
}
