package snipeplacement

import (
	"cmp"
	"math"
	"slices"
	"time"

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

// rankingCache caches the best targets of objects until the targets of the service,
// their rate limits or the fronts change.
type rankingCache struct {
	own      snipefleet.Place
	limits   Limits
	services map[string]*serviceRankings
	// serviceTime returns the mean service time of the targets of a service.
	serviceTime func(targets []*snipefleet.Target) time.Duration
}

// serviceRankings holds the rankings of one service.
type serviceRankings struct {
	targets []*snipefleet.Target
	members []snipefleet.Member
	// slots are the usable slots of the targets, and shares the shares of this front in
	// them. They hold for limitsVersion.
	slots, shares []float64
	limitsVersion uint64
	best          map[rankingKey][]*snipefleet.Target
	// smallBodyWeights and largeBodyWeights are the weights of the targets for
	// requests of that kind. They are nil until they are needed.
	smallBodyWeights, largeBodyWeights []float64
	// demand outlives the rankings.
	demand *demand
}

// best returns the best targets of an object in order, at most cachedTargets.
func (r *rankingCache) best(v *snipefleet.View, key rankingKey) []*snipefleet.Target {
	return r.bestOf(r.service(v, key.service), v, key)
}

// bestOf returns the best targets of an object of the service s.
func (r *rankingCache) bestOf(s *serviceRankings, v *snipefleet.View, key rankingKey) []*snipefleet.Target {
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
// other targets or fronts than before, if rate limits of targets have changed, or if
// maxCachedRankings is reached.
func (r *rankingCache) service(v *snipefleet.View, name string) *serviceRankings {
	targets, members, version := v.Targets(name), v.Members(), r.limits.Version()
	s := r.services[name]
	if s != nil && snipefleet.SameSlice(s.targets, targets) && snipefleet.SameSlice(s.members, members) && s.limitsVersion == version && len(s.best) < maxCachedRankings {
		return s
	}
	recent := &demand{}
	if s != nil {
		recent = s.demand
	}
	s = &serviceRankings{targets: targets, members: members, limitsVersion: version, best: make(map[rankingKey][]*snipefleet.Target), demand: recent}
	s.slots, s.shares = r.usableSlots(targets)
	if r.services == nil {
		r.services = make(map[string]*serviceRankings)
	}
	r.services[name] = s
	return s
}

// excessDemand is the factor by which the requests that are assigned to a limited target
// exceed its limit, so that the limit is used in spite of variations of the demand.
const excessDemand = 1.3

// usableSlots returns the number of slots of each target that all fronts together can
// keep busy, and the share of this front in them if not all fronts send to the target,
// or else -1. By Little's law, a rate limit keeps as many slots busy as the product of
// the limit and the service time.
func (r *rankingCache) usableSlots(targets []*snipefleet.Target) (slots, shares []float64) {
	slots, shares = make([]float64, len(targets)), make([]float64, len(targets))
	var serviceTime time.Duration
	for i, t := range targets {
		slots[i], shares[i] = float64(max(t.Slots, 1)), -1
		limit, limited := r.limits.Share(t)
		if !limited {
			continue
		}
		if serviceTime == 0 {
			serviceTime = r.serviceTime(targets)
		}
		slots[i] = min(slots[i], excessDemand*limit.PerSecond*serviceTime.Seconds())
		shares[i] = limit.Share
	}
	return slots, shares
}

// weights returns the weights of the targets for a kind of request.
func (s *serviceRankings) weights(own snipefleet.Place, v *snipefleet.View, key rankingKey) []float64 {
	switch {
	case key.largeBody && s.largeBodyWeights == nil:
		s.largeBodyWeights = s.weighByDomain(own, newLocalities(s.targets, s.slots, v.Members(), own, true))
	case !key.largeBody && s.smallBodyWeights == nil:
		s.smallBodyWeights = s.weighByRegion(own, newLocalities(s.targets, s.slots, v.Members(), own, false))
	}
	if key.largeBody {
		return s.largeBodyWeights
	}
	return s.smallBodyWeights
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
func (s *serviceRankings) weighByRegion(own snipefleet.Place, l localities) []float64 {
	weights := make([]float64, len(s.targets))
	ownWeight := l.ownWeight(own.Region)
	for i, t := range s.targets {
		weights[i] = s.slots[i] * otherRegionWeight
		if t.Place.Region == own.Region {
			weights[i] = s.slots[i] * ownWeight
		}
		if s.shares[i] >= 0 {
			weights[i] *= s.shares[i] * s.sumOfRegionWeights(t.Place.Region)
		}
	}
	return weights
}

// sumOfRegionWeights returns the sum over all fronts of the weight of a slot in a
// region. A front with a share in a limited target takes its part of what all fronts
// would send.
func (s *serviceRankings) sumOfRegionWeights(region string) float64 {
	sum := 0.0
	for i := range s.members {
		if s.members[i].Place.Region == region {
			sum++
		} else {
			sum += otherRegionWeight
		}
	}
	return max(sum, 1)
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
func (s *serviceRankings) weighByDomain(own snipefleet.Place, l localities) []float64 {
	weights := make([]float64, len(s.targets))
	ownSum, otherSum := 0.0, 0.0
	for i, t := range s.targets {
		slots := s.slots[i]
		if s.shares[i] == 0 {
			continue
		}
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
	for i, t := range s.targets {
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
