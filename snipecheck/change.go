package snipecheck

import (
	"fmt"
	"slices"
	"strings"

	"github.com/snipemoor/snipemoor/snipetable"
)

// compare finds what differs from the configuration in force.
func (c *checker) compare() {
	if c.Current == nil {
		c.found.addf(ClassNotChecked, ObjectConfiguration, "", "differences: the configuration in force is not known")
		return
	}
	old, now := c.Current.content, c.New.content
	switch {
	case now.Version <= old.Version:
		c.found.addf(ClassError, ObjectConfiguration, "", "version %d is not higher than version %d in force, so that fronts ignore it", now.Version, old.Version)
	default:
		c.change(ObjectConfiguration, "", "version", old.Version, now.Version)
	}
	c.compareLimits(old.Limits, now.Limits)
	compareEntries(c, snipetable.ObjectRoute, old.Routes, now.Routes, func(r *snipetable.Route) string { return r.Name }, c.compareRoute)
	compareEntries(c, snipetable.ObjectService, old.Services, now.Services, func(s *snipetable.Service) string { return s.Name }, c.compareService)
	if old.RequiresKeys != now.RequiresKeys {
		c.found.addf(ClassChange, ObjectConfiguration, "", "%s", map[bool]string{true: "requests need keys", false: "requests need no keys any more"}[now.RequiresKeys])
	}
	if old.TenantsErr != nil || now.TenantsErr != nil {
		c.found.addf(ClassNotChecked, ObjectConfiguration, "", "differences of tenants: the tenants cannot be read")
		return
	}
	compareEntries(c, snipetable.ObjectTenant, old.Tenants, now.Tenants, func(t *snipetable.TenantEntry) string { return t.Tenant.Name }, c.compareTenant)
}

// compareEntries finds the entries that were added, removed or changed.
func compareEntries[E any](c *checker, o snipetable.Object, old, now []E, name func(*E) string, compare func(old, now *E)) {
	before := make(map[string]*E, len(old))
	for i := range old {
		before[name(&old[i])] = &old[i]
	}
	for i := range now {
		entry := &now[i]
		previous := before[name(entry)]
		if previous == nil {
			c.found.addf(ClassChange, o, name(entry), "added")
			continue
		}
		delete(before, name(entry))
		compare(previous, entry)
	}
	for removed := range before {
		c.found.addf(ClassChange, o, removed, "removed")
	}
}

// change adds the finding that a property has another value, unless it has the same.
func (c *checker) change(o snipetable.Object, name, property string, old, now any) {
	if before, after := fmt.Sprint(old), fmt.Sprint(now); before != after {
		c.found.addf(ClassChange, o, name, "%s changed from %s to %s", property, before, after)
	}
}

// compareLimits finds changed limits on the requests of callers.
func (c *checker) compareLimits(old, now snipetable.Limits) {
	c.change(ObjectConfiguration, "", "the limit of headers in bytes", old.HeaderBytes, now.HeaderBytes)
	c.change(ObjectConfiguration, "", "the limit of bodies in bytes", old.BodyBytes, now.BodyBytes)
	c.change(ObjectConfiguration, "", "the time limit of headers", old.HeaderTimeout, now.HeaderTimeout)
	c.change(ObjectConfiguration, "", "the time limit of idle connections", old.IdleTimeout, now.IdleTimeout)
}

// compareRoute finds what is changed in a route.
func (c *checker) compareRoute(old, now *snipetable.Route) {
	change := func(property string, before, after any) {
		c.change(snipetable.ObjectRoute, now.Name, property, before, after)
	}
	if c.changeUse(snipetable.ObjectRoute, now.Name, old.Disabled(), now.Disabled()) {
		return
	}
	change("host", old.Host, now.Host)
	change("prefix", old.Prefix, now.Prefix)
	change("kind", old.Kind, now.Kind)
	if before, after := formatBackends(old.Backends), formatBackends(now.Backends); before != after {
		c.found.addf(ClassChange, snipetable.ObjectRoute, now.Name, "moved from %s to %s", before, after)
	}
	change("timeout", old.Timeout, now.Timeout)
	change("latency objective", old.LatencyObjective, now.LatencyObjective)
	change("priority", old.Priority, now.Priority)
	change("attempts", old.MaxAttempts, now.MaxAttempts)
	change("sticky", old.Sticky, now.Sticky)
	change("public", old.Public, now.Public)
	change("allowed regions", formatRegions(old.Regions), formatRegions(now.Regions))
}

