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
	homeFirst := h.usable && (h.ownShare >= 1 || p.random.Float64() < h.ownShare)
	if homeFirst {
		buffer = p.appendPlace(buffer, i, i)
	}
	homePending := h.usable && !homeFirst
	alts := &p.alternatives[i]
	for _, t := range alts.tiers {
		if len(buffer) == cap(buffer) {
			break
		}
		drawn, total := p.drawPlace(alts, t)
		if drawn < 0 {
			continue
		}
		// A tier whose total weight is below 1 receives only that share of the
		// requests.
		if total < 1 && len(buffer) == start && p.random.Float64() >= total {
			continue
		}
		buffer = p.appendPlace(buffer, i, int(alts.places[drawn]))
		if homePending {
			buffer = p.appendPlace(buffer, i, i)
			homePending = false
		}
		buffer = p.appendWeighted(buffer, alts, t, i, drawn)
	}
	if homePending {
		buffer = p.appendPlace(buffer, i, i)
	}
	if len(buffer) == start {
		// The home place is not usable and no alternative was drawn. Trying the
		// nearest ones is safe, since their owners refuse what they cannot serve.
		buffer = p.appendNearest(buffer, alts, i)
	}
	return p.appendUnweighted(buffer, start, alts, i)
}

// appendUnweighted appends places of the home region that are not in the plan
// yet, whatever their weight, nearest first. Weights lag by seconds: a place
// that reported no spare slots can have one now, and its owner refuses if it
// has none.
func (p *Planner) appendUnweighted(buffer []PlaceCandidate, start int, alts *alternatives, home int) []PlaceCandidate {
	region := p.places[home].place.Region
	added := 0
	for _, o := range alts.places {
		pl := &p.places[o].place
		if added == maxUnweighted || len(buffer) == cap(buffer) || pl.Region != region {
			break
		}
		if containsPlace(buffer[start:], pl.Name) {
			continue
		}
		buffer = p.appendPlace(buffer, home, int(o))
		added++
	}
	return buffer
}

func containsPlace(plan []PlaceCandidate, place string) bool {
	return slices.ContainsFunc(plan, func(c PlaceCandidate) bool { return c.Place == place })
}

func (p *Planner) appendNearest(buffer []PlaceCandidate, alts *alternatives, home int) []PlaceCandidate {
	for _, o := range alts.places[:min(maxUnweighted, len(alts.places))] {
		buffer = p.appendPlace(buffer, home, int(o))
	}
	return buffer
}

// appendWeighted appends places of the tier that have weight, nearest first,
// except the one that was drawn already.
func (p *Planner) appendWeighted(buffer []PlaceCandidate, alts *alternatives, t tier, home, drawn int) []PlaceCandidate {
	const maxPerTier = 2
	added := 0
	for n := t.from; n < t.to && added < maxPerTier; n++ {
		o := int(alts.places[n])
		if n == drawn || p.places[o].spillWeight <= 0 {
			continue
		}
		buffer = p.appendPlace(buffer, home, o)
		added++
	}
	return buffer
}

// drawPlace draws a place of the tier with a probability in proportion to its
// weight times its delay factor. It returns its position in alts.places, or -1
// if no place has weight, and the sum of the weights without delay factors.
func (p *Planner) drawPlace(alts *alternatives, t tier) (drawn int, total float64) {
	weighted := 0.0
	for n := t.from; n < t.to; n++ {
		spillWeight := p.places[alts.places[n]].spillWeight
		total += spillWeight
		weighted += spillWeight * float64(alts.delayFactor[n])
	}
	if weighted <= 0 {
		return -1, 0
	}
	drawn = -1
	draw := p.random.Float64() * weighted
	for n := t.from; n < t.to; n++ {
		w := p.places[alts.places[n]].spillWeight * float64(alts.delayFactor[n])
		if w <= 0 {
			continue
		}
		drawn = n
		draw -= w
		if draw < 0 {
			break
		}
	}
	return drawn, total
}

func (p *Planner) appendPlace(buffer []PlaceCandidate, home, i int) []PlaceCandidate {
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
