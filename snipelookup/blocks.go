package snipelookup

import (
	"errors"
	"fmt"
	"iter"
	"net/netip"
	"slices"
	"sort"
)

const (
	// noPlace marks addresses in no block.
	noPlace = 0xFFFF
	// deepPlace marks a /64 whose places are in the deep table.
	deepPlace = 0xFFFE
	// MaxPlaces is the number of places that a BlockTable can name.
	MaxPlaces = deepPlace
)

// ErrBadBlock is wrapped by the errors of Build.
var ErrBadBlock = errors.New("bad client block")

// BlockTable maps addresses to places. It is immutable.
type BlockTable struct {
	v4 ranges[uint16]
	// v6 maps the upper 64 bits of an address.
	v6   ranges[uint32]
	deep []deepRange
	// blocks counts the blocks given to Build.
	blocks int
}

// Build returns the table of the given blocks and the indexes of their places.
// Of two equal blocks the later one counts. An IPv4-mapped IPv6 block counts as
// an IPv4 block. It fails with ErrBadBlock for an invalid block or a place that
// is not below MaxPlaces.
func Build(blocks iter.Seq2[netip.Prefix, uint16]) (*BlockTable, error) {
	var v4 []block4
	var v6 []block6
	for p, place := range blocks {
		if !p.IsValid() || place >= MaxPlaces {
			return nil, fmt.Errorf("block %v of place %d: %w", p, place, ErrBadBlock)
		}
		p = unmap(p.Masked())
		if p.Addr().Is4() {
			v4 = append(v4, block4{keyOf(p.Addr()).lo, uint8(p.Bits()), place})
			continue
		}
		v6 = append(v6, block6{keyOf(p.Addr()), uint8(p.Bits()), place})
	}
	t := &BlockTable{blocks: len(v4) + len(v6)}
	t.build4(v4)
	t.build6(v6)
	return t, nil
}

func unmap(p netip.Prefix) netip.Prefix {
	const mappedBits = 96
	if p.Addr().Is4In6() && p.Bits() >= mappedBits {
		return netip.PrefixFrom(p.Addr().Unmap(), p.Bits()-mappedBits)
	}
	return p
}

func (t *BlockTable) build4(blocks []block4) {
	// A stable sort keeps equal blocks in their order of arrival.
	slices.SortStableFunc(blocks, func(a, b block4) int {
		return a.key().compare(b.key(), a.bits, b.bits)
	})
	const width = 32
	s := sweep{width: width, emit: func(k key, place uint16) {
		t.v4.add(uint32(k.lo>>16), uint16(k.lo), place)
	}}
	for _, b := range blocks {
		s.open(b.key(), b.bits, b.place)
	}
	s.finish()
	t.v4.finish()
}

func (t *BlockTable) build6(blocks []block6) {
	slices.SortStableFunc(blocks, func(a, b block6) int {
		return a.start.compare(b.start, a.bits, b.bits)
	})
	d := deepener{table: t, last: noPlace}
	const width = 128
	s := sweep{width: width, emit: d.emit}
	for _, b := range blocks {
		s.open(b.start, b.bits, b.place)
	}
	s.finish()
	d.flush()
	t.v6.finish()
	t.deep = slices.Clip(t.deep)
}

// Lookup returns the place of the longest block that contains addr.
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
	if place == deepPlace {
		place = t.findDeep(k)
	}
	return place, place != noPlace
}

func (t *BlockTable) findDeep(k key) uint16 {
	i := sort.Search(len(t.deep), func(i int) bool { return k.less(t.deep[i].start) })
	return t.deep[i-1].place
}

// Blocks returns the number of blocks given to Build.
func (t *BlockTable) Blocks() int { return t.blocks }

// Bytes returns the memory of the table.
func (t *BlockTable) Bytes() int {
	const deepSize = 24
	return t.v4.bytes(2) + t.v6.bytes(4) + deepSize*cap(t.deep)
}

// ranges is a sorted list of range starts, each with the place of the range. A
// start is split into a top part, stored once for all starts that share it, and
// a low part.
type ranges[L uint16 | uint32] struct {
	tops []uint32
	// first[i] is the index of the first start with tops[i].
	first  []uint32
	lows   []L
	places []uint16
}

func (r *ranges[L]) add(top uint32, low L, place uint16) {
	if n := len(r.places); n > 0 && r.places[n-1] == place && place != deepPlace {
		return
	}
	if n := len(r.tops); n == 0 || r.tops[n-1] != top {
		r.tops = append(r.tops, top)
		r.first = append(r.first, uint32(len(r.lows)))
	}
	r.lows = append(r.lows, low)
	r.places = append(r.places, place)
}

// finish releases the spare capacity of the slices, which append may have grown
// to a quarter more than the table needs.
func (r *ranges[L]) finish() {
	r.tops = slices.Clone(r.tops)
	r.first = slices.Clone(r.first)
	r.lows = slices.Clone(r.lows)
	r.places = slices.Clone(r.places)
}

func (r *ranges[L]) find(top uint32, low L) uint16 {
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

func (r *ranges[L]) bytes(lowSize int) int {
	return 4*cap(r.tops) + 4*cap(r.first) + lowSize*cap(r.lows) + 2*cap(r.places)
}
