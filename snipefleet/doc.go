// Package snipefleet holds the state of the targets, of the other fronts and of
// evacuated failure domains that a front has received from the store.
//
// A Registry receives reports and publishes immutable Views. It performs no I/O and
// receives the current time as a parameter. An entry that lapsed while the store did
// not answer stays in use for LapseGrace after the front regained the store; any
// other removal ends use at once. A target that has reported that it is draining is
// never used again in the same incarnation.
package snipefleet
