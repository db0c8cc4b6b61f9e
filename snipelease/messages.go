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
	// Epoch rises with each change of the holder.
	Epoch uint64
	// Pending is the claim in progress; its zero value means none.
	Pending Claim
}

// Claim names an instance that intends to take a position over.
type Claim struct {
	// Address and Incarnation name the claimant.
	Address, Incarnation string
	// Epoch is the epoch that the claimant will write as holder.
	Epoch uint64
}

// Action is something that the caller does for a Manager: ReadRecord,
// WriteRecord or Send.
type Action interface{ isAction() }

// ReadRecord reads the record of a position. The caller reports the result
// with Manager.StoreResult.
type ReadRecord struct {
	// RequestID is echoed in the result.
	RequestID uint64
	// Index is the position.
	Index int
}

// WriteRecord writes the record of a position by compare-and-swap. The caller
// reports the result with Manager.StoreResult.
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
	// To is a peer address.
	To string
	// Message is the message.
	Message Message
}

func (ReadRecord) isAction()  {}
func (WriteRecord) isAction() {}
func (Send) isAction()        {}

// Outcome is the result of a store call.
type Outcome uint8

// Outcomes of store calls.
const (
	// OutcomeUnclear stands for an error or a lost answer. A write with this
	// outcome may have taken effect or may still do so.
	OutcomeUnclear Outcome = iota
	// OutcomeRead carries the record and its version, 0 if it is absent.
	OutcomeRead
	// OutcomeWritten carries the new version.
	OutcomeWritten
	// OutcomeConflict means that the version did not match.
	OutcomeConflict
)

// StoreResult is the result of a ReadRecord or WriteRecord.
type StoreResult struct {
	// RequestID is that of the action.
	RequestID uint64
	// Outcome tells which of the other fields are set.
	Outcome Outcome
	// Version is the version read or written.
	Version uint64
	// Record is the value read.
	Record Record
	// Revision is that of the store at the time of a read, 0 if the store did
	// not tell. A read older than a version already seen is ignored.
	Revision uint64
}

// Message travels between the managers of a region: VouchRequest, VouchReply,
// ConsentRequest, ConsentReply or PositionNotice.
type Message interface{ isMessage() }

// VouchRequest asks for a voucher for a position that the sender holds.
type VouchRequest struct {
	// Index and Epoch name the lease.
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
	// Positions are those for which the voucher counts.
	Positions []int
	// NewestEpoch is the newest epoch of a holder that the sender has read.
	NewestEpoch uint64
}

// ConsentRequest asks for consent to the takeover of a position. The sender has
// written its claim to the store before.
type ConsentRequest struct {
	// Index is the position.
	Index int
	// OldEpoch is the epoch to end, NewEpoch that of the claim.
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
	// Positions may stay valid, margin included.
	Remaining time.Duration
	// Positions are those for which the consent counts.
	Positions []int
}

// PositionNotice announces the holder of a position. It is a hint to read the
// record and proves nothing.
type PositionNotice struct {
	// Index and Epoch name the lease.
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
	// Index and Epoch name the lease.
	Index int
	Epoch uint64
	// LeaseEnd is when the lease ends unless it is renewed.
	LeaseEnd snipetime.Instant
	// Since is when the position was acquired.
	Since snipetime.Instant
	// Inherited reports that an earlier incarnation at this address held the
	// position, so that loans which it made can be outstanding.
	Inherited bool
}
