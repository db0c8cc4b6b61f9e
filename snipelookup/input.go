package snipelookup

import (
	"fmt"
	"iter"
	"net/netip"
	"slices"
)

// block is a client block. An IPv4 block has its address in the low half.
type block struct {
	start key
	bits  uint8
	place uint16
}

func (b block) compare(o block) int { return b.start.compare(o.start, b.bits, o.bits) }

// input is the blocks of a table in an order that a sweep accepts.
type input struct {
	all   iter.Seq2[netip.Prefix, uint16]
	count int
	// sorted4 and sorted6 hold sorted copies of blocks that are not in order.
	sorted4, sorted6 []block
}

// survey validates blocks and sorts copies where necessary.
func survey(all iter.Seq2[netip.Prefix, uint16]) (*input, error) {
	in := &input{all: all}
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

func blockOf(p netip.Prefix, place uint16) (b block, v4 bool) {
	p = unmap(p.Masked())
	return block{keyOf(p.Addr()), uint8(p.Bits()), place}, p.Addr().Is4()
}

func unmap(p netip.Prefix) netip.Prefix {
	const mappedBits = 96
	if p.Addr().Is4In6() && p.Bits() >= mappedBits {
		return netip.PrefixFrom(p.Addr().Unmap(), p.Bits()-mappedBits)
	}
	return p
}

// sortedCopy keeps equal blocks in their order of arrival.
func sortedCopy(blocks iter.Seq[block]) []block {
	return slices.SortedStableFunc(blocks, block.compare)
}

func (in *input) v4() iter.Seq[block] { return in.family(true, in.sorted4) }

func (in *input) v6() iter.Seq[block] { return in.family(false, in.sorted6) }

func (in *input) family(v4 bool, sorted []block) iter.Seq[block] {
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
