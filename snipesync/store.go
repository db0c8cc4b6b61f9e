package snipesync

import (
	"context"
	"errors"
	"time"

	"github.com/snipemoor/snipemoor/snipefeed"
	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipetable"
)

// Lease identifies a lease of the store. A restored store gives out the IDs again that
// it has lost, so that the lease is identified only together with its epoch.
type Lease struct {
	ID    uint64
	Epoch snipefeed.Epoch
}

// ErrLeaseEnded means that a lease no longer exists, or that the store was restored
// since it was acquired.
var ErrLeaseEnded = errors.New("lease has ended")

// Change is one decoded change of the store. Either one of Target, Member and Table
// is set, or Removed, or DecodeErr; an evacuation that begins sets none of them.
type Change struct {
	// Key is the key of the item in the store, for logs.
	Key string
	// Revision is the revision of the change, and Created that at which the item was
	// created.
	Revision, Created snipefeed.Revision
	// Kind and Name identify the changed object.
	Kind Kind
	Name string
	// Target, Member and Table hold the new content.
	Target *snipefleet.TargetReport
	Member *snipefleet.Member
	Table  *snipetable.Table
	// Announced is, for the entry of a front, the epoch in which the front wrote it, or
	// 0 if the entry does not say.
	Announced snipefeed.Epoch
	// Digest is, for a configuration, a hash of its content.
	Digest uint64
	// Removed means that the item was removed.
	Removed bool
	// DecodeErr is the error if the content could not be decoded, or else nil.
	DecodeErr error
}

// Kind is the kind of object that a change concerns.
type Kind int

// Kinds of changes.
const (
	// KindTarget is the entry of a target; Name is its ID.
	KindTarget Kind = iota + 1
	// KindMember is the entry of a front; Name is its name.
	KindMember
	// KindTable is the configuration.
	KindTable
	// KindEvacuation is the evacuation of the failure domain Name.
	KindEvacuation
)

// Decoder decodes items of the store.
type Decoder interface {
	// Decode returns the change that an item represents, or false for an item of a
	// kind that fronts do not use.
	Decode(it snipefeed.Item) (Change, bool)
}

// LeaseStore holds the calls of the store that the announcer uses. Calls end when
// their context does.
type LeaseStore interface {
	// Acquire requests a lease with the time to live ttl. It returns the lease and the
	// time to live that the store granted.
	Acquire(ctx context.Context, ttl time.Duration) (Lease, time.Duration, error)
	// Renew renews a lease. Its error wraps ErrLeaseEnded if the lease no longer
	// exists.
	Renew(ctx context.Context, lease Lease) error
	// End ends a lease, which removes the items that were written under it.
	End(ctx context.Context, lease Lease) error
	// WriteMember writes the entry of a front under a lease. The entry states the epoch
	// of the lease. Its error wraps
	// ErrLeaseEnded if the lease no longer exists.
	WriteMember(ctx context.Context, lease Lease, m snipefleet.Member) error
}
