package snipequota

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/snipemoor/snipemoor/snipefeed"
	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipetime"
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

// TestLimitFromBeforeStart guards against a front that has just started and drops the limits
// that others tell it, because their targets stated them before this process began.
func TestLimitFromBeforeStart(t *testing.T) {
	fleet := snipefleet.New()
	fleet.UpdateTarget(0, snipefleet.TargetReport{ID: "t", Service: "s", Address: "t", Slots: 4, Born: 1})
	const now, age = snipetime.Instant(time.Second), 10 * time.Second
	report := snipefeed.LimitReport{Target: "t", Service: "s", Born: 1, Limited: true, PerSecond: 3, Age: age}
	for name, before := range map[string]func(table *Table){
		"nothing heard":              func(*Table) {},
		"a statement not readable":   func(table *Table) { table.RecordUnreadable(fleet.View().Target("s", "t")) },
		"an older statement of 9/s":  func(table *Table) { table.MergeLimitReports(now, "p", []snipefeed.LimitReport{older(report)}) },
		"the end of an older limit":  func(table *Table) { table.MergeLimitReports(now, "p", []snipefeed.LimitReport{ended(older(report))}) },
		"the same statement, before": func(table *Table) { table.MergeLimitReports(now, "p", []snipefeed.LimitReport{report}) },
	} {
		table := New(snipefleet.Member{Name: "f"}, fleet, zap.NewNop())
		before(table)
		table.MergeLimitReports(now, "p", []snipefeed.LimitReport{report})
		if s, _ := table.Current(fleet.View().Target("s", "t")); s.PerSecond != report.PerSecond {
			t.Errorf("%s: %+v, want %.0f/s", name, s, report.PerSecond)
		}
	}
}

// older returns a report of a higher limit, stated before r.
func older(r snipefeed.LimitReport) snipefeed.LimitReport {
	r.PerSecond, r.Age = 9, 2*r.Age
	return r
}

// ended returns a report of the end of a limit, stated when r was.
func ended(r snipefeed.LimitReport) snipefeed.LimitReport {
	r.Limited, r.PerSecond = false, 0
	return r
}
