package snipesync

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/snipemoor/snipemoor/snipefeed"
	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipetable"
	"github.com/snipemoor/snipemoor/snipetime"
)

// maxWithheld is how long the store may withhold a change from a watch.
const maxWithheld = time.Second

// steppedCommit is a version of the configuration that the store acknowledged.
type steppedCommit struct {
	version  uint64
	readable bool
	at       time.Duration
}

// steppedWorld holds a store and fronts that follow it and each other on stepped time.
// While a call of one front is under way, time passes, and other fronts make calls.
type steppedWorld struct {
	t       *rapid.T
	now     time.Duration
	commits []steppedCommit
	fronts  []*steppedFront
	depth   int
}

// steppedFront is a front with a clock of its own, which has another origin than those of
// the others.
type steppedFront struct {
	world    *steppedWorld
	follower *Follower
	clock    *snipetime.Manual
	// busy means that a call is under way.
	busy bool
}

// restart replaces the process of a front.
func (m *steppedFront) restart() {
	m.clock = snipetime.NewManual(snipetime.Instant(rapid.Int64Range(-1e12, 1e12).Draw(m.world.t, "origin")))
	m.follower = NewFollower(Dependencies{
		OwnName: "own", Timing: NewTiming(0), Store: m, Peers: m, Selector: snipefeed.NewSourceSelector(snipefleet.Member{}, nil),
		Items: snipefeed.NewLog(), Decoder: m, Registry: snipefleet.New(), Tables: &snipetable.Holder{},
		Revocation: NewRevocation(testRevoke), Clock: m.clock, Log: zap.NewNop(),
	})
}

// pass lets time pass while a call is under way, and other things happen.
func (w *steppedWorld) pass(what string) {
	longest := rapid.SampledFrom([]time.Duration{time.Millisecond, 300 * time.Millisecond, 3 * time.Second, 8 * time.Second}).Draw(w.t, "scale")
	d := time.Duration(rapid.Int64Range(0, int64(longest)).Draw(w.t, what))
	w.now += d
	for _, f := range w.fronts {
		f.clock.Advance(d)
	}
	w.check()
	const maxDepth = 4
	if w.depth < maxDepth {
		w.depth++
		w.act()
		w.depth--
	}
}

// check fails if a front vouches for a table that lacks a change that was acknowledged
// longer ago than allowed.
func (w *steppedWorld) check() {
	for i, f := range w.fronts {
		table := f.follower.Tables.Current()
		if table == nil || !f.follower.Revocation.Recent(f.clock.Now()) {
			continue
		}
		inForce := w.index(table.Version())
		for n, c := range w.commits {
			if n > inForce && c.at < w.now-testRevoke {
				w.t.Fatalf("at %v, front %d serves with version %d and lacks version %d of %v", w.now, i, table.Version(), c.version, c.at)
			}
		}
	}
}

// index returns the place of a version among the commits.
func (w *steppedWorld) index(version uint64) int {
	for n, c := range w.commits {
		if c.version == version {
			return n
		}
	}
	w.t.Fatalf("version %d was never written", version)
	return 0
}

// act lets one thing happen: nothing, a write, a restart, or a call of a front.
func (w *steppedWorld) act() {
	front := w.fronts[rapid.IntRange(0, len(w.fronts)-1).Draw(w.t, "front")]
	switch kind := rapid.IntRange(0, 9).Draw(w.t, "act"); {
	case kind == 0:
	case kind <= 2:
		w.commit()
	case kind == 3 && !front.busy:
		front.restart()
	case !front.busy:
		front.poll(kind <= 6)
	}
}

// commit writes a version. It may be unreadable, or lower than the ones before.
func (w *steppedWorld) commit() {
	const apart = 10
	version := uint64(len(w.commits)+1) * apart
	if len(w.commits) > 0 && rapid.IntRange(0, 9).Draw(w.t, "lower") == 0 {
		version = apart - uint64(len(w.commits)%apart)
	}
	for _, c := range w.commits {
		if c.version == version {
			return
		}
	}
	readable := rapid.IntRange(0, 9).Draw(w.t, "readable") > 0
	w.commits = append(w.commits, steppedCommit{version, readable, w.now})
}

// poll makes one call to the store or to another front, which may be any, so that chains
// and cycles arise.
func (m *steppedFront) poll(store bool) {
	choice := storeSelection
	if !store {
		choice = snipefeed.Selection{Peer: strconv.Itoa(rapid.IntRange(0, len(m.world.fronts)-1).Draw(m.world.t, "peer"))}
	}
	m.busy = true
	m.follower.poll(context.Background(), choice)
	m.busy = false
}

// Decode implements Decoder.
func (m *steppedFront) Decode(it snipefeed.Item) (Change, bool) {
	c := Change{Kind: KindTable, Revision: it.Revision, Digest: uint64(it.Revision)}
	text, unreadable := strings.CutPrefix(string(it.Value), "!")
	version, err := strconv.ParseUint(text, 10, 64)
	if unreadable || err != nil {
		c.DecodeErr = errors.New("unreadable")
		return c, true
	}
	c.Table = snipetable.New(snipetable.Content{Version: version})
	return c, true
}

