package snipeslot

import (
	"time"

	"github.com/snipemoor/snipemoor/sniperoute"
	"github.com/snipemoor/snipemoor/snipetime"
)

// Member is one process incarnation of an entry instance.
type Member struct {
	Address, Incarnation string
}

// Reason is the cause of a refusal, as it appears in metric labels; it is empty
// for no refusal.
type Reason string

// Reasons of a refusal.
const (
	// ReasonNone is no refusal.
	ReasonNone Reason = ""
	// ReasonNoSlot means that no slot became free within the longest wait.
	ReasonNoSlot Reason = "noSlot"
	// ReasonQueueFull means that the queue has its maximum length.
	ReasonQueueFull Reason = "queueFull"
	// ReasonWouldMissDeadline means that the expected wait is not shorter than
	// the budget.
	ReasonWouldMissDeadline Reason = "wouldMissDeadline"
	// ReasonDeadline means that the budget ended, before the request arrived or
	// in the queue.
	ReasonDeadline Reason = "deadline"
	// ReasonAllTargetsDraining means that every target of the group is draining.
	ReasonAllTargetsDraining Reason = "allTargetsDraining"
	// ReasonNoTarget means that the group has no target, or that the request
	// excludes all of them.
	ReasonNoTarget Reason = "noTarget"
	// ReasonLeaseLapsed means that the owner's position lease has ended.
	ReasonLeaseLapsed Reason = "limitLeaseLapsed"
)

// Acquire asks an owner for a slot.
type Acquire struct {
	Group string
	// AttemptID identifies the attempt; it is not used again after a release.
	AttemptID string
	From      Member
	// Budget is the time until the deadline of the request when the message is
	// sent.
	Budget time.Duration
	// MaximumWait bounds the time in the queue; 0 means not to queue. A request
	// with a longer expected wait is refused at once, so that the instance can
	// try another group.
	MaximumWait time.Duration
	// MaximumExpected is the expected wait above which the request is refused
	// instead of queued; 0 sets no bound besides MaximumWait.
	MaximumExpected time.Duration
	// Excluded holds the addresses of targets that this request has already
	// tried.
	Excluded []string
	// Hedge marks a hedging request, which is granted a free slot or refused but
	// never queued.
	Hedge bool
}

// State is the kind of a Reply.
type State int

// States of a Reply.
const (
	// Refused carries a Reason and possibly RetryAfter.
	Refused State = iota
	// Queued means that a Granted or Refused reply will follow.
	Queued
	// Granted carries GrantID, Target and TimeToLive.
	Granted
)

// Reply answers an Acquire.
type Reply struct {
	Group, AttemptID string
	To               Member
	State            State
	// Epoch is the epoch of the owner that replies.
	Epoch uint64
	// GrantID is unique within the group. It carries the low 32 bits of the
	// owner's epoch in its upper half.
	GrantID uint64
	Target  string
	// TimeToLive counts from the moment at which the Acquire was sent. It
	// includes the time in the queue and excludes the drift margin.
	TimeToLive time.Duration
	Reason     Reason
	// RetryAfter, in a Refused reply, is the suggested time before a retry, such
	// as the expected wait for a slot; 0 suggests none.
	RetryAfter time.Duration
	// MayReuseGrant, in a Queued reply, permits the member to start the request
	// under a grant of the group whose attempt has just completed at that
	// member, except at the ReuseBlocked targets. Holder.ReuseGrant does so.
	MayReuseGrant bool
	ReuseBlocked  []string
}

// Cancel withdraws an Acquire whose grant will not be used.
type Cancel struct {
	Group, AttemptID string
	From             Member
}

// Outcome is the result of an attempt as reported to the owner.
type Outcome string

// Outcomes of an attempt.
const (
	// OutcomeDone is a complete response that is not a server error.
	OutcomeDone Outcome = "done"
	// OutcomeFailed is a server error or a lost connection.
	OutcomeFailed Outcome = "failed"
	// OutcomeDialFailed means that no connection was made.
	OutcomeDialFailed Outcome = "dialFailed"
	// OutcomeShed is an explicit refusal by the target.
	OutcomeShed Outcome = "shed"
	// OutcomeCancelled is an attempt that the member ended or never started.
	OutcomeCancelled Outcome = "cancelled"
)

func (o Outcome) result() sniperoute.Result {
	switch o {
	case OutcomeDone:
		return sniperoute.Completed
	case OutcomeFailed, OutcomeDialFailed:
		return sniperoute.Failed
	case OutcomeShed:
		return sniperoute.Shed
	default:
		return sniperoute.Neutral
	}
}

// Release ends an attempt. It is sent only once the attempt has ended.
type Release struct {
	Group, AttemptID string
	From             Member
	GrantID          uint64
	Target           string
	Latency          time.Duration
	Outcome          Outcome
	// Next is the attempt that the member has started under the same grant; it
	// is empty if the grant ends with the attempt.
	Next string
}

// Running is an attempt under a grant.
type Running struct {
	AttemptID string
	GrantID   uint64
	Target    string
}

// Renew lists all running attempts of a member in one group. The list is always
// complete.
type Renew struct {
	Group string
	From  Member
	// Epoch is the epoch of the owner that the message is meant for. An owner
	// ignores lists for another epoch: a list sent to an earlier owner at the same
	// address may lack attempts that were granted in between.
	Epoch uint64
	// Sequence increases with each list of the member for the group.
	Sequence uint64
	Attempts []Running
	// Generation is the configuration that the member had in force, and Digest
	// identifies the targets of the group in it.
	Generation, Digest uint64
	// Foreign counts, by target of this group, the member's attempts that run
	// under grants of other groups.
	Foreign map[string]int
}

// RenewReply answers a Renew.
type RenewReply struct {
	Group           string
	Epoch, Sequence uint64
	// Accepted is false if the owner has no lease or another epoch, has accepted
	// the same or a later list, or has seen the member replaced by a new
	// incarnation. Nothing was renewed then.
	Accepted bool
	// Unknown holds attempts that have no grant and must be cancelled.
	Unknown []string
}

// Target is a target of the group.
type Target struct {
	Address string
	// Slots is the number of attempts that may run at the same time.
	Slots int
	// Draining is set if the target receives no new grant.
	Draining bool
}

// Load is the summary of a group for heartbeats.
type Load struct {
	Group string
	// Free and Total are numbers of slots, Queued is a number of requests.
	Free, Queued, Total int
	// Latency is the mean time from grant to release.
	Latency time.Duration
	// Recovering is set while the owner waits for reports.
	Recovering bool
}

// Chooser selects the target of a grant; *sniperoute.Chooser implements it.
type Chooser interface {
	// SetTargets declares the targets of the group.
	SetTargets(now snipetime.Instant, addresses []string, draining func(address string) bool)
	// Choose returns an index in free, or -1 if no candidate may receive a
	// request now.
	Choose(now snipetime.Instant, free []sniperoute.Candidate) int
	// ChooseDegraded returns an index in free of a target that Choose avoids
	// for its latency or its slow start and whose additional latency is below
	// the wait, or -1.
	ChooseDegraded(free []sniperoute.Candidate, wait time.Duration) int
	// Observe records the result of an attempt.
	Observe(now snipetime.Instant, address string, r sniperoute.Result, latency time.Duration)
	// Tick ends the ejections whose time is over.
	Tick(now snipetime.Instant)
}
