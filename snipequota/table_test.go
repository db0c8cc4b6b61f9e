package snipequota

import (
	"testing"

	"go.uber.org/zap"

	"github.com/snipemoor/snipemoor/snipefleet"
)

// TestStatements guards against a limit that outlives its target's last statement of
// it, that an older statement or one of an earlier incarnation replaces, or that an
// unreadable statement ends.
func TestStatements(t *testing.T) {
	table := New(snipefleet.Member{Name: "f"}, snipefleet.New(), zap.NewNop())
	target := &snipefleet.Target{ID: "t", Born: 1}
	if _, changed := table.Record(target, Statement{At: 1}); changed || len(table.quotas) != 0 {
		t.Error("a target without a limit has an entry")
	}
	for _, step := range []struct {
		name    string
		s       Statement
		changed bool
		inForce float64
	}{
		{"begins", Statement{Limited: true, PerSecond: 9, At: 2}, true, 9},
		{"stays", Statement{Limited: true, PerSecond: 9, At: 3}, false, 9},
		{"changes", Statement{Limited: true, PerSecond: 4, At: 5}, true, 4},
		{"older", Statement{Limited: true, PerSecond: 9, At: 4}, false, 4},
		{"ends", Statement{At: 6}, true, 0},
	} {
		_, changed := table.Record(target, step.s)
		if got, _ := table.Current(target); changed != step.changed || got.PerSecond != step.inForce {
			t.Errorf("%s: changed %v, in force %+v", step.name, changed, got)
		}
	}
	table.Record(target, Statement{Limited: true, PerSecond: 7, At: 7})
	if !table.RecordUnreadable(target) || table.RecordUnreadable(target) {
		t.Error("an unreadable statement is not reported once")
	}
	if s, _ := table.Current(target); s.PerSecond != 7 || table.NumLimited() != 1 {
		t.Errorf("after an unreadable statement: %+v", s)
	}
	reborn := &snipefleet.Target{ID: "t", Born: 2}
	if s, _ := table.Current(reborn); s.Limited {
		t.Errorf("a new incarnation is limited: %+v", s)
	}
	table.Record(reborn, Statement{Limited: true, PerSecond: 3, At: 8})
	table.Record(target, Statement{Limited: true, PerSecond: 9, At: 9})
	table.RecordUnreadable(target)
	if s, _ := table.Current(reborn); s.PerSecond != 3 {
		t.Errorf("after a late statement of the earlier incarnation: %+v", s)
	}
	table.Forget(8, func(string) bool { return false })
	if table.NumLimited() != 0 {
		t.Error("a target that left is still limited")
	}
}
