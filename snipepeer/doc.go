// Package snipepeer keeps one yamux session per pair of entry instances.
//
// A session starts with a Hello exchange on its first stream, which then
// carries control messages; each later stream carries one relayed request.
// Sessions of a pair are ordered by epoch, then by the address of the dialling
// side, so that both sides keep the same session when they dial each other at
// the same time. A session whose ping times out is closed and replaced by one
// with a higher epoch.
//
// The package assumes that a peer address belongs to one process at a time.
package snipepeer
