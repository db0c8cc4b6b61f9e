package snipeconfig

import (
	"cmp"
	"slices"
	"time"
)

// DefaultReservePercent is the part of each limit that stays unused, in percent,
// if the fleet document does not set it.
const DefaultReservePercent = 5

// Fleet describes the regions, failure domains, places and links of a deployment.
// It is immutable, and callers must not modify the slices that its methods
// return.
type Fleet struct {
	name               string
	regions            []*Region
	domains            []*Domain
	places             []*Place
	placeByName        map[string]*Place
	links              []Link
	reservePercent     float64
	positionsPerRegion int
	domainDelay        time.Duration
	clientDelay        time.Duration
}

// Region is a group of failure domains.
type Region struct {
	name    string
	domains []*Domain
}

// Name returns the name of the region.
func (r *Region) Name() string { return r.name }

// Domains returns the failure domains of the region, sorted by name.
func (r *Region) Domains() []*Domain { return r.domains }

// Domain is a failure domain, the set of places that can fail together.
type Domain struct {
	name   string
	region *Region
	places []*Place
}

// Name returns the name of the failure domain.
func (d *Domain) Name() string { return d.name }

// Region returns the region that the failure domain belongs to.
func (d *Domain) Region() *Region { return d.region }

// Places returns the places of the failure domain, sorted by name.
func (d *Domain) Places() []*Place { return d.places }

// Place is a zone or site that holds entry instances and targets.
type Place struct {
	name   string
	domain *Domain
}

// Name returns the name of the place.
func (p *Place) Name() string { return p.name }

// Domain returns the failure domain that the place belongs to.
func (p *Place) Domain() *Domain { return p.domain }

// Region returns the region that the place belongs to.
func (p *Place) Region() *Region { return p.domain.region }

// Link is the network connection of a pair of regions. The rate applies to each
// direction separately.
type Link struct {
	pair          regionPair
	mbitPerSecond float64
	oneWayDelay   time.Duration
}

// Regions returns the names of the two regions in ascending order.
func (l Link) Regions() (a, b string) { return l.pair.a, l.pair.b }

// MbitPerSecond returns the rate of each direction in 10^6 bits per second.
func (l Link) MbitPerSecond() float64 { return l.mbitPerSecond }

// BitsPerSecond returns the rate of each direction in bits per second.
func (l Link) BitsPerSecond() float64 { return l.mbitPerSecond * 1e6 }

// OneWayDelay returns the delay from one region to the other, which is the same
// in both directions.
func (l Link) OneWayDelay() time.Duration { return l.oneWayDelay }

// regionPair is an unordered pair of regions with a <= b.
type regionPair struct{ a, b string }

// newRegionPair returns the pair of two regions given in either order.
func newRegionPair(a, b string) regionPair { return regionPair{min(a, b), max(a, b)} }

// Name returns the name of the fleet.
func (f *Fleet) Name() string { return f.name }

// Regions returns all regions, sorted by name.
func (f *Fleet) Regions() []*Region { return f.regions }

// Domains returns all failure domains, sorted by name.
func (f *Fleet) Domains() []*Domain { return f.domains }

// Places returns all places, sorted by name.
func (f *Fleet) Places() []*Place { return f.places }

// Place returns the place with the given name.
func (f *Fleet) Place(name string) (*Place, bool) {
	p, ok := f.placeByName[name]
	return p, ok
}

// Region returns the region with the given name.
func (f *Fleet) Region(name string) (*Region, bool) {
	i, found := slices.BinarySearchFunc(f.regions, name, func(r *Region, name string) int {
		return cmp.Compare(r.name, name)
	})
	if !found {
		return nil, false
	}
	return f.regions[i], true
}

// Links returns the links of all pairs of regions, sorted by region names.
func (f *Fleet) Links() []Link { return f.links }

// Link returns the link between two regions in either order.
func (f *Fleet) Link(a, b string) (Link, bool) {
	pair := newRegionPair(a, b)
	i, found := slices.BinarySearchFunc(f.links, pair, func(l Link, pair regionPair) int {
		return comparePairs(l.pair, pair)
	})
	if !found {
		return Link{}, false
	}
	return f.links[i], true
}

func comparePairs(x, y regionPair) int {
	return cmp.Or(cmp.Compare(x.a, y.a), cmp.Compare(x.b, y.b))
}

// ReservePercent returns the part of each limit that stays unused, in percent,
// from 0.1 to 50.
func (f *Fleet) ReservePercent() float64 { return f.reservePercent }

// PositionsPerRegion returns the number of positions in each region, from 1 to
// 64. Each position owns an equal part of the region's limits, and the instance
// that holds the lease of the position may use it.
func (f *Fleet) PositionsPerRegion() int { return f.positionsPerRegion }

// DomainDelay returns the one-way delay between failure domains of a region.
func (f *Fleet) DomainDelay() time.Duration { return f.domainDelay }

// ClientDelay returns the one-way delay between a place and its clients.
func (f *Fleet) ClientDelay() time.Duration { return f.clientDelay }

// Delay returns the one-way delay between two places of the fleet: zero within a
// failure domain, DomainDelay within a region, else the delay of the link.
func (f *Fleet) Delay(a, b *Place) time.Duration {
	if a.domain == b.domain {
		return 0
	}
	if a.Region() == b.Region() {
		return f.domainDelay
	}
	link, _ := f.Link(a.Region().name, b.Region().name)
	return link.oneWayDelay
}

// newFleet converts a fleet document without faults.
func newFleet(w *fleetWire) *Fleet {
	f := &Fleet{
		name:               w.Name,
		placeByName:        map[string]*Place{},
		reservePercent:     DefaultReservePercent,
		positionsPerRegion: w.PositionsPerRegion,
		domainDelay:        w.DomainDelay,
		clientDelay:        w.ClientDelay,
	}
	if w.ReservePercent != nil {
		f.reservePercent = *w.ReservePercent
	}
	for _, name := range sortedKeys(w.Regions) {
		f.addRegion(name, w.Regions[name])
	}
	slices.SortFunc(f.domains, func(a, b *Domain) int { return cmp.Compare(a.name, b.name) })
	slices.SortFunc(f.places, func(a, b *Place) int { return cmp.Compare(a.name, b.name) })
	for _, l := range w.Links {
		f.links = append(f.links, Link{
			pair:          newRegionPair(l.Regions[0], l.Regions[1]),
			mbitPerSecond: l.MbitPerSecond,
			oneWayDelay:   l.OneWayDelay,
		})
	}
	slices.SortFunc(f.links, func(x, y Link) int { return comparePairs(x.pair, y.pair) })
	return f
}

// addRegion adds a region with its failure domains and places.
func (f *Fleet) addRegion(name string, w regionWire) {
	region := &Region{name: name}
	f.regions = append(f.regions, region)
	for _, domainName := range sortedKeys(w.FailureDomains) {
		domain := &Domain{name: domainName, region: region}
		region.domains = append(region.domains, domain)
		f.domains = append(f.domains, domain)
		for _, placeName := range w.FailureDomains[domainName].Places {
			place := &Place{name: placeName, domain: domain}
			domain.places = append(domain.places, place)
			f.places = append(f.places, place)
			f.placeByName[placeName] = place
		}
		slices.SortFunc(domain.places, func(a, b *Place) int { return cmp.Compare(a.name, b.name) })
	}
}
