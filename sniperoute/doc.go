// Package sniperoute chooses places, targets and relay instances.
//
// A Planner orders the places in which an entry instance may serve a request.
// A Chooser selects a target among those with a free slot, for the owner of a
// slot group. Relays selects an entry instance of another region. The package
// performs no I/O and reads no clock: callers pass the current instant. Its
// types are not safe for concurrent use, and a selection does not allocate.
package sniperoute
