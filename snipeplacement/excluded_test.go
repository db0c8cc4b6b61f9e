package snipeplacement

import (
	"fmt"
	"testing"

	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipetable"
)

// TestExcludedAddress guards against a request that is sent again to where it was sent
// before: to a target that has been reported anew since, or to another one at its address.
func TestExcludedAddress(t *testing.T) {
	const first, other = "127.0.0.1:1", "127.0.0.1:2"
	for name, report := range map[string]snipefleet.TargetReport{
		"same target":                   {ID: "a", Address: first, Slots: 4, Born: 1},
		"reported anew":                 {ID: "a", Address: first, Slots: 5, Born: 1, Sequence: 2},
		"next incarnation":              {ID: "a", Address: first, Slots: 4, Born: 2},
		"next incarnation moved":        {ID: "a", Address: "127.0.0.1:3", Slots: 4, Born: 2},
		"another target at the address": {ID: "b", Address: first, Slots: 4, Born: 2},
	} {
		t.Run(name, func(t *testing.T) {
			registry := snipefleet.New()
			registry.UpdateTarget(0, snipefleet.TargetReport{ID: "a", Service: "s", Address: first, Slots: 4, Born: 1})
			asked := registry.View().Target("s", "a")
			report.Service = "s"
			registry.UpdateTarget(second, report)
			c := New("f", snipefleet.Place{}, noLimits())
			q := &Query{Service: "s", Route: &snipetable.Route{}, Object: "o", Excluded: []*snipefleet.Target{asked}}
			if got, refusal := c.Choose(second, registry.View(), q); refusal == nil && got.Target.ID == report.ID {
				t.Errorf("%s at %s is chosen again", got.Target.ID, got.Target.Address)
			}
			registry.UpdateTarget(second, snipefleet.TargetReport{ID: "c", Service: "s", Address: other, Slots: 4, Born: 1})
			got, refusal := c.Choose(second, registry.View(), q)
			if refusal != nil || got.Target.Address != other {
				t.Errorf("chosen %s, refusal %v, want the target at %s", fmt.Sprint(got.Target), refusal, other)
			}
		})
	}
}
