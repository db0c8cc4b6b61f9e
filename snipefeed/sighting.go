package snipefeed

import (
	"cmp"
	"slices"
	"time"

	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipetime"
)

// sightingLife is how long the answer of another front counts in the choice between
// sources. A front that follows another one hears of it several times as often.
const sightingLife = time.Second

// sighting is what another front answered at an instant: its position, and when the
// store confirmed it. current means that its age is usual for a front that has the store.
type sighting struct {
	at        snipetime.Instant
	known     bool
	position  Position
	confirmed snipetime.Instant
	current   bool
}

// countsAt reports whether the answer is recent.
func (s sighting) countsAt(now snipetime.Instant) bool {
	return s.known && now.Sub(s.at) < sightingLife
}

// rankAt returns how well a front suits as a fallback by what it answered last: fronts
// that have the store come first, then those that have not been asked lately, then those
// that have lost the store. These include the fronts that follow this one, whose data
// cannot be newer.
func (s sighting) rankAt(now snipetime.Instant) int {
	const lost, unknown, current = 0, 1, 2
	switch {
	case !s.countsAt(now):
		return unknown
	case s.current:
		return current
	default:
		return lost
	}
}

// compareAt compares two fronts as fallbacks. Of two with the same rank, the one with the
// newer data precedes.
func (s sighting) compareAt(now snipetime.Instant, t sighting) int {
	byRank := cmp.Compare(s.rankAt(now), t.rankAt(now))
	if byRank != 0 || !s.countsAt(now) {
		return byRank
	}
	return cmp.Or(s.position.Compare(t.position), cmp.Compare(s.confirmed, t.confirmed))
}

// PeerAnswered records that the front at the address peer answered with data up to a
// position, which the store confirmed the given time ago. current means that this age is
// usual for a front that has the store.
func (p *SourceSelector) PeerAnswered(now snipetime.Instant, peer string, position Position, age time.Duration, current bool) {
	p.sightings[peer] = sighting{at: now, known: true, position: position, confirmed: now.Add(-age), current: current}
}

// pickFallback returns the address of the watcher that suits best in place of the store,
// or an empty string if none may be asked. Of those of which nothing is known, watchers of
// the own group precede, and rendezvous hashing spreads the fronts over the others.
func (p *SourceSelector) pickFallback(now snipetime.Instant, own, others []snipefleet.Member) string {
	address := ""
	for _, watchers := range [][]snipefleet.Member{own, others} {
		for _, candidate := range p.rankWatchers(now, watchers) {
			if address == "" || p.sightings[candidate].compareAt(now, p.sightings[address]) > 0 {
				address = candidate
			}
		}
	}
	return address
}

// rankWatchers returns the addresses of the watchers that may be asked, in the order of
// rendezvous hashing.
func (p *SourceSelector) rankWatchers(now snipetime.Instant, watchers []snipefleet.Member) []string {
	usable := slices.DeleteFunc(slices.Clone(watchers), func(w snipefleet.Member) bool {
		return w.Name == p.self.Name || now.Before(p.backoffUntil[w.Peer])
	})
	slices.SortFunc(usable, func(a, b snipefleet.Member) int {
		return cmp.Compare(snipefleet.RendezvousWeight(p.self.Name, b.Name), snipefleet.RendezvousWeight(p.self.Name, a.Name))
	})
	addresses := make([]string, len(usable))
	for i := range usable {
		addresses[i] = usable[i].Peer
	}
	return addresses
}
