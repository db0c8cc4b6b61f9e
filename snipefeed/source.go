package snipefeed

import (
	"context"
	"errors"
	"time"
)

// Revision is a position in the history of the store.
type Revision uint64

// ErrHistoryLost means that a source no longer keeps the changes after a revision.
var ErrHistoryLost = errors.New("changes are no longer kept")

// Item is an item of the store, or its removal.
type Item struct {
	// Key and Value are as in the store.
	Key   string
	Value []byte
	// Revision is the revision of the last change, and Created that at which the
	// item was created.
	Revision, Created Revision
	// Removed means that the item was removed.
	Removed bool
}

// Batch is the answer of a source: a complete listing, or the changes after a
// revision.
type Batch struct {
	Items []Item
	// Revision is the revision up to which the items are complete.
	Revision Revision
	// Age is the time since the store confirmed that there was nothing newer; 0 if
	// the store itself answered.
	Age time.Duration
	// StoreLosses counts how often the source lost contact with the store.
	StoreLosses uint64
}

// Source provides the items of the store. Calls end when their context does.
type Source interface {
	// List returns all items.
	List(ctx context.Context) (Batch, error)
	// Watch returns the changes after a revision, and waits at most the given time
	// for one. The error wraps ErrHistoryLost if they are no longer kept.
	Watch(ctx context.Context, after Revision, wait time.Duration) (Batch, error)
}
