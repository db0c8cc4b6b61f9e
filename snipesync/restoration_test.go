package snipesync

import (
	"context"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/snipemoor/snipemoor/snipefeed"
	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipetable"
)

// storeSelection is the choice of the store as the source.
var storeSelection = snipefeed.Selection{IsWatcher: true}

// poll applies one answer of the store.
func (h *harness) poll(t *testing.T) bool {
	t.Helper()
	return h.follower.poll(t.Context(), storeSelection)
}

// load gives the store the given contents at a position, and makes the follower
// list them.
func (h *harness) load(t *testing.T, epoch snipefeed.Epoch, revision snipefeed.Revision, changes ...Change) {
	t.Helper()
	h.store.update(func() { h.store.epoch, h.store.revision, h.store.changes = epoch, revision, changes })
	for i := 0; h.follower.Items.Position() != (snipefeed.Position{Epoch: epoch, Revision: revision}); i++ {
		if i == 5 {
			t.Fatalf("position %v after %d polls, want epoch %d, revision %d", h.follower.Items.Position(), i, epoch, revision)
		}
		h.poll(t)
	}
}

// settle waits until the follower takes the restored store at its word.
func (h *harness) settle(t *testing.T) {
	t.Helper()
	waitUntil(t, "end of the grace period", func() bool { return h.fleet.GraceRemaining(h.clock.Now()) == 0 })
	h.follower.removeLapsed()
	h.follower.settle()
}

// target returns the report of a target in an entry of a revision.
func target(id string, sequence int64, revision snipefeed.Revision) Change {
	c := targetChange(id, 7, revision)
	c.Target.Sequence, c.Target.Revision, c.Revision = sequence, uint64(revision), revision
	return c
}

// usable reports whether a target is in use.
func (h *harness) usable(id string) bool { return h.fleet.View().Target("s", id) != nil }

// TestLateAnswerOfEarlierEpoch guards against contents from before a restoration that
// replace those of the restored store.
func TestLateAnswerOfEarlierEpoch(t *testing.T) {
	h := newHarness(t)
	h.load(t, 2, 5, tableChange(t, 4))
	h.store.update(func() { h.store.epoch, h.store.revision, h.store.changes = 1, 90, []Change{tableChange(t, 9)} })
	if h.poll(t) || h.tables.Current().Version() != 4 {
		t.Errorf("version %d in force, want 4", h.tables.Current().Version())
	}
	if h.follower.Selector.StoreRetryIn(h.clock.Now()) == 0 {
		t.Error("the store may be called again at once")
	}
}

// TestEntriesThatCopyLacks guards against use of a target that ends because the copy
// from which the store was restored is older than its entry, and against use that goes
// on although the target does not write its entry again.
func TestEntriesThatCopyLacks(t *testing.T) {
	for name, tc := range map[string]struct {
		later []Change
		want  bool
	}{
		"written again": {later: []Change{target("old", 1, 2), target("new", 6, 4)}, want: true},
		"gone":          {later: []Change{target("old", 1, 2)}, want: false},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.load(t, 1, 9, target("old", 1, 2), target("new", 5, 8))
			h.load(t, 2, 3, target("old", 1, 2))
			if !h.usable("new") {
				t.Fatal("a target that the copy lacks is not in use")
			}
			h.load(t, 2, 4, tc.later...)
			h.settle(t)
			if !h.usable("old") || h.usable("new") != tc.want {
				t.Errorf("after the grace period old is used: %t, new: %t, want true, %t", h.usable("old"), h.usable("new"), tc.want)
			}
		})
	}
}

// TestDepartedTargetInCopy guards against use of a target that has left and that a
// restored store lists again.
func TestDepartedTargetInCopy(t *testing.T) {
	h := newHarness(t)
	kept := target("kept", 1, 2)
	h.load(t, 1, 5, kept, target("a", 3, 3), target("b", 3, 5))
	h.load(t, 1, 9, kept, Change{Kind: KindTarget, Name: "a", Removed: true}, Change{Kind: KindTarget, Name: "b", Removed: true})
	h.load(t, 2, 6, kept, target("a", 3, 3), target("b", 3, 5))
	h.settle(t)
	if h.usable("a") || h.usable("b") {
		t.Error("a target that has left is in use because a copy lists it")
	}
	h.load(t, 2, 8, kept, target("a", 4, 8), target("b", 3, 7))
	if !h.usable("a") || !h.usable("b") {
		t.Error("a target that wrote its entry again is not in use")
	}
}

