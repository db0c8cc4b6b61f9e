// Package snipetime provides monotonic time and timers, with a manual clock for
// tests.
//
// Packages that decide without I/O get an Instant with each call instead of reading
// a clock. A running process passes instants of a Service; a test passes instants of
// a Manual clock and advances it. The instants of a Service count boot time, which
// includes the time that the machine was suspended. Otherwise a lease would still
// look valid after a suspension that was longer than its remaining time.
package snipetime
