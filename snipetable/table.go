package snipetable

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Kind determines how often a request of a route may be executed.
type Kind int

// Kinds of routes.
const (
	// Idempotent requests may be executed more than once.
	Idempotent Kind = iota + 1
	// NonIdempotent requests are executed at most once for each attempt of the client.
	NonIdempotent
	// Upload requests have large bodies and are executed at most once.
	Upload
	// Download requests have large responses and may be executed more than once.
	Download
)

// Repeatable reports whether a request of this kind may be executed more than once.
func (k Kind) Repeatable() bool { return k == Idempotent || k == Download }

// String returns the name of the kind in logs and metrics.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case NonIdempotent:
		return "nonIdempotent"
	case Upload:
		return "upload"
	case Download:
		return "download"
	default:
		return "unknown"
	}
}

// Backend is one service of a route.
type Backend struct {
	Service string
	// Weight divided by the sum of the weights of the route is the service's share of
	// the requests. It is not negative.
	Weight float64
}

// Route is one entry of the table. It applies to requests for a host and a path
// prefix.
type Route struct {
	Name string
	// Host is the value of the Host header in lower case, without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout bounds the time until a request has its final answer. It is positive.
	Timeout time.Duration
	// LatencyObjective is the latency above which an answer is of less use to the
	// caller.
	LatencyObjective time.Duration
	// MaxAttempts is the maximum number of targets to which one request is sent, at
	// least 1.
	MaxAttempts int
	// Priority is the rank of the route; 0 is the highest.
	Priority int
	// Backends has at least one entry, and one with a positive weight.
	Backends []Backend
	// Sticky routes send the requests of an object to the same targets.
	Sticky bool
	// Regions lists the regions whose targets may serve the route; empty allows
	// all.
	Regions []string
	// Public routes need no key, and name no tenant to targets.
	Public bool
}

// AllowsRegion reports whether targets in region may serve the route.
func (r *Route) AllowsRegion(region string) bool { return allowsRegion(r.Regions, region) }

// allowsRegion reports whether a list of regions, where empty allows all, has a region.
func allowsRegion(regions []string, region string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}

// PickService returns the name of a service, selected with a probability
// proportional to its weight. draw is a random number, uniformly distributed in
// [0, 1).
func (r *Route) PickService(draw float64) string {
	total := 0.0
	for _, b := range r.Backends {
		total += b.Weight
	}
	remaining := draw * total
	for _, b := range r.Backends {
		if remaining -= b.Weight; remaining < 0 {
			return b.Service
		}
	}
	return r.Backends[len(r.Backends)-1].Service
}

// Service holds the properties of the targets of a service, as the operator
// configured them.
type Service struct {
	Name string
	// HealthPath is the path of health checks.
	HealthPath string
	// MaxConnections is the maximum number of connections that a target
	// accepts, from all clients together.
	MaxConnections int
	// ColdDuration is the time for which a target is cold after its start.
	ColdDuration time.Duration
	// ColdRate is the maximum rate of a cold target in requests per second; zero means
	// no limit.
	ColdRate float64
}

// Limits bounds the requests of callers. With a limit of zero, the default of the
// front applies.
type Limits struct {
	// HeaderBytes and BodyBytes bound the sizes of the headers and of the body of a
	// request, in bytes.
	HeaderBytes, BodyBytes int64
	// HeaderTimeout bounds the time in which a caller sends the headers of a request.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time between two requests on a connection.
	IdleTimeout time.Duration
}

// Table is one version of the configuration. It is immutable.
type Table struct {
	version uint64
	// routes holds the routes of each host, those with longer prefixes first.
	routes   map[string][]*Route
	services map[string]*Service
	limits   Limits
	tenants  map[string]*Tenant
}

// ErrInvalid is wrapped by the errors of New.
var ErrInvalid = errors.New("invalid configuration")

// New returns a table, or an error that wraps ErrInvalid if a route is invalid or two
// routes have the same host and prefix. The table keeps the slices, which must not be
// modified afterwards.
func New(version uint64, routes []Route, services []Service, limits Limits) (*Table, error) {
	t := &Table{version: version, routes: make(map[string][]*Route), services: make(map[string]*Service), limits: limits}
	for i := range services {
		t.services[services[i].Name] = &services[i]
	}
	for i := range routes {
		r := &routes[i]
		if err := t.validate(r); err != nil {
			return nil, fmt.Errorf("route %q: %w", r.Name, err)
		}
		t.routes[r.Host] = append(t.routes[r.Host], r)
	}
	for host, list := range t.routes {
		slices.SortFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
		for i := 1; i < len(list); i++ {
			if list[i].Prefix == list[i-1].Prefix {
				return nil, fmt.Errorf("host %q has two routes with prefix %q: %w", host, list[i].Prefix, ErrInvalid)
			}
		}
	}
	return t, nil
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
	case r.MaxAttempts < 1:
		return fmt.Errorf("attempts %d is less than 1: %w", r.MaxAttempts, ErrInvalid)
	case len(r.Backends) == 0:
		return fmt.Errorf("no service: %w", ErrInvalid)
	}
	total := 0.0
	for _, b := range r.Backends {
		if t.services[b.Service] == nil {
			return fmt.Errorf("unknown service %q: %w", b.Service, ErrInvalid)
		}
		if b.Weight < 0 {
			return fmt.Errorf("weight %v of service %q is negative: %w", b.Weight, b.Service, ErrInvalid)
		}
		total += b.Weight
	}
	if total <= 0 {
		return fmt.Errorf("all weights are zero: %w", ErrInvalid)
	}
	return nil
}

// Version returns the version that the operator gave the configuration.
func (t *Table) Version() uint64 { return t.version }

// Limits returns the limits on the requests of callers.
func (t *Table) Limits() Limits { return t.limits }

// Service returns the service with the given name, or nil if there is none.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Tenant returns the tenant with a name, or nil if there is none.
func (t *Table) Tenant(name string) *Tenant { return t.tenants[name] }

// HasHost reports whether there is a route for host.
func (t *Table) HasHost(host string) bool { return len(t.routes[host]) > 0 }

// Match returns the route of host with the longest prefix that path begins with, or
// nil if there is none. host is in lower case and without a port.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
