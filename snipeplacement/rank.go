package snipeplacement

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/snipemoor/snipemoor/snipefleet"
)

// maxCachedRanks bounds the rankings that are kept; the cache is emptied when it
// is full.
const maxCachedRanks = 4096

// rankKey names the object of a ranking.
type rankKey struct {
	service, object string
	bulky           bool
}

// ranks caches the order of targets for objects, as long as the view stays.
type ranks struct {
	own    snipefleet.Place
	view   *snipefleet.View
	orders map[rankKey][]*snipefleet.Target
}

// order returns the targets of a service in the order in which the object
// prefers them.
// Requests with large bodies keep to the own failure domain.
func (r *ranks) order(v *snipefleet.View, service, object string, bulky bool) []*snipefleet.Target {
	if r.view != v || len(r.orders) >= maxCachedRanks {
		r.view = v
		r.orders = make(map[rankKey][]*snipefleet.Target)
	}
	key := rankKey{service, object, bulky}
	order, ok := r.orders[key]
	if !ok {
		near := plainWeights
		if bulky {
			near = bulkyWeights
		}
		order = rank(r.own, v.Targets(service), object, near)
		r.orders[key] = order
	}
	return order
}

// scored is a target with its distance to an object.
type scored struct {
	target   *snipefleet.Target
	distance float64
}

// rank orders targets by weighted rendezvous hashing. The share of objects that
// have a target first is proportional to its weight.
func rank(own snipefleet.Place, targets []*snipefleet.Target, object string, near weights) []*snipefleet.Target {
	list := make([]scored, len(targets))
	for i, t := range targets {
		list[i] = scored{t, -math.Log(uniform(t.ID, object)) / near.of(own, t)}
	}
	slices.SortFunc(list, func(a, b scored) int { return cmp.Compare(a.distance, b.distance) })
	order := make([]*snipefleet.Target, len(list))
	for i, s := range list {
		order[i] = s.target
	}
	return order
}

// uniform maps a target and an object to a number in (0, 1).
func uniform(id, object string) float64 {
	var d xxhash.Digest
	d.Reset()
	// Writes to a digest do not fail.
	_, _ = d.WriteString(id)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(object)
	const bits = 53
	return (float64(d.Sum64()>>(64-bits)) + 0.5) / (1 << bits)
}

// weights are the weights of a target's slots by its distance.
type weights struct{ ownDomain, ownRegion, otherRegion float64 }

// A target in another region costs a round trip and bytes between regions. Bytes
// between failure domains count for large bodies only.
var (
	plainWeights = weights{ownDomain: 1, ownRegion: 1, otherRegion: 0.25}      //nolint:gochecknoglobals // a constant
	bulkyWeights = weights{ownDomain: 1, ownRegion: 0.05, otherRegion: 0.0005} //nolint:gochecknoglobals // a constant
)

func (w weights) of(own snipefleet.Place, t *snipefleet.Target) float64 {
	slots := float64(max(t.Slots, 1))
	switch {
	case t.Place.Domain == own.Domain:
		return slots * w.ownDomain
	case t.Place.Region == own.Region:
		return slots * w.ownRegion
	default:
		return slots * w.otherRegion
	}
}
