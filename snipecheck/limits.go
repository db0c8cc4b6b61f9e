package snipecheck

import (
	"slices"
	"time"

	"github.com/snipemoor/snipemoor/snipetable"
)

// checkRouteLimits compares the limits of each route with each other.
func (c *checker) checkRouteLimits() {
	for _, r := range c.New.served() {
		total := time.Duration(r.MaxAttempts) * r.LatencyObjective
		switch {
		case r.Timeout < r.LatencyObjective:
			c.found.addf(ClassContradiction, snipetable.ObjectRoute, r.Name, "the timeout %v is below the latency objective %v", r.Timeout, r.LatencyObjective)
		case r.Kind.Repeatable() && r.Timeout < total:
			// Attempts of other kinds follow each other only if the earlier ones did not run.
			c.found.addf(ClassContradiction, snipetable.ObjectRoute, r.Name,
				"%d attempts that each take the latency objective %v take %v, more than the timeout %v", r.MaxAttempts, r.LatencyObjective, total, r.Timeout)
		}
	}
}

// checkServiceLimits checks what is said about cold targets. One front at a time sends to
// a cold target, one request in each interval of the cold rate.
func (c *checker) checkServiceLimits() {
	for _, s := range c.New.services() {
		switch {
		case s.ColdDuration <= 0:
		case s.ColdRate == 0:
			c.found.addf(ClassContradiction, snipetable.ObjectService, s.Name,
				"targets are cold for %v, and the cold rate 0 means no limit", s.ColdDuration)
		case s.ColdRate*s.ColdDuration.Seconds() < 1:
			c.found.addf(ClassContradiction, snipetable.ObjectService, s.Name,
				"at the cold rate %v/s, the front that sends to a cold target sends less than one more request in %v", s.ColdRate, s.ColdDuration)
		}
	}
}

// checkTenantLimits checks the quota of each tenant, and its regions against those of the
// routes.
func (c *checker) checkTenantLimits() {
	for _, t := range c.table.Tenants() {
		if t.Disabled() {
			continue
		}
		if t.Quota.Limited() && t.Quota.Burst < 1 {
			c.found.addf(ClassContradiction, snipetable.ObjectTenant, t.Name,
				"the burst %v is below one request, and the rate is %v/s", t.Quota.Burst, t.Quota.PerSecond)
		}
		if !t.Quota.Limited() && t.Quota.Burst > 0 {
			c.found.addf(ClassContradiction, snipetable.ObjectTenant, t.Name, "the burst %v limits nothing without a rate", t.Quota.Burst)
		}
		c.checkTenantRegions(t)
	}
}

// checkTenantRegions finds routes that no target can serve for a tenant, because both
// restrict regions.
func (c *checker) checkTenantRegions(t *snipetable.Tenant) {
	for _, r := range c.New.served() {
		if r.Public || len(r.Regions) == 0 || len(t.Regions) == 0 || slices.ContainsFunc(r.Regions, t.AllowsRegion) {
			continue
		}
		c.found.addf(ClassContradiction, snipetable.ObjectTenant, t.Name, "it shares no allowed region with route %q", r.Name)
	}
}
