package snipetable

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
)

// Content is what a configuration says, as a decoder read it. An entry whose Err is set
// could not be read completely.
type Content struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// RequiresKeys means that requests of routes that are not public need the key of a
	// tenant.
	RequiresKeys bool
	Tenants      []TenantEntry
	// TenantsErr is why the tenants cannot be read at all, or nil.
	TenantsErr error
}

// ErrInvalid is wrapped by the errors of entries that were read but cannot be served.
var ErrInvalid = errors.New("invalid configuration")

// New returns the table of a configuration. Entries that cannot be served are isolated, and
// Table.Problems names them. The table keeps the slices of c, which must not be modified
// afterwards.
func New(c Content) *Table {
	t := &Table{version: c.Version, routes: make(map[string][]*Route), services: make(map[string]*Service), limits: c.Limits}
	t.addServices(c.Services)
	t.addRoutes(c.Routes)
	if c.RequiresKeys {
		t.addTenants(c.Tenants, c.TenantsErr)
	}
	sortProblems(t.problems)
	return t
}

// addServices adds the services that can be used.
func (t *Table) addServices(services []Service) {
	for i := range services {
		s := &services[i]
		if s.Err == nil {
			s.Err = s.validate()
		}
		if s.Err != nil {
			t.report(ObjectService, s.Name, EffectLeftOut, s.Err)
			continue
		}
		t.services[s.Name] = s
	}
}

// validate returns an error that wraps ErrInvalid if a property of the service is negative.
func (s *Service) validate() error {
	if s.MaxConnections < 0 || s.ColdDuration < 0 || s.ColdRate < 0 {
		return fmt.Errorf("a number is negative: %w", ErrInvalid)
	}
	return nil
}

// addRoutes adds the routes that have a host and a prefix, and disables those that cannot
// be served.
func (t *Table) addRoutes(routes []Route) {
	for i := range routes {
		r := &routes[i]
		if r.Err == nil {
			r.Err = t.validate(r)
		}
		if r.Host == "" || r.Prefix == "" {
			t.report(ObjectRoute, r.Name, EffectLeftOut, r.Err)
			continue
		}
		if !strings.HasPrefix(r.Prefix, "/") {
			r.Prefix = "/" + r.Prefix // Paths begin with a slash, so that the route would match none.
		}
		t.routes[r.Host] = append(t.routes[r.Host], r)
	}
	for _, list := range t.routes {
		slices.SortFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
		disableDuplicates(list)
		for _, r := range list {
			if r.Disabled() {
				t.report(ObjectRoute, r.Name, EffectRefused, r.Err)
			}
		}
	}
}

// disableDuplicates disables the routes of a host that have the same prefix. The order of
// a configuration does not say which of them is meant.
func disableDuplicates(routes []*Route) {
	first := make(map[string]*Route, len(routes))
	for _, r := range routes {
		other := first[r.Prefix]
		if other == nil {
			first[r.Prefix] = r
			continue
		}
		r.Err = errors.Join(r.Err, duplicateError(r, other))
		if other.Err == nil {
			other.Err = duplicateError(other, r)
		}
	}
}

// duplicateError returns the error of a route that has the host and prefix of other.
func duplicateError(r, other *Route) error {
	return fmt.Errorf("host %q and prefix %q are those of route %q: %w", r.Host, r.Prefix, other.Name, ErrInvalid)
}

// validate returns an error that wraps ErrInvalid if the table cannot serve the route.
func (t *Table) validate(r *Route) error {
	switch {
	case r.Host == "":
		return fmt.Errorf("no host: %w", ErrInvalid)
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return fmt.Errorf("prefix %q does not begin and end with a slash: %w", r.Prefix, ErrInvalid)
	case r.Kind < Idempotent || r.Kind > Download:
		return fmt.Errorf("unknown kind: %w", ErrInvalid)
	case r.Timeout <= 0:
		return fmt.Errorf("timeout %v is not positive: %w", r.Timeout, ErrInvalid)
	case r.LatencyObjective < 0:
		return fmt.Errorf("latency objective %v is negative: %w", r.LatencyObjective, ErrInvalid)
	case r.MaxAttempts < 1:
		return fmt.Errorf("attempts %d is less than 1: %w", r.MaxAttempts, ErrInvalid)
	case r.Priority < 0:
		return fmt.Errorf("priority %d is negative: %w", r.Priority, ErrInvalid)
	case len(r.Backends) == 0:
		return fmt.Errorf("no service: %w", ErrInvalid)
	}
	return t.validateBackends(r.Backends)
}

// validateBackends returns an error that wraps ErrInvalid if a service is not in the table
// or the weights give no shares.
func (t *Table) validateBackends(backends []Backend) error {
	total := 0.0
	for _, b := range backends {
		if t.services[b.Service] == nil {
			return fmt.Errorf("unknown service %q: %w", b.Service, ErrInvalid)
		}
		if b.Weight < 0 {
			return fmt.Errorf("weight %v of service %q is negative: %w", b.Weight, b.Service, ErrInvalid)
		}
		total += b.Weight
	}
	if total <= 0 || math.IsInf(total, 0) {
		return fmt.Errorf("sum %v of the weights is not positive and finite: %w", total, ErrInvalid)
	}
	return nil
}
