package snipeonce

import (
	"sync"
	"time"

	"github.com/snipemoor/snipemoor/snipetime"
)

const (
	defaultKeyRetention = time.Hour
	// leaseDriftDivisor bounds the difference of the clock rates of an instance
	// and the store at 1 %.
	leaseDriftDivisor = 100
	leaseRetry        = time.Second
)

// ClaimLeases chooses the store lease that key claims are bound to. The store
// deletes a claim when its lease expires, so that claims need no list, no
// sweeper and no comparison of clocks, also after their writer has died.
//
// A claim lease is never renewed and never released. It is used only for a
// request whose deadline is at least the key retention before the end of the
// lease, counted from the sending of the call that opened it. The store counts
// from the receipt, so it deletes a claim no earlier than the key retention
// after the deadline of the named request. The retention must exceed the delay
// of a relayed attempt. A claim that is found at the store therefore stays there
// until its request can no longer run. ClaimLeases is safe for concurrent use.
type ClaimLeases struct {
	retention time.Duration

	mu    sync.Mutex
	lease string
	// sent is when the call that opened the lease was sent.
	sent    snipetime.Instant
	retryAt snipetime.Instant
}

// NewClaimLeases returns the choice of leases for a key retention; 0 selects
// 1 h.
func NewClaimLeases(retention time.Duration) *ClaimLeases {
	setDefault(&retention, defaultKeyRetention)
	return &ClaimLeases{retention: retention}
}

// TTL is the time to live of the leases to open: the retention, as long again
// in which deadlines are accepted, and the drift of clocks over both.
func (c *ClaimLeases) TTL() time.Duration {
	return 2*c.retention + 2*c.retention/leaseDriftDivisor
}

// Due reports whether a lease must be opened now. It is true again after a
// second unless Opened was called.
func (c *ClaimLeases) Due(now snipetime.Instant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Before(c.retryAt) || c.lease != "" && now.Before(c.sent.Add(c.retention/2)) {
		return false
	}
	c.retryAt = now.Add(leaseRetry)
	return true
}

// Opened takes a lease into use. sent is when the call that opened it was sent;
// an older lease does not replace a newer one.
func (c *ClaimLeases) Opened(lease string, sent snipetime.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lease == "" || sent.After(c.sent) {
		c.lease, c.sent = lease, sent
	}
}

// Expired forgets a lease that the store does not know.
func (c *ClaimLeases) Expired(lease string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lease == lease {
		c.lease = ""
	}
}

// For returns the lease for the claim of a request with the given deadline, or
// false if there is none that lasts long enough; the request then ends not-run
// with ReasonClaimStoreUnavailable.
func (c *ClaimLeases) For(deadline snipetime.Instant) (lease string, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lease == "" || deadline.After(c.sent.Add(c.retention)) {
		return "", false
	}
	return c.lease, true
}
