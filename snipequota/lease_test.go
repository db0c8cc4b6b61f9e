package snipequota

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/snipemoor/snipemoor/snipefeed"
	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipetime"
)

// testFleet is a fleet of fronts in one region, with one limited target.
type testFleet struct {
	now      snipetime.Instant
	registry *snipefleet.Registry
	tables   map[string]*Table
	target   *snipefleet.Target
}

const testLimit = 20.0

func newTestFleet(fronts int) *testFleet {
	f := &testFleet{now: snipetime.Instant(time.Second), registry: snipefleet.New(), tables: make(map[string]*Table)}
	f.registry.UpdateTarget(f.now, snipefleet.TargetReport{ID: "t", Service: "s", Address: "t", Slots: 4, Born: 1, Place: place})
	f.target = f.registry.View().Target("s", "t")
	for i := range fronts {
		f.add(i)
	}
	return f
}

var place = snipefleet.Place{Domain: "d", Region: "r"}

// add adds the front i, which knows the limit.
func (f *testFleet) add(i int) {
	self := snipefleet.Member{Name: fmt.Sprint(i), Peer: fmt.Sprint(i), Place: place}
	table := New(self, f.registry, zap.NewNop())
	f.tables[self.Name] = table
	f.registry.UpdateMember(self)
	for _, t := range f.tables {
		t.Tick(f.now, 0)
	}
	table.Record(f.target, Statement{Limited: true, PerSecond: testLimit, At: f.now})
}

// remove removes the front i, which sends nothing from then on.
func (f *testFleet) remove(i int) {
	delete(f.tables, fmt.Sprint(i))
	f.registry.RemoveMember(f.now, fmt.Sprint(i))
	for _, t := range f.tables {
		t.Tick(f.now, 0)
	}
}

// watcher returns the name of the watcher that a front asks.
func (f *testFleet) watcher() string {
	members := f.registry.View().Members()
	groups := snipefeed.NewGroups(members[0], members)
	return groups.Watchers(groups.At(place))[0].Name
}

// exchange lets a front ask the watcher, which answers after a wait. If answered is
// not set, the answer is lost.
func (f *testFleet) exchange(name string, wait time.Duration, answered bool) {
	watcher := f.watcher()
	if name == watcher {
		f.tables[name].Tick(f.now, 0)
		return
	}
	sent := f.now
	reports := f.tables[name].LimitReports(f.now, 0)
	f.tables[watcher].MergeLimitReports(f.now, name, reports)
	f.now = f.now.Add(wait)
	answer := f.tables[watcher].AnswerLimitReports(f.now, name, 0)
	if answered {
		f.tables[name].ApplyLimitReports(sent, f.now, watcher, answer)
	}
}

// shares returns the share of each front and their sum.
func (f *testFleet) shares() (byName map[string]float64, sum float64) {
	byName = make(map[string]float64)
	for name, t := range f.tables {
		t.mu.Lock()
		q := t.quotas["t"]
		t.setShare(f.now, q)
		byName[name] = q.share
		sum += q.share
		t.mu.Unlock()
	}
	return byName, sum
}

// ask lets n requests ask for the target at a front.
func (f *testFleet) ask(name string, n int) {
	for range n {
		f.tables[name].Check(f.now, f.target)
	}
}

// TestSharesOfOneLimit guards against shares that add up to more than the limit while
// fronts come, go, stand still or do not hear each other.
func TestSharesOfOneLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxFronts = 5
		f := newTestFleet(rapid.IntRange(1, maxFronts-1).Draw(t, "fronts"))
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			i := rapid.IntRange(0, maxFronts-1).Draw(t, "front")
			name := fmt.Sprint(i)
			_, exists := f.tables[name]
			switch rapid.IntRange(0, 19).Draw(t, "event") {
			case 0:
				if exists && len(f.tables) > 1 {
					f.remove(i)
				}
			case 1:
				if !exists {
					f.add(i)
				}
			case 2:
				f.now = f.now.Add(time.Duration(rapid.IntRange(0, 6000).Draw(t, "pause")) * time.Millisecond)
			default:
				if exists {
					f.ask(name, rapid.IntRange(0, 20).Draw(t, "requests"))
					wait := time.Duration(rapid.IntRange(0, 300).Draw(t, "wait")) * time.Millisecond
					f.exchange(name, wait, rapid.IntRange(0, 3).Draw(t, "lost") > 0)
				}
			}
			if byName, sum := f.shares(); sum > 1+1e-9 {
				t.Fatalf("at %v the shares add up to %.3f: %v", time.Duration(f.now), sum, byName)
			}
		}
	})
}

