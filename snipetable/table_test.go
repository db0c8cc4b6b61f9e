package snipetable

import (
	"errors"
	"math"
	"testing"
	"time"
)

// route returns a valid route with one backend.
func route(host, prefix, service string) Route {
	return Route{
		Name: host + prefix, Host: host, Prefix: prefix, Kind: Idempotent, Timeout: time.Second,
		MaxAttempts: 1, Backends: []Backend{{Service: service, Weight: 1}},
	}
}

// TestMatch guards against a match of a shorter prefix although a longer one matches.
func TestMatch(t *testing.T) {
	table, err := New(1, []Route{route("a", "/", "s"), route("a", "/x/", "s"), route("a", "/x/y/", "s")}, []Service{{Name: "s"}}, Limits{})
	if err != nil {
		t.Fatal(err)
	}
	for path, want := range map[string]string{"/": "/", "/x": "/", "/x/1": "/x/", "/x/y/z": "/x/y/"} {
		if got := table.Match("a", path); got == nil || got.Prefix != want {
			t.Errorf("Match(%q) = %v, want prefix %q", path, got, want)
		}
	}
	if got := table.Match("b", "/"); got != nil {
		t.Errorf("unknown host matched %v", got)
	}
}

// TestInvalid guards against a table whose routes cannot be served.
func TestInvalid(t *testing.T) {
	cases := map[string]func(*Route){
		"no host":      func(r *Route) { r.Host = "" },
		"prefix":       func(r *Route) { r.Prefix = "/x" },
		"kind":         func(r *Route) { r.Kind = 0 },
		"timeout":      func(r *Route) { r.Timeout = 0 },
		"attempts":     func(r *Route) { r.MaxAttempts = 0 },
		"service":      func(r *Route) { r.Backends[0].Service = "other" },
		"weight":       func(r *Route) { r.Backends[0].Weight = -1 },
		"zero weights": func(r *Route) { r.Backends[0].Weight = 0 },
	}
	for name, invalidate := range cases {
		r := route("a", "/", "s")
		invalidate(&r)
		if _, err := New(1, []Route{r}, []Service{{Name: "s"}}, Limits{}); !errors.Is(err, ErrInvalid) {
			t.Errorf("%s: error %v, want ErrInvalid", name, err)
		}
	}
}

// TestHolder guards against an older version that replaces a newer one.
func TestHolder(t *testing.T) {
	var h Holder
	for _, step := range []struct {
		version, want uint64
	}{{3, 3}, {2, 3}, {3, 3}, {9, 9}, {4, 9}} {
		table, err := New(step.version, nil, nil, Limits{})
		if err != nil {
			t.Fatal(err)
		}
		h.UpdateIfNewer(table)
		if got := h.Current().Version(); got != step.want {
			t.Errorf("after UpdateIfNewer with version %d: version %d in force, want %d", step.version, got, step.want)
		}
	}
}

// TestBackend guards against shares of the requests that differ from the weights.
func TestBackend(t *testing.T) {
	r := Route{Backends: []Backend{{"a", 90}, {"zero", 0}, {"b", 10}}}
	const draws = 1000
	count := make(map[string]int)
	for i := range draws {
		count[r.PickService(float64(i)/draws)]++
	}
	if count["zero"] != 0 || math.Abs(float64(count["a"])/draws-0.9) > 0.002 {
		t.Errorf("shares %v", count)
	}
}
