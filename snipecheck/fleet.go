package snipecheck

import (
	"slices"
	"time"

	"github.com/snipemoor/snipemoor/snipetable"
)

// checkFleet compares the configuration with the targets and fronts.
func (c *checker) checkFleet() {
	if c.Fleet == nil {
		c.found.addf(ClassNotChecked, ObjectConfiguration, "",
			"quotas against slots, connections against fronts, and regions, services and attempts against targets: the fleet is not known")
		return
	}
	if c.Fleet.Unreadable > 0 {
		c.found.addf(ClassNotChecked, ObjectConfiguration, "",
			"quotas against slots, and regions, services and attempts against targets: %d entries of targets cannot be read", c.Fleet.Unreadable)
	} else {
		c.checkTargets()
		c.checkCapacity()
		c.checkRegions()
	}
	c.checkConnections()
}

// checkTargets finds services without a target, and routes with more attempts than targets.
func (c *checker) checkTargets() {
	targets := make(map[string]int)
	for _, t := range c.Fleet.serving() {
		targets[t.Service]++
	}
	for _, s := range c.New.services() {
		if targets[s.Name] == 0 {
			c.found.addf(ClassContradiction, snipetable.ObjectService, s.Name, "the store has no target of it that takes requests")
		}
	}
	for _, r := range c.New.served() {
		most := 0
		for _, b := range r.Backends {
			most = max(most, targets[b.Service])
		}
		if most > 0 && r.MaxAttempts > most {
			c.found.addf(ClassContradiction, snipetable.ObjectRoute, r.Name, "%d attempts at different targets do not fit, as there are %d targets", r.MaxAttempts, most)
		}
	}
}

// checkCapacity compares the sum of the quotas with the rate at which the slots can answer.
// How long requests take is not known. The shortest latency objective of the routes that
// need a key gives the highest rate at which all answers can be within their objectives.
func (c *checker) checkCapacity() {
	sum := 0.0
	for _, t := range c.table.Tenants() {
		if !t.Disabled() {
			sum += t.Quota.PerSecond
		}
	}
	shortest := c.shortestObjective()
	if sum == 0 || shortest == 0 {
		return
	}
	slots := 0
	for _, t := range c.Fleet.serving() {
		if len(c.New.routesOf(t.Service)) > 0 {
			slots += t.Slots
		}
	}
	if capacity := float64(slots) / shortest.Seconds(); sum > capacity {
		c.found.addf(ClassContradiction, snipetable.ObjectTenant, "",
			"the quotas add up to %.4g/s; the %d slots of the targets answer %.4g/s if each request takes %v, the shortest latency objective",
			sum, slots, capacity, shortest)
	}
}

// shortestObjective returns the shortest latency objective of the routes that need a key,
// or 0 if there is none.
func (c *checker) shortestObjective() time.Duration {
	shortest := time.Duration(0)
	for _, r := range c.New.served() {
		if !r.Public && r.LatencyObjective > 0 && (shortest == 0 || r.LatencyObjective < shortest) {
			shortest = r.LatencyObjective
		}
	}
	return shortest
}

// checkRegions finds allowed regions in which no target stands.
func (c *checker) checkRegions() {
	regions := make(map[string][]string)
	for _, t := range c.Fleet.serving() {
		if t.Place.Region == "" {
			c.found.addf(ClassNotChecked, ObjectConfiguration, "", "regions: the region of failure domain %q is not known, as no front stands in it", t.Place.Domain)
			return
		}
		regions[t.Service] = append(regions[t.Service], t.Place.Region)
	}
	for _, r := range c.New.served() {
		for _, region := range r.Regions {
			stands := func(b snipetable.Backend) bool { return slices.Contains(regions[b.Service], region) }
			if !slices.ContainsFunc(r.Backends, stands) {
				c.found.addf(ClassContradiction, snipetable.ObjectRoute, r.Name, "no target of its services stands in the allowed region %q", region)
			}
		}
	}
	for _, t := range c.table.Tenants() {
		for _, region := range t.Regions {
			stands := func(s *snipetable.Service) bool { return slices.Contains(regions[s.Name], region) }
			if !slices.ContainsFunc(c.New.services(), stands) {
				c.found.addf(ClassContradiction, snipetable.ObjectTenant, t.Name, "no target stands in the allowed region %q", region)
			}
		}
	}
}

// checkConnections compares the connections that a target accepts with the fronts, each of
// which keeps at least one connection to it.
func (c *checker) checkConnections() {
	fronts := len(c.Fleet.Fronts)
	for _, s := range c.New.services() {
		if s.MaxConnections > 0 && s.MaxConnections < fronts {
			c.found.addf(ClassContradiction, snipetable.ObjectService, s.Name,
				"targets accept %d connections, and %d fronts keep one or more each", s.MaxConnections, fronts)
		}
	}
}
