package sniperoute

import (
	"math/rand/v2"
	"time"
)

// Relay is an entry instance that can serve relayed requests.
type Relay struct {
	Address, Place, Region string
	// Leaving instances are not selected.
	Leaving bool
}

type relayState struct {
	relay    Relay
	inFlight int
	latency  float64 // smoothed round trip in nanoseconds
	failed   bool
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

// Choose returns the address of an instance of the region other than exclude. Of
// three random ones it prefers, in this order, one whose last request did not
// fail, one in the given place, the one with the fewest relayed requests in
// flight, and the one with the lowest latency. It reports false if the region
// has no instance other than exclude.
func (r *Relays) Choose(region, place, exclude string) (string, bool) {
	const draws = 3
	all := r.byRegion[region]
	var best *relayState
	for range draws {
		if len(all) == 0 {
			break
		}
		s := all[r.random.IntN(len(all))]
		if s.relay.Address != exclude && (best == nil || s.betterThan(best, place)) {
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

// betterThan reports whether s is preferred to o for a request to place.
func (s *relayState) betterThan(o *relayState, place string) bool {
	if s.failed != o.failed {
		return o.failed
	}
	if inPlace := s.relay.Place == place; inPlace != (o.relay.Place == place) {
		return inPlace
	}
	if s.inFlight != o.inFlight {
		return s.inFlight < o.inFlight
	}
	return s.latency < o.latency
}

// Started counts a relayed request to address as in flight.
func (r *Relays) Started(address string) {
	if s := r.byAddress[address]; s != nil {
		s.inFlight++
	}
}

// Finished ends a request counted by Started; latency is its round trip. A
// failed instance is avoided until its next success or a call of Recovered.
func (r *Relays) Finished(address string, ok bool, latency time.Duration) {
	s := r.byAddress[address]
	if s == nil {
		return
	}
	s.inFlight = max(s.inFlight-1, 0)
	s.failed = !ok
	if ok {
		s.latency += smoothingFactor * (float64(latency) - s.latency)
	}
}

// Recovered clears the failure of address, whose session responds again.
func (r *Relays) Recovered(address string) {
	if s := r.byAddress[address]; s != nil {
		s.failed = false
	}
}
