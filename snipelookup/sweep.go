package snipelookup

import (
	"cmp"
	"encoding/binary"
	"math/bits"
	"net/netip"
)

// key is an address as a 128-bit number. An IPv4 address is in the lowest 32 bits.
type key struct{ hi, lo uint64 }

func keyOf(a netip.Addr) key {
	if a.Is4() {
		b := a.As4()
		return key{lo: uint64(binary.BigEndian.Uint32(b[:]))}
	}
	b := a.As16()
	return key{hi: binary.BigEndian.Uint64(b[:8]), lo: binary.BigEndian.Uint64(b[8:])}
}

func (k key) less(o key) bool { return k.hi < o.hi || k.hi == o.hi && k.lo < o.lo }

// compare orders blocks by start, and blocks with the same start by prefix length,
// the shortest and therefore widest first.
func (k key) compare(o key, kBits, oBits uint8) int {
	return cmp.Or(cmp.Compare(k.hi, o.hi), cmp.Compare(k.lo, o.lo), cmp.Compare(kBits, oBits))
}

// after returns the first key after a block with the given number of host bits
// that starts at k. It is zero if the block ends at the last IPv6 address.
func (k key) after(hostBits int) key {
	if hostBits >= 128 {
		return key{}
	}
	if hostBits >= 64 {
		return key{hi: k.hi + 1<<(hostBits-64), lo: k.lo}
	}
	lo, carry := bits.Add64(k.lo, 1<<hostBits, 0)
	return key{hi: k.hi + carry, lo: lo}
}

type splitRange struct {
	start key
	place uint16
}

// splitTable holds the ranges of all /64 with several places, sorted by start.
type splitTable struct {
	ranges []splitRange
	// count is the number of ranges that the counting pass adds.
	count int
	// filling is false during the counting pass.
	filling bool
}

func (t *splitTable) add(r ...splitRange) {
	if !t.filling {
		t.count += len(r)
		return
	}
	t.ranges = append(t.ranges, r...)
}

// endCountingPass allocates the slice for what the first pass has counted. After
// the second pass it does nothing.
func (t *splitTable) endCountingPass() {
	if t.filling {
		return
	}
	t.ranges = make([]splitRange, 0, t.count)
	t.filling = true
}

// sweep converts sorted, nested blocks into disjoint ranges. It visits the blocks
// in the order of their starts and keeps those that contain the current start on
// a stack; the innermost one determines the place.
type sweep struct {
	// width is the address length in bits.
	width int
	// emit receives the start and the place of each range in ascending order.
	emit func(key, uint16)
	// stack holds the open blocks, the innermost last.
	stack []openBlock
	// pending is the last start. It is not emitted yet, because a block that
	// starts at the same key replaces its place.
	pending      key
	pendingPlace uint16
	hasPending   bool
}

// openBlock is a block that the sweep has entered but not left.
type openBlock struct {
	// end is the first key after the block.
	end key
	// reachesEnd is set if the block ends with the last address, so that no key
	// follows it.
	reachesEnd bool
	bits       uint8
	start      key
	place      uint16
}

// open enters a block. It replaces the place of an equal block.
func (s *sweep) open(start key, prefixBits uint8, place uint16) {
	s.closeUntil(start)
	if n := len(s.stack); n > 0 && s.stack[n-1].start == start && s.stack[n-1].bits == prefixBits {
		s.stack[n-1].place = place
		s.addStart(start, place)
		return
	}
	end := start.after(s.width - int(prefixBits))
	s.stack = append(s.stack, openBlock{
		end:        end,
		reachesEnd: end == key{} || s.width == 32 && end.lo>>32 != 0,
		bits:       prefixBits,
		start:      start,
		place:      place,
	})
	s.addStart(start, place)
}

// closeUntil closes the open blocks whose end is at or before k.
func (s *sweep) closeUntil(k key) {
	for n := len(s.stack); n > 0; n = len(s.stack) {
		top := s.stack[n-1]
		if top.reachesEnd || k.less(top.end) {
			return
		}
		s.pop()
	}
}

// pop closes the innermost block: after it, the place of the enclosing block
// applies, or noPlace.
func (s *sweep) pop() {
	n := len(s.stack)
	top := s.stack[n-1]
	s.stack = s.stack[:n-1]
	if top.reachesEnd {
		return
	}
	outer := uint16(noPlace)
	if n > 1 {
		outer = s.stack[n-2].place
	}
	s.addStart(top.end, outer)
}

// addStart starts a range at k, which must not be lower than the last start, and
// emits the last start if it is lower than k.
func (s *sweep) addStart(k key, place uint16) {
	if s.hasPending && s.pending != k {
		s.emit(s.pending, s.pendingPlace)
	}
	s.pending, s.pendingPlace, s.hasPending = k, place, true
}

// finish closes all blocks and emits the last start.
func (s *sweep) finish() {
	for len(s.stack) > 0 {
		s.pop()
	}
	if s.hasPending {
		s.emit(s.pending, s.pendingPlace)
	}
}

// v6Splitter distributes IPv6 range starts between BlockTable.v6, which maps the
// upper 64 bits, and, for a /64 with several places, the split table.
type v6Splitter struct {
	table *BlockTable
	// group holds the starts in the current /64.
	group []splitRange
	// lastPlace is the place at the end of the previous group.
	lastPlace uint16
	// afterSplit is set if the previous group went to the split table and v6 does
	// not have the range after its /64 yet. That range starts at afterSplitHi and
	// has the place lastPlace.
	afterSplit   bool
	afterSplitHi uint64
}

// emit adds a range start to the current group, or ends the group if the start is
// in another /64.
func (s *v6Splitter) emit(k key, place uint16) {
	if len(s.group) > 0 && s.group[0].start.hi != k.hi {
		s.flush()
	}
	s.group = append(s.group, splitRange{k, place})
}

// flush adds the current group to the tables.
func (s *v6Splitter) flush() {
	if len(s.group) == 0 {
		s.endSplit(0, true)
		return
	}
	first := s.group[0].start
	s.endSplit(first.hi, false)
	if len(s.group) == 1 && first.lo == 0 {
		s.add(first.hi, s.group[0].place)
	} else {
		s.addSplit(first)
	}
	s.lastPlace = s.group[len(s.group)-1].place
	s.group = s.group[:0]
}

// addSplit marks the /64 of the current group in v6 and adds its ranges to the
// split table.
func (s *v6Splitter) addSplit(first key) {
	s.add(first.hi, splitPlace)
	if first.lo != 0 {
		s.table.split.add(splitRange{key{hi: first.hi}, s.lastPlace})
	}
	s.table.split.add(s.group...)
	s.afterSplitHi = first.hi + 1
	s.afterSplit = s.afterSplitHi != 0
}

// endSplit adds the range between a split /64 and the next group to v6, unless
// the next group follows immediately. final means that there is no next group.
func (s *v6Splitter) endSplit(nextHi uint64, final bool) {
	if s.afterSplit && (final || s.afterSplitHi < nextHi) {
		s.add(s.afterSplitHi, s.lastPlace)
	}
	s.afterSplit = false
}

func (s *v6Splitter) add(hi uint64, place uint16) {
	s.table.v6.add(uint32(hi>>32), uint32(hi), place)
}
