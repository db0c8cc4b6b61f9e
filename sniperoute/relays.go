package sniperoute

import (
	"math/rand/v2"
	"time"
)

// Relay is an entry instance that can serve relayed requests.
type Relay struct {
	Address, Place, Region string
	// Leaving instances are not chosen.
	Leaving bool
}

type relayState struct {
	relay       Relay
	outstanding int
	latency     float64 // smoothed round trip in nanoseconds
	failed      bool
}

// Relays selects entry instances of other regions.
type Relays struct {
	random    *rand.Rand
	byRegion  map[string][]*relayState
	byAddress map[string]*relayState
}

// NewRelays returns a selector without instances. It panics if random is nil.
func NewRelays(random *rand.Rand) *Relays {
	if random == nil {
		panic("sniperoute: no random source")
	}
	return &Relays{random: random}
}

// SetInstances replaces the instances and keeps the state of those that remain.
func (r *Relays) SetInstances(relays []Relay) {
	byAddress := make(map[string]*relayState, len(relays))
	r.byRegion = map[string][]*relayState{}
	for _, relay := range relays {
		s := r.byAddress[relay.Address]
		if s == nil {
			s = &relayState{}
		}
		s.relay = relay
		byAddress[relay.Address] = s
		if !relay.Leaving {
			r.byRegion[relay.Region] = append(r.byRegion[relay.Region], s)
		}
	}
	r.byAddress = byAddress
}

// Choose returns the address of an instance of the region. Of three random
// ones it takes that with no recent failure, then in the wanted place, then
// with the fewest relayed requests under way, then with the lower latency. It
// reports false if the region has no instance besides exclude.
func (r *Relays) Choose(region, place, exclude string) (string, bool) {
	const draws = 3
	all := r.byRegion[region]
	var best *relayState
	for range draws {
		if len(all) == 0 {
			break
		}
		s := all[r.random.IntN(len(all))]
		if s.relay.Address != exclude && (best == nil || s.better(best, place)) {
			best = s
		}
	}
	if best == nil {
		for _, s := range all {
			if s.relay.Address != exclude {
				best = s
				break
			}
		}
	}
	if best == nil {
		return "", false
	}
	return best.relay.Address, true
}

func (s *relayState) better(o *relayState, place string) bool {
	if s.failed != o.failed {
		return o.failed
	}
	if here := s.relay.Place == place; here != (o.relay.Place == place) {
		return here
	}
	if s.outstanding != o.outstanding {
		return s.outstanding < o.outstanding
	}
	return s.latency < o.latency
}

// Started counts a relayed request to address.
func (r *Relays) Started(address string) {
	if s := r.byAddress[address]; s != nil {
		s.outstanding++
	}
}

// Finished ends a request counted by Started. A failure lasts until the next
// success, or until Recovered.
func (r *Relays) Finished(address string, ok bool, latency time.Duration) {
	s := r.byAddress[address]
	if s == nil {
		return
	}
	s.outstanding = max(s.outstanding-1, 0)
	s.failed = !ok
	if ok {
		s.latency += smoothing * (float64(latency) - s.latency)
	}
}

// Recovered clears the failure of address, for a session that answers again.
func (r *Relays) Recovered(address string) {
	if s := r.byAddress[address]; s != nil {
		s.failed = false
	}
}