// TestSharesFollowDemand guards against a part of a limit that an idle front keeps from
// a busy one, and against an idle front without any share.
func TestSharesFollowDemand(t *testing.T) {
	f := newTestFleet(4)
	for range 40 {
		f.now = f.now.Add(200 * time.Millisecond)
		for name := range f.tables {
			if name == "0" {
				f.ask(name, 5)
			}
			f.exchange(name, 0, true)
		}
	}
	byName, sum := f.shares()
	if byName["0"] < 0.7 || byName["1"] < 0.05 || sum < 0.95 {
		t.Errorf("shares %v, sum %.3f; want at least 0.7 for the busy front 0, 0.05 for others, 0.95 in all", byName, sum)
	}
}

// TestShareWithoutWatcher guards against a limit that is not used, or is exceeded,
// while fronts cannot hear each other.
func TestShareWithoutWatcher(t *testing.T) {
	f := newTestFleet(4)
	f.now = f.now.Add(2 * membershipDelay)
	byName, sum := f.shares()
	for name, share := range byName {
		if share != 0.25 {
			t.Errorf("front %s has the share %.3f, want 0.25", name, share)
		}
	}
	if sum != 1 {
		t.Errorf("sum %.3f", sum)
	}
}

// TestRateOfShare guards against a front that sends more than its share of a limit, or
// keeps the limit after the target states none or a higher one.
func TestRateOfShare(t *testing.T) {
	f := newTestFleet(1)
	table := f.tables["0"]
	send := func(d time.Duration) (sent int) {
		for end := f.now.Add(d); f.now < end; f.now = f.now.Add(5 * time.Millisecond) {
			if table.Check(f.now, f.target).Admitted {
				table.Take(f.now, f.target)
				sent++
			}
		}
		return sent
	}
	send(2 * membershipDelay)
	for _, step := range []struct {
		limit       float64
		least, most int
	}{{testLimit, 75, 85}, {5, 15, 25}, {0, 0, 3}, {40, 120, 165}} {
		table.Record(f.target, Statement{Limited: true, PerSecond: step.limit, At: f.now})
		if n := send(4 * time.Second); n < step.least || n > step.most {
			t.Errorf("limit %.0f/s: %d requests in 4 s, want %d to %d", step.limit, n, step.least, step.most)
		}
	}
	table.Record(f.target, Statement{At: f.now})
	if n := send(time.Second); n != 200 {
		t.Errorf("%d of 200 requests are admitted without a limit", n)
	}
}

// TestLimitOfOtherGroup guards against a front that sends to a target that fronts of
// another group send to, and that never finds out that its limit has ended.
func TestLimitOfOtherGroup(t *testing.T) {
	f := newTestFleet(2)
	other := snipefleet.Member{Name: "other", Peer: "other", Place: snipefleet.Place{Domain: "e", Region: "q"}}
	f.registry.UpdateMember(other)
	table := New(other, f.registry, zap.NewNop())
	for name, front := range f.tables {
		if name != f.watcher() {
			continue
		}
		notice := front.Tick(f.now, time.Second)
		if len(notice.Peers) != 1 || notice.Peers[0] != "other" {
			t.Fatalf("notice to %v", notice.Peers)
		}
		table.MergeLimitReports(f.now, name, notice.Reports)
	}
	if s, _ := table.Current(f.target); s.PerSecond != testLimit {
		t.Fatalf("the other group knows %+v", s)
	}
	sent := 0
	for range 600 {
		f.now = f.now.Add(100 * time.Millisecond)
		table.Tick(f.now, 0)
		if table.Check(f.now, f.target).Admitted {
			table.Take(f.now, f.target)
			sent++
		}
	}
	if sent < 2 || sent > 6 {
		t.Errorf("%d requests in 60 s without news of the limit, want 2 to 6", sent)
	}
	table.MergeLimitReports(f.now, "0", []snipefeed.LimitReport{{Target: "t", Service: "s", Born: 1}})
	if !table.Check(f.now, f.target).Admitted {
		t.Error("the end of the limit is not known")
	}
}

// TestLimitOfIdleTarget guards against a limit that outlives its end because no object
// is assigned to its target, so that no answer shows the end.
func TestLimitOfIdleTarget(t *testing.T) {
	f := newTestFleet(1)
	table := f.tables["0"]
	f.now = f.now.Add(2 * membershipDelay)
	version := table.Version()
	table.Tick(f.now, 0)
	if _, limited := table.Share(f.target); limited || table.Version() == version {
		t.Error("the target is not asked after")
	}
	table.Record(f.target, Statement{Limited: true, PerSecond: testLimit, At: f.now})
	if _, limited := table.Share(f.target); !limited {
		t.Error("the limit is not in force after an answer that states it")
	}
}
