package snipeplacement

import (
	"math"

	"github.com/snipemoor/snipemoor/snipefleet"
)

// A cell is the set of targets that a front prefers: those of its region, or for
// requests with large bodies those of its failure domain.

// cellOf returns the cell of a place for requests that are bulky or not.
func cellOf(p snipefleet.Place, bulky bool) string {
	if bulky {
		return p.Domain
	}
	return p.Region
}

// cells describes how capacity and demand spread over cells. Demand is taken to
// be equal in all failure domains with a front.
type cells struct {
	// capacity and demand are parts of the whole by cell.
	capacity, demand map[string]float64
	slots            map[string]float64
}

func newCells(v *snipefleet.View, service string, own snipefleet.Place, bulky bool) cells {
	c := cells{capacity: map[string]float64{}, demand: map[string]float64{}, slots: map[string]float64{}}
	total := 0.0
	for _, t := range v.Targets(service) {
		c.slots[cellOf(t.Place, bulky)] += float64(t.Slots)
		total += float64(t.Slots)
	}
	domains := map[string]string{own.Domain: cellOf(own, bulky)}
	for _, m := range v.Members() {
		domains[m.Place.Domain] = cellOf(m.Place, bulky)
	}
	for _, cell := range domains {
		c.demand[cell] += 1 / float64(len(domains))
	}
	for cell, slots := range c.slots {
		c.capacity[cell] = slots / total
	}
	return c
}

// share returns the part of its own demand that a cell can take if all cells are
// used alike.
func (c cells) share(cell string) float64 {
	if c.demand[cell] == 0 {
		return 1
	}
	return min(c.capacity[cell]/c.demand[cell], 1)
}

// keep returns the weight of a slot of the own cell. A cell with less capacity
// than demand passes on more of its objects; the root accounts for those that it
// receives from the others.
func (c cells) keep(cell string) float64 { return math.Sqrt(c.share(cell)) }

// spare returns what the other cells have beyond their own demand, as a weight of
// one slot of a cell. A cell without such capacity has a little weight, so that it
// is there when all others are gone.
func (c cells) spare(cell string) float64 {
	const least = 0.05
	return max(c.capacity[cell]-c.demand[cell], least*c.capacity[cell]) / c.slots[cell]
}
