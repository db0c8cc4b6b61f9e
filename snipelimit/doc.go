// Package snipelimit divides rate limits among instances and enforces them with
// token buckets.
//
// A limit has 1,000,000 units. A Ledger owns units through the positions that
// its instance holds under a lease, lends units that it does not use, and
// borrows units for demand beyond its own. A Bucket admits spending at the rate
// of the usable units. The package performs no I/O: its methods receive events
// and the current instant, and return messages for peers.
//
// The rates of all instances add up to at most (1 - reserve) of the limit. Owned
// units are used only until the lease of their position ends. Lent units are not
// used by the lender until the loan and the drift margin have passed on its
// clock, while the borrower counts the duration from the sending of its request.
// Over a period T the instances spend at most (1 - reserve) × limit × T plus,
// for each instance, the larger of its burst and its largest single amount. The
// reserve covers the second term.
package snipelimit
