package snipelookup

import (
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// TimeToLive is how long a caller may use the answer of a look-up.
	TimeToLive = 5 * time.Second
	// MaxEntries is the number of entries in an answer.
	MaxEntries = 3
)

// Place is a home place. Its index in the list of places is the value that a
// BlockTable stores.
type Place struct {
	Name   string
	Domain string
	Region string
}

// Instance is an entry instance as the member view knows it.
type Instance struct {
	Address     string
	Place       string
	Domain      string
	Region      string
	Incarnation string
	// Usable is false for an instance that is suspect, leaving, draining or not
	// ready.
	Usable bool
}

// Entry is one entry of an answer.
type Entry struct {
	Address     string
	Place       string
	Incarnation string
}

// List is an ordered list of entries. It refers to an immutable table.
type List struct {
	entries []Entry
	index   [MaxEntries]uint16
	n       uint8
}

// Len returns the number of entries.
func (l List) Len() int { return int(l.n) }

// At returns entry i. It panics if i is not in [0, Len()).
func (l List) At(i int) *Entry { return &l.entries[l.index[:l.n][i]] }

type variant struct {
	index [MaxEntries]uint16
	n     uint8
}

// Entries holds the lists of all home places. It is immutable.
type Entries struct {
	entries []Entry
	places  [][]variant
}

// For returns the list for a block with the given home place. Blocks of one
// place are spread evenly over the instances of that place by a hash of the
// block. The list is empty if no instance is usable or the place is unknown.
func (e *Entries) For(place uint16, block netip.Prefix) List {
	if int(place) >= len(e.places) || len(e.places[place]) == 0 {
		return List{}
	}
	variants := e.places[place]
	v := &variants[hashBlock(block)%uint64(len(variants))]
	return List{entries: e.entries, index: v.index, n: v.n}
}

func hashBlock(block netip.Prefix) uint64 {
	var b [17]byte
	addr := block.Masked().Addr().As16()
	copy(b[:], addr[:])
	b[16] = byte(block.Bits())
	return xxhash.Sum64(b[:])
}

// NewEntries computes the lists of all places. An instance that is not usable
// is in no list.
func NewEntries(places []Place, instances []Instance) *Entries {
	e := &Entries{places: make([][]variant, len(places))}
	var usable []Instance
	for _, in := range instances {
		if in.Usable {
			usable = append(usable, in)
			e.entries = append(e.entries, Entry{in.Address, in.Place, in.Incarnation})
		}
	}
	for i, p := range places {
		e.places[i] = variantsOf(p, usable)
	}
	return e
}

// distance ranks an instance for a home place; smaller is nearer.
func distance(p Place, in Instance) int {
	switch {
	case in.Place == p.Name:
		return 0
	case in.Domain == p.Domain && in.Region == p.Region:
		return 1
	case in.Region == p.Region:
		return 2
	default:
		return 3
	}
}

// variantsOf returns one list for each instance of the nearest rank: that
// instance first, then the nearest one of another failure domain, then the
// nearest of the rest.
func variantsOf(p Place, usable []Instance) []variant {
	var ranks [4][]uint16
	for i, in := range usable {
		d := distance(p, in)
		ranks[d] = append(ranks[d], uint16(i))
	}
	for _, rank := range ranks {
		if len(rank) == 0 {
			continue
		}
		variants := make([]variant, 0, len(rank))
		for shift, first := range rank {
			variants = append(variants, newVariant(first, shift, ranks, usable))
		}
		return variants
	}
	return nil
}

func newVariant(first uint16, shift int, ranks [4][]uint16, usable []Instance) variant {
	v := variant{n: 1}
	v.index[0] = first
	other := func(i uint16) bool { return usable[i].Domain != usable[first].Domain }
	v.pick(shift, ranks, other)
	for v.n < MaxEntries && v.pick(shift, ranks, func(uint16) bool { return true }) {
	}
	return v
}

// pick appends the nearest instance that is accepted and not yet in the list,
// and reports false if there is none. Within a rank it starts at an offset of shift, so that lists differ.
func (v *variant) pick(shift int, ranks [4][]uint16, accept func(uint16) bool) bool {
	for _, rank := range ranks {
		for j := range rank {
			i := rank[(j+shift)%len(rank)]
			if !v.has(i) && accept(i) {
				v.index[v.n] = i
				v.n++
				return true
			}
		}
	}
	return false
}

func (v *variant) has(i uint16) bool {
	for _, x := range v.index[:v.n] {
		if x == i {
			return true
		}
	}
	return false
}

// State is everything that a look-up reads.
type State struct {
	// Blocks holds the block table of each team.
	Blocks     map[string]*BlockTable
	Entries    *Entries
	Generation uint64
}

// Lookup publishes a State to concurrent readers. The zero value answers
// nothing.
type Lookup struct{ state atomic.Pointer[State] }

// Publish replaces the state, which must not be changed afterwards.
func (l *Lookup) Publish(s *State) { l.state.Store(s) }

// Decide returns the entries for a block of a team and the generation they
// belong to. home is the place of a block that the team does not list.
func (l *Lookup) Decide(team string, block netip.Prefix, home uint16) (list List, generation uint64) {
	s := l.state.Load()
	if s == nil || s.Entries == nil {
		return List{}, 0
	}
	if t := s.Blocks[team]; t != nil {
		if place, ok := t.Lookup(block.Addr()); ok {
			home = place
		}
	}
	return s.Entries.For(home, block), s.Generation
}
