package snipetable

// Quota is a token bucket over all fronts together.
type Quota struct {
	// PerSecond is the rate in requests per second, and Burst the size of the bucket in
	// requests. A PerSecond of zero means no limit.
	PerSecond, Burst float64
}

// Limited reports whether the quota limits anything.
func (q Quota) Limited() bool { return q.PerSecond > 0 }

// Tenant is a customer of the operators whose requests carry keys.
type Tenant struct {
	Name string
	// Priority is the rank of the tenant, which goes before that of the route; 0 is the
	// highest.
	Priority int
	Quota    Quota
	// Regions lists the regions whose targets may serve the tenant; empty allows all.
	Regions []string
}

// AllowsRegion reports whether targets in region may serve the tenant.
func (t *Tenant) AllowsRegion(region string) bool { return allowsRegion(t.Regions, region) }
