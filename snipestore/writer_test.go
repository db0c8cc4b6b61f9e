package snipestore_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/snipemoor/snipemoor/snipeconfig"
	"github.com/snipemoor/snipemoor/snipestandin"
	"github.com/snipemoor/snipemoor/snipestore"
)

// reportedChange is one change of a concurrent writer and the result of Apply.
type reportedChange struct {
	operation string
	report    snipestore.ChangeResult
	err       error
}

// runConcurrentWriters runs writers that change the configuration concurrently.
// Each makes the given number of changes and reads the base of each change first.
func runConcurrentWriters(t *rapid.T, tb testing.TB, store *snipestandin.Store, writers, rounds int) []reportedChange {
	var mu sync.Mutex
	var all []reportedChange
	var wg sync.WaitGroup
	for w := range writers {
		wg.Go(func() {
			client := snipestore.New(settings(store))
			defer client.Close()
			var base *snipeconfig.Snapshot
			for round := range rounds {
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				if s, err := snipestore.NewReader(client).Load(ctx, base); err == nil {
					base = s
				}
				change := snipestore.Change{
					Operation: fmt.Sprintf("op-%d-%d", w, round),
					Base:      base,
					Set:       documents(tb, 1+w*1000+round),
				}
				report, err := snipestore.NewWriter(client).Apply(ctx, change)
				cancel()
				mu.Lock()
				all = append(all, reportedChange{change.Operation, report, err})
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	if len(all) != writers*rounds {
		t.Fatalf("%d changes were reported, want %d", len(all), writers*rounds)
	}
	return all
}

// Guards against a change that takes effect although it was reported as failed or
// stale, a committed change that is lost or reverted, two changes with the same
// generation, and a reader whose generation decreases. Writers run concurrently
// while responses and requests are lost, calls are refused and writes take effect
// late.
func TestRacingWriters(t *testing.T) {
	var unclear, committed, stale int
	rapid.Check(t, func(rt *rapid.T) {
		store := newStore(t)
		faults := snipestandin.StoreFaults{
			LoseAnswers:    rapid.IntRange(0, 12).Draw(rt, "loseAnswers"),
			LoseRequests:   rapid.IntRange(0, 12).Draw(rt, "loseRequests"),
			LateWrites:     rapid.IntRange(0, 12).Draw(rt, "lateWrites"),
			LateBy:         time.Duration(rapid.IntRange(0, 40).Draw(rt, "lateByMillis")) * time.Millisecond,
			RefuseFraction: rapid.Float64Range(0, 0.3).Draw(rt, "refuseFraction"),
		}
		writers := rapid.IntRange(2, 4).Draw(rt, "writers")
		store.SetFaults(faults)
		stopWatching := watchGenerations(rt, store)
		all := runConcurrentWriters(rt, t, store, writers, 3)
		store.SetFaults(snipestandin.StoreFaults{})
		store.WaitLateWrites()
		stopWatching()

		client := snipestore.New(settings(store))
		defer client.Close()
		head, err := snipestore.NewReader(client).Head(context.Background())
		if errors.Is(err, snipestore.ErrNotFound) {
			head, err = snipestore.Head{}, nil
		}
		if err != nil {
			rt.Fatal(err)
		}
		seen := map[uint64]string{}
		for _, c := range all {
			generation, inForce := head.Committed(c.operation)
			if inForce {
				if other, taken := seen[generation]; taken {
					rt.Errorf("generation %d belongs to %s and %s", generation, other, c.operation)
				}
				seen[generation] = c.operation
			}
			switch {
			case c.err != nil || c.report.Outcome() == snipestore.Stale || c.report.Outcome() == snipestore.StoreBehind:
				if inForce {
					rt.Errorf("%s took effect and was reported as %s, error %v", c.operation, c.report.Outcome(), c.err)
				}
				stale++
			case c.report.Outcome() == snipestore.Committed:
				if !inForce || generation != c.report.Generation() {
					rt.Errorf("%s was committed as %d and is not in force as such", c.operation, c.report.Generation())
				}
				committed++
			default:
				unclear++
			}
		}
		if uint64(len(seen)) != head.Generation() {
			rt.Errorf("%d operations led to generation %d", len(seen), head.Generation())
		}
	})
	t.Logf("committed %d, stale or failed %d, unclear %d", committed, stale, unclear)
	if committed == 0 || stale == 0 {
		t.Error("the writers did not race")
	}
}

// watchGenerations loads the configuration into a tracker until the returned
// function is called. It fails the test if the generation decreases or if one
// generation has two digests.
func watchGenerations(t *rapid.T, store *snipestandin.Store) func() {
	client := snipestore.New(settings(store))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		var tracker snipeconfig.Tracker
		last := uint64(0)
		for ctx.Err() == nil {
			s, err := snipestore.NewReader(client).Load(ctx, tracker.Current())
			if err != nil {
				continue
			}
			if result := tracker.Offer(s); result == snipeconfig.Conflict {
				t.Errorf("generation %d was seen with two digests", s.Generation())
			}
			if now := tracker.Current().Generation(); now < last {
				t.Errorf("generation fell from %d to %d", last, now)
			} else {
				last = now
			}
		}
	}()
	return func() {
		cancel()
		<-done
		client.Close()
	}
}

// mustApply makes a change that sets the link rate and returns the resulting
// snapshot. It fails the test unless the change is committed.
func mustApply(t *testing.T, client *snipestore.Client, operation string, base *snipeconfig.Snapshot, mbit int) *snipeconfig.Snapshot {
	t.Helper()
	ctx := context.Background()
	change := snipestore.Change{Operation: operation, Base: base, Set: documents(t, mbit)}
	report, err := snipestore.NewWriter(client).Apply(ctx, change)
	if err != nil || report.Outcome() != snipestore.Committed {
		t.Fatalf("%s is %s, error %v", operation, report.Outcome(), err)
	}
	s, err := snipestore.NewReader(client).Load(ctx, nil)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Guards against a wrong outcome of a change, which would mislead an operator.
func TestOutcomes(t *testing.T) {
	cases := []struct {
		name   string
		faults snipestandin.StoreFaults
		change func(first, second *snipeconfig.Snapshot) snipestore.Change
		want   snipestore.Outcome
	}{
		{name: "stale", change: func(first, _ *snipeconfig.Snapshot) snipestore.Change {
			return snipestore.Change{Operation: "op-3", Base: first}
		}, want: snipestore.Stale},
		{name: "repeated", change: func(first, _ *snipeconfig.Snapshot) snipestore.Change {
			return snipestore.Change{Operation: "op-2", Base: first}
		}, want: snipestore.Committed},
		{name: "behind", change: func(_, second *snipeconfig.Snapshot) snipestore.Change {
			return snipestore.Change{Operation: "op-3", Base: second, MinGeneration: 9}
		}, want: snipestore.StoreBehind},
		{name: "lost answer", faults: snipestandin.StoreFaults{LoseAnswers: 1}, change: func(_, second *snipeconfig.Snapshot) snipestore.Change {
			return snipestore.Change{Operation: "op-3", Base: second}
		}, want: snipestore.Committed},
		{name: "all answers lost and old data", faults: snipestandin.StoreFaults{LoseAnswers: 99, OldData: true}, change: func(_, second *snipeconfig.Snapshot) snipestore.Change {
			return snipestore.Change{Operation: "op-3", Base: second}
		}, want: snipestore.Unclear},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			store := newStore(t)
			client := newClient(t, settings(store))
			first := mustApply(t, client, "op-1", nil, 10)
			second := mustApply(t, client, "op-2", first, 20)
			store.SetFaults(c.faults)
			report, err := snipestore.NewWriter(client).Apply(context.Background(), c.change(first, second))
			if err != nil || report.Outcome() != c.want {
				t.Errorf("outcome is %s, error %v, want %s", report.Outcome(), err, c.want)
			}
			if c.want == snipestore.Stale && len(report.Difference()) != 1 {
				t.Errorf("difference is %q, want one line", report.Difference())
			}
		})
	}
}

// Guards against an invalid change that is committed.
func TestInvalidChange(t *testing.T) {
	store := newStore(t)
	client := newClient(t, settings(store))
	first := mustApply(t, client, "op-1", nil, 10)
	change := snipestore.Change{Operation: "op-2", Base: first, Delete: []snipeconfig.Ref{{Kind: snipeconfig.KindFleet, Name: "small"}}}
	_, err := snipestore.NewWriter(client).Apply(context.Background(), change)
	if _, ok := snipeconfig.AsFaults(err); !ok {
		t.Errorf("error is %v, want faults", err)
	}
	if head, err := snipestore.NewReader(client).Head(context.Background()); err != nil || head.Generation() != 1 {
		t.Errorf("generation is %d, error %v, want 1", head.Generation(), err)
	}
}

// Guards against a reader that returns to an older generation when the store
// serves old data.
func TestReaderBehind(t *testing.T) {
	store := newStore(t)
	client := newClient(t, settings(store))
	first := mustApply(t, client, "op-1", nil, 10)
	store.SetFaults(snipestandin.StoreFaults{OldData: true})
	change := snipestore.Change{Operation: "op-2", Base: first, Set: documents(t, 20)}
	report, err := snipestore.NewWriter(client).Apply(context.Background(), change)
	if err != nil || report.Outcome() != snipestore.Committed {
		t.Fatalf("outcome is %s, error %v", report.Outcome(), err)
	}
	store.SetFaults(snipestandin.StoreFaults{})
	second, err := snipestore.NewReader(client).Load(context.Background(), first)
	if err != nil {
		t.Fatal(err)
	}
	old, err := snipestore.NewReader(client).LoadHead(context.Background(), snipestore.Head{}, second)
	if !errors.Is(err, snipestore.ErrStoreBehind) {
		t.Errorf("snapshot %v, error %v, want %v", old, err, snipestore.ErrStoreBehind)
	}
}
