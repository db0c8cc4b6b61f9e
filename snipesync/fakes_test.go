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

// fakeStore is a store whose items are set by the test. Listings and watches both
// return all items.
type fakeStore struct {
	mu sync.Mutex
	// changes are what the items decode to.
	changes  []Change
	epoch    snipefeed.Epoch
	revision snipefeed.Revision
	// listErr is the error of listings.
	listErr error
	// watchErr is the error of watches.
	watchErr error
	// hangingWatches is the number of watches, from the first one, that do not return
	// before their context ends.
	hangingWatches int
	// renewErr is the error of renewals.
	renewErr error
	// staleListing is returned by ListStale, unless it is nil.
	staleListing *snipefeed.Batch
	// listings, staleListings and watches count the calls.
	listings      int
	staleListings int
	watches       int
	// changed is closed, and replaced, by update.
	changed chan struct{}
	// announced and ended are the leases of the calls of WriteMember and End.
	announced []Lease
	ended     []Lease
	// lastLease is the newest lease.
	lastLease Lease
}

func newFakeStore() *fakeStore { return &fakeStore{changed: make(chan struct{}), revision: 1} }

// update calls f with the lock held and wakes all waiting calls.
func (s *fakeStore) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	close(s.changed)
	s.changed = make(chan struct{})
}

// listing returns all items. The key of an item is the index of its change. The
// caller holds the lock.
func (s *fakeStore) listing() snipefeed.Batch {
	b := snipefeed.Batch{Position: snipefeed.Position{Epoch: s.epoch, Revision: s.revision}}
	for i := range s.changes {
		b.Items = append(b.Items, snipefeed.Item{Key: strconv.Itoa(i), Revision: s.revision, Created: s.changes[i].Created})
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
	s.listings++
	return s.listing(), s.listErr
}

func (s *fakeStore) ListStale(context.Context) (snipefeed.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staleListings++
	if s.staleListing != nil {
		return *s.staleListing, s.listErr
	}
	return s.listing(), s.listErr
}

func (s *fakeStore) Watch(ctx context.Context, after snipefeed.Position, wait time.Duration) (snipefeed.Batch, error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	hangs := false
	s.update(func() {
		s.watches++
		hangs = s.watches <= s.hangingWatches
	})
	if hangs {
		<-ctx.Done()
		return snipefeed.Batch{}, ctx.Err()
	}
	for {
		s.mu.Lock()
		batch, changed, err := s.listing(), s.changed, s.watchErr
		s.mu.Unlock()
		if err != nil {
			return snipefeed.Batch{}, err
		}
		if batch.Position.Epoch != after.Epoch || batch.Position.Revision > after.Revision {
			return batch, nil
		}
		select {
		case <-ctx.Done():
			return snipefeed.Batch{}, ctx.Err()
		case <-timeout.C:
			return snipefeed.Batch{Position: after}, nil
		case <-changed:
		}
	}
}

func (s *fakeStore) Acquire(context.Context, time.Duration) (Lease, time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease.ID++
	s.lastLease.Epoch = s.epoch
	return s.lastLease, time.Second, nil
}

func (s *fakeStore) Renew(context.Context, Lease) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.renewErr
}

func (s *fakeStore) End(_ context.Context, l Lease) error {
	s.update(func() { s.ended = append(s.ended, l) })
	return nil
}

func (s *fakeStore) WriteMember(_ context.Context, l Lease, _ snipefleet.Member) error {
	s.update(func() { s.announced = append(s.announced, l) })
	return nil
}

// waitUntil waits until a condition on the state of the store holds, which is
// checked with the lock held, and fails the test after ten seconds.
func (s *fakeStore) waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	limit := time.NewTimer(10 * time.Second)
	defer limit.Stop()
	for {
		s.mu.Lock()
		ok, changed := condition(), s.changed
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

// harness is a follower with its store and the registry and the table holder to
// which it applies changes.
type harness struct {
	store    *fakeStore
	fleet    *snipefleet.Registry
	tables   *snipetable.Holder
	follower *Follower
	clock    *snipetime.Service
}

// newHarness returns a follower that uses the store only.
func newHarness(t *testing.T) *harness {
	t.Helper()
	h := &harness{store: newFakeStore(), fleet: snipefleet.New(), tables: &snipetable.Holder{}, clock: snipetime.New()}
	t.Cleanup(h.clock.Close)
	self := snipefleet.Member{Name: "own", Peer: "own", Place: snipefleet.Place{Region: "r"}}
	h.follower = NewFollower(Dependencies{
		OwnName: "own", Timing: NewTiming(0), Store: h.store, Selector: snipefeed.NewSourceSelector(self, nil),
		Items: snipefeed.NewLog(), Decoder: h.store, Registry: h.fleet, Tables: h.tables, Clock: h.clock, Log: zap.NewNop(),
	})
	return h
}

// tableChange returns the change to an empty table of a version.
func tableChange(t *testing.T, version uint64) Change {
	t.Helper()
	return Change{Kind: KindTable, Table: snipetable.New(snipetable.Content{Version: version})}
}

// targetChange returns the report of a target whose entry was created at a
// revision.
func targetChange(id string, born int64, created snipefeed.Revision) Change {
	return Change{Kind: KindTarget, Name: id, Created: created, Target: &snipefleet.TargetReport{ID: id, Service: "s", Born: born}}
}
