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

// newTable returns a table that has the routes, one service, and no problems.
func newTable(t testing.TB, routes ...Route) *Table {
	t.Helper()
	table := New(Content{Version: 1, Routes: routes, Services: []Service{{Name: "s"}}})
	if problems := table.Problems(); problems != nil {
		t.Fatal(problems)
	}
	return table
}

// TestMatch guards against a match of a shorter prefix although a longer one matches.
func TestMatch(t *testing.T) {
	table := newTable(t, route("a", "/", "s"), route("a", "/x/", "s"), route("a", "/x/y/", "s"))
	for path, want := range map[string]string{"/": "/", "/x": "/", "/x/1": "/x/", "/x/y/z": "/x/y/"} {
		if got := table.Match("a", path); got == nil || got.Prefix != want {
			t.Errorf("Match(%q) = %v, want prefix %q", path, got, want)
		}
	}
	if got := table.Match("b", "/"); got != nil {
		t.Errorf("unknown host matched %v", got)
	}
}

// TestInvalid guards against a route that cannot be served but is, that lets its requests
// fall through to a route with a shorter prefix, or that affects other routes.
func TestInvalid(t *testing.T) {
	cases := map[string]struct {
		invalidate func(*Route)
		leftOut    bool
	}{
		"no host":           {func(r *Route) { r.Host = "" }, true},
		"no prefix":         {func(r *Route) { r.Prefix = "" }, true},
		"prefix not ended":  {func(r *Route) { r.Prefix = "/x" }, false},
		"prefix not begun":  {func(r *Route) { r.Prefix = "x/" }, false},
		"unreadable":        {func(r *Route) { r.Err = errors.New("unreadable") }, false},
		"kind":              {func(r *Route) { r.Kind = 0 }, false},
		"timeout":           {func(r *Route) { r.Timeout = 0 }, false},
		"latency objective": {func(r *Route) { r.LatencyObjective = -1 }, false},
		"attempts":          {func(r *Route) { r.MaxAttempts = 0 }, false},
		"priority":          {func(r *Route) { r.Priority = -1 }, false},
		"no service":        {func(r *Route) { r.Backends = nil }, false},
		"service":           {func(r *Route) { r.Backends[0].Service = "other" }, false},
		"unusable service":  {func(r *Route) { r.Backends[0].Service = "negative" }, false},
		"weight":            {func(r *Route) { r.Backends[0].Weight = -1 }, false},
		"zero weights":      {func(r *Route) { r.Backends[0].Weight = 0 }, false},
		"infinite weight":   {func(r *Route) { r.Backends[0].Weight = math.Inf(1) }, false},
	}
	for name, tc := range cases {
		invalid := route("a", "/x/", "s")
		tc.invalidate(&invalid)
		table := New(Content{
			Routes:   []Route{invalid, route("a", "/", "s"), route("b", "/", "s")},
			Services: []Service{{Name: "s"}, {Name: "negative", ColdRate: -1}},
		})
		got := table.Match("a", "/x/1")
		if got.Disabled() == tc.leftOut || got.Prefix == "/" != tc.leftOut {
			t.Errorf("%s: matched %+v", name, got)
		}
		if table.Match("a", "/y").Disabled() || table.Match("b", "/x/1").Disabled() {
			t.Errorf("%s: another route is disabled", name)
		}
		effect := EffectRefused
		if tc.leftOut {
			effect = EffectLeftOut
		}
		if p := table.Problems(); len(p) != 2 || p[0].Name != invalid.Name || p[0].Effect != effect || p[0].Err == nil {
			t.Errorf("%s: problems %v", name, p)
		}
	}
}

// TestDuplicateRoutes guards against one of two routes that apply to the same requests being
// served, and against a further route that is affected.
func TestDuplicateRoutes(t *testing.T) {
	table := New(Content{
		Routes:   []Route{route("a", "/x/", "s"), route("a", "/", "s"), route("a", "/x/", "s"), route("b", "/x/", "s"), route("a", "/x/", "other")},
		Services: []Service{{Name: "s"}},
	})
	if !table.Match("a", "/x/1").Disabled() || table.Match("a", "/").Disabled() || table.Match("b", "/x/1").Disabled() {
		t.Errorf("problems %v", table.Problems())
	}
	if n := len(table.Problems()); n != 3 {
		t.Errorf("%d problems, want 3: %v", n, table.Problems())
	}
}

// TestHolder guards against an older version that replaces a newer one.
func TestHolder(t *testing.T) {
	var h Holder
	for _, step := range []struct {
		version, want uint64
	}{{3, 3}, {2, 3}, {3, 3}, {9, 9}, {4, 9}} {
		h.UpdateIfNewer(New(Content{Version: step.version}))
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