// TestEvacuationInCopy guards against an evacuation that ends because the copy lacks
// it, and against one that begins again because the copy is older than its end.
func TestEvacuationInCopy(t *testing.T) {
	evacuation := func(domain string) Change { return Change{Kind: KindEvacuation, Name: domain} }
	ended := func(domain string) Change { return Change{Kind: KindEvacuation, Name: domain, Removed: true} }
	h := newHarness(t)
	h.load(t, 1, 5, evacuation("ended"))
	h.load(t, 1, 9, ended("ended"), evacuation("going on"))
	h.load(t, 2, 5, evacuation("ended"))
	if v := h.fleet.View(); v.Evacuated("ended") || !v.Evacuated("going on") {
		t.Errorf("evacuated: %v, want only the one that goes on", v.EvacuatedDomains())
	}
	h.settle(t)
	if v := h.fleet.View(); !v.Evacuated("ended") || v.Evacuated("going on") {
		t.Errorf("after the grace period evacuated: %v, want what the store lists", v.EvacuatedDomains())
	}
}

// TestVersionGivenOutAgain guards against a configuration that is ignored because
// another one had its version before a restoration, and against an older one that
// the copy brings back.
func TestVersionGivenOutAgain(t *testing.T) {
	configuration := func(version uint64, host string, revision snipefeed.Revision, digest uint64) Change {
		route := snipetable.Route{
			Host: host, Prefix: "/", Kind: snipetable.Idempotent, Timeout: time.Second, MaxAttempts: 1,
			Backends: []snipetable.Backend{{Service: "s", Weight: 1}},
		}
		table := snipetable.New(snipetable.Content{
			Version: version, Routes: []snipetable.Route{route}, Services: []snipetable.Service{{Name: "s"}},
		})
		if problems := table.Problems(); problems != nil {
			t.Fatal(problems)
		}
		return Change{Kind: KindTable, Table: table, Revision: revision, Digest: digest}
	}
	h := newHarness(t)
	h.load(t, 1, 9, configuration(4, "lost", 9, 1))
	h.load(t, 2, 3, configuration(3, "copy", 2, 2))
	if !h.tables.Current().HasHost("lost") {
		t.Error("the older configuration of the copy is in force")
	}
	h.load(t, 2, 6, configuration(4, "again", 5, 3))
	if !h.tables.Current().HasHost("again") {
		t.Error("the configuration that was written later under the same version is not in force")
	}
	h.follower.applyTable(&h.store.changes[0])
	late := configuration(4, "lost", 4, 1)
	h.follower.applyTable(&late)
	if !h.tables.Current().HasHost("again") {
		t.Error("an earlier configuration of the same version is in force again")
	}
}

// TestFrontEntryInCopy guards against callers that are sent to a front that has ended
// because a restored store lists it again, and against fronts that are not listed
// because they have yet to write their entries again.
func TestFrontEntryInCopy(t *testing.T) {
	entry := func(name string, epoch snipefeed.Epoch) Change {
		return Change{Kind: KindMember, Name: name, Announced: epoch, Member: &snipefleet.Member{Name: name}}
	}
	names := func(h *harness) string {
		var out []string
		for _, m := range h.fleet.View().Members() {
			out = append(out, m.Name)
		}
		return fmt.Sprint(out)
	}
	h := newHarness(t)
	h.load(t, 1, 8, tableChange(t, 1), entry("live", 1), entry("ended", 1))
	h.load(t, 1, 9, tableChange(t, 1), entry("live", 1), Change{Kind: KindMember, Name: "ended", Removed: true})
	h.load(t, 2, 3, tableChange(t, 1), entry("live", 1), entry("ended", 1))
	if got := names(h); got != "[live]" {
		t.Errorf("fronts %s after the restoration, want [live]", got)
	}
	h.load(t, 2, 4, tableChange(t, 1), entry("live", 2), entry("ended", 1))
	h.settle(t)
	if got := names(h); got != "[live]" {
		t.Errorf("fronts %s after the grace period, want [live]", got)
	}

	started := newHarness(t)
	started.load(t, 2, 3, tableChange(t, 1), entry("live", 1), entry("ended", 1))
	if got := names(started); got != "[ended live]" {
		t.Errorf("a front that starts knows the fronts %s, want [ended live]", got)
	}
	started.load(t, 2, 4, tableChange(t, 1), entry("live", 2), entry("ended", 1))
	started.settle(t)
	if got := names(started); got != "[live]" {
		t.Errorf("a front that has started knows the fronts %s after the grace period, want [live]", got)
	}
}

