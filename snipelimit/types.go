package snipelimit

import (
	"time"

	"github.com/snipemoor/snipemoor/snipetime"
)

// UnitsPerLimit is the number of units that a limit is divided into.
const UnitsPerLimit = 1_000_000

const (
	defaultMaxLoan     = 4 * time.Second
	defaultSplitSettle = 15 * time.Second
	defaultBurst       = 20 * time.Millisecond
	defaultReserve     = 5.0
	driftDivisor       = 100
	driftConstant      = 100 * time.Millisecond
)

// Config holds the settings of a Ledger. Incarnation and Positions are
// required; other zero values select the defaults.
type Config struct {
	// Incarnation identifies this process; no two processes share one.
	Incarnation string
	// Positions is the number of positions of the region.
	Positions int
	// MaxLoan is the longest duration of a loan; the default is 4 s.
	MaxLoan time.Duration
	// DriftMargin is added wherever this instance waits for the end of a loan
	// whose duration a borrower counts, because the clock of the borrower can be
	// slower; the default is 1 % of MaxLoan plus 100 ms.
	DriftMargin time.Duration
	// FractionDelay is the time for which a raised Limit.Fraction is not used yet,
	// because instances of other regions can still use the old fractions; the
	// default is 15 s.
	FractionDelay time.Duration
	// Seed is the seed of the random order in which peers are asked for loans.
	Seed uint64
}

func (c Config) withDefaults() Config {
	if c.MaxLoan == 0 {
		c.MaxLoan = defaultMaxLoan
	}
	if c.DriftMargin == 0 {
		c.DriftMargin = c.MaxLoan/driftDivisor + driftConstant
	}
	if c.FractionDelay == 0 {
		c.FractionDelay = defaultSplitSettle
	}
	return c
}

// Limit is a configured rate limit.
type Limit struct {
	// ID names the limit.
	ID string
	// PerSecond is the cap of the whole limit, in amounts (bits or requests)
	// per second.
	PerSecond float64
	// Fraction is the part of the units that belongs to this region, from 0 to 1.
	Fraction float64
	// PreviousFraction is the fraction before the last change of the division
	// among regions, or 0 if there was none. An instance that starts with this
	// configuration uses the smaller of the two for FractionDelay, because others
	// can still use the old division.
	PreviousFraction float64
	// Burst is the largest number of tokens that a bucket accumulates.
	Burst Burst
	// MaxGrowth is the largest increase of the admitted rate of the whole limit, in
	// amounts per second per second; 0 sets no bound.
	MaxGrowth float64
	// ReservePercent is the part of PerSecond that is not used, from 0 to 100;
	// 0 selects 5 %.
	ReservePercent float64
	// Shared is set if other regions have units too and can lend them.
	Shared bool
}

// Burst defines the capacity of a bucket: the larger of Minimum and the amount
// that the rate of the bucket yields in Duration.
type Burst struct {
	// Duration defaults to 20 ms.
	Duration time.Duration
	// Minimum is an amount. It may be 0 even if single amounts are larger than
	// the burst, because a full bucket admits them and goes into debt.
	Minimum float64
}

// Holding is a position that the instance holds.
type Holding struct {
	// Index is the position.
	Index int
	// LeaseEnd is the instant at which its lease ends.
	LeaseEnd snipetime.Instant
	// AcquiredAt is the instant at which the position was acquired.
	AcquiredAt snipetime.Instant
	// Inherited is set if an earlier incarnation at the same address held the
	// position and can have lent its units.
	Inherited bool
}

// Peer is an instance that can lend.
type Peer struct {
	// Address is the peer address.
	Address string
	// SameRegion is set if the peer is in the region of this instance.
	SameRegion bool
	// Positions is the number of positions that the peer is known to hold.
	Positions int
}

// LoanRequest asks for units of a limit.
type LoanRequest struct {
	// LoanID identifies the loan and the attempt: a later attempt for the same
	// loan extends it.
	LoanID string
	// Limit names the limit.
	Limit string
	// Units is the number of units wanted.
	Units int
	// Duration is the requested duration. The borrower counts it from the sending
	// of the request.
	Duration time.Duration
}

// LoanReply answers a LoanRequest; zero units are a refusal.
type LoanReply struct {
	// LoanID and Limit are those of the request.
	LoanID, Limit string
	// Units is the number of units lent.
	Units int
	// Duration is the duration of the loan, at most the requested one.
	Duration time.Duration
}

// LoanReturn ends a loan early.
type LoanReturn struct {
	// LoanID and Limit are those of the request for the loan.
	LoanID, Limit string
}

// Outgoing is a message to a peer. Exactly one of Request and Return is set.
type Outgoing struct {
	// To is the peer address.
	To string
	// Request is a request for a loan.
	Request *LoanRequest
	// Return ends a loan.
	Return *LoanReturn
}

// RefusalError is the reason why Bucket.Spend refuses an amount.
type RefusalError uint8

// Refusals.
const (
	// ErrCapReached means that the tokens are used up.
	ErrCapReached RefusalError = iota + 1
	// ErrLeaseLapsed means that the instance has no valid lease and no loan.
	ErrLeaseLapsed
)

// Error implements error.
func (r RefusalError) Error() string {
	if r == ErrLeaseLapsed {
		return "snipelimit: no valid lease or loan"
	}
	return "snipelimit: cap reached"
}

// Status describes a limit at one instance.
type Status struct {
	// ID names the limit.
	ID string
	// PerSecond is the cap of the whole limit.
	PerSecond float64
	// Units is the number of usable units, loans included.
	Units int
	// Borrowed and Lent are the units of loans that have not ended.
	Borrowed, Lent int
	// UsedPerSecond and DemandPerSecond are recent rates of this instance, in
	// amounts per second. Demand includes refused amounts.
	UsedPerSecond, DemandPerSecond float64
}
