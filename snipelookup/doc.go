// Package snipelookup selects the entry instances that a caller uses.
//
// A BlockTable maps a client address to its home place by longest-prefix match.
// Entries holds, for each home place, ordered lists of entry instances that are
// computed when the membership or the configuration changes. Both are immutable
// and read without a lock; Lookup publishes them through an atomic pointer.
//
// A BlockTable is built in two passes over the blocks. A sweep converts nested
// blocks into disjoint ranges of addresses; the first pass counts them and the
// second one stores them in slices of the exact size.
package snipelookup
