package snipecheck

import (
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/snipemoor/snipemoor/snipetable"
)

// checkRoutes finds routes and hosts that never match or never change anything. A route
// that is shadowed by one with the same host and prefix is among the errors, since then
// neither is served. A longer prefix always goes before a shorter one.
func (c *checker) checkRoutes() {
	served := make(map[string]int)
	for i := range c.New.content.Routes {
		r := &c.New.content.Routes[i]
		if r.Host == "" || r.Prefix == "" {
			continue
		}
		if r.Disabled() {
			served[r.Host] += 0
			continue
		}
		served[r.Host]++
		c.checkRoute(r)
	}
	for _, host := range slices.Sorted(maps.Keys(served)) {
		if served[host] == 0 {
			c.found.addf(ClassNoEffect, ObjectHost, host, "no route of it can be served")
		}
	}
	if len(served) == 0 {
		c.found.addf(ClassNoEffect, ObjectConfiguration, "", "no route matches any request")
	}
}

// checkRoute finds out whether a route never matches, or matches without an effect.
func (c *checker) checkRoute(r *snipetable.Route) {
	if strings.ContainsAny(r.Host, ":/ \t") {
		c.found.addf(ClassNoEffect, snipetable.ObjectRoute, r.Name, "host %q never matches: hosts are compared without a port, and contain no slash or space", r.Host)
	}
	if strings.ContainsAny(r.Prefix, "?# \t") {
		c.found.addf(ClassNoEffect, snipetable.ObjectRoute, r.Name, "prefix %q never matches: paths are compared without a query, and contain no space", r.Prefix)
	}
	for _, b := range r.Backends {
		if b.Weight == 0 {
			c.found.addf(ClassNoEffect, snipetable.ObjectRoute, r.Name, "service %q has the weight zero and gets no request", b.Service)
		}
	}
	if other := c.coveringRoute(r); other != nil && alike(r, other) {
		c.found.addf(ClassNoEffect, snipetable.ObjectRoute, r.Name, "changes nothing: route %q has a shorter prefix and is otherwise alike", other.Name)
	}
}

// coveringRoute returns the route that would match the requests of r if r were removed, or
// nil if there is none.
func (c *checker) coveringRoute(r *snipetable.Route) *snipetable.Route {
	var found *snipetable.Route
	for i := range c.New.content.Routes {
		other := &c.New.content.Routes[i]
		if other.Host != r.Host || other.Prefix == "" || len(other.Prefix) >= len(r.Prefix) || !strings.HasPrefix(r.Prefix, other.Prefix) {
			continue
		}
		if found == nil || len(other.Prefix) > len(found.Prefix) {
			found = other
		}
	}
	return found
}

// alike reports whether two routes differ in nothing but their names and prefixes.
func alike(a, b *snipetable.Route) bool {
	x, y := *a, *b
	x.Name, x.Prefix = y.Name, y.Prefix
	return reflect.DeepEqual(x, y)
}

// checkServices finds services that get no request.
func (c *checker) checkServices() {
	for _, s := range c.New.services() {
		if len(c.New.routesOf(s.Name)) == 0 {
			c.found.addf(ClassNoEffect, snipetable.ObjectService, s.Name, "no route that can be served sends requests to it")
		}
	}
}

// checkTenants finds tenants without keys, tenants although no route needs a key, and keys
// that are required although there are no tenants.
func (c *checker) checkTenants() {
	if c.New.content.TenantsErr != nil {
		return
	}
	for i := range c.New.content.Tenants {
		t := &c.New.content.Tenants[i]
		if len(t.Keys) == 0 && len(t.KeyErrs) == 0 && t.Tenant.Err == nil {
			c.found.addf(ClassNoEffect, snipetable.ObjectTenant, t.Tenant.Name, "it has no keys, so that no request is its own")
		}
	}
	private := slices.ContainsFunc(c.New.served(), func(r *snipetable.Route) bool { return !r.Public })
	if len(c.New.content.Tenants) > 0 && !private {
		c.found.addf(ClassNoEffect, snipetable.ObjectTenant, "", "no route that can be served needs a key")
	}
	if c.New.content.RequiresKeys && len(c.New.content.Tenants) == 0 && private {
		c.found.addf(ClassNoEffect, ObjectConfiguration, "", "keys are required, but no tenant has one: requests of all routes that are not public are refused")
	}
}
