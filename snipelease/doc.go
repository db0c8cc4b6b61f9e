// Package snipelease manages the leases of the positions of a region.
//
// A position is a numbered part of the coordination work of a region, such as the
// slot groups whose names hash to it; at most one instance holds it at a time. A
// Manager claims positions through a store with compare-and-swap and renews their
// leases there. During an outage of the store it renews them by vouchers, which
// are votes of other holders for the renewal. It takes over the expired positions
// of other addresses once a quorum has consented, that is, voted to end the lease.
// The Manager performs no I/O: it receives events and an Instant and returns
// actions.
//
// Assumptions: compare-and-swap is linearizable; a read without a revision is
// linearizable too, and one with a revision may return older data; the peer
// address of an instance is exclusive, so that a new incarnation proves that the
// process before it has ended; clock rates differ by less than the drift margin.
//
// At each moment at most one incarnation has a valid lease for a position:
//
//   - Only a confirmed compare-and-swap write extends a lease at the store. If a
//     claimant has observed one version for a lease duration plus margin and then
//     replaces that version, the lease at the store must have ended.
//   - VoucherQuorum and ConsentQuorum add up to more than the number of
//     positions, so each pair of quorums shares a position. Its holder either
//     vouched first, and the claimant waits, or consented first, and never
//     vouches for that epoch again.
//   - The shared position can change hands between the two. A voucher counts a
//     position only for records that its holder read after it had acquired that
//     position, so that it has read the claim that its predecessor consented to.
//     A consent includes the vouchers that a predecessor can have given.
package snipelease
