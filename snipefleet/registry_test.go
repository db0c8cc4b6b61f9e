package snipefleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/snipemoor/snipemoor/snipetime"
)

const second = snipetime.Instant(time.Second)

// report returns a report of an incarnation of a warm target of service s.
func report(id string, born int64) TargetReport {
	return TargetReport{ID: id, Service: "s", Address: id, Place: Place{Domain: "d", Region: "r"}, Slots: 4, Born: born}
}

// usableCount returns the number of usable targets of service s.
func usableCount(r *Registry) int { return len(r.View().Targets("s")) }

// TestDraining guards against a draining target that comes back into use because of
// an older report.
func TestDraining(t *testing.T) {
	r := New()
	r.UpdateTarget(0, report("a", 1))
	draining := report("a", 1)
	draining.Draining = true
	r.UpdateTarget(second, draining)
	if usableCount(r) != 0 {
		t.Fatal("draining target is in use")
	}
	r.UpdateTarget(2*second, report("a", 1))
	if usableCount(r) != 0 {
		t.Fatal("an old report returned a draining target to use")
	}
	r.UpdateTarget(3*second, report("a", 2))
	if usableCount(r) != 1 {
		t.Fatal("a new incarnation is not in use")
	}
}

// TestLapse guards against a view without targets after entries lapsed in an outage
// of the store, and against use of targets and fronts that do not register again.
func TestLapse(t *testing.T) {
	r := New()
	r.UpdateTarget(0, report("a", 1))
	r.UpdateTarget(0, report("b", 1))
	r.UpdateMember(Member{Name: "f"})
	r.StoreLost()
	r.StoreRegained(10 * second)
	r.RemoveUnlisted(10*second, Listing{})
	if usableCount(r) != 2 || len(r.View().Members()) != 1 {
		t.Fatal("lapsed entries are not in use right after the store was regained")
	}
	r.UpdateTarget(11*second, report("a", 1))
	graceEnd := (10 * second).Add(LapseGrace)
	r.RemoveLapsed(graceEnd - 1)
	if usableCount(r) != 2 {
		t.Fatal("a lapsed entry was removed before the end of the grace period")
	}
	r.RemoveLapsed(graceEnd)
	if usableCount(r) != 1 || len(r.View().Members()) != 0 {
		t.Fatal("entries that did not register again are in use after the grace period")
	}
	if r.RemoveTarget(13*second, "a"); usableCount(r) != 0 {
		t.Fatal("a removal after the grace period did not end use")
	}
}

// TestEvacuate guards against use of targets in an evacuated failure domain.
func TestEvacuate(t *testing.T) {
	r := New()
	r.UpdateTarget(0, report("a", 1))
	r.SetEvacuated(second, "d", true)
	if usableCount(r) != 0 || !r.View().Evacuated("d") {
		t.Fatal("evacuated target is in use")
	}
	r.RemoveUnlisted(2*second, Listing{Targets: map[string]bool{"a": true}})
	if usableCount(r) != 1 {
		t.Fatal("target is not in use after the evacuation")
	}
	if at, ok := r.View().EvacuationEnd("d"); !ok || at != 2*second {
		t.Fatalf("EvacuationEnd = %v, %v", at, ok)
	}
}

// TestMisaddressed guards against requests to an address that now belongs to another
// target.
func TestMisaddressed(t *testing.T) {
	r := New()
	r.UpdateTarget(0, report("a", 1))
	r.MarkMisaddressed(r.View().Targets("s")[0])
	r.UpdateTarget(second, report("a", 1))
	if usableCount(r) != 0 {
		t.Fatal("target is in use after another one answered at its address")
	}
}

