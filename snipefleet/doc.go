// Package snipefleet keeps what a front believes of targets, of the other fronts
// and of evacuated failure domains, from reports that the store hands out.
//
// A Registry takes reports and publishes immutable Views. It performs no I/O and
// is stepped on given times. An entry that lapsed because the store was away
// stays in use for LapseGrace after the store's return; every other removal ends
// use at once, and a target that was seen draining is never used again in the
// same incarnation.
package snipefleet
