package snipelease

import "time"

const (
	defaultLease               = 10 * time.Second
	defaultStoreTimeout        = 2 * time.Second
	defaultMaximumLoanDuration = 4 * time.Second
	// claimStagger is the difference between the claim delays of members that
	// follow each other in the ranking for a position.
	claimStagger    = 500 * time.Millisecond
	vouchInterval   = 500 * time.Millisecond
	consentInterval = time.Second
	// maxConsentRounds bounds the consent requests of a claim whose late replies
	// still count.
	maxConsentRounds = 8
	// membershipSettleTime is the time without a change of the members after which
	// an instance releases the positions above its share.
	membershipSettleTime = 5 * time.Second
	// maxReadFactor is the largest factor by which members that rank low for a
	// position lengthen their read interval, so that the reads of a region do not
	// grow with its members.
	maxReadFactor = 16
	// maxBackoffShift limits the backoff of store calls to 8 to 16 times the base
	// delay, which is 4 s to 8 s with the default lease.
	maxBackoffShift = 3
	driftDivisor    = 100
	driftConstant   = 100 * time.Millisecond
)

// Config holds the settings of a Manager. Address, Incarnation and Positions
// are required; a zero duration selects the default.
type Config struct {
	// Address is the peer address of this instance.
	Address string
	// Incarnation identifies this process and is unique among processes.
	Incarnation string
	// Positions is the number of positions of the region.
	Positions int
	// LeaseDuration is the validity of a renewal, from the moment it is sent. The
	// default is 10 s.
	LeaseDuration time.Duration
	// DriftMargin is added where an instance waits for the end of a lease that
	// another instance measures on its own clock. The default is 1 % of
	// LeaseDuration plus 100 ms.
	DriftMargin time.Duration
	// StoreTimeout is the time after which the outcome of a store call counts as
	// unclear. The default is 2 s.
	StoreTimeout time.Duration
	// LoanDrain is the time between the last use of a position and the write
	// that frees it. It covers the loans made from the position, which package
	// snipelimit grants: units of a limit that another instance may use for a
	// bounded time. The default is 4 s, the longest loan by default, plus
	// DriftMargin.
	LoanDrain time.Duration
	// Seed seeds the random choices, so that they are reproducible.
	Seed uint64
}

func (c Config) withDefaults() Config {
	if c.LeaseDuration == 0 {
		c.LeaseDuration = defaultLease
	}
	if c.DriftMargin == 0 {
		c.DriftMargin = c.LeaseDuration/driftDivisor + driftConstant
	}
	if c.StoreTimeout == 0 {
		c.StoreTimeout = defaultStoreTimeout
	}
	if c.LoanDrain == 0 {
		c.LoanDrain = defaultMaximumLoanDuration + c.DriftMargin
	}
	return c
}

// VoucherQuorum returns how many of n positions must vouch for a renewal: the
// smallest majority.
func VoucherQuorum(n int) int { return n/2 + 1 }

// ConsentQuorum returns how many of n positions must consent to a takeover. It
// is the smallest number that every voucher quorum intersects, which for an
// even n is exactly half.
func ConsentQuorum(n int) int { return n - VoucherQuorum(n) + 1 }