// TestLeavingStatement guards against a target that returns to use although it stated that
// it leaves, because of what the store says about the same incarnation, and against a new
// incarnation or another target at its address that stays out of use.
func TestLeavingStatement(t *testing.T) {
	changed := func(born int64, change func(*TargetReport)) TargetReport {
		out := report("a", born)
		change(&out)
		return out
	}
	update := func(report TargetReport) func(*Registry) {
		return func(r *Registry) { r.UpdateTarget(2*second, report) }
	}
	for name, tc := range map[string]struct {
		born   int64
		change func(*Registry)
		usable int
	}{
		"nothing":            {1, func(*Registry) {}, 0},
		"older entry":        {1, update(report("a", 1)), 0},
		"entry written anew": {1, update(changed(1, func(r *TargetReport) { r.Sequence, r.Revision = 9, 9 })), 0},
		"removed, then again": {1, func(r *Registry) {
			r.RemoveTarget(second, "a")
			update(changed(1, func(r *TargetReport) { r.Sequence = 9 }))(r)
		}, 0},
		"store lost": {1, func(r *Registry) {
			r.StoreLost()
			r.RemoveTarget(second, "a")
			r.StoreRegained(2 * second)
			update(report("a", 1))(r)
		}, 0},
		"store restored": {1, func(r *Registry) {
			r.StoreRestored(second)
			r.RemoveUnlisted(second, Listing{})
			update(report("a", 1))(r)
		}, 0},
		"earlier incarnation":          {2, update(report("a", 1)), 0},
		"new incarnation":              {1, update(report("a", 2)), 1},
		"other target at its address":  {1, update(TargetReport{ID: "b", Service: "s", Address: "a", Born: 1}), 1},
		"no start time, same address":  {0, update(changed(0, func(r *TargetReport) { r.Sequence = 9 })), 0},
		"no start time, other address": {0, update(changed(0, func(r *TargetReport) { r.Address = "c" })), 1},
	} {
		t.Run(name, func(t *testing.T) {
			r := New()
			r.UpdateTarget(0, report("a", tc.born))
			target := r.View().Targets("s")[0]
			if !r.MarkLeaving(target) || r.MarkLeaving(target) {
				t.Error("only the first statement is to count as new")
			}
			tc.change(r)
			if n := usableCount(r); n != tc.usable {
				t.Errorf("%d targets are in use, want %d", n, tc.usable)
			}
		})
	}
}

// TestLeavingAtEarlierAddress guards against a target that stays in use although it stated
// that it leaves, because its entry has named another address since the request was sent.
func TestLeavingAtEarlierAddress(t *testing.T) {
	r := New()
	r.UpdateTarget(0, report("a", 1))
	asked := r.View().Targets("s")[0]
	moved := report("a", 1)
	moved.Address, moved.Sequence = "b", 1
	r.UpdateTarget(second, moved)
	r.MarkLeaving(asked)
	if usableCount(r) != 0 {
		t.Fatal("the leaving target is in use")
	}
}

// TestLateLeavingStatement guards against a statement of an earlier incarnation, in a
// response that was on its way, that takes the next one out of use.
func TestLateLeavingStatement(t *testing.T) {
	r := New()
	r.UpdateTarget(0, report("a", 1))
	earlier := r.View().Targets("s")[0]
	r.UpdateTarget(second, report("a", 2))
	r.MarkLeaving(earlier)
	r.UpdateTarget(2*second, report("a", 2))
	if usableCount(r) != 1 {
		t.Fatal("the new incarnation is not in use")
	}
}

// TestDeparturesDuringLoss guards against requests to targets that left while only
// this front had lost the store.
func TestDeparturesDuringLoss(t *testing.T) {
	r := New()
	r.UpdateTarget(0, report("a", 1))
	r.UpdateTarget(0, report("b", 1))
	r.StoreLost()
	r.StoreRegained(10 * second)
	r.RemoveUnlisted(10*second, Listing{Targets: map[string]bool{"a": true}})
	if missing, all := r.CountLapsed(); missing != 1 || all != 2 {
		t.Fatalf("CountLapsed = %d of %d, want 1 of 2", missing, all)
	}
	r.EndGrace(10 * second)
	r.RemoveLapsed(10 * second)
	if usableCount(r) != 1 {
		t.Fatal("a target that left during the loss of the store is in use")
	}
}

// TestBatch guards against a view for each change of a batch, and against a change
// that is not published.
func TestBatch(t *testing.T) {
	r := New()
	before := r.View()
	r.Batch(func() {
		r.UpdateTarget(0, report("a", 1))
		r.UpdateTarget(0, report("b", 1))
		if r.View() != before {
			t.Error("a view was built within the batch")
		}
	})
	if usableCount(r) != 2 {
		t.Errorf("%d targets after the batch, want 2", usableCount(r))
	}
	after := r.View()
	r.Batch(func() { r.UpdateTarget(0, report("a", 1)) })
	if r.View() != after {
		t.Error("a batch without changes built a view")
	}
	r.Batch(func() { r.UpdateMember(Member{Name: "f"}) })
	if &r.View().Targets("s")[0] != &after.Targets("s")[0] {
		t.Error("the targets of a service are in another slice, although they have not changed")
	}
}

// BenchmarkBatch measures the first listing of a fleet, by its size.
func BenchmarkBatch(b *testing.B) {
	for _, n := range []int{50, 500, 3000} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			reports := make([]TargetReport, n)
			for i := range reports {
				reports[i] = report(fmt.Sprint(i), 1)
			}
			b.ReportAllocs()
			for range b.N {
				r := New()
				r.Batch(func() {
					for i := range reports {
						r.UpdateTarget(0, reports[i])
					}
				})
			}
		})
	}
}