// changeUse adds the finding that an entry was or became unusable, if that is different. It
// reports whether the entry is unusable in one of the configurations, in which case fields
// may be unread.
func (c *checker) changeUse(o snipetable.Object, name string, before, after bool) bool {
	switch {
	case after && !before:
		c.found.addf(ClassChange, o, name, "not usable from now on")
	case before && !after:
		c.found.addf(ClassChange, o, name, "usable again")
	}
	return before || after
}

// formatBackends names the services of a route, with their weights if there are several.
func formatBackends(backends []snipetable.Backend) string {
	if len(backends) == 0 {
		return "no service"
	}
	if len(backends) == 1 {
		return fmt.Sprintf("service %q", backends[0].Service)
	}
	parts := make([]string, 0, len(backends))
	for _, b := range backends {
		parts = append(parts, fmt.Sprintf("service %q with weight %v", b.Service, b.Weight))
	}
	slices.Sort(parts)
	return strings.Join(parts, " and ")
}

// formatRegions names regions in a fixed order.
func formatRegions(regions []string) string {
	if len(regions) == 0 {
		return "all"
	}
	return strings.Join(slices.Sorted(slices.Values(regions)), " and ")
}

// compareService finds what is changed in a service.
func (c *checker) compareService(old, now *snipetable.Service) {
	change := func(property string, before, after any) {
		c.change(snipetable.ObjectService, now.Name, property, before, after)
	}
	if c.changeUse(snipetable.ObjectService, now.Name, old.Err != nil, now.Err != nil) {
		return
	}
	change("health path", old.HealthPath, now.HealthPath)
	change("connections of a target", old.MaxConnections, now.MaxConnections)
	change("cold time", old.ColdDuration, now.ColdDuration)
	change("cold rate per second", old.ColdRate, now.ColdRate)
}

// compareTenant finds what is changed in a tenant. For keys, it gives only the numbers added and removed.
func (c *checker) compareTenant(old, now *snipetable.TenantEntry) {
	name := now.Tenant.Name
	if added := missing(now.Keys, old.Keys); added > 0 {
		c.found.addf(ClassChange, snipetable.ObjectTenant, name, "keys added: %d", added)
	}
	if removed := missing(old.Keys, now.Keys); removed > 0 {
		c.found.addf(ClassChange, snipetable.ObjectTenant, name, "keys removed: %d", removed)
	}
	before, after := c.Current.table.Tenant(name), c.table.Tenant(name)
	if c.changeUse(snipetable.ObjectTenant, name, before.Disabled(), after.Disabled()) {
		return
	}
	c.change(snipetable.ObjectTenant, name, "priority", old.Tenant.Priority, now.Tenant.Priority)
	c.change(snipetable.ObjectTenant, name, "allowed regions", formatRegions(old.Tenant.Regions), formatRegions(now.Tenant.Regions))
	if old.Tenant.QuotaErr == nil && now.Tenant.QuotaErr == nil {
		c.compareQuota(name, old.Tenant.Quota, now.Tenant.Quota)
	}
}

// compareQuota finds a raised or lowered quota. No quota is higher than any.
func (c *checker) compareQuota(name string, old, now snipetable.Quota) {
	add := func(format string, args ...any) {
		c.found.addf(ClassChange, snipetable.ObjectTenant, name, format, args...)
	}
	switch {
	case !old.Limited() && !now.Limited():
		return
	case !now.Limited():
		add("quota of %v/s removed: no limit", old.PerSecond)
		return
	case !old.Limited():
		add("quota lowered from no limit to %v/s with a burst of %v", now.PerSecond, now.Burst)
		return
	}
	if old.PerSecond != now.PerSecond {
		add("quota %s from %v/s to %v/s", direction(old.PerSecond, now.PerSecond), old.PerSecond, now.PerSecond)
	}
	if old.Burst != now.Burst {
		add("burst %s from %v to %v", direction(old.Burst, now.Burst), old.Burst, now.Burst)
	}
}

// direction says whether a number is raised or lowered.
func direction(old, now float64) string {
	if now > old {
		return "raised"
	}
	return "lowered"
}

// missing returns the number of different texts that list has and other has not.
func missing(list, other []string) int {
	seen := make(map[string]bool, len(list)+len(other))
	for _, text := range other {
		seen[text] = true
	}
	n := 0
	for _, text := range list {
		if !seen[text] {
			seen[text] = true
			n++
		}
	}
	return n
}
