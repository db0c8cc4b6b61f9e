package snipefeed

import (
	"cmp"
	"context"
	"errors"
	"time"
)

// Revision counts the changes of the store within an epoch.
type Revision uint64

// Epoch counts how often the store was restored from an older copy of its contents.
// A restored store has lost its latest changes and gives out their revisions again,
// so that revisions can be compared only within an epoch.
type Epoch uint64

// Position is a position in the history of the store, over all epochs.
type Position struct {
	Epoch    Epoch
	Revision Revision
}

// Compare returns -1 if p precedes q, 1 if q precedes p, and 0 if they are equal.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Epoch, q.Epoch), cmp.Compare(p.Revision, q.Revision))
}

// ErrHistoryLost means that a source no longer keeps the changes after a revision.
var ErrHistoryLost = errors.New("changes are no longer kept")

// ErrEpochEnded means that a source is in a later epoch than the position for which
// it was asked, so that it has to be asked for a complete listing.
var ErrEpochEnded = errors.New("epoch of the store has ended")

// Item is an item of the store, or its removal.
type Item struct {
	// Key and Value are as in the store.
	Key   string
	Value []byte
	// Revision is the revision of the last change, and Created that at which the
	// item was created. Both belong to the epoch of the batch.
	Revision, Created Revision
	// Removed means that the item was removed.
	Removed bool
}

// Batch is the answer of a source: a complete listing, or the changes after a
// position in the same epoch.
type Batch struct {
	Items []Item
	// Position is the position up to which the items are complete.
	Position Position
	// Age is the time since the store confirmed that there was nothing newer; 0 if
	// the store itself answered.
	Age time.Duration
	// Confirmed is the last confirmation by the store that there was nothing newer than
	// the items up to Position.
	Confirmed Confirmation
	// Behind means that the source answered as of an earlier revision than the one after
	// which it was asked for changes, so that it confirms nothing.
	Behind bool
	// StoreLosses counts how often the source lost contact with the store.
	StoreLosses uint64
}

// Source provides the items of the store. Calls end when their context does.
type Source interface {
	// List returns all items.
	List(ctx context.Context) (Batch, error)
	// Watch returns the changes after a position, and waits at most the given time
	// for one. The error wraps ErrHistoryLost if they are no longer kept, and
	// ErrEpochEnded if the source is known to be in a later epoch. A batch of another
	// epoch than that of the position does not hold the changes after it.
	Watch(ctx context.Context, after Position, wait time.Duration) (Batch, error)
}