// TestAnnounceAfterRestoration guards against a front that is missing in a restored
// store because its lease, or another one under the same ID, can be renewed there.
func TestAnnounceAfterRestoration(t *testing.T) {
	h := newHarness(t)
	a := NewAnnouncer(h.store, snipefleet.Member{Name: "own"}, h.follower, zap.NewNop())
	h.load(t, 1, 9, tableChange(t, 1))
	h.store.update(func() { h.store.lastLease.ID = 6 })
	done := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		defer close(done)
		a.Run(ctx)
	}()
	h.store.waitUntil(t, "first announcement", func() bool { return len(h.store.announced) == 1 })
	h.load(t, 2, 3, tableChange(t, 1))
	h.store.waitUntil(t, "second announcement", func() bool { return len(h.store.announced) == 2 })
	cancel()
	<-done
	want := Lease{ID: 8, Epoch: 2}
	if h.store.announced[1] != want || len(h.store.ended) != 1 || h.store.ended[0] != want {
		t.Errorf("announced under %v and ended %v, want %v both", h.store.announced, h.store.ended, want)
	}
}

// TestHistoryLostRepeatedly guards against a loop of listings without a pause if the
// store does not have the history after any of them.
func TestHistoryLostRepeatedly(t *testing.T) {
	h := newHarness(t)
	h.load(t, 1, 9, tableChange(t, 1))
	h.store.update(func() { h.store.watchErr = snipefeed.ErrHistoryLost })
	for range 2 {
		h.poll(t) // watch
		h.poll(t) // listing
	}
	h.poll(t)
	if h.follower.Selector.StoreRetryIn(h.clock.Now()) == 0 {
		t.Error("the store may be called again at once")
	}
}

// TestRemovalAfterRestoration guards against use of a target that goes on after its
// entry was removed because losses of the store follow a restoration.
func TestRemovalAfterRestoration(t *testing.T) {
	h := newHarness(t)
	kept := []Change{target("kept", 1, 2), target("kept too", 1, 2), target("kept as well", 1, 2), target("last", 1, 2)}
	all := append(kept, target("leaves", 1, 2))
	h.load(t, 1, 9, all...)
	h.load(t, 2, 3, all...)
	waitUntil(t, "time to write again", func() bool { return !h.clock.Now().Before(h.follower.settleAt) })
	h.follower.storeLost(errDisconnected)
	h.load(t, 2, 4, append(kept, Change{Kind: KindTarget, Name: "leaves", Removed: true})...)
	if h.usable("leaves") {
		t.Error("the target is in use after its entry was removed")
	}
}

// TestLossIsNotEchoed guards against fronts that ask one another and report the same
// loss of the store to one another again and again.
func TestLossIsNotEchoed(t *testing.T) {
	h, peer := newPeerHarness(t)
	choice := snipefeed.Selection{Peer: "b"}
	batch := snipefeed.Batch{StoreLosses: 1}
	h.follower.checkPeerLosses(choice, batch)
	for range 3 {
		batch.StoreLosses++
		h.follower.checkPeerLosses(choice, batch)
		h.follower.disconnected = false
	}
	peer.log = h.follower.Items
	h.follower.Items.Replace(0, snipefeed.Batch{Position: snipefeed.Position{Revision: 1}})
	if b, err := peer.List(t.Context()); err != nil || b.StoreLosses != 1 {
		t.Errorf("%d losses recorded (error %v), want 1", b.StoreLosses, err)
	}
}
