// Package snipeplacement chooses the target of a request, or refuses the request.
//
// Each object, identified by its affinity key, is assigned to a small set of targets
// by weighted rendezvous hashing (Thaler and Ravishankar, 1998), because a target
// that handled an object recently has it cached and is much faster. All fronts of a
// region compute the same set; for large bodies, all fronts of a failure domain. A
// request goes to the first target of the set that is below its concurrency limit.
// If all are at their limits, the request is refused at once: sending it to other
// targets would evict objects from their caches.
//
// A Chooser is the one place that answers whether a request may be sent to a target now,
// and when not, when it may be. It asks the registry (a target that leaves or is evacuated
// is not in its view), then what it knows about the target itself: whether it rests,
// whether requests to it fail, whether its rate limit admits the request, whether it is
// cold, and its load. After a rest, the fronts return to a target one after the other, and
// each one slowly.
//
// While requests for a service are refused for lack of room, less urgent ones get lower
// concurrency limits (demand). The slowness that a target states moves only requests of
// routes that are not sticky.
//
// The package performs no I/O and reads no clock; callers pass the time.
package snipeplacement
