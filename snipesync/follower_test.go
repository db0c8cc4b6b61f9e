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

// TestLostWatchAnswer guards against an old configuration that stays in force
// because the answer to a watch was lost in an outage of the store.
func TestLostWatchAnswer(t *testing.T) {
	h := newHarness(t)
	h.store.hangingWatches = 1
	h.store.changes = []Change{tableChange(t, 1)}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.follower.Run(ctx)
	}()
	h.store.waitUntil(t, "first watch", func() bool { return h.store.watches == 1 })
	<-h.follower.Loaded()
	h.store.update(func() { h.store.revision, h.store.changes = 2, []Change{tableChange(t, 2)} })
	interrupted := time.Now()
	h.follower.InterruptWatch()
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for h.tables.Current().Version() != 2 && time.Since(interrupted) < 2*h.follower.Timing.watchWait {
		<-tick.C
	}
	cancel()
	<-done
	if took := time.Since(interrupted); h.tables.Current().Version() != 2 || took > h.follower.Timing.watchWait/2 {
		t.Errorf("version %d in force after %v, want 2 within %v", h.tables.Current().Version(), took, h.follower.Timing.watchWait/2)
	}
}

// TestClassifyMissing guards against use of targets that left while only this front
// had no contact with the store, and against removal of targets whose entries lapsed
// in an outage of the store.
func TestClassifyMissing(t *testing.T) {
	const registered = 20
	cases := map[string]struct {
		missing int
		// reregistered means that the entry of a registered target was created after the
		// loss of the store.
		reregistered bool
		want         int
	}{
		"few departed":         {missing: 4, want: registered - 4},
		"none missing":         {missing: 0, want: registered},
		"many lapsed":          {missing: 8, want: registered},
		"one registered again": {missing: 4, reregistered: true, want: registered},
		"all but one lapsed":   {missing: registered - 1, want: registered},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			var all []Change
			for i := range registered {
				all = append(all, targetChange(fmt.Sprint(i), 1, 5))
			}
			h.follower.applyBatch(1, all, true, true)
			h.follower.storeLost(errors.New("cut"))
			listed := all[tc.missing:]
			if tc.reregistered {
				listed[0].Created = 30
			}
			h.follower.applyBatch(20, listed, true, true)
			h.follower.removeLapsed()
			if got := len(h.fleet.View().Targets("s")); got != tc.want {
				t.Errorf("%d targets in use, want %d", got, tc.want)
			}
		})
	}
}

// TestSummaryOfStart guards against a log line for each target when a front starts
// in a large fleet, and against later changes that are not logged.
func TestSummaryOfStart(t *testing.T) {
	const targets = 500
	h := newHarness(t)
	core, lines := observer.New(zap.InfoLevel)
	h.follower.Log = zap.New(core)
	h.store.changes = []Change{tableChange(t, 1)}
	for i := range targets {
		h.store.changes = append(h.store.changes, targetChange(fmt.Sprint(i), 1, 1))
	}
	h.run(t)
	loaded := lines.FilterMessage("loaded").All()
	if len(loaded) != 1 || lines.FilterMessage("target").Len() != 0 {
		t.Fatalf("%d lines, %d of them summaries of the start, want one summary and no line for a target", lines.Len(), len(loaded))
	}
	if got := fmt.Sprint(loaded[0].ContextMap()["targets"]); got != "map[s:500]" {
		t.Errorf("targets %s, want 500 of s", got)
	}
	h.store.update(func() { h.store.revision, h.store.changes = 2, []Change{targetChange("late", 1, 2)} })
	waitUntil(t, "line about a later target", func() bool { return lines.FilterMessage("target").Len() == 1 })
}

// TestUndecodableItem guards against an undecodable item that prevents the others
// from being applied.
func TestUndecodableItem(t *testing.T) {
	h := newHarness(t)
	bad := errors.New("bad")
	h.follower.applyBatch(1, []Change{
		{Kind: KindTable, DecodeErr: bad},
		{Kind: KindTarget, Name: "x", DecodeErr: bad},
		targetChange("a", 1, 2),
		tableChange(t, 4),
		{Kind: KindMember, Name: "m", DecodeErr: bad},
	}, true, true)
	if len(h.fleet.View().Targets("s")) != 1 || h.tables.Current().Version() != 4 {
		t.Error("decodable items were not applied")
	}
}

// TestAnnounceAgain guards against a front that does not write its entry again after
// it was removed, and against an entry that remains after the front has stopped.
func TestAnnounceAgain(t *testing.T) {
	h := newHarness(t)
	a := NewAnnouncer(h.store, snipefleet.Member{Name: "own"}, h.follower, zap.NewNop())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		a.Run(ctx)
	}()
	h.store.waitUntil(t, "first announcement", func() bool { return len(h.store.announced) == 1 })
	h.follower.applyBatch(1, []Change{{Kind: KindMember, Name: "own", Removed: true}}, false, true)
	h.store.waitUntil(t, "second announcement", func() bool { return len(h.store.announced) == 2 })
	cancel()
	<-done
	if n := len(h.store.ended); n != 1 || h.store.ended[0] != h.store.announced[1] {
		t.Errorf("ended leases %v, announced under %v", h.store.ended, h.store.announced)
	}
}
