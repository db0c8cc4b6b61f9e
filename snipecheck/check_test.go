package snipecheck_test

import (
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/snipemoor/snipemoor/snipecheck"
	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipetable"
)

// content returns a configuration in which nothing is to be corrected.
func content(version uint64) snipetable.Content {
	return snipetable.Content{
		Version:  version,
		Services: []snipetable.Service{{Name: "s", ColdDuration: 3 * time.Second, ColdRate: 7, MaxConnections: 2}},
		Routes: []snipetable.Route{{
			Name: "r", Host: "h", Prefix: "/", Kind: snipetable.Idempotent, Timeout: 3 * time.Second,
			LatencyObjective: 500 * time.Millisecond, MaxAttempts: 2, Backends: []snipetable.Backend{{Service: "s", Weight: 1}},
		}},
		RequiresKeys: true,
		Tenants: []snipetable.TenantEntry{{
			Tenant: snipetable.Tenant{Name: "t", Quota: snipetable.Quota{PerSecond: 10, Burst: 10}}, Keys: []string{"k"},
		}},
	}
}

// fleet returns two targets with 3 slots each, and two fronts.
func fleet() *snipecheck.Fleet {
	place := snipefleet.Place{Domain: "d", Region: "east"}
	target := snipefleet.TargetReport{ID: "a", Service: "s", Slots: 3, Place: place}
	return &snipecheck.Fleet{
		Targets: []snipefleet.TargetReport{target, target},
		Fronts:  []snipefleet.Member{{Name: "f", Place: place}, {Name: "g", Place: place}},
	}
}

// TestFindings guards against a contradiction that is not found, and against one that is
// found in a configuration without any.
func TestFindings(t *testing.T) {
	cases := map[string]struct {
		change func(c *snipetable.Content, f *snipecheck.Fleet)
		want   string // part of a finding, or empty if there must be none to correct
	}{
		"none":               {func(*snipetable.Content, *snipecheck.Fleet) {}, ""},
		"quota at the limit": {func(c *snipetable.Content, _ *snipecheck.Fleet) { c.Tenants[0].Tenant.Quota.PerSecond = 12 }, ""},
		"quota above it":     {func(c *snipetable.Content, _ *snipecheck.Fleet) { c.Tenants[0].Tenant.Quota.PerSecond = 13 }, "add up to 13/s; the 6 slots"},
		"draining target":    {func(_ *snipetable.Content, f *snipecheck.Fleet) { f.Targets[0].Draining = true }, "the 3 slots"},
		"unreadable target":  {func(_ *snipetable.Content, f *snipecheck.Fleet) { f.Targets, f.Unreadable = nil, 2 }, ""},
		"one front too many": {func(_ *snipetable.Content, f *snipecheck.Fleet) { f.Fronts = append(f.Fronts, f.Fronts[0]) }, "3 fronts"},
		"too many attempts":  {func(c *snipetable.Content, _ *snipecheck.Fleet) { c.Routes[0].MaxAttempts = 3 }, "there are 2 targets"},
		"attempts of a request that runs once": {func(c *snipetable.Content, _ *snipecheck.Fleet) {
			c.Routes[0].Kind, c.Routes[0].Timeout = snipetable.NonIdempotent, 600*time.Millisecond
		}, ""},
		"region without target": {func(c *snipetable.Content, _ *snipecheck.Fleet) { c.Routes[0].Regions = []string{"west"} }, `allowed region "west"`},
		"region not known": {func(c *snipetable.Content, f *snipecheck.Fleet) {
			c.Routes[0].Regions, f.Targets[0].Place.Region = []string{"west"}, ""
		}, ""},
		"cold rate too low":    {func(c *snipetable.Content, _ *snipecheck.Fleet) { c.Services[0].ColdRate = 0.3 }, "cold rate 0.3/s"},
		"burst without rate":   {func(c *snipetable.Content, _ *snipecheck.Fleet) { c.Tenants[0].Tenant.Quota.PerSecond = 0 }, "burst 10 limits nothing"},
		"only public routes":   {func(c *snipetable.Content, _ *snipecheck.Fleet) { c.Routes[0].Public = true }, "needs a key"},
		"nobody has a key":     {func(c *snipetable.Content, _ *snipecheck.Fleet) { c.Tenants = nil }, "no tenant has one"},
		"prefix with a query":  {func(c *snipetable.Content, _ *snipecheck.Fleet) { c.Routes[0].Prefix = "/a?b/" }, "never matches"},
		"no routes":            {func(c *snipetable.Content, _ *snipecheck.Fleet) { c.Routes = nil }, "no route matches"},
		"lower version":        {func(c *snipetable.Content, _ *snipecheck.Fleet) { c.Version = 1 }, "version 1 is not higher than version 2"},
		"quota of the version": {func(c *snipetable.Content, _ *snipecheck.Fleet) { c.Tenants[0].Tenant.QuotaErr = errors.New("e") }, "e (previousQuota)"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			changed, f := content(3), fleet()
			c.change(&changed, f)
			found := snipecheck.Check(snipecheck.Input{
				New: snipecheck.NewConfiguration(changed), Current: snipecheck.NewConfiguration(content(2)), Fleet: f,
			})
			has := func(f snipecheck.Finding) bool { return f.Class.Defect() && strings.Contains(f.String(), c.want) }
			if got := slices.ContainsFunc(found, has); got != (c.want != "") {
				t.Errorf("findings %v, want one with %q", found, c.want)
			}
		})
	}
}

// TestChangesOfUnusableEntries guards against changes to zero that are told of fields that
// could not be read.
func TestChangesOfUnusableEntries(t *testing.T) {
	unreadable := errors.New("not readable")
	changed := content(3)
	changed.Services[0] = snipetable.Service{Name: "s", Err: unreadable}
	changed.Tenants[0].Tenant = snipetable.Tenant{Name: "t", Err: unreadable}
	found := snipecheck.Check(snipecheck.Input{
		New: snipecheck.NewConfiguration(changed), Current: snipecheck.NewConfiguration(content(2)), Fleet: fleet(),
	})
	var changes []string
	for _, f := range found {
		if f.Class == snipecheck.ClassChange {
			changes = append(changes, string(f.Object)+" "+f.Text)
		}
	}
	const text = " not usable from now on"
	want := []string{"configuration version changed from 2 to 3", "route" + text, "service" + text, "tenant" + text}
	if !slices.Equal(changes, want) {
		t.Errorf("changes %q, want %q", changes, want)
	}
}
