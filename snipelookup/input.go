package snipelookup

import (
	"fmt"
	"iter"
	"net/netip"
	"slices"
)

// block is a client block with the index of its place. start is its first address.
type block struct {
	start key
	bits  uint8
	place uint16
}

func (b block) compare(o block) int { return b.start.compare(o.start, b.bits, o.bits) }

// blockInput provides the blocks of a table in the order that a sweep requires.
type blockInput struct {
	all iter.Seq2[netip.Prefix, uint16]
	// count is the number of blocks.
	count int
	// sorted4 and sorted6 are sorted copies of the blocks of a family; nil if the
	// blocks in all are in order.
	sorted4, sorted6 []block
}

// newBlockInput validates blocks, and sorts a copy of each address family that is
// not in order.
func newBlockInput(all iter.Seq2[netip.Prefix, uint16]) (*blockInput, error) {
	in := &blockInput{all: all}
	var last [2]block
	ordered := [2]bool{true, true}
	for p, place := range all {
		if !p.IsValid() || place >= MaxPlaces {
			return nil, fmt.Errorf("block %v of place %d: %w", p, place, ErrBadBlock)
		}
		b, v4 := blockOf(p, place)
		family := 0
		if v4 {
			family = 1
		}
		ordered[family] = ordered[family] && last[family].compare(b) <= 0
		last[family] = b
		in.count++
	}
	if !ordered[1] {
		in.sorted4 = sortedCopy(in.v4())
	}
	if !ordered[0] {
		in.sorted6 = sortedCopy(in.v6())
	}
	return in, nil
}

// blockOf returns the block of a valid prefix and whether it is an IPv4 block.
func blockOf(p netip.Prefix, place uint16) (b block, v4 bool) {
	p = unmap(p.Masked())
	return block{keyOf(p.Addr()), uint8(p.Bits()), place}, p.Addr().Is4()
}

// unmap converts an IPv4-mapped IPv6 prefix to an IPv4 prefix.
func unmap(p netip.Prefix) netip.Prefix {
	const mappedBits = 96
	if p.Addr().Is4In6() && p.Bits() >= mappedBits {
		return netip.PrefixFrom(p.Addr().Unmap(), p.Bits()-mappedBits)
	}
	return p
}

// sortedCopy sorts stably: the later one of two equal blocks takes precedence.
func sortedCopy(blocks iter.Seq[block]) []block {
	return slices.SortedStableFunc(blocks, block.compare)
}

func (in *blockInput) v4() iter.Seq[block] { return in.family(true, in.sorted4) }

func (in *blockInput) v6() iter.Seq[block] { return in.family(false, in.sorted6) }

// family returns the blocks of one address family, from the sorted copy if there
// is one.
func (in *blockInput) family(v4 bool, sorted []block) iter.Seq[block] {
	if sorted != nil {
		return slices.Values(sorted)
	}
	return func(yield func(block) bool) {
		for p, place := range in.all {
			if b, is4 := blockOf(p, place); is4 == v4 && !yield(b) {
				return
			}
		}
	}
}
