package snipefront

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/snipemoor/snipemoor/snipefleet"
)

const (
	// maxAddresses bounds the addresses in one response of the directory.
	maxAddresses = 64
	// addressTTL is how long a caller may cache addresses, unless the platform sets a
	// lower bound.
	addressTTL = 3 * time.Second
)

// addressBook provides the addresses of the fronts that a caller may use: the large ones
// in its failure domain or region, and else all in its failure domain; if there are none,
// those in its region; otherwise all.
type addressBook struct {
	self  snipefleet.Member
	fleet *snipefleet.Registry
	// ttl returns the platform's bound on how long callers may cache addresses.
	ttl func() time.Duration
	// accepting is set while this front listens for callers and is not stopping.
	accepting atomic.Bool
}

// Addresses implements platform.AddressLister.
func (b *addressBook) Addresses(caller snipefleet.Place) ([]string, time.Duration) {
	addresses := selectFronts(b.acceptingFronts(), caller)
	if len(addresses) > maxAddresses {
		// A random selection, so that each front is named to some callers.
		rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
		addresses = addresses[:maxAddresses]
	}
	return addresses, min(addressTTL, b.ttl())
}

// selectFronts returns the addresses of the fronts that a caller at a place should use.
func selectFronts(members []snipefleet.Member, caller snipefleet.Place) []string {
	sameDomain := func(m *snipefleet.Member) bool { return m.Place.Domain == caller.Domain }
	sameRegion := func(m *snipefleet.Member) bool { return m.Place.Region == caller.Region }
	large := largeFronts(members)
	for _, near := range []func(*snipefleet.Member) bool{sameDomain, sameRegion} {
		// Two at least, so that callers have another one when one fails.
		if addresses := filterAddresses(large, near); len(addresses) >= 2 {
			return addresses
		}
	}
	for _, near := range []func(*snipefleet.Member) bool{sameDomain, sameRegion} {
		if addresses := filterAddresses(members, near); len(addresses) > 0 {
			return addresses
		}
	}
	return filterAddresses(members, func(*snipefleet.Member) bool { return true })
}

const (
	// largeShare is the part of the capacity of the largest front from which a front counts
	// as large.
	largeShare = 0.5
	// minLargeCapacity is the part of the capacity of all fronts that the large ones must
	// have to be used alone. It bounds the load of a core at three times that of an even
	// division.
	minLargeCapacity = 1.0 / 3
)

// largeFronts returns the members that are large enough to be used alone. It returns nil if
// they have too little of the capacity, and if there are no smaller ones.
func largeFronts(members []snipefleet.Member) []snipefleet.Member {
	largest, total := 0.0, 0.0
	for i := range members {
		largest = max(largest, members[i].Cores)
		total += members[i].Cores
	}
	var large []snipefleet.Member
	sum := 0.0
	for i := range members {
		if members[i].Cores >= largeShare*largest {
			large = append(large, members[i])
			sum += members[i].Cores
		}
	}
	if sum < minLargeCapacity*total || len(large) == len(members) {
		return nil
	}
	return large
}

// acceptingFronts returns the fronts that accept callers. For this front, it uses
// accepting instead of the entry in the store, which can be out of date.
func (b *addressBook) acceptingFronts() []snipefleet.Member {
	var out []snipefleet.Member
	if b.accepting.Load() {
		out = append(out, b.self)
	}
	for _, m := range b.fleet.View().Members() {
		if m.Name != b.self.Name {
			out = append(out, m)
		}
	}
	return out
}

// filterAddresses returns the addresses of the members for which keep returns true.
func filterAddresses(members []snipefleet.Member, keep func(*snipefleet.Member) bool) []string {
	var out []string
	for i := range members {
		if keep(&members[i]) {
			out = append(out, members[i].Address)
		}
	}
	return out
}
