package snipelookup

import (
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// ResultTimeToLive is how long a caller may use the result of a lookup.
	ResultTimeToLive = 5 * time.Second
	// MaxEntries is the largest number of entries in the result of a lookup.
	MaxEntries = 3
)

// Place is a home place. Its index in the list of places is the value that a
// BlockTable stores.
type Place struct {
	// Name is the name of the place.
	Name string
	// Domain is the failure domain of the place.
	Domain string
	// Region is the region of the failure domain.
	Region string
}

// Instance is an entry instance in the current membership.
type Instance struct {
	// Address is the address for callers, as ip:port.
	Address string
	// Place, Domain and Region are the place, the failure domain and the region
	// of the instance.
	Place  string
	Domain string
	Region string
	// Incarnation identifies the process.
	Incarnation string
	// Usable is false for an instance that is suspect, leaving, draining or not
	// ready.
	Usable bool
}

// Entry is an entry instance in the result of a lookup.
type Entry struct {
	// Address is the address for callers, as ip:port.
	Address string
	// Place is the place of the instance.
	Place string
	// Incarnation identifies the process.
	Incarnation string
}

// List is a list of entries in the order in which a caller should try them. It is
// immutable and shares its entries with an Entries.
type List struct {
	entries []Entry
	// index holds the positions of the first n list elements in entries.
	index [MaxEntries]uint16
	n     uint8
}

// Len returns the number of entries.
func (l List) Len() int { return int(l.n) }

// At returns entry i. It panics if i is not in [0, Len()).
func (l List) At(i int) *Entry { return &l.entries[l.index[:l.n][i]] }

// selection is an ordered choice of n instances, given by their indexes.
type selection struct {
	index [MaxEntries]uint16
	n     uint8
}

// Entries holds the lists of all home places. It is immutable.
type Entries struct {
	// entries are the usable instances, and byPlace holds the selections of each
	// home place from them.
	entries []Entry
	byPlace [][]selection
}

// ListFor returns the list for a client block with the given home place, an
// index in the places of NewEntries. A hash of the block spreads the blocks of
// a place evenly over the instances that are nearest to it. The list is empty
// if no instance is usable or the place is unknown.
func (e *Entries) ListFor(place uint16, block netip.Prefix) List {
	if int(place) >= len(e.byPlace) || len(e.byPlace[place]) == 0 {
		return List{}
	}
	selections := e.byPlace[place]
	s := &selections[hashBlock(block)%uint64(len(selections))]
	return List{entries: e.entries, index: s.index, n: s.n}
}

// hashBlock returns a hash of the address and the prefix length of a block.
func hashBlock(block netip.Prefix) uint64 {
	var b [17]byte
	addr := block.Masked().Addr().As16()
	copy(b[:], addr[:])
	b[16] = byte(block.Bits())
	return xxhash.Sum64(b[:])
}

// NewEntries computes the lists of all places. Only usable instances are in a
// list.
func NewEntries(places []Place, instances []Instance) *Entries {
	e := &Entries{byPlace: make([][]selection, len(places))}
	var usable []Instance
	for _, in := range instances {
		if in.Usable {
			usable = append(usable, in)
			e.entries = append(e.entries, Entry{in.Address, in.Place, in.Incarnation})
		}
	}
	for i, p := range places {
		e.byPlace[i] = selectionsFor(p, usable)
	}
	return e
}

// distance returns the distance of an instance from a home place: 0 in the same
// place, 1 in the same failure domain, 2 in the same region, else 3.
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

// selectionsFor returns one selection for each instance at the smallest distance
// at which there is one: that instance first, then the nearest one of another
// failure domain, so that a caller has an entry when one domain fails, then the
// nearest of the rest.
func selectionsFor(p Place, usable []Instance) []selection {
	var ranks [4][]uint16
	for i, in := range usable {
		d := distance(p, in)
		ranks[d] = append(ranks[d], uint16(i))
	}
	for _, rank := range ranks {
		if len(rank) == 0 {
			continue
		}
		selections := make([]selection, 0, len(rank))
		for offset, first := range rank {
			selections = append(selections, newSelection(first, offset, ranks, usable))
		}
		return selections
	}
	return nil
}

// newSelection returns the selection that starts with the instance first. ranks
// holds the usable instances by distance.
func newSelection(first uint16, offset int, ranks [4][]uint16, usable []Instance) selection {
	s := selection{n: 1}
	s.index[0] = first
	other := func(i uint16) bool { return usable[i].Domain != usable[first].Domain }
	s.appendNearest(offset, ranks, other)
	for s.n < MaxEntries && s.appendNearest(offset, ranks, func(uint16) bool { return true }) {
	}
	return s
}

// appendNearest appends the nearest instance that accept permits and that is not
// in the selection yet. It returns false if there is none. Among instances at
// the same distance it starts at offset, so that the selections of a place
// differ.
func (s *selection) appendNearest(offset int, ranks [4][]uint16, accept func(uint16) bool) bool {
	for _, rank := range ranks {
		for j := range rank {
			i := rank[(j+offset)%len(rank)]
			if !s.contains(i) && accept(i) {
				s.index[s.n] = i
				s.n++
				return true
			}
		}
	}
	return false
}

func (s *selection) contains(i uint16) bool {
	for _, x := range s.index[:s.n] {
		if x == i {
			return true
		}
	}
	return false
}

// State is the data that a lookup reads.
type State struct {
	// Blocks holds the block tables by the name of the team.
	Blocks map[string]*BlockTable
	// Entries holds the lists of entries. Without them, lookups return no entry.
	Entries *Entries
	// Generation is the generation of the configuration behind Blocks and Entries.
	Generation uint64
}

// Lookup publishes a State to concurrent readers. Before the first Publish,
// lookups return no entry.
type Lookup struct{ state atomic.Pointer[State] }

// Publish replaces the state. s must not be changed afterwards.
func (l *Lookup) Publish(s *State) { l.state.Store(s) }

// Entries returns the entries for a client block of a team and the generation of
// the state that it used. home is the index of the home place that applies if the
// team's table has no block that contains the address of this one. Without a
// state, the list is empty and the generation 0.
func (l *Lookup) Entries(team string, block netip.Prefix, home uint16) (list List, generation uint64) {
	s := l.state.Load()
	if s == nil || s.Entries == nil {
		return List{}, 0
	}
	if t := s.Blocks[team]; t != nil {
		if place, ok := t.Lookup(block.Addr()); ok {
			home = place
		}
	}
	return s.Entries.ListFor(home, block), s.Generation
}