// after returns the commits after a revision, of the first n.
func (w *steppedWorld) after(revision snipefeed.Revision, n int) snipefeed.Batch {
	const first = 1 // revision of the store before any commit
	b := snipefeed.Batch{Position: snipefeed.Position{Revision: max(snipefeed.Revision(n)+first, revision)}}
	for i := range n {
		r := snipefeed.Revision(i) + first + 1
		if r <= revision {
			continue
		}
		value := fmt.Sprint(w.commits[i].version)
		if !w.commits[i].readable {
			value = "!" + value
		}
		b.Items = append(b.Items, snipefeed.Item{Key: "config", Value: []byte(value), Revision: r})
	}
	return b
}

// call makes a call to the store that takes some time before and after it is answered,
// and that may get lost.
func (m *steppedFront) call(answer func() snipefeed.Batch) (snipefeed.Batch, error) {
	m.world.pass("call in transit")
	b := answer()
	m.world.pass("answer in transit")
	if rapid.IntRange(0, 4).Draw(m.world.t, "lost") == 0 {
		return snipefeed.Batch{}, errDisconnected
	}
	return b, nil
}

// List implements Store.
func (m *steppedFront) List(context.Context) (snipefeed.Batch, error) {
	return m.call(func() snipefeed.Batch { return m.world.after(0, len(m.world.commits)) })
}

// ListStale implements Store.
func (m *steppedFront) ListStale(context.Context) (snipefeed.Batch, error) {
	return m.call(func() snipefeed.Batch {
		return m.world.after(0, rapid.IntRange(0, len(m.world.commits)).Draw(m.world.t, "stale"))
	})
}

// Watch implements Store. The store withholds the latest changes.
func (m *steppedFront) Watch(_ context.Context, after snipefeed.Position, _ time.Duration) (snipefeed.Batch, error) {
	return m.call(func() snipefeed.Batch {
		withheld := time.Duration(rapid.Int64Range(0, int64(maxWithheld)).Draw(m.world.t, "withheld"))
		n := 0
		for n < len(m.world.commits) && m.world.commits[n].at <= m.world.now-withheld {
			n++
		}
		return m.world.after(after.Revision, n)
	})
}

// Source implements Peers.
func (m *steppedFront) Source(address string) snipefeed.Source {
	n, err := strconv.Atoi(address)
	if err != nil {
		m.world.t.Fatal(err)
	}
	return &steppedPeer{asking: m, asked: m.world.fronts[n]}
}

// steppedPeer is the log of one front as a source of another one, with the same steps as
// between real ones.
type steppedPeer struct{ asking, asked *steppedFront }

func (p *steppedPeer) call(read func() (snipefeed.Batch, error)) (snipefeed.Batch, error) {
	w := p.asking.world
	sent := p.asking.clock.Now()
	w.pass("request in transit")
	received, process := p.asked.clock.Now(), p.asked.clock
	w.pass("handler")
	if p.asked.clock != process {
		return snipefeed.Batch{}, errDisconnected // restarted meanwhile
	}
	b, err := read()
	if err != nil {
		return b, err
	}
	millis, known := b.Confirmed.SinceReceipt(received)
	w.pass("reply in transit")
	b.Confirmed = snipefeed.Confirmation{}
	if known {
		b.Confirmed = snipefeed.ConfirmedByPeer(sent, p.asking.clock.Now(), millis)
	}
	return b, nil
}

// List implements snipefeed.Source.
func (p *steppedPeer) List(context.Context) (snipefeed.Batch, error) {
	return p.call(func() (snipefeed.Batch, error) { return p.asked.follower.Items.Snapshot(p.asked.clock.Now()) })
}

// Watch implements snipefeed.Source.
func (p *steppedPeer) Watch(ctx context.Context, after snipefeed.Position, _ time.Duration) (snipefeed.Batch, error) {
	return p.call(func() (snipefeed.Batch, error) {
		return p.asked.follower.Items.ChangesAfter(ctx, p.asked.clock, after, 0)
	})
}

// TestRecentInAnyOrder guards against a front that serves with a configuration that lacks
// a change acknowledged longer ago than keys may stay valid, in any order of delays,
// freezes, lost answers, restarts beside stale listings, unreadable and lower versions,
// and chains and cycles of fronts.
func TestRecentInAnyOrder(t *testing.T) {
	recent := 0
	rapid.Check(t, func(t *rapid.T) {
		const numFronts, acts = 4, 60
		w := &steppedWorld{t: t}
		for range numFronts {
			f := &steppedFront{world: w}
			f.restart()
			w.fronts = append(w.fronts, f)
		}
		w.commit()
		for range acts {
			w.act()
			w.pass("pause")
			for _, f := range w.fronts {
				if f.follower.Revocation.Recent(f.clock.Now()) {
					recent++
				}
			}
		}
	})
	if recent == 0 {
		t.Error("no front was ever recent")
	}
	t.Logf("recent %d times", recent)
}
