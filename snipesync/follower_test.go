package snipesync

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/snipemoor/snipemoor/snipefleet"
)

// TestLostWatch guards against an old configuration in force because the answer
// to a watch was lost while the store was away.
func TestLostWatch(t *testing.T) {
	r := newRig(t)
	r.store.silentWatches = 1
	r.store.changes = []Change{table(t, 1)}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.follower.Run(ctx)
	}()
	r.store.await(t, "first watch", func() bool { return r.store.watched == 1 })
	<-r.follower.Loaded()
	r.store.update(func() { r.store.at, r.store.changes = 2, []Change{table(t, 2)} })
	doubted := time.Now()
	r.follower.Doubt()
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for r.tables.Current().Version() != 2 && time.Since(doubted) < 2*r.follower.Timing.wait {
		<-tick.C
	}
	cancel()
	<-done
	if took := time.Since(doubted); r.tables.Current().Version() != 2 || took > r.follower.Timing.wait/2 {
		t.Errorf("version %d in force after %v, want 2 within %v", r.tables.Current().Version(), took, r.follower.Timing.wait/2)
	}
}

// TestJudge guards against use of targets that left while this front was cut
// off, and against dropping targets whose entries lapsed in an outage.
func TestJudge(t *testing.T) {
	const known = 20
	cases := map[string]struct {
		missing int
		// anew is a known target whose entry was created after the loss.
		anew bool
		want int
	}{
		"few left":           {missing: 4, want: known - 4},
		"nothing left":       {missing: 0, want: known},
		"many lapsed":        {missing: 8, want: known},
		"one came back":      {missing: 4, anew: true, want: known},
		"all but one lapsed": {missing: known - 1, want: known},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			var all []Change
			for i := range known {
				all = append(all, targetChange(fmt.Sprint(i), 1, 5))
			}
			r.follower.take(1, all, true, true)
			r.follower.storeAway(errors.New("cut"))
			left := all[tc.missing:]
			if tc.anew {
				left[0].Created = 30
			}
			r.follower.take(20, left, true, true)
			r.follower.tick()
			if got := len(r.fleet.View().Targets("s")); got != tc.want {
				t.Errorf("%d targets in use, want %d", got, tc.want)
			}
		})
	}
}

// TestLoadedLine guards against a start of a front in a large fleet that crowds
// other lines out of the log, and against later changes that are not logged.
func TestLoadedLine(t *testing.T) {
	const targets = 500
	r := newRig(t)
	core, lines := observer.New(zap.InfoLevel)
	r.follower.Log = zap.New(core)
	r.store.changes = []Change{table(t, 1)}
	for i := range targets {
		r.store.changes = append(r.store.changes, targetChange(fmt.Sprint(i), 1, 1))
	}
	r.run(t)
	loaded := lines.FilterMessage("loaded").All()
	if len(loaded) != 1 || lines.FilterMessage("target").Len() != 0 {
		t.Fatalf("%d lines, %d of them about the start", lines.Len(), len(loaded))
	}
	if got := fmt.Sprint(loaded[0].ContextMap()["targets"]); got != "map[s:500]" {
		t.Errorf("targets %s, want 500 of s", got)
	}
	r.store.update(func() { r.store.at, r.store.changes = 2, []Change{targetChange("late", 1, 2)} })
	until(t, "line about a later target", func() bool { return lines.FilterMessage("target").Len() == 1 })
}

// TestUnreadable guards against one unreadable item that spoils the others.
func TestUnreadable(t *testing.T) {
	r := newRig(t)
	bad := errors.New("bad")
	r.follower.take(1, []Change{
		{Kind: KindTable, Unreadable: bad},
		{Kind: KindTarget, Name: "x", Unreadable: bad},
		targetChange("a", 1, 2),
		table(t, 4),
		{Kind: KindMember, Name: "m", Unreadable: bad},
	}, true, true)
	if len(r.fleet.View().Targets("s")) != 1 || r.tables.Current().Version() != 4 {
		t.Error("readable items were not taken")
	}
}

// TestAnnounceAgain guards against a front that stays unannounced after its
// entry was removed, and against an entry that outlives the front.
func TestAnnounceAgain(t *testing.T) {
	r := newRig(t)
	a := NewAnnouncer(r.store, snipefleet.Member{Name: "own"}, r.follower, zap.NewNop())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		a.Run(ctx)
	}()
	r.store.await(t, "first announcement", func() bool { return len(r.store.announced) == 1 })
	r.follower.take(1, []Change{{Kind: KindMember, Name: "own", Gone: true}}, false, true)
	r.store.await(t, "second announcement", func() bool { return len(r.store.announced) == 2 })
	cancel()
	<-done
	if n := len(r.store.ended); n != 1 || r.store.ended[0] != r.store.announced[1] {
		t.Errorf("ended leases %v, announced under %v", r.store.ended, r.store.announced)
	}
}
