// Package snipetime provides monotonic time and a timer service.
//
// Decision packages take an Instant with each event instead of reading a
// clock. The daemon passes instants of a Service; a test passes instants of a
// Manual clock and steps it. An Instant counts boot time, including the time
// that the machine was suspended, so that a lease cannot outlive a pause.
package snipetime
