package snipeplacement

import (
	"cmp"
	"math"
	"slices"
	"unsafe"

	"github.com/snipemoor/snipemoor/snipefleet"
)

// maxCachedRankings bounds the cached rankings of a service. When the cache is full,
// all are dropped.
const maxCachedRankings = 4096

// rankingKey identifies the ranking of an object.
type rankingKey struct {
	service, object string
	largeBody       bool
}

// cachedTargets is the length of a cached ranking. The full ranking is computed only
// for a request that finds most of these targets cold or suspect.
const cachedTargets = 8

// rankingCache caches the best targets of objects until the targets of the service or
// the fronts change.
type rankingCache struct {
	own      snipefleet.Place
	services map[string]*serviceRankings
}

// serviceRankings holds the rankings of one service.
type serviceRankings struct {
	targets []*snipefleet.Target
	members []snipefleet.Member
	best    map[rankingKey][]*snipefleet.Target
	// smallBodyWeights and largeBodyWeights are the weights of the targets for
	// requests of that kind. They are nil until they are needed.
	smallBodyWeights, largeBodyWeights []float64
}

// best returns the best targets of an object in order, at most cachedTargets.
func (r *rankingCache) best(v *snipefleet.View, key rankingKey) []*snipefleet.Target {
	s := r.service(v, key.service)
	found := s.best[key]
	if found == nil {
		found = rankTargets(s.targets, s.weights(r.own, v, key), key.object, cachedTargets)
		s.best[key] = found
	}
	return found
}

// all returns the ranking of all targets of an object.
func (r *rankingCache) all(v *snipefleet.View, key rankingKey) []*snipefleet.Target {
	s := r.service(v, key.service)
	return rankTargets(s.targets, s.weights(r.own, v, key), key.object, len(s.targets))
}

// service returns the rankings of a service. They are created anew if the view has
// other targets or fronts than before, or if maxCachedRankings is reached.
func (r *rankingCache) service(v *snipefleet.View, name string) *serviceRankings {
	targets, members := v.Targets(name), v.Members()
	s := r.services[name]
	if s != nil && sameSlice(s.targets, targets) && sameSlice(s.members, members) && len(s.best) < maxCachedRankings {
		return s
	}
	s = &serviceRankings{targets: targets, members: members, best: make(map[rankingKey][]*snipefleet.Target)}
	if r.services == nil {
		r.services = make(map[string]*serviceRankings)
	}
	r.services[name] = s
	return s
}

// weights returns the weights of the targets for a kind of request.
func (s *serviceRankings) weights(own snipefleet.Place, v *snipefleet.View, key rankingKey) []float64 {
	switch {
	case key.largeBody && s.largeBodyWeights == nil:
		s.largeBodyWeights = weighByDomain(own, s.targets, newLocalities(v, key.service, own, true))
	case !key.largeBody && s.smallBodyWeights == nil:
		s.smallBodyWeights = weighByRegion(own, s.targets, newLocalities(v, key.service, own, false))
	}
	if key.largeBody {
		return s.largeBodyWeights
	}
	return s.smallBodyWeights
}

// sameSlice reports whether two slices share their memory. Views are immutable, so
// their contents are then equal.
func sameSlice[T any](a, b []T) bool {
	return len(a) == len(b) && unsafe.SliceData(a) == unsafe.SliceData(b)
}

// rankedTarget is a target with its distance to an object: the logarithm of the
// rendezvous hash over the weight, with the sign reversed. A smaller distance is
// better.
type rankedTarget struct {
	target   *snipefleet.Target
	distance float64
}

// rankTargets returns the n targets with the smallest distance to an object, in
// order, by weighted rendezvous hashing: the share of the objects for which a target
// is the first is proportional to its weight.
func rankTargets(targets []*snipefleet.Target, weights []float64, object string, n int) []*snipefleet.Target {
	list := make([]rankedTarget, 0, min(n, len(targets)))
	for i, t := range targets {
		list = insertRanked(list, rankedTarget{t, -math.Log(uniformHash(t.ID, object)) / weights[i]}, n)
	}
	out := make([]*snipefleet.Target, len(list))
	for i := range list {
		out[i] = list[i].target
	}
	return out
}

// insertRanked inserts a target into a list that is sorted by distance and keeps at
// most n targets.
func insertRanked(list []rankedTarget, t rankedTarget, n int) []rankedTarget {
	if len(list) == n && t.distance >= list[n-1].distance {
		return list
	}
	at, _ := slices.BinarySearchFunc(list, t.distance, func(e rankedTarget, d float64) int { return cmp.Compare(e.distance, d) })
	if len(list) == n {
		list = list[:n-1]
	}
	return slices.Insert(list, at, t)
}

// otherRegionWeight is the weight of a slot in another region. A slot in the own
// region has weight 1 if the region has enough capacity. Objects are distributed
// over all regions, because the regions have their peaks at different times.
const otherRegionWeight = 0.25

// weighByRegion returns the weights of the targets for small bodies, which prefer the
// own region as far as its capacity suffices.
func weighByRegion(own snipefleet.Place, targets []*snipefleet.Target, l localities) []float64 {
	weights := make([]float64, len(targets))
	ownWeight := l.ownWeight(own.Region)
	for i, t := range targets {
		weights[i] = float64(max(t.Slots, 1)) * otherRegionWeight
		if t.Place.Region == own.Region {
			weights[i] = float64(max(t.Slots, 1)) * ownWeight
		}
	}
	return weights
}

const (
	// otherRegionLargeBodyWeight is the factor for slots in another region with large
	// bodies. The factor for another failure domain of the own region is 1.
	otherRegionLargeBodyWeight = 0.1
	// maxOwnDomainShare bounds the share of the objects with large bodies that stays
	// in the own failure domain, so that each object has a further target elsewhere.
	maxOwnDomainShare = 0.99
)

// weighByDomain returns the weights of the targets for large bodies. The own failure
// domain gets the share of the objects that its capacity can serve. The rest goes to
// failure domains with spare capacity, preferably in the own region.
func weighByDomain(own snipefleet.Place, targets []*snipefleet.Target, l localities) []float64 {
	weights := make([]float64, len(targets))
	ownSum, otherSum := 0.0, 0.0
	for i, t := range targets {
		slots := float64(max(t.Slots, 1))
		switch {
		case t.Place.Domain == own.Domain:
			weights[i] = slots
			ownSum += slots
			continue
		case t.Place.Region == own.Region:
			weights[i] = slots * l.spareWeight(t.Place.Domain)
		default:
			weights[i] = slots * l.spareWeight(t.Place.Domain) * otherRegionLargeBodyWeight
		}
		otherSum += weights[i]
	}
	ownShare := min(l.servableShare(own.Domain), maxOwnDomainShare)
	if ownSum == 0 || otherSum == 0 || ownShare == 0 {
		return weights
	}
	scale := ownShare / (1 - ownShare) * otherSum / ownSum
	for i, t := range targets {
		if t.Place.Domain == own.Domain {
			weights[i] *= scale
		}
	}
	return weights
}

// uniformHash hashes a name and an object to a number that is uniform in (0, 1).
func uniformHash(name, object string) float64 {
	const bits = 53
	return (float64(snipefleet.RendezvousWeight(name, object)>>(64-bits)) + 0.5) / (1 << bits)
}
