package snipefeed

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipetime"
)

const (
	// frontsPerWatcher is the number of fronts of a group for which one watches the
	// store. It bounds the sessions of a watcher.
	frontsPerWatcher = 32
	// domainFronts is the number of fronts from which on a failure domain is a
	// group of its own, so that what its fronts tell each other stays inside it.
	domainFronts = 6
	// failedPause is how long a front is not asked after it did not answer, about
	// the time in which its entry lapses if it is gone.
	failedPause = 3 * time.Second
	// stalePause is how long a front is not asked after it answered without having
	// heard from the store lately.
	stalePause = 500 * time.Millisecond
)

// Choice is the source to use next.
type Choice struct {
	// Peer is the address of the front to ask, or empty for the store.
	Peer string
	// Watches means that this front is one of those that watch the store, and
	// Serves that other fronts ask it.
	Watches, Serves bool
	// Substitute means that the front would ask the store if that answered.
	Substitute bool
}

// Plan decides from which source a front follows the store. It is not safe for
// concurrent use.
type Plan struct {
	self  snipefleet.Member
	seeds []string
	// paused holds until when a front is not asked, by address.
	paused map[string]snipetime.Instant
	// storeAfter is when the store may be asked again after it did not answer, and
	// substituteUntil is until when another front stands in for it.
	storeAfter, substituteUntil snipetime.Instant
}

// NewPlan returns the plan of a front. seeds are addresses of fronts that it asks
// before it knows any member.
func NewPlan(self snipefleet.Member, seeds []string) *Plan {
	return &Plan{self: self, seeds: seeds, paused: make(map[string]snipetime.Instant)}
}

// Next returns the source to use now, given the members that are known.
func (p *Plan) Next(now snipetime.Instant, members []snipefleet.Member) Choice {
	groups := p.groups(members)
	own := groups[groupOf(groups, p.self.Place)]
	near := watchers(own)
	c := Choice{Watches: contains(near, p.self.Name)}
	c.Serves = c.Watches && len(own) > 1
	if !c.Watches {
		if peer := p.pick(now, near); peer != "" {
			c.Peer = peer
			return c
		}
	}
	if !now.Before(max(p.storeAfter, p.substituteUntil)) {
		return c
	}
	c.Peer = cmp.Or(p.pick(now, near), p.pick(now, allWatchers(groups)), p.seed(now))
	c.Substitute = c.Peer != ""
	return c
}

// StoreIn returns how long the store is not to be asked.
func (p *Plan) StoreIn(now snipetime.Instant) time.Duration { return max(p.storeAfter.Sub(now), 0) }

// StoreFailed notes that the store did not answer and is to be asked again after
// a delay.
func (p *Plan) StoreFailed(now snipetime.Instant, delay time.Duration) {
	p.storeAfter = now.Add(delay)
}

// Substituted notes that a front answered in place of the store, which is asked
// again after a delay, or as soon as no front can stand in for it.
func (p *Plan) Substituted(now snipetime.Instant, delay time.Duration) {
	p.substituteUntil = now.Add(delay)
}

// Failed notes that a front did not answer.
func (p *Plan) Failed(now snipetime.Instant, peer string) { p.pause(now, peer, failedPause) }

// Stale notes that a front has not heard from the store lately.
func (p *Plan) Stale(now snipetime.Instant, peer string) { p.pause(now, peer, stalePause) }

func (p *Plan) pause(now snipetime.Instant, peer string, d time.Duration) {
	maps.DeleteFunc(p.paused, func(_ string, until snipetime.Instant) bool { return !now.Before(until) })
	p.paused[peer] = now.Add(d)
}

// group names fronts that follow the store together: those of a large failure
// domain, or those of the small ones of a region.
type group struct {
	region, domain string
}

// groups divides the fronts that others can ask, this one included.
func (p *Plan) groups(members []snipefleet.Member) map[group][]snipefleet.Member {
	all := []snipefleet.Member{p.self}
	inDomain := map[string]int{p.self.Place.Domain: 1}
	for i := range members {
		if members[i].Peer != "" && members[i].Name != p.self.Name {
			all = append(all, members[i])
			inDomain[members[i].Place.Domain]++
		}
	}
	out := make(map[group][]snipefleet.Member)
	for i := range all {
		g := group{region: all[i].Place.Region}
		if inDomain[all[i].Place.Domain] >= domainFronts {
			g.domain = all[i].Place.Domain
		}
		out[g] = append(out[g], all[i])
	}
	return out
}

// groupOf returns the group of the fronts of a place.
func groupOf(groups map[group][]snipefleet.Member, at snipefleet.Place) group {
	if g := (group{at.Region, at.Domain}); groups[g] != nil {
		return g
	}
	return group{region: at.Region}
}

// watchers returns the fronts of a group that watch the store.
func watchers(fronts []snipefleet.Member) []snipefleet.Member {
	if len(fronts) == 0 {
		return nil
	}
	key := fronts[0].Place.Region
	slices.SortFunc(fronts, func(a, b snipefleet.Member) int {
		return cmp.Compare(snipefleet.Affinity(b.Name, key), snipefleet.Affinity(a.Name, key))
	})
	return fronts[:(len(fronts)+frontsPerWatcher-1)/frontsPerWatcher]
}

// allWatchers returns the watchers of all groups.
func allWatchers(groups map[group][]snipefleet.Member) []snipefleet.Member {
	var out []snipefleet.Member
	for _, fronts := range groups {
		out = append(out, watchers(fronts)...)
	}
	return out
}

// pick returns the address of one of the watchers that may be asked, or an empty
// one. Fronts spread over the watchers.
func (p *Plan) pick(now snipetime.Instant, watchers []snipefleet.Member) string {
	address, best := "", uint64(0)
	for i := range watchers {
		w := &watchers[i]
		if w.Name == p.self.Name || now.Before(p.paused[w.Peer]) {
			continue
		}
		if h := snipefleet.Affinity(p.self.Name, w.Name); address == "" || h > best {
			address, best = w.Peer, h
		}
	}
	return address
}

func (p *Plan) seed(now snipetime.Instant) string {
	for _, address := range p.seeds {
		if address != p.self.Peer && !now.Before(p.paused[address]) {
			return address
		}
	}
	return ""
}

func contains(members []snipefleet.Member, name string) bool {
	return slices.ContainsFunc(members, func(m snipefleet.Member) bool { return m.Name == name })
}
