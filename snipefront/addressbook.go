package snipefront

import (
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

// addressBook provides the addresses of the fronts that a caller may use: those in
// its failure domain; if there are none, those in its region; otherwise all.
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
	members := b.acceptingFronts()
	addresses := filterAddresses(members, func(m *snipefleet.Member) bool { return m.Place.Domain == caller.Domain })
	if len(addresses) == 0 {
		addresses = filterAddresses(members, func(m *snipefleet.Member) bool { return m.Place.Region == caller.Region })
	}
	if len(addresses) == 0 {
		addresses = filterAddresses(members, func(*snipefleet.Member) bool { return true })
	}
	return addresses[:min(len(addresses), maxAddresses)], min(addressTTL, b.ttl())
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
