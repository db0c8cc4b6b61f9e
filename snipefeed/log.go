package snipefeed

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/snipemoor/snipemoor/snipetime"
)

const (
	// maxKeptChanges and maxKeptBytes bound the change history of a Log, in changes
	// and in bytes of their values. A front that asks for older changes has to list
	// all items again.
	maxKeptChanges = 4096
	maxKeptBytes   = 4 << 20
)

// Log caches the items of the store and a bounded history of their changes. It
// is safe for concurrent use.
type Log struct {
	mu          sync.Mutex
	items       map[string]Item
	changes     []Item
	changeBytes int
	// The changes are complete after the revision compacted up to and including
	// revision. revision is 0 before the first listing.
	compacted, revision Revision
	// confirmed is when the store last confirmed that there was nothing newer.
	confirmed snipetime.Instant
	// losses counts the calls of RecordLoss.
	losses uint64
	// changed is closed, and replaced, when revision increases.
	changed chan struct{}
}

// NewLog returns an empty log.
func NewLog() *Log { return &Log{items: make(map[string]Item), changed: make(chan struct{})} }

// Revision returns the revision up to which the items are complete, or 0 before the
// first listing.
func (l *Log) Revision() Revision {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.revision
}

// RecordLoss records that this front lost contact with the store. Batches
// report the number of these losses.
func (l *Log) RecordLoss() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.losses++
}

// Replace replaces all items by a complete listing that was received at now, and
// clears the history.
func (l *Log) Replace(now snipetime.Instant, b Batch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.items)
	for i := range b.Items {
		l.items[b.Items[i].Key] = b.Items[i]
	}
	l.changes, l.changeBytes, l.compacted = nil, 0, b.Revision
	l.confirmed = now.Add(-b.Age)
	l.advance(now, b)
}

// Append applies the changes after the revision that Revision returns, received
// at now.
func (l *Log) Append(now snipetime.Instant, b Batch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range b.Items {
		it := b.Items[i]
		if it.Removed {
			delete(l.items, it.Key)
		} else {
			l.items[it.Key] = it
		}
		l.changes = append(l.changes, it)
		l.changeBytes += len(it.Value)
	}
	l.trimHistory()
	l.advance(now, b)
}

// trimHistory drops the oldest changes that exceed the bounds of the history. The
// caller holds the lock.
func (l *Log) trimHistory() {
	dropped := 0
	for len(l.changes)-dropped > maxKeptChanges || l.changeBytes > maxKeptBytes && dropped < len(l.changes) {
		l.changeBytes -= len(l.changes[dropped].Value)
		l.compacted = max(l.compacted, l.changes[dropped].Revision)
		dropped++
	}
	l.changes = slices.Delete(l.changes, 0, dropped)
}

// advance raises the revision and the time of confirmation to those of a batch
// that was received at now, and wakes the readers that wait for changes. The
// caller holds the lock.
func (l *Log) advance(now snipetime.Instant, b Batch) {
	advanced := b.Revision > l.revision
	l.revision = max(l.revision, b.Revision)
	l.confirmed = max(l.confirmed, now.Add(-b.Age))
	if advanced {
		close(l.changed)
		l.changed = make(chan struct{})
	}
}

// Snapshot returns all items, ordered by revision. It fails before the first
// listing.
func (l *Log) Snapshot(now snipetime.Instant) (Batch, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.revision == 0 {
		return Batch{}, errNotListed
	}
	items := slices.Collect(maps.Values(l.items))
	slices.SortFunc(items, func(a, b Item) int { return cmp.Compare(a.Revision, b.Revision) })
	return l.newBatch(now, items), nil
}

// ChangesAfter returns the changes after a revision, and waits at most the
// given time for one. Without a change in that time the batch is empty. The
// error wraps ErrHistoryLost if the changes are no longer kept. It also fails
// before the first listing and when ctx ends.
func (l *Log) ChangesAfter(ctx context.Context, clock Clock, after Revision, wait time.Duration) (Batch, error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		b, changed, err := l.changesAfter(clock.Now(), after)
		if err != nil || b.Revision > after {
			return b, err
		}
		select {
		case <-ctx.Done():
			return Batch{}, fmt.Errorf("wait for changes: %w", ctx.Err())
		case <-timeout.C:
			b, _, err = l.changesAfter(clock.Now(), after)
			return b, err
		case <-changed:
		}
	}
}

// changesAfter returns the changes after a revision, and a channel that is closed
// when there are more.
func (l *Log) changesAfter(now snipetime.Instant, after Revision) (Batch, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.revision == 0:
		return Batch{}, nil, errNotListed
	case after < l.compacted:
		return Batch{}, nil, fmt.Errorf("changes after revision %d: %w", after, ErrHistoryLost)
	}
	first, _ := slices.BinarySearchFunc(l.changes, after+1, func(it Item, r Revision) int { return cmp.Compare(it.Revision, r) })
	return l.newBatch(now, slices.Clone(l.changes[first:])), l.changed, nil
}

// newBatch returns a batch of items at the current revision. The caller holds the
// lock.
func (l *Log) newBatch(now snipetime.Instant, items []Item) Batch {
	return Batch{Items: items, Revision: l.revision, Age: max(now.Sub(l.confirmed), 0), StoreLosses: l.losses}
}
