package snipefront

import (
	"sync/atomic"
	"time"

	"github.com/snipemoor/snipemoor/snipefleet"
)

const (
	// maxAddresses bounds the addresses of one answer.
	maxAddresses = 64
	// addressTTL is how long a caller keeps addresses, unless the platform
	// bounds it lower.
	addressTTL = 3 * time.Second
)

// book answers which fronts a caller may use: those of its failure domain, else
// those of its region, else all.
type book struct {
	self  snipefleet.Member
	fleet *snipefleet.Registry
	// ttl is the platform's bound on how long callers keep addresses.
	ttl  func() time.Duration
	open atomic.Bool
}

// Addresses implements platform.AddressBook.
func (b *book) Addresses(caller snipefleet.Place) ([]string, time.Duration) {
	members := b.live()
	near := filter(members, func(m *snipefleet.Member) bool { return m.Place.Domain == caller.Domain })
	if len(near) == 0 {
		near = filter(members, func(m *snipefleet.Member) bool { return m.Place.Region == caller.Region })
	}
	if len(near) == 0 {
		near = filter(members, func(*snipefleet.Member) bool { return true })
	}
	return near[:min(len(near), maxAddresses)], min(addressTTL, b.ttl())
}

// live returns the fronts that take callers. The own entry in the store can lag
// behind what the front knows of itself.
func (b *book) live() []snipefleet.Member {
	var out []snipefleet.Member
	if b.open.Load() {
		out = append(out, b.self)
	}
	for _, m := range b.fleet.View().Members() {
		if m.Name != b.self.Name {
			out = append(out, m)
		}
	}
	return out
}

func filter(members []snipefleet.Member, keep func(*snipefleet.Member) bool) []string {
	var out []string
	for i := range members {
		if keep(&members[i]) {
			out = append(out, members[i].Address)
		}
	}
	return out
}
