package snipetable

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Kind says how often a request of a route may run.
type Kind int

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// NonIdempotent requests run at most once for each client attempt.
	NonIdempotent
	// Upload requests have large bodies and run at most once.
	Upload
)

// String returns the name of the kind in logs and metrics.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case NonIdempotent:
		return "nonIdempotent"
	case Upload:
		return "upload"
	default:
		return "unknown"
	}
}

// Backend is one service of a route with its share of the requests.
type Backend struct {
	Service string
	Weight  float64
}

// Route is one entry of the table.
type Route struct {
	Name string
	// Host is the value of the Host header in lower case, without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout bounds the time until a request has its final answer.
	Timeout time.Duration
	// Objective is the latency within which an answer has its full use.
	Objective time.Duration
	// Attempts bounds the targets to which one request may be sent.
	Attempts int
	// Priority is the rank of the route; 0 is the highest.
	Priority int
	// Backends has one entry or more.
	Backends []Backend
	// Sticky routes keep the requests of an object on the same targets.
	Sticky bool
	// Regions lists the regions whose targets may serve the route; empty allows
	// all.
	Regions []string
}

// AllowsRegion reports whether targets of region may serve the route.
func (r *Route) AllowsRegion(region string) bool {
	return len(r.Regions) == 0 || slices.Contains(r.Regions, region)
}

// Backend returns the service for a request, given a number drawn uniformly
// from [0, 1).
func (r *Route) Backend(draw float64) string {
	total := 0.0
	for _, b := range r.Backends {
		total += b.Weight
	}
	left := draw * total
	for _, b := range r.Backends {
		if left -= b.Weight; left < 0 {
			return b.Service
		}
	}
	return r.Backends[len(r.Backends)-1].Service
}

// Service is what the operator states about the targets of a service.
type Service struct {
	Name string
	// HealthPath is the path of health checks.
	HealthPath string
	// Connections bounds the connections that a target accepts from all callers.
	Connections int
	// ColdFor is the time for which a started target stays cold.
	ColdFor time.Duration
	// ColdRate is the rate that a cold target bears, in requests per second;
	// zero means no limit.
	ColdRate float64
}

// Limits bounds what a caller may send.
type Limits struct {
	// HeaderBytes and BodyBytes bound the sizes of a request.
	HeaderBytes, BodyBytes int64
	// HeaderTimeout bounds the time for sending the headers.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time between two requests of a connection.
	IdleTimeout time.Duration
}

// Table is one version of the configuration.
type Table struct {
	version  uint64
	routes   map[string][]*Route
	services map[string]*Service
	limits   Limits
}

// ErrInvalid is wrapped by the errors of New.
var ErrInvalid = errors.New("invalid configuration")

// New returns a table, or an error that wraps ErrInvalid.
func New(version uint64, routes []Route, services []Service, limits Limits) (*Table, error) {
	t := &Table{version: version, routes: make(map[string][]*Route), services: make(map[string]*Service), limits: limits}
	for i := range services {
		t.services[services[i].Name] = &services[i]
	}
	for i := range routes {
		r := &routes[i]
		if err := t.check(r); err != nil {
			return nil, fmt.Errorf("route %q: %w", r.Name, err)
		}
		t.routes[r.Host] = append(t.routes[r.Host], r)
	}
	for host, list := range t.routes {
		slices.SortFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
		for i := 1; i < len(list); i++ {
			if list[i].Prefix == list[i-1].Prefix {
				return nil, fmt.Errorf("host %q has prefix %q twice: %w", host, list[i].Prefix, ErrInvalid)
			}
		}
	}
	return t, nil
}

func (t *Table) check(r *Route) error {
	switch {
	case r.Host == "":
		return fmt.Errorf("no host: %w", ErrInvalid)
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return fmt.Errorf("prefix %q: %w", r.Prefix, ErrInvalid)
	case r.Kind < Idempotent || r.Kind > Upload:
		return fmt.Errorf("unknown kind: %w", ErrInvalid)
	case r.Timeout <= 0:
		return fmt.Errorf("timeout %v: %w", r.Timeout, ErrInvalid)
	case r.Attempts < 1:
		return fmt.Errorf("attempts %d: %w", r.Attempts, ErrInvalid)
	case len(r.Backends) == 0:
		return fmt.Errorf("no service: %w", ErrInvalid)
	}
	total := 0.0
	for _, b := range r.Backends {
		if t.services[b.Service] == nil {
			return fmt.Errorf("unknown service %q: %w", b.Service, ErrInvalid)
		}
		if b.Weight < 0 {
			return fmt.Errorf("weight %v of service %q: %w", b.Weight, b.Service, ErrInvalid)
		}
		total += b.Weight
	}
	if total <= 0 {
		return fmt.Errorf("all weights are zero: %w", ErrInvalid)
	}
	return nil
}

// Version returns the operator's version of the table.
func (t *Table) Version() uint64 { return t.version }

// Limits returns the bounds on what callers send.
func (t *Table) Limits() Limits { return t.limits }

// Service returns a service, or nil if the table does not name it.
func (t *Table) Service(name string) *Service { return t.services[name] }

// HasHost reports whether any route has the host.
func (t *Table) HasHost(host string) bool { return len(t.routes[host]) > 0 }

// Match returns the route with the longest prefix of path among those of host,
// or nil.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
