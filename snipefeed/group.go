package snipefeed

import (
	"cmp"
	"slices"

	"github.com/snipemoor/snipemoor/snipefleet"
)

const (
	// frontsPerWatcher is the maximum number of fronts of a group per watcher. It
	// bounds the sessions of a watcher.
	frontsPerWatcher = 32
	// minDomainGroup is the minimum number of fronts with which a failure domain
	// forms a group of its own, so that its fronts exchange their data inside it.
	minDomainGroup = 6
)

// Group identifies fronts that share watchers: those of a large failure domain,
// or those of the small failure domains of a region, for which the domain is empty.
type Group struct {
	region, domain string
}

// Groups is the division of the fronts into groups. It is immutable.
type Groups struct {
	// fronts holds the fronts of each group, its watchers first.
	fronts map[Group][]snipefleet.Member
}

// NewGroups divides the front self, whether it is a member or not, and the members
// that have a peer address into groups.
func NewGroups(self snipefleet.Member, members []snipefleet.Member) Groups {
	all := []snipefleet.Member{self}
	domainSizes := map[string]int{self.Place.Domain: 1}
	for i := range members {
		if members[i].Peer != "" && members[i].Name != self.Name {
			all = append(all, members[i])
			domainSizes[members[i].Place.Domain]++
		}
	}
	g := Groups{fronts: make(map[Group][]snipefleet.Member)}
	for i := range all {
		key := Group{region: all[i].Place.Region}
		if domainSizes[all[i].Place.Domain] >= minDomainGroup {
			key.domain = all[i].Place.Domain
		}
		g.fronts[key] = append(g.fronts[key], all[i])
	}
	for key, fronts := range g.fronts {
		slices.SortFunc(fronts, func(a, b snipefleet.Member) int {
			return cmp.Compare(snipefleet.RendezvousWeight(b.Name, key.region), snipefleet.RendezvousWeight(a.Name, key.region))
		})
	}
	return g
}

// At returns the group to which the fronts of a place belong.
func (g Groups) At(place snipefleet.Place) Group {
	if key := (Group{place.Region, place.Domain}); g.fronts[key] != nil {
		return key
	}
	return Group{region: place.Region}
}

// Nearest returns the group of the fronts of a place, or if there are none, one
// that rendezvous hashing selects for the place among those of its region or else
// among all.
func (g Groups) Nearest(place snipefleet.Place) Group {
	own := g.At(place)
	if g.fronts[own] != nil {
		return own
	}
	var best Group
	var bestWeight uint64
	bestInRegion, found := false, false
	for key := range g.fronts {
		inRegion := key.region == place.Region
		if bestInRegion && !inRegion {
			continue
		}
		weight := snipefleet.RendezvousWeight(key.region+"/"+key.domain, place.Domain)
		if !found || inRegion && !bestInRegion || weight > bestWeight {
			best, bestWeight, bestInRegion, found = key, weight, inRegion, true
		}
	}
	return best
}

// Fronts returns the fronts of a group. The slice must not be modified.
func (g Groups) Fronts(key Group) []snipefleet.Member { return g.fronts[key] }

// Watchers returns the fronts of a group that watch the store. The slice must not
// be modified.
func (g Groups) Watchers(key Group) []snipefleet.Member {
	fronts := g.fronts[key]
	return fronts[:(len(fronts)+frontsPerWatcher-1)/frontsPerWatcher]
}

// WatchersOfOthers returns the watchers of all groups but one.
func (g Groups) WatchersOfOthers(own Group) []snipefleet.Member {
	var out []snipefleet.Member
	for key := range g.fronts {
		if key != own {
			out = append(out, g.Watchers(key)...)
		}
	}
	return out
}
