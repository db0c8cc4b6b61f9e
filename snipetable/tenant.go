package snipetable

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"

	"golang.org/x/net/http/httpguts"
)

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
	// Err is why the requests of the tenant are refused, or nil. New sets it for a tenant
	// that is invalid.
	Err error
	// QuotaErr is why the configuration's quota of the tenant cannot be used, or nil. Quota
	// is then that of the version before, if there is one.
	QuotaErr error
	// inherited is set if Quota is that of the version before.
	inherited bool
}

// AllowsRegion reports whether targets in region may serve the tenant.
func (t *Tenant) AllowsRegion(region string) bool { return allowsRegion(t.Regions, region) }

// Disabled reports whether the requests of the tenant are refused because its entry in the
// configuration, or its quota, cannot be used.
func (t *Tenant) Disabled() bool { return t.Err != nil || !t.hasQuota() }

// hasQuota reports whether Quota is known.
func (t *Tenant) hasQuota() bool { return t.QuotaErr == nil || t.inherited }

// validate sets the errors of a tenant that is invalid.
func (t *Tenant) validate() {
	switch {
	case t.Err != nil:
	case !validFieldValue(t.Name):
		t.Err = fmt.Errorf("the name is not a possible header value: %w", ErrInvalid)
	case t.Priority < 0:
		t.Err = fmt.Errorf("priority %d is negative: %w", t.Priority, ErrInvalid)
	}
	if t.QuotaErr == nil && !(validNumber(t.Quota.PerSecond) && validNumber(t.Quota.Burst)) {
		t.QuotaErr = fmt.Errorf("a number of the quota is negative or not finite: %w", ErrInvalid)
	}
}

// validNumber reports whether n is a finite number of 0 or more.
func validNumber(n float64) bool { return n >= 0 && !math.IsInf(n, 0) }

// validFieldValue reports whether a header field can have the value, so that it is sent and
// received as it is, and the value is not empty.
func validFieldValue(value string) bool {
	return value != "" && strings.Trim(value, " \t") == value && httpguts.ValidHeaderFieldValue(value)
}

// inheritQuotas returns t with the quotas of previous for tenants whose own quota cannot be
// used. It does not modify t.
func (t *Table) inheritQuotas(previous *Table) *Table {
	if previous == nil || !slices.ContainsFunc(t.tenants.list, func(x *Tenant) bool { return !x.hasQuota() }) {
		return t
	}
	merged := *t
	merged.tenants.list = slices.Clone(t.tenants.list)
	inherited := make(map[string]error)
	for i, tenant := range merged.tenants.list {
		old := previous.Tenant(tenant.Name)
		if tenant.hasQuota() || old == nil || !old.hasQuota() {
			continue
		}
		successor := *tenant
		successor.Quota, successor.inherited = old.Quota, true
		merged.tenants.list[i] = &successor
		inherited[tenant.Name] = tenant.QuotaErr
	}
	merged.problems = slices.Clone(t.problems)
	for i := range merged.problems {
		p := &merged.problems[i]
		if err := inherited[p.Name]; p.Object == ObjectTenant && err != nil && errors.Is(p.Err, err) {
			p.Effect = EffectPreviousQuota
		}
	}
	return &merged
}
