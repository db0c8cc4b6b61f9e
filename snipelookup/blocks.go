package snipelookup

import (
	"errors"
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
	deep deepTable
	// blocks counts the blocks given to Build.
	blocks int
}

// Build returns the table of the given blocks and the indexes of their places.
// Of two equal blocks the later one counts. An IPv4-mapped IPv6 block counts as
// an IPv4 block. It fails with ErrBadBlock for an invalid block or a place that
// is not below MaxPlaces.
//
// Build reads blocks several times, which must yield the same each time. It
// allocates nothing but the table if the blocks of each address family are
// sorted by address and length, as a configuration lists them; otherwise it
// sorts a copy.
func Build(blocks iter.Seq2[netip.Prefix, uint16]) (*BlockTable, error) {
	in, err := survey(blocks)
	if err != nil {
		return nil, err
	}
	t := &BlockTable{blocks: in.count}
	for range 2 {
		// The first pass counts, so that the second one fills slices of the
		// exact size. Growing them would need twice the memory.
		t.fill4(in.v4())
		t.fill6(in.v6())
		t.v4.nextPass()
		t.v6.nextPass()
		t.deep.nextPass()
	}
	return t, nil
}

func (t *BlockTable) fill4(blocks iter.Seq[block]) {
	const width = 32
	s := sweep{width: width, emit: func(k key, place uint16) {
		t.v4.add(uint32(k.lo>>16), uint16(k.lo), place)
	}}
	for b := range blocks {
		s.open(b.start, b.bits, b.place)
	}
	s.finish()
}

func (t *BlockTable) fill6(blocks iter.Seq[block]) {
	d := deepener{table: t, last: noPlace}
	const width = 128
	s := sweep{width: width, emit: d.emit}
	for b := range blocks {
		s.open(b.start, b.bits, b.place)
	}
	s.finish()
	d.flush()
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
	deep := t.deep.ranges
	i := sort.Search(len(deep), func(i int) bool { return k.less(deep[i].start) })
	return deep[i-1].place
}

// Blocks returns the number of blocks given to Build.
func (t *BlockTable) Blocks() int { return t.blocks }

// Bytes returns the memory of the table.
func (t *BlockTable) Bytes() int {
	const deepSize = 24
	return t.v4.bytes(2) + t.v6.bytes(4) + deepSize*cap(t.deep.ranges)
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

	filling bool
	// starts and groups count what the first pass adds to lows and tops.
	starts, groups int
	lastTop        uint32
	lastPlace      uint16
}

func (r *ranges[L]) add(top uint32, low L, place uint16) {
	if r.starts > 0 && r.lastPlace == place && place != deepPlace {
		return
	}
	newTop := r.starts == 0 || r.lastTop != top
	r.starts++
	r.lastTop, r.lastPlace = top, place
	if newTop {
		r.groups++
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

// nextPass makes room for what the pass before has counted.
func (r *ranges[L]) nextPass() {
	if r.filling {
		return
	}
	r.tops = make([]uint32, 0, r.groups)
	r.first = make([]uint32, 0, r.groups)
	r.lows = make([]L, 0, r.starts)
	r.places = make([]uint16, 0, r.starts)
	r.starts, r.groups, r.filling = 0, 0, true
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
