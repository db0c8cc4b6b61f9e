package snipesync

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/snipemoor/snipemoor/snipefeed"
	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipetable"
	"github.com/snipemoor/snipemoor/snipetime"
)

var errCut = errors.New("cut off")

// fakePeer is the log of another front, which loses the store at a time.
type fakePeer struct {
	log   *snipefeed.Log
	clock Clock
	mu    sync.Mutex
	// silent calls wait until their context ends.
	silent bool
	asked  int
	// listed counts the listings.
	listed int
}

func (p *fakePeer) At(string) snipefeed.Source { return p }

func (p *fakePeer) List(context.Context) (snipefeed.Batch, error) {
	p.mu.Lock()
	p.listed++
	p.mu.Unlock()
	return p.log.All(p.clock.Now())
}

func (p *fakePeer) Watch(ctx context.Context, after snipefeed.Revision, wait time.Duration) (snipefeed.Batch, error) {
	p.mu.Lock()
	p.asked++
	silent := p.silent
	p.mu.Unlock()
	if silent {
		<-ctx.Done()
		return snipefeed.Batch{}, ctx.Err()
	}
	return p.log.Since(ctx, p.clock, after, wait)
}

func (p *fakePeer) calls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.asked
}

// newListener returns a rig whose front asks another one of its region.
func newListener(t *testing.T) (*rig, *fakePeer) {
	t.Helper()
	r := &rig{store: newFakeStore(), fleet: snipefleet.New(), tables: &snipetable.Holder{}, clock: snipetime.New()}
	t.Cleanup(r.clock.Close)
	place := snipefleet.Place{Domain: "d", Region: "r"}
	self, other := snipefleet.Member{Name: "a", Peer: "a", Place: place}, snipefleet.Member{Name: "b", Peer: "b", Place: place}
	plan := snipefeed.NewPlan(self, nil)
	if plan.Next(0, []snipefleet.Member{other}).Watches {
		self, other = other, self
		plan = snipefeed.NewPlan(self, nil)
	}
	peer := &fakePeer{log: snipefeed.NewLog(), clock: r.clock}
	r.follower = NewFollower(Dependencies{
		Own: self.Name, Timing: NewTiming(0), Store: r.store, Peers: peer, Plan: plan,
		Items: snipefeed.NewLog(), Decoder: r.store, Registry: r.fleet, Tables: r.tables, Clock: r.clock, Log: zap.NewNop(),
	})
	r.store.changes = []Change{table(t, 1), {Kind: KindMember, Name: other.Name, Member: &other}}
	return r, peer
}

func (r *rig) run(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.follower.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	<-r.follower.Loaded()
}

// until waits until a condition holds and returns how long that took.
func until(t *testing.T, what string, holds func() bool) time.Duration {
	t.Helper()
	started := time.Now()
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for !holds() {
		if time.Since(started) > 10*time.Second {
			t.Fatalf("timeout: %s", what)
		}
		<-tick.C
	}
	return time.Since(started)
}

// TestWatcherLost guards against an old configuration in force because the front
// that was asked has lost the store, or is gone.
func TestWatcherLost(t *testing.T) {
	for name, silent := range map[string]bool{"cut off from the store": false, "gone": true} {
		t.Run(name, func(t *testing.T) {
			r, peer := newListener(t)
			peer.log.Replace(r.clock.Now(), snipefeed.Batch{At: 1})
			r.run(t)
			until(t, "the other front is asked", func() bool { return peer.calls() > 0 })
			peer.log.Append(r.clock.Now(), snipefeed.Batch{At: 1})
			peer.mu.Lock()
			peer.silent = silent
			peer.mu.Unlock()
			r.store.update(func() { r.store.at, r.store.changes = 2, []Change{table(t, 2)} })
			took := until(t, "new configuration", func() bool { return r.tables.Current().Version() == 2 })
			if took > defaultChange {
				t.Errorf("configuration in force after %v, want at most %v", took, defaultChange)
			}
		})
	}
}

// TestStoreSpared guards against calls to the store by a front whose watcher
// answers, and against changes that do not arrive through it.
func TestStoreSpared(t *testing.T) {
	r, peer := newListener(t)
	peer.log.Replace(r.clock.Now(), snipefeed.Batch{At: 1})
	r.run(t)
	until(t, "the other front is asked", func() bool { return peer.calls() > 0 })
	r.store.mu.Lock()
	watched := r.store.watched
	r.store.changes = []Change{table(t, 2)}
	r.store.mu.Unlock()
	peer.log.Append(r.clock.Now(), snipefeed.Batch{At: 2, Items: []snipefeed.Item{{Key: "0", Revision: 2}}})
	if took := until(t, "new configuration", func() bool { return r.tables.Current().Version() == 2 }); took > defaultChange/5 {
		t.Errorf("configuration in force after %v", took)
	}
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	if r.store.watched != watched {
		t.Errorf("%d calls to the store", r.store.watched-watched)
	}
}

// TestStartInOutage guards against a front that stays useless because it starts
// while the store is away, although others know the configuration.
func TestStartInOutage(t *testing.T) {
	r, peer := newListener(t)
	r.store.listErr = errCut
	r.store.changes = []Change{table(t, 3), targetChange("x", 1, 2)}
	r.follower.Plan = snipefeed.NewPlan(snipefleet.Member{Name: "a", Peer: "a"}, []string{"seed"})
	peer.log.Replace(r.clock.Now(), snipefeed.Batch{
		At: 4, Age: time.Minute, Items: []snipefeed.Item{{Key: "0", Revision: 3}, {Key: "1", Revision: 4}},
	})
	r.run(t)
	if r.tables.Current().Version() != 3 || len(r.fleet.View().Targets("s")) != 1 {
		t.Error("the front does not know what the other one does")
	}
}

