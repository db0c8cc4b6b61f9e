// Package snipelimit divides rate limits among instances and paces spending.
//
// A limit has 1,000,000 units. A Ledger owns units through the positions that
// its instance holds under a lease, lends units that it does not use, and
// borrows units for demand beyond its own. A Bucket admits spending at the rate
// of the usable units. The package performs no I/O: it takes events and an
// Instant and returns messages.
//
// The rates of all instances add up to at most (1 - reserve) of the limit:
// owned units are used only until the lease of their position ends, and lent
// units are not used by the lender until the loan has ended on its clock plus
// the drift margin, while the borrower counts the loan from its request. Over a
// period T the instances spend at most (1 - reserve) × limit × T plus, for each
// instance, the larger of its burst and its largest single amount. The reserve
// covers the second term.
package snipelimit
