package snipefront

import (
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/snipemoor/snipemoor/snipefleet"
)

// domains are the failure domains of the tests, by name.
var domains = map[string]snipefleet.Place{ //nolint:gochecknoglobals // a constant that the language cannot express
	"a1": {Domain: "a1", Region: "a"}, "a2": {Domain: "a2", Region: "a"}, "b1": {Domain: "b1", Region: "b"},
}

// fronts returns n members of a failure domain with the given capacity. Their addresses
// contain the domain and the label.
func fronts(domain, label string, n int, cores float64) []snipefleet.Member {
	var out []snipefleet.Member
	for i := range n {
		name := fmt.Sprintf("%s-%s%d", domain, label, i)
		out = append(out, snipefleet.Member{Name: name, Address: name, Place: domains[domain], Cores: cores})
	}
	return out
}

// TestSelectFronts guards against callers that use small fronts while large ones have
// enough capacity, against lists with a single address, which leave callers without a front
// when it fails, and against a change for fronts that are alike.
func TestSelectFronts(t *testing.T) {
	for name, tc := range map[string]struct {
		members []snipefleet.Member
		caller  string
		want    []string
	}{
		"alike": {slices.Concat(fronts("a1", "x", 2, 0.32), fronts("b1", "x", 1, 0.32)), "a1", []string{"a1-x0", "a1-x1"}},
		"alike, one in the domain": {
			slices.Concat(fronts("a1", "x", 1, 0.32), fronts("a2", "x", 2, 0.32)), "a1", []string{"a1-x0"},
		},
		"no capacity stated": {slices.Concat(fronts("a1", "x", 2, 0), fronts("a2", "x", 2, 0)), "a2", []string{"a2-x0", "a2-x1"}},
		"large ones of the domain": {
			slices.Concat(fronts("a1", "l", 2, 0.8), fronts("a1", "s", 10, 0.16), fronts("a2", "l", 2, 0.8)), "a1", []string{"a1-l0", "a1-l1"},
		},
		"one large one left in the domain": {
			slices.Concat(fronts("a1", "l", 1, 0.8), fronts("a1", "s", 3, 0.16), fronts("a2", "l", 2, 0.8)), "a1", []string{"a1-l0", "a2-l0", "a2-l1"},
		},
		"one large one left in the region": {
			slices.Concat(fronts("a1", "l", 1, 0.8), fronts("a1", "s", 2, 0.16), fronts("b1", "l", 2, 0.8)), "a1", []string{"a1-l0", "a1-s0", "a1-s1"},
		},
		"large ones with too little capacity": {
			slices.Concat(fronts("a1", "l", 2, 0.8), fronts("a1", "s", 30, 0.16)), "a1", nil,
		},
		"none in the region": {fronts("b1", "x", 1, 1), "a1", []string{"b1-x0"}},
		"none":               {nil, "a1", nil},
	} {
		t.Run(name, func(t *testing.T) {
			got := selectFronts(tc.members, domains[tc.caller])
			want := tc.want
			if want == nil {
				want = filterAddresses(tc.members, func(*snipefleet.Member) bool { return true })
			}
			slices.Sort(got)
			slices.Sort(want)
			if !slices.Equal(got, want) {
				t.Errorf("got %v, want %v", got, want)
			}
		})
	}
}

// TestAddressesOfManyFronts guards against fronts that are never named because their names
// come after those of 64 others.
func TestAddressesOfManyFronts(t *testing.T) {
	fleet := snipefleet.New()
	all := fronts("a1", "x", 100, 0.32)
	for _, m := range all[1:] {
		fleet.UpdateMember(m)
	}
	b := &addressBook{self: all[0], fleet: fleet, ttl: func() time.Duration { return time.Minute }, accepting: atomic.Bool{}}
	b.accepting.Store(true)
	named := map[string]bool{}
	for range 200 {
		addresses, _ := b.Addresses(domains["a1"])
		if len(addresses) != maxAddresses {
			t.Fatalf("%d addresses, want %d", len(addresses), maxAddresses)
		}
		for _, a := range addresses {
			named[a] = true
		}
	}
	if len(named) != len(all) {
		t.Errorf("%d of %d fronts were named in 200 lists", len(named), len(all))
	}
}
