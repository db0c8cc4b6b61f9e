package snipelookup

import (
	"errors"
	"iter"
	"net/netip"
	"slices"
	"sort"
)

const (
	// noPlace marks addresses that no block contains.
	noPlace = 0xFFFF
	// splitPlace marks an IPv6 /64 that has several places, which are in the
	// split table.
	splitPlace = 0xFFFE
	// MaxPlaces is the number of places that a BlockTable can refer to.
	MaxPlaces = splitPlace
)

// ErrBadBlock means that a client block or its place is not valid. The errors of
// Build wrap it.
var ErrBadBlock = errors.New("bad client block")

// BlockTable maps addresses to places by longest-prefix match. It is immutable.
type BlockTable struct {
	v4 rangeTable[uint16]
	// v6 maps the upper 64 bits of an address.
	v6 rangeTable[uint32]
	// split maps the addresses of each /64 that v6 marks with splitPlace.
	split splitTable
	// blocks counts the blocks given to Build.
	blocks int
}

// Build returns the table of the given blocks, each with the index of its place.
// Of two equal blocks the later one takes precedence. An IPv4-mapped IPv6 block
// counts as an IPv4 block. The error wraps ErrBadBlock for an invalid block or a
// place that is not in [0, MaxPlaces).
//
// Build iterates over blocks several times; each iteration must yield the same
// sequence. If the blocks of each address family are sorted by address and prefix
// length, as a configuration lists them, Build allocates nothing but the table;
// otherwise it sorts a copy.
func Build(blocks iter.Seq2[netip.Prefix, uint16]) (*BlockTable, error) {
	in, err := newBlockInput(blocks)
	if err != nil {
		return nil, err
	}
	t := &BlockTable{blocks: in.count}
	for range 2 {
		// The first pass counts the ranges, so that the second one fills slices
		// of the exact size. Growing the slices would need twice the memory.
		t.fill4(in.v4())
		t.fill6(in.v6())
		t.v4.endCountingPass()
		t.v6.endCountingPass()
		t.split.endCountingPass()
	}
	return t, nil
}

// fill4 adds the ranges of sorted IPv4 blocks to the table.
func (t *BlockTable) fill4(blocks iter.Seq[block]) {
	const width = 32
	sw := sweep{width: width, emit: func(k key, place uint16) {
		t.v4.add(uint32(k.lo>>16), uint16(k.lo), place)
	}}
	for b := range blocks {
		sw.open(b.start, b.bits, b.place)
	}
	sw.finish()
}

// fill6 adds the ranges of sorted IPv6 blocks to the table.
func (t *BlockTable) fill6(blocks iter.Seq[block]) {
	splitter := v6Splitter{table: t, lastPlace: noPlace}
	const width = 128
	sw := sweep{width: width, emit: splitter.emit}
	for b := range blocks {
		sw.open(b.start, b.bits, b.place)
	}
	sw.finish()
	splitter.flush()
}

// Lookup returns the index of the place of the longest block that contains addr,
// and false if no block contains it. An IPv4-mapped IPv6 address is looked up as
// an IPv4 address.
func (t *BlockTable) Lookup(addr netip.Addr) (place uint16, ok bool) {
	addr = addr.Unmap()
	if !addr.IsValid() {
		return 0, false
	}
	k := keyOf(addr)
	if addr.Is4() {
		place = t.v4.find(uint32(k.lo>>16), uint16(k.lo))
		return place, place != noPlace
	}
	place = t.v6.find(uint32(k.hi>>32), uint32(k.hi))
	if place == splitPlace {
		place = t.findSplit(k)
	}
	return place, place != noPlace
}

// findSplit returns the place of an address for which v6 has splitPlace: one in a
// /64 with several places, or after the last such /64 if no other start follows.
// The split table has a start at the first address of each such /64.
func (t *BlockTable) findSplit(k key) uint16 {
	ranges := t.split.ranges
	i := sort.Search(len(ranges), func(i int) bool { return k.less(ranges[i].start) })
	return ranges[i-1].place
}

// Blocks returns the number of blocks given to Build.
func (t *BlockTable) Blocks() int { return t.blocks }

// Bytes returns the memory of the table's slices in bytes.
func (t *BlockTable) Bytes() int {
	const splitRangeBytes = 24
	return t.v4.bytes(2) + t.v6.bytes(4) + splitRangeBytes*cap(t.split.ranges)
}

// rangeTable is a sorted list of range starts, each with the place of the range. A
// start consists of a top part, stored once for all starts that share it, and a
// low part. A range ends where the next one starts.
type rangeTable[L uint16 | uint32] struct {
	tops []uint32
	// first[i] is the index of the first start with tops[i].
	first  []uint32
	lows   []L
	places []uint16

	// filling is false during the counting pass.
	filling bool
	// startCount and topCount count the elements of lows and tops in this pass.
	startCount, topCount int
	lastTop              uint32
	lastPlace            uint16
}

func (r *rangeTable[L]) add(top uint32, low L, place uint16) {
	if r.startCount > 0 && r.lastPlace == place && place != splitPlace {
		return
	}
	newTop := r.startCount == 0 || r.lastTop != top
	r.startCount++
	r.lastTop, r.lastPlace = top, place
	if newTop {
		r.topCount++
	}
	if !r.filling {
		return
	}
	if newTop {
		r.tops = append(r.tops, top)
		r.first = append(r.first, uint32(len(r.lows)))
	}
	r.lows = append(r.lows, low)
	r.places = append(r.places, place)
}

// endCountingPass allocates the slices for what the first pass has counted. After
// the second pass it does nothing.
func (r *rangeTable[L]) endCountingPass() {
	if r.filling {
		return
	}
	r.tops = make([]uint32, 0, r.topCount)
	r.first = make([]uint32, 0, r.topCount)
	r.lows = make([]L, 0, r.startCount)
	r.places = make([]uint16, 0, r.startCount)
	r.startCount, r.topCount, r.filling = 0, 0, true
}

func (r *rangeTable[L]) find(top uint32, low L) uint16 {
	i, found := slices.BinarySearch(r.tops, top)
	end := uint32(len(r.lows))
	if i < len(r.tops) {
		end = r.first[i]
	}
	if found {
		next := uint32(len(r.lows))
		if i+1 < len(r.tops) {
			next = r.first[i+1]
		}
		lows := r.lows[end:next]
		j, equal := slices.BinarySearch(lows, low)
		if equal {
			j++
		}
		end += uint32(j)
	}
	if end == 0 {
		return noPlace
	}
	return r.places[end-1]
}

func (r *rangeTable[L]) bytes(lowSize int) int {
	return 4*cap(r.tops) + 4*cap(r.first) + lowSize*cap(r.lows) + 2*cap(r.places)
}
