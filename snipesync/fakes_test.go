package snipesync

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/snipemoor/snipemoor/snipefeed"
	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipetable"
	"github.com/snipemoor/snipemoor/snipetime"
)

// fakeStore answers calls from a script.
type fakeStore struct {
	mu      sync.Mutex
	changes []Change
	at      snipefeed.Revision
	listErr error
	// watchErr is the error of watches.
	watchErr error
	// silentWatches is the number of watches, from the first, that wait until their
	// context ends.
	silentWatches int
	// renewErr is the error of renewals.
	renewErr error
	// stale is what a stale listing returns, if it is set.
	stale      *snipefeed.Batch
	listed     int
	staleLists int
	watched    int
	changed    chan struct{}
	announced  []LeaseID
	ended      []LeaseID
	leases     LeaseID
}

func newFakeStore() *fakeStore { return &fakeStore{changed: make(chan struct{}), at: 1} }

func (s *fakeStore) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	close(s.changed)
	s.changed = make(chan struct{})
}

// batch needs the lock. The key of an item is the index of its change.
func (s *fakeStore) batch() snipefeed.Batch {
	b := snipefeed.Batch{At: s.at}
	for i := range s.changes {
		b.Items = append(b.Items, snipefeed.Item{Key: strconv.Itoa(i), Revision: s.at, Created: s.changes[i].Created})
	}
	return b
}

// Decode implements Decoder.
func (s *fakeStore) Decode(it snipefeed.Item) (Change, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, err := strconv.Atoi(it.Key)
	if err != nil || i >= len(s.changes) {
		return Change{}, false
	}
	return s.changes[i], true
}

func (s *fakeStore) List(context.Context) (snipefeed.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listed++
	return s.batch(), s.listErr
}

func (s *fakeStore) ListStale(context.Context) (snipefeed.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staleLists++
	if s.stale != nil {
		return *s.stale, s.listErr
	}
	return s.batch(), s.listErr
}

func (s *fakeStore) Watch(ctx context.Context, after snipefeed.Revision, wait time.Duration) (snipefeed.Batch, error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	silent := false
	s.update(func() {
		s.watched++
		silent = s.watched <= s.silentWatches
	})
	if silent {
		<-ctx.Done()
		return snipefeed.Batch{}, ctx.Err()
	}
	for {
		s.mu.Lock()
		batch, changed, err := s.batch(), s.changed, s.watchErr
		s.mu.Unlock()
		if err != nil {
			return snipefeed.Batch{}, err
		}
		if batch.At > after {
			return batch, nil
		}
		select {
		case <-ctx.Done():
			return snipefeed.Batch{}, ctx.Err()
		case <-timeout.C:
			return snipefeed.Batch{At: after}, nil
		case <-changed:
		}
	}
}

func (s *fakeStore) Lease(context.Context, time.Duration) (LeaseID, time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leases++
	return s.leases, time.Second, nil
}

func (s *fakeStore) Renew(context.Context, LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.renewErr
}

func (s *fakeStore) End(_ context.Context, l LeaseID) error {
	s.update(func() { s.ended = append(s.ended, l) })
	return nil
}

func (s *fakeStore) Announce(_ context.Context, l LeaseID, _ snipefleet.Member) error {
	s.update(func() { s.announced = append(s.announced, l) })
	return nil
}

// await waits until a condition on the store's state holds.
func (s *fakeStore) await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	limit := time.NewTimer(10 * time.Second)
	defer limit.Stop()
	for {
		s.mu.Lock()
		ok, changed := holds(), s.changed
		s.mu.Unlock()
		if ok {
			return
		}
		select {
		case <-changed:
		case <-limit.C:
			t.Fatalf("timeout: %s", what)
		}
	}
}

// rig is a follower with what it feeds.
type rig struct {
	store    *fakeStore
	fleet    *snipefleet.Registry
	tables   *snipetable.Holder
	follower *Follower
	clock    *snipetime.Service
}

func newRig(t *testing.T) *rig {
	t.Helper()
	r := &rig{store: newFakeStore(), fleet: snipefleet.New(), tables: &snipetable.Holder{}, clock: snipetime.New()}
	t.Cleanup(r.clock.Close)
	self := snipefleet.Member{Name: "own", Peer: "own", Place: snipefleet.Place{Region: "r"}}
	r.follower = NewFollower(Dependencies{
		Own: "own", Timing: NewTiming(0), Store: r.store, Plan: snipefeed.NewPlan(self, nil),
		Items: snipefeed.NewLog(), Decoder: r.store, Registry: r.fleet, Tables: r.tables, Clock: r.clock, Log: zap.NewNop(),
	})
	return r
}

func table(t *testing.T, version uint64) Change {
	t.Helper()
	out, err := snipetable.New(version, nil, nil, snipetable.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	return Change{Kind: KindTable, Table: out}
}

func targetChange(id string, born int64, created snipefeed.Revision) Change {
	return Change{Kind: KindTarget, Name: id, Created: created, Target: &snipefleet.TargetReport{ID: id, Service: "s", Born: born}}
}
