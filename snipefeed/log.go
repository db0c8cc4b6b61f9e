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
	// position, in the same epoch. The revision of position is 0 before the first
	// listing.
	compacted Revision
	position  Position
	// confirmed is when the store last confirmed that there was nothing newer.
	confirmed snipetime.Instant
	// confirmation is the latest confirmation of the items by the store. Unlike
	// confirmed, it counts from the begin of a call.
	confirmation Confirmation
	// wakeOnConfirmation means that a later confirmation wakes readers too.
	wakeOnConfirmation bool
	// losses counts the calls of RecordLoss.
	losses uint64
	// changed is closed, and replaced, when position changes, and at a later confirmation
	// if wakeOnConfirmation is set.
	changed chan struct{}
}

// NewLog returns an empty log.
func NewLog() *Log { return &Log{items: make(map[string]Item), changed: make(chan struct{})} }

// Position returns the position up to which the items are complete. Its revision is 0
// before the first listing.
func (l *Log) Position() Position {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.position
}

// Confirmation returns the latest confirmation of the items by the store.
func (l *Log) Confirmation() Confirmation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.confirmation
}

// RecordLoss records that this front lost contact with the store. Batches
// report the number of these losses.
func (l *Log) RecordLoss() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.losses++
}

// Replace replaces all items by a complete listing that was received at now, and
// clears the history. The listing may be of another epoch.
func (l *Log) Replace(now snipetime.Instant, b Batch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.items)
	for i := range b.Items {
		l.items[b.Items[i].Key] = b.Items[i]
	}
	l.changes, l.changeBytes, l.compacted = nil, 0, b.Position.Revision
	l.confirmed, l.confirmation = now.Add(-b.Age), b.Confirmed
	l.moveTo(b.Position)
}

// Append applies the changes after the position that Position returns, in the same
// epoch, received at now.
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
	l.confirmed = max(l.confirmed, now.Add(-b.Age))
	order := b.Position.Compare(l.position)
	if order >= 0 {
		// A source that is behind this log confirms other items than those of the log.
		l.confirm(b.Confirmed)
	}
	if order > 0 {
		l.moveTo(b.Position)
	}
}

// confirm records a confirmation of the items unless a later one is known. The caller
// holds the lock.
func (l *Log) confirm(c Confirmation) {
	later := laterOf(l.confirmation, c)
	if later == l.confirmation {
		return
	}
	l.confirmation = later
	if l.wakeOnConfirmation {
		l.wake()
	}
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

// moveTo sets the position, and wakes the readers that wait for changes if it differs
// from the previous one. The caller holds the lock.
func (l *Log) moveTo(p Position) {
	if p == l.position {
		return
	}
	l.position = p
	l.wake()
}

// wake wakes the readers that wait for changes. The caller holds the lock.
func (l *Log) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// SetWakeOnConfirmation determines whether ChangesAfter also returns when the store has
// confirmed the items again, and not only when there are changes.
func (l *Log) SetWakeOnConfirmation(wake bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wakeOnConfirmation = wake
}

// Snapshot returns all items, ordered by revision. It fails before the first
// listing.
func (l *Log) Snapshot(now snipetime.Instant) (Batch, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.position.Revision == 0 {
		return Batch{}, errNotListed
	}
	items := slices.Collect(maps.Values(l.items))
	slices.SortFunc(items, func(a, b Item) int { return cmp.Compare(a.Revision, b.Revision) })
	return l.newBatch(now, items), nil
}

// ChangesAfter returns the changes after a position, and waits at most the
// given time for one. Without a change in that time the batch is empty. With
// SetWakeOnConfirmation, a later confirmation by the store ends the wait too. The
// error wraps ErrHistoryLost if the changes are no longer kept, and ErrEpochEnded
// if the log is in a later epoch. If it is in an earlier one, ChangesAfter returns
// an empty batch of that epoch at once. It also fails before the first listing and
// when ctx ends.
func (l *Log) ChangesAfter(ctx context.Context, clock Clock, after Position, wait time.Duration) (Batch, error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	confirmed := l.Confirmation()
	for {
		b, changed, err := l.changesAfter(clock.Now(), after)
		if err != nil || b.Confirmed != confirmed || b.Position.Epoch != after.Epoch || b.Position.Revision > after.Revision {
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

// changesAfter returns the changes after a position, and a channel that is closed
// when there are more.
func (l *Log) changesAfter(now snipetime.Instant, after Position) (Batch, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.position.Revision == 0:
		return Batch{}, nil, errNotListed
	case after.Epoch < l.position.Epoch:
		return Batch{}, nil, fmt.Errorf("changes after epoch %d: %w", after.Epoch, ErrEpochEnded)
	case after.Epoch > l.position.Epoch:
		return l.newBatch(now, nil), l.changed, nil
	case after.Revision < l.compacted:
		return Batch{}, nil, fmt.Errorf("changes after revision %d: %w", after.Revision, ErrHistoryLost)
	}
	first, _ := slices.BinarySearchFunc(l.changes, after.Revision+1, func(it Item, r Revision) int { return cmp.Compare(it.Revision, r) })
	return l.newBatch(now, slices.Clone(l.changes[first:])), l.changed, nil
}

// newBatch returns a batch of items at the current position. The caller holds the
// lock.
func (l *Log) newBatch(now snipetime.Instant, items []Item) Batch {
	return Batch{
		Items: items, Position: l.position, Age: max(now.Sub(l.confirmed), 0), Confirmed: l.confirmation, StoreLosses: l.losses,
	}
}
