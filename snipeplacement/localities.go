package snipeplacement

import (
	"math"

	"github.com/snipemoor/snipemoor/snipefleet"
)

// A locality is the unit within which a front prefers targets: a region, or for
// requests with large bodies a failure domain.

// localityOf returns the locality of a place for requests with large or small bodies.
func localityOf(p snipefleet.Place, largeBody bool) string {
	if largeBody {
		return p.Domain
	}
	return p.Region
}

// localities holds the distribution of capacity and demand over localities. Demand is
// assumed to be equal in all failure domains with a front.
type localities struct {
	// capacity and demand are the shares of the total, in [0, 1], by locality.
	capacity, demand map[string]float64
	// slots is the number of slots by locality.
	slots map[string]float64
}

// newLocalities computes the distribution of a service's targets, with the usable slots
// of each, and of the fronts.
func newLocalities(targets []*snipefleet.Target, slots []float64, members []snipefleet.Member, own snipefleet.Place, largeBody bool) localities {
	l := localities{capacity: map[string]float64{}, demand: map[string]float64{}, slots: map[string]float64{}}
	total := 0.0
	for i, t := range targets {
		l.slots[localityOf(t.Place, largeBody)] += slots[i]
		total += slots[i]
	}
	domains := map[string]string{own.Domain: localityOf(own, largeBody)}
	for _, m := range members {
		domains[m.Place.Domain] = localityOf(m.Place, largeBody)
	}
	for _, locality := range domains {
		l.demand[locality] += 1 / float64(len(domains))
	}
	for locality, slots := range l.slots {
		l.capacity[locality] = slots / total
	}
	return l
}

// servableShare returns the share of its own demand, in [0, 1], that a locality can
// serve if the utilization of all localities is equal.
func (l localities) servableShare(locality string) float64 {
	if l.demand[locality] == 0 {
		return 1
	}
	return min(l.capacity[locality]/l.demand[locality], 1)
}

// ownWeight returns the weight of a slot in the own locality. A locality with less
// capacity than demand sends more of its objects to others; the square root
// compensates for the objects that it receives from them.
func (l localities) ownWeight(locality string) float64 { return math.Sqrt(l.servableShare(locality)) }

// spareWeight returns the weight of a slot in another locality: its capacity beyond
// its own demand, divided by its slots. A locality without spare capacity has the
// weight of 5 % of its capacity, so that it is used when all others are gone.
func (l localities) spareWeight(locality string) float64 {
	const minSpare = 0.05
	return max(l.capacity[locality]-l.demand[locality], minSpare*l.capacity[locality]) / l.slots[locality]
}
