package snipelookup

import (
	"cmp"
	"encoding/binary"
	"math/bits"
	"net/netip"
)

// key is an address as a 128-bit number. An IPv4 address is in the low half.
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

// compare orders blocks by start, and wider blocks first.
func (k key) compare(o key, kBits, oBits uint8) int {
	return cmp.Or(cmp.Compare(k.hi, o.hi), cmp.Compare(k.lo, o.lo), cmp.Compare(kBits, oBits))
}

// after returns the first key after a block of the given host bits that starts
// at k. It wraps to zero after the last key.
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

type deepRange struct {
	start key
	place uint16
}

// deepTable holds the ranges of all /64 with several places.
type deepTable struct {
	ranges []deepRange
	// count is the number of ranges that the first pass adds.
	count   int
	filling bool
}

func (t *deepTable) add(r ...deepRange) {
	if !t.filling {
		t.count += len(r)
		return
	}
	t.ranges = append(t.ranges, r...)
}

// nextPass makes room for what the pass before has counted.
func (t *deepTable) nextPass() {
	if t.filling {
		return
	}
	t.ranges = make([]deepRange, 0, t.count)
	t.filling = true
}

// sweep turns sorted nested blocks into the starts of disjoint ranges.
type sweep struct {
	width int
	emit  func(key, uint16)
	stack []openBlock
	// pending is the last start, kept back because a block that starts at the
	// same key replaces its place.
	pending      key
	pendingPlace uint16
	has          bool
}

type openBlock struct {
	end key
	// last marks a block that reaches the end of the address space.
	last  bool
	bits  uint8
	start key
	place uint16
}

func (s *sweep) open(start key, prefixBits uint8, place uint16) {
	s.closeUntil(start)
	if n := len(s.stack); n > 0 && s.stack[n-1].start == start && s.stack[n-1].bits == prefixBits {
		s.stack[n-1].place = place
		s.push(start, place)
		return
	}
	end := start.after(s.width - int(prefixBits))
	s.stack = append(s.stack, openBlock{
		end:   end,
		last:  end == key{} || s.width == 32 && end.lo>>32 != 0,
		bits:  prefixBits,
		start: start,
		place: place,
	})
	s.push(start, place)
}

// closeUntil closes the open blocks that end at or before k.
func (s *sweep) closeUntil(k key) {
	for n := len(s.stack); n > 0; n = len(s.stack) {
		top := s.stack[n-1]
		if top.last || k.less(top.end) {
			return
		}
		s.pop()
	}
}

func (s *sweep) pop() {
	n := len(s.stack)
	top := s.stack[n-1]
	s.stack = s.stack[:n-1]
	if top.last {
		return
	}
	outer := uint16(noPlace)
	if n > 1 {
		outer = s.stack[n-2].place
	}
	s.push(top.end, outer)
}

func (s *sweep) push(k key, place uint16) {
	if s.has && s.pending != k {
		s.emit(s.pending, s.pendingPlace)
	}
	s.pending, s.pendingPlace, s.has = k, place, true
}

func (s *sweep) finish() {
	for len(s.stack) > 0 {
		s.pop()
	}
	if s.has {
		s.emit(s.pending, s.pendingPlace)
	}
}

// deepener splits IPv6 starts between the table of upper halves and, for a /64
// with several places, the deep table.
type deepener struct {
	table *BlockTable
	group []deepRange
	// last is the place at the end of the previous group.
	last uint16
	// resume tells that the previous group was deep, so that the place after it
	// is not yet in the table of upper halves.
	resume   bool
	resumeHi uint64
}

func (d *deepener) emit(k key, place uint16) {
	if len(d.group) > 0 && d.group[0].start.hi != k.hi {
		d.flush()
	}
	d.group = append(d.group, deepRange{k, place})
}

func (d *deepener) flush() {
	if len(d.group) == 0 {
		d.endDeep(0, true)
		return
	}
	first := d.group[0].start
	d.endDeep(first.hi, false)
	if len(d.group) == 1 && first.lo == 0 {
		d.add(first.hi, d.group[0].place)
	} else {
		d.addDeep(first)
	}
	d.last = d.group[len(d.group)-1].place
	d.group = d.group[:0]
}

func (d *deepener) addDeep(first key) {
	d.add(first.hi, deepPlace)
	if first.lo != 0 {
		d.table.deep.add(deepRange{key{hi: first.hi}, d.last})
	}
	d.table.deep.add(d.group...)
	d.resumeHi = first.hi + 1
	d.resume = d.resumeHi != 0
}

// endDeep adds the range between a deep group and the next one.
func (d *deepener) endDeep(nextHi uint64, final bool) {
	if d.resume && (final || d.resumeHi < nextHi) {
		d.add(d.resumeHi, d.last)
	}
	d.resume = false
}

func (d *deepener) add(hi uint64, place uint16) {
	d.table.v6.add(uint32(hi>>32), uint32(hi), place)
}
