// Package snipelookup decides which entry instances a caller uses.
//
// A BlockTable maps a client address to its home place by longest-prefix match.
// Entries holds, for each home place, ordered lists of entry instances that are
// computed when the membership or the configuration changes. Both are immutable
// and read without a lock; Lookup publishes them through an atomic pointer.
package snipelookup
