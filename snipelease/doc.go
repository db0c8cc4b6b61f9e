// Package snipelease decides which positions of a region an instance holds.
//
// A Manager claims positions through a store with compare-and-swap, renews
// their leases there or, during an outage of the store, by vouchers of other
// holders, and takes over the lapsed positions of other addresses. It performs
// no I/O: it takes events and an Instant and returns actions.
//
// Assumptions: compare-and-swap is linearizable; a read without a revision is
// linearizable too, and one with a revision may be older; the peer address of
// an instance is exclusive, so that a new incarnation proves the death of the
// one before; clock rates differ by less than the drift margin.
//
// At each moment at most one incarnation has a valid lease for a position:
//
//   - Only a confirmed compare-and-swap write extends a lease at the store. A
//     claimant that has seen one version for a lease duration plus margin and
//     replaces that version therefore knows that the store lease has ended.
//   - VoucherQuorum and ConsentQuorum add up to more than the number of
//     positions, so each pair of quorums shares a position. Its holder either
//     vouched first, and the claimant waits, or consented first, and never
//     vouches for that epoch again.
//   - The shared position can change hands between the two. A voucher counts a
//     position only for records that it read after it had acquired that
//     position, so that it sees the claim that its predecessor consented to. A
//     consent includes the vouchers that a predecessor can have given.
package snipelease
