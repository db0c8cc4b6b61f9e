// Package snipeplacement chooses the target of a request, or refuses it.
//
// Each object, named by an affinity key, belongs to a small set of targets that
// all fronts compute alike by weighted rendezvous hashing (Thaler and
// Ravishankar, 1998), because a target that handled an object lately is much
// faster. Within the set the first target with room takes the request; a request
// for which the set has no room is refused at once, since spilling it would cool
// the caches of all targets.
//
// The package performs no I/O and is stepped on given times.
package snipeplacement
