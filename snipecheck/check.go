package snipecheck

import (
	"slices"
	"strings"

	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipetable"
)

// Configuration is a configuration with the table that fronts derive from it.
type Configuration struct {
	content snipetable.Content
	table   *snipetable.Table
}

// NewConfiguration returns the configuration with the given content, which must not be
// modified afterwards.
func NewConfiguration(c snipetable.Content) *Configuration {
	return &Configuration{content: c, table: snipetable.New(c)}
}

// Fleet is what the store knows about targets and fronts.
type Fleet struct {
	// Targets have an empty region if it is not known in which region they stand.
	Targets []snipefleet.TargetReport
	Fronts  []snipefleet.Member
	// Unreadable is the number of entries of targets that cannot be read.
	Unreadable int
}

// serving returns the targets that are not draining.
func (f *Fleet) serving() []snipefleet.TargetReport {
	return slices.DeleteFunc(slices.Clone(f.Targets), func(t snipefleet.TargetReport) bool { return t.Draining })
}

// Input is what a check works on.
type Input struct {
	// New is the configuration to check.
	New *Configuration
	// Current is the configuration in force, or nil if it is not known.
	Current *Configuration
	// Fleet is nil if it is not known.
	Fleet *Fleet
}

// Check returns the findings about in.New.
func Check(in Input) Findings {
	c := checker{Input: in, table: in.New.inForceAfter(in.Current)}
	c.addProblems()
	c.checkRoutes()
	c.checkServices()
	c.checkTenants()
	c.checkRouteLimits()
	c.checkServiceLimits()
	c.checkTenantLimits()
	c.checkFleet()
	c.compare()
	c.found.sort()
	return c.found
}

// checker collects the findings of one check.
type checker struct {
	Input
	// table is the one that fronts would put in force.
	table *snipetable.Table
	found Findings
}

// addProblems adds the problems that fronts would find.
func (c *checker) addProblems() {
	for _, p := range c.table.Problems() {
		text := strings.ReplaceAll(p.Err.Error(), "\n", "; ") // Joined errors have a line each.
		c.found = append(c.found, Finding{Class: ClassError, Object: p.Object, Name: p.Name, Effect: p.Effect, Text: text})
	}
}

// inForceAfter returns the table that a front would put in force after that of current,
// which may be nil. Quotas that cannot be used are then those of current.
func (c *Configuration) inForceAfter(current *Configuration) *snipetable.Table {
	if current == nil {
		return c.table
	}
	var holder snipetable.Holder
	holder.UpdateIfNewer(current.table)
	if !holder.UpdateIfNewer(c.table) {
		return c.table
	}
	return holder.Current()
}

// served returns the routes that are not disabled, in the order of their names.
func (c *Configuration) served() []*snipetable.Route {
	var routes []*snipetable.Route
	for i := range c.content.Routes {
		if r := &c.content.Routes[i]; !r.Disabled() {
			routes = append(routes, r)
		}
	}
	return routes
}

// services returns the services that can be used.
func (c *Configuration) services() []*snipetable.Service {
	var services []*snipetable.Service
	for i := range c.content.Services {
		if s := &c.content.Services[i]; s.Err == nil {
			services = append(services, s)
		}
	}
	return services
}

// uses reports whether requests of a route go to a service.
func uses(r *snipetable.Route, service string) bool {
	return slices.ContainsFunc(r.Backends, func(b snipetable.Backend) bool { return b.Service == service && b.Weight > 0 })
}

// routesOf returns the served routes whose requests go to a service.
func (c *Configuration) routesOf(service string) []*snipetable.Route {
	return slices.DeleteFunc(c.served(), func(r *snipetable.Route) bool { return !uses(r, service) })
}
