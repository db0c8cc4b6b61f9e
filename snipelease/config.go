package snipelease

import "time"

const (
	defaultLease        = 10 * time.Second
	defaultStoreTimeout = 2 * time.Second
	defaultMaxLoan      = 4 * time.Second
	claimStagger        = 500 * time.Millisecond
	vouchInterval       = 500 * time.Millisecond
	consentInterval     = time.Second
	// maxConsentRounds bounds the requests whose late replies still count.
	maxConsentRounds = 8
	membershipSettle = 5 * time.Second
	// maxReadFactor bounds the read interval of members that rank low for a
	// position, so that the reads of a region do not grow with its members.
	maxReadFactor = 16
	// maxBackoffShift bounds the backoff of store calls at 8 to 16 times its
	// first value, 4 s to 8 s with the default lease.
	maxBackoffShift = 3
	driftDivisor    = 100
	driftConstant   = 100 * time.Millisecond
)

// Config holds the settings of a Manager. Address, Incarnation and Positions
// are required; a zero duration selects the default.
type Config struct {
	// Address is the peer address of this instance.
	Address string
	// Incarnation identifies this process; no two processes share one.
	Incarnation string
	// Positions is the number of positions of the region.
	Positions int
	// LeaseDuration is the validity of a renewal, from the moment it is sent.
	LeaseDuration time.Duration
	// DriftMargin is added where an instance waits for a lease that another
	// one counts; the default is 1 % of LeaseDuration plus 100 ms.
	DriftMargin time.Duration
	// StoreTimeout is the time after which a store call counts as unclear.
	StoreTimeout time.Duration
	// LoanDrain is the time between the last use of a position and the write
	// that frees it; it covers the loans made from it. The default is 4 s
	// plus DriftMargin.
	LoanDrain time.Duration
	// Seed makes random choices repeatable.
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
		c.LoanDrain = defaultMaxLoan + c.DriftMargin
	}
	return c
}

// VoucherQuorum returns how many of n positions must vouch for a renewal.
func VoucherQuorum(n int) int { return n/2 + 1 }

// ConsentQuorum returns how many of n positions must consent to a takeover. It
// is the smallest number that every voucher quorum intersects, which for an
// even n is exactly half.
func ConsentQuorum(n int) int { return n - VoucherQuorum(n) + 1 }
