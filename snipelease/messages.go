package snipelease

import (
	"time"

	"github.com/snipemoor/snipemoor/snipetime"
)

// Record is the value of a position in the store. An empty Address means that
// the position is free.
type Record struct {
	// Address and Incarnation name the holder.
	Address, Incarnation string
	// Epoch increases with each change of the holder.
	Epoch uint64
	// Pending is the takeover in progress; its zero value means none.
	Pending Claim
}

// Claim is the intention of an instance to take over a position.
type Claim struct {
	// Address and Incarnation name the claimant.
	Address, Incarnation string
	// Epoch is the epoch that the claimant will write as holder.
	Epoch uint64
}

// Action is an operation that the caller performs for a Manager: ReadRecord,
// WriteRecord or Send.
type Action interface{ isAction() }

// ReadRecord reads the record of a position. The caller reports the result
// with Manager.HandleStoreResult.
type ReadRecord struct {
	// RequestID is echoed in the result.
	RequestID uint64
	// Index is the position.
	Index int
}

// WriteRecord writes the record of a position by compare-and-swap. The caller
// reports the result with Manager.HandleStoreResult.
type WriteRecord struct {
	// RequestID is echoed in the result.
	RequestID uint64
	// Index is the position.
	Index int
	// IfVersion is the version to replace; 0 creates the record.
	IfVersion uint64
	// Record is the new value.
	Record Record
}

// Send sends a message to the peer address To.
type Send struct {
	To      string
	Message Message
}

func (ReadRecord) isAction()  {}
func (WriteRecord) isAction() {}
func (Send) isAction()        {}

// Outcome is the result of a store call.
type Outcome uint8

// Outcomes of store calls.
const (
	// OutcomeUnclear means an error or a lost answer. A write with this outcome
	// may have taken effect or may still do so.
	OutcomeUnclear Outcome = iota
	// OutcomeRead means that a read succeeded. Record, Version and Revision are
	// set; Version is 0 if there is no record.
	OutcomeRead
	// OutcomeWritten means that a write succeeded. Version is that of the new
	// record.
	OutcomeWritten
	// OutcomeConflict means that a write failed because the version in the store
	// was not IfVersion.
	OutcomeConflict
)

// StoreResult is the result of a ReadRecord or WriteRecord.
type StoreResult struct {
	// RequestID is that of the action.
	RequestID uint64
	// Outcome determines which of the other fields are set.
	Outcome Outcome
	// Version is the version read or written.
	Version uint64
	// Record is the value read.
	Record Record
	// Revision is the revision of the store at the time of a read, 0 if the store
	// did not return one. A read is ignored if its revision is lower than the highest
	// version or revision received so far.
	Revision uint64
}

// Message is a message between the managers of a region: VouchRequest,
// VouchReply, ConsentRequest, ConsentReply or PositionNotice.
type Message interface{ isMessage() }

// VouchRequest asks for a voucher, a vote for the renewal of the lease of a
// position that the sender holds.
type VouchRequest struct {
	// Index and Epoch identify the lease.
	Index int
	Epoch uint64
	// RequestID is echoed in the reply.
	RequestID uint64
}

// VouchReply answers a VouchRequest.
type VouchReply struct {
	// Index, Epoch and RequestID are those of the request.
	Index     int
	Epoch     uint64
	RequestID uint64
	// Granted reports whether the voucher is given.
	Granted bool
	// Positions holds the positions for which the voucher counts.
	Positions []int
	// NewestEpoch is the epoch of the holder in the sender's copy of the record.
	NewestEpoch uint64
}

// ConsentRequest asks for consent to the takeover of a position. The sender has
// already written its claim to the store.
type ConsentRequest struct {
	// Index is the position.
	Index int
	// OldEpoch is the epoch to end, NewEpoch the epoch of the claim.
	OldEpoch, NewEpoch uint64
	// RequestID is echoed in the reply.
	RequestID uint64
}

// ConsentReply answers a ConsentRequest.
type ConsentReply struct {
	// Index, NewEpoch and RequestID are those of the request.
	Index     int
	NewEpoch  uint64
	RequestID uint64
	// Granted reports whether the sender consents.
	Granted bool
	// Remaining is how long vouchers for the old epoch that were given for
	// Positions may stay valid, drift margin included.
	Remaining time.Duration
	// Positions holds the positions for which the consent counts.
	Positions []int
}

// PositionNotice announces the holder of a position. It is only a hint to read
// the record; no lease depends on it.
type PositionNotice struct {
	// Index and Epoch identify the lease.
	Index int
	Epoch uint64
	// Address and Incarnation name the holder.
	Address, Incarnation string
}

func (VouchRequest) isMessage()   {}
func (VouchReply) isMessage()     {}
func (ConsentRequest) isMessage() {}
func (ConsentReply) isMessage()   {}
func (PositionNotice) isMessage() {}

// Holding is a position with a valid lease.
type Holding struct {
	// Index and Epoch identify the lease.
	Index int
	Epoch uint64
	// LeaseEnd is when the lease ends unless it is renewed.
	LeaseEnd snipetime.Instant
	// AcquiredAt is when the position was acquired.
	AcquiredAt snipetime.Instant
	// Inherited is set if an earlier incarnation at this address held the
	// position, so that loans which it made can be outstanding.
	Inherited bool
}
