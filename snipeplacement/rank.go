package snipeplacement

import (
	"cmp"
	"math"
	"slices"
	"unsafe"

	"github.com/snipemoor/snipemoor/snipefleet"
)

// maxCachedRanks bounds the rankings that are kept for a service; they are
// dropped when there are more.
const maxCachedRanks = 4096

// rankKey names the object of a ranking.
type rankKey struct {
	service, object string
	bulky           bool
}

// bestTargets is the number of targets of a ranking that are kept. Requests look at
// more only if most of these are cold or suspect.
const bestTargets = 8

// ranks caches the best targets of objects as long as the targets of a service and
// the fronts stay.
type ranks struct {
	own      snipefleet.Place
	services map[string]*serviceRanks
}

// serviceRanks holds the rankings of one service.
type serviceRanks struct {
	targets []*snipefleet.Target
	members []snipefleet.Member
	best    map[rankKey][]*snipefleet.Target
	// plain and bulky are the weights of the targets for requests of that kind, or
	// nil before they are needed.
	plain, bulky []float64
}

// of returns the best targets of an object, at most bestTargets.
func (r *ranks) of(v *snipefleet.View, key rankKey) []*snipefleet.Target {
	s := r.service(v, key.service)
	found := s.best[key]
	if found == nil {
		found = nearest(s.targets, s.weights(r.own, v, key), key.object, bestTargets)
		s.best[key] = found
	}
	return found
}

// all returns the ranking of all targets of an object.
func (r *ranks) all(v *snipefleet.View, key rankKey) []*snipefleet.Target {
	s := r.service(v, key.service)
	return nearest(s.targets, s.weights(r.own, v, key), key.object, len(s.targets))
}

func (r *ranks) service(v *snipefleet.View, name string) *serviceRanks {
	targets, members := v.Targets(name), v.Members()
	s := r.services[name]
	if s != nil && same(s.targets, targets) && same(s.members, members) && len(s.best) < maxCachedRanks {
		return s
	}
	s = &serviceRanks{targets: targets, members: members, best: make(map[rankKey][]*snipefleet.Target)}
	if r.services == nil {
		r.services = make(map[string]*serviceRanks)
	}
	r.services[name] = s
	return s
}

// weights returns the weights of the targets for a kind of request.
func (s *serviceRanks) weights(own snipefleet.Place, v *snipefleet.View, key rankKey) []float64 {
	switch {
	case key.bulky && s.bulky == nil:
		s.bulky = bulkyWeights(own, s.targets, newCells(v, key.service, own, true))
	case !key.bulky && s.plain == nil:
		s.plain = plainWeights(own, s.targets, newCells(v, key.service, own, false))
	}
	if key.bulky {
		return s.bulky
	}
	return s.plain
}

// same reports whether two slices are the same memory.
func same[T any](a, b []T) bool {
	return len(a) == len(b) && unsafe.SliceData(a) == unsafe.SliceData(b)
}

// scored is a target with its distance to an object.
type scored struct {
	target   *snipefleet.Target
	distance float64
}

// nearest returns the n targets that are nearest to an object, in order, by weighted
// rendezvous hashing: the part of the objects that have a target first is
// proportional to its weight.
func nearest(targets []*snipefleet.Target, weights []float64, object string, n int) []*snipefleet.Target {
	list := make([]scored, 0, min(n, len(targets)))
	for i, t := range targets {
		list = insert(list, scored{t, -math.Log(uniform(t.ID, object)) / weights[i]}, n)
	}
	out := make([]*snipefleet.Target, len(list))
	for i := range list {
		out[i] = list[i].target
	}
	return out
}

// insert puts a target into a list in order, of which at most n are kept.
func insert(list []scored, s scored, n int) []scored {
	if len(list) == n && s.distance >= list[n-1].distance {
		return list
	}
	at, _ := slices.BinarySearchFunc(list, s.distance, func(e scored, d float64) int { return cmp.Compare(e.distance, d) })
	if len(list) == n {
		list = list[:n-1]
	}
	return slices.Insert(list, at, s)
}

// otherRegionWeight is the weight of a slot in another region, where one in a
// region with enough capacity of its own has 1. Objects of a region spread over
// all of them, because the peaks of the regions come at different times.
const otherRegionWeight = 0.25

func plainWeights(own snipefleet.Place, targets []*snipefleet.Target, c cells) []float64 {
	weights := make([]float64, len(targets))
	keep := c.keep(own.Region)
	for i, t := range targets {
		weights[i] = float64(max(t.Slots, 1)) * otherRegionWeight
		if t.Place.Region == own.Region {
			weights[i] = float64(max(t.Slots, 1)) * keep
		}
	}
	return weights
}

const (
	// farBulkyWeight is the weight of a slot in another region for large bodies,
	// where one in another failure domain of the own region has 1.
	farBulkyWeight = 0.1
	// maxKept bounds the part of the objects with large bodies that stays in the
	// own failure domain, so that each has a further target elsewhere.
	maxKept = 0.99
)

// bulkyWeights keeps in the own failure domain what its capacity bears, and
// passes on the rest to where there is spare capacity, near first.
func bulkyWeights(own snipefleet.Place, targets []*snipefleet.Target, c cells) []float64 {
	weights := make([]float64, len(targets))
	inside, outside := 0.0, 0.0
	for i, t := range targets {
		slots := float64(max(t.Slots, 1))
		switch {
		case t.Place.Domain == own.Domain:
			weights[i] = slots
			inside += slots
			continue
		case t.Place.Region == own.Region:
			weights[i] = slots * c.spare(t.Place.Domain)
		default:
			weights[i] = slots * c.spare(t.Place.Domain) * farBulkyWeight
		}
		outside += weights[i]
	}
	kept := min(c.share(own.Domain), maxKept)
	if inside == 0 || outside == 0 || kept == 0 {
		return weights
	}
	scale := kept / (1 - kept) * outside / inside
	for i, t := range targets {
		if t.Place.Domain == own.Domain {
			weights[i] *= scale
		}
	}
	return weights
}

// uniform maps a name and an object to a number in (0, 1).
func uniform(name, object string) float64 {
	const bits = 53
	return (float64(snipefleet.Affinity(name, object)>>(64-bits)) + 0.5) / (1 << bits)
}
