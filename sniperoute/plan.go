package sniperoute

import (
	"slices"
)

// Plan appends to buffer the places for a request whose home place is given, in
// the order in which they are to be tried, and returns the extended slice. It
// appends at most cap(buffer)-len(buffer) and does not allocate. The plan is
// empty if home is unknown.
func (p *Planner) Plan(home string, buffer []PlaceCandidate) []PlaceCandidate {
	i, ok := p.index[home]
	if !ok {
		return buffer
	}
	h := &p.places[i]
	start := len(buffer)
	homeFirst := h.usable && (h.keep >= 1 || p.random.Float64() < h.keep)
	if homeFirst {
		buffer = p.add(buffer, i, i)
	}
	homePending := h.usable && !homeFirst
	plan := &p.homes[i]
	for _, t := range plan.tiers {
		if len(buffer) == cap(buffer) {
			break
		}
		picked, total := p.pick(plan, t)
		if picked < 0 {
			continue
		}
		// A tier with little weight takes only that share of the requests.
		if total < 1 && len(buffer) == start && p.random.Float64() >= total {
			continue
		}
		buffer = p.add(buffer, i, int(plan.others[picked]))
		if homePending {
			buffer = p.add(buffer, i, i)
			homePending = false
		}
		buffer = p.addRest(buffer, plan, t, i, picked)
	}
	if homePending {
		buffer = p.add(buffer, i, i)
	}
	if len(buffer) == start {
		// Neither the home place nor the drawn weights gave a place. The nearest
		// ones are tried, since their owners refuse what they cannot serve.
		buffer = p.addNearest(buffer, plan, i)
	}
	return p.addRegion(buffer, start, plan, i)
}

// addRegion appends places of the home region that carry no weight and are not
// in the plan yet, nearest first. Weights lag by seconds: a place that reported
// no spare slots can have one now, and its owner refuses if it has none.
func (p *Planner) addRegion(buffer []PlaceCandidate, start int, plan *homePlan, home int) []PlaceCandidate {
	region := p.places[home].place.Region
	added := 0
	for _, o := range plan.others {
		pl := &p.places[o].place
		if added == withoutWeight || len(buffer) == cap(buffer) || pl.Region != region {
			break
		}
		if planned(buffer[start:], pl.Name) {
			continue
		}
		buffer = p.add(buffer, home, int(o))
		added++
	}
	return buffer
}

func planned(plan []PlaceCandidate, place string) bool {
	return slices.ContainsFunc(plan, func(c PlaceCandidate) bool { return c.Place == place })
}

func (p *Planner) addNearest(buffer []PlaceCandidate, plan *homePlan, home int) []PlaceCandidate {
	for _, o := range plan.others[:min(withoutWeight, len(plan.others))] {
		buffer = p.add(buffer, home, int(o))
	}
	return buffer
}

// addRest appends the other places of the tier that have weight, nearest first.
func (p *Planner) addRest(buffer []PlaceCandidate, plan *homePlan, t tier, home, picked int) []PlaceCandidate {
	const perTier = 2
	added := 0
	for n := t.from; n < t.to && added < perTier; n++ {
		o := int(plan.others[n])
		if n == picked || p.places[o].accept <= 0 {
			continue
		}
		buffer = p.add(buffer, home, o)
		added++
	}
	return buffer
}

// pick draws a place of the tier in proportion to weight and delay factor. It
// returns its position in others, or -1, and the total weight before delay.
func (p *Planner) pick(plan *homePlan, t tier) (picked int, total float64) {
	weighted := 0.0
	for n := t.from; n < t.to; n++ {
		accept := p.places[plan.others[n]].accept
		total += accept
		weighted += accept * float64(plan.factor[n])
	}
	if weighted <= 0 {
		return -1, 0
	}
	picked = -1
	draw := p.random.Float64() * weighted
	for n := t.from; n < t.to; n++ {
		w := p.places[plan.others[n]].accept * float64(plan.factor[n])
		if w <= 0 {
			continue
		}
		picked = n
		draw -= w
		if draw < 0 {
			break
		}
	}
	return picked, total
}

func (p *Planner) add(buffer []PlaceCandidate, home, i int) []PlaceCandidate {
	if len(buffer) == cap(buffer) {
		return buffer
	}
	pl := &p.places[i].place
	return append(buffer, PlaceCandidate{
		Place:      pl.Name,
		Region:     pl.Region,
		NeedsShift: i != home,
		NeedsLink:  pl.Region != p.region,
	})
}