// TestLossOfWatcher guards against dropping targets whose entries lapsed while
// the front that was asked had lost the store.
func TestLossOfWatcher(t *testing.T) {
	r, _ := newListener(t)
	f := r.follower
	f.take(0, []Change{targetChange("x", 1, 2), targetChange("y", 1, 2), targetChange("z", 1, 2)}, true, true)
	asked := snipefeed.Choice{Peer: "b"}
	f.noteLosses(asked, snipefeed.Batch{Losses: 4})
	f.noteLosses(asked, snipefeed.Batch{Losses: 5})
	f.take(5, []Change{
		{Kind: KindTarget, Name: "x", Gone: true},
		{Kind: KindTarget, Name: "y", Gone: true},
		{Kind: KindTarget, Name: "z", Gone: true},
		targetChange("z", 1, 7),
	}, false, true)
	f.tick()
	if got := len(r.fleet.View().Targets("s")); got != 3 {
		t.Errorf("%d targets in use, want 3", got)
	}
}

// TestStaleStart guards against a front that goes on with what was in force some
// time before its start, that hands it on as new, or that costs the store a whole
// listing.
func TestStaleStart(t *testing.T) {
	for name, alone := range map[string]bool{"other fronts known": false, "alone": true} {
		t.Run(name, func(t *testing.T) {
			r, peer := newListener(t)
			if alone {
				r.store.changes = r.store.changes[:1]
			}
			old := r.store.batch()
			r.store.stale = &old
			peer.log.Replace(r.clock.Now(), snipefeed.Batch{At: 1})
			r.run(t)
			if all, err := r.follower.Items.All(r.clock.Now()); alone && (err != nil || all.Age < staleAge) {
				t.Errorf("a stale listing is handed on with age %v, %v", all.Age, err)
			}
			r.store.update(func() { r.store.at, r.store.changes = 2, []Change{table(t, 2)} })
			peer.log.Append(r.clock.Now(), snipefeed.Batch{At: 2, Items: []snipefeed.Item{{Key: "0", Revision: 2}}})
			took := until(t, "new configuration", func() bool { return r.tables.Current().Version() == 2 })
			if limit := r.follower.Timing.pause + r.follower.Timing.wait; took > limit || !alone && took > limit/4 {
				t.Errorf("configuration in force after %v", took)
			}
			r.store.mu.Lock()
			defer r.store.mu.Unlock()
			if r.store.listed != 0 || r.store.staleLists != 1 || !alone && r.store.watched != 0 {
				t.Errorf("%d listings, %d stale ones, %d watches", r.store.listed, r.store.staleLists, r.store.watched)
			}
		})
	}
}

// TestHistoryLostAfterStart guards against a front that lists old items again and
// again because the store keeps no changes since then.
func TestHistoryLostAfterStart(t *testing.T) {
	r := newRig(t)
	r.store.changes = []Change{table(t, 1)}
	old := r.store.batch()
	r.store.stale, r.store.watchErr = &old, snipefeed.ErrHistoryLost
	r.run(t)
	r.store.update(func() { r.store.at, r.store.changes = 2, []Change{table(t, 2)} })
	until(t, "new configuration", func() bool { return r.tables.Current().Version() == 2 })
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	if r.store.listed == 0 || r.store.staleLists != 1 {
		t.Errorf("%d listings, %d stale ones", r.store.listed, r.store.staleLists)
	}
}

// TestPeerWithoutHistory guards against whole listings by fronts whose watcher has
// started after them and does not keep the changes that they ask for.
func TestPeerWithoutHistory(t *testing.T) {
	r, peer := newListener(t)
	peer.log.Replace(r.clock.Now(), snipefeed.Batch{At: 5})
	r.run(t)
	r.store.update(func() { r.store.at, r.store.changes = 6, []Change{table(t, 2)} })
	until(t, "new configuration", func() bool { return r.tables.Current().Version() == 2 })
	peer.log.Append(r.clock.Now(), snipefeed.Batch{At: 6})
	asked := peer.calls()
	until(t, "the other front is asked again", func() bool { return peer.calls() > asked })
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	peer.mu.Lock()
	defer peer.mu.Unlock()
	if r.store.listed+peer.listed != 0 {
		t.Errorf("%d listings of the store, %d of the other front", r.store.listed, peer.listed)
	}
}

// TestLapsedRetry guards against fronts that call a store again and again which
// refuses them, and against one that gives its lease up for a single failure.
func TestLapsedRetry(t *testing.T) {
	now := time.Now()
	cases := map[string]struct {
		held bool
		kept time.Time
		want time.Duration
	}{
		"renewed lately":  {true, now, firstBackoff},
		"lapsed":          {true, now.Add(-memberTTL), lapsedRetry},
		"never announced": {false, time.Time{}, lapsedRetry},
	}
	for name, tc := range cases {
		a := &Announcer{held: tc.held, kept: tc.kept}
		if got := a.retryIn(firstBackoff); got != tc.want {
			t.Errorf("%s: retries in %v, want %v", name, got, tc.want)
		}
	}
	if lapsedRetry+callTimeout/2 > snipefleet.LapseGrace {
		t.Errorf("an entry is back %v after the store, later than %v", lapsedRetry+callTimeout/2, snipefleet.LapseGrace)
	}
}
