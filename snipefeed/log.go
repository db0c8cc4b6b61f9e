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
	// maxKeptChanges and maxKeptBytes bound the history of a Log. A front that
	// asks for more lists all items again.
	maxKeptChanges = 4096
	maxKeptBytes   = 4 << 20
)

// Log keeps the items that a front knows, with their latest changes. It is safe
// for concurrent use.
type Log struct {
	mu      sync.Mutex
	items   map[string]Item
	changes []Item
	bytes   int
	// floor is the revision after which the changes are complete, at the one up
	// to which they are; at is 0 before the first listing.
	floor, at Revision
	// fresh is when the store confirmed that there was nothing newer.
	fresh   snipetime.Instant
	losses  uint64
	changed chan struct{}
}

// NewLog returns an empty log.
func NewLog() *Log { return &Log{items: make(map[string]Item), changed: make(chan struct{})} }

// At returns the revision up to which the items are complete, or 0 before the
// first listing.
func (l *Log) At() Revision {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.at
}

// Lost counts a loss of the store.
func (l *Log) Lost() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.losses++
}

// Replace takes a complete listing, received at now.
func (l *Log) Replace(now snipetime.Instant, b Batch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.items)
	for i := range b.Items {
		l.items[b.Items[i].Key] = b.Items[i]
	}
	l.changes, l.bytes, l.floor = nil, 0, b.At
	l.fresh = now.Add(-b.Age)
	l.advance(now, b)
}

// Append takes the changes after At, received at now.
func (l *Log) Append(now snipetime.Instant, b Batch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range b.Items {
		it := b.Items[i]
		if it.Gone {
			delete(l.items, it.Key)
		} else {
			l.items[it.Key] = it
		}
		l.changes = append(l.changes, it)
		l.bytes += len(it.Value)
	}
	l.trim()
	l.advance(now, b)
}

func (l *Log) trim() {
	drop := 0
	for len(l.changes)-drop > maxKeptChanges || l.bytes > maxKeptBytes && drop < len(l.changes) {
		l.bytes -= len(l.changes[drop].Value)
		l.floor = max(l.floor, l.changes[drop].Revision)
		drop++
	}
	l.changes = slices.Delete(l.changes, 0, drop)
}

// advance needs the lock.
func (l *Log) advance(now snipetime.Instant, b Batch) {
	moved := b.At > l.at
	l.at = max(l.at, b.At)
	l.fresh = max(l.fresh, now.Add(-b.Age))
	if moved {
		close(l.changed)
		l.changed = make(chan struct{})
	}
}

// All returns all items, ordered by revision.
func (l *Log) All(now snipetime.Instant) (Batch, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.at == 0 {
		return Batch{}, errEmpty
	}
	items := slices.Collect(maps.Values(l.items))
	slices.SortFunc(items, func(a, b Item) int { return cmp.Compare(a.Revision, b.Revision) })
	return l.batch(now, items), nil
}

// Since waits at most the given time for changes after a revision. Its error
// wraps ErrHistoryLost if they are not kept any more.
func (l *Log) Since(ctx context.Context, clock Clock, after Revision, wait time.Duration) (Batch, error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		b, changed, err := l.since(clock.Now(), after)
		if err != nil || b.At > after {
			return b, err
		}
		select {
		case <-ctx.Done():
			return Batch{}, fmt.Errorf("wait for changes: %w", ctx.Err())
		case <-timeout.C:
			b, _, err = l.since(clock.Now(), after)
			return b, err
		case <-changed:
		}
	}
}

// since returns the changes after a revision, and a channel that is closed when
// there are more.
func (l *Log) since(now snipetime.Instant, after Revision) (Batch, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.at == 0:
		return Batch{}, nil, errEmpty
	case after < l.floor:
		return Batch{}, nil, fmt.Errorf("changes after %d: %w", after, ErrHistoryLost)
	}
	first, _ := slices.BinarySearchFunc(l.changes, after+1, func(it Item, r Revision) int { return cmp.Compare(it.Revision, r) })
	return l.batch(now, slices.Clone(l.changes[first:])), l.changed, nil
}

func (l *Log) batch(now snipetime.Instant, items []Item) Batch {
	return Batch{Items: items, At: l.at, Age: max(now.Sub(l.fresh), 0), Losses: l.losses}
}
