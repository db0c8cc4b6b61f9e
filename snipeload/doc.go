// Package snipeload offers load to a deployment as its callers do.
//
// A Caller follows the callers' interface: it asks for entry instances, caches
// the answer, and repeats a request with the same identifier at the next entry
// instance when a connection fails. Run drives a Caller at a fixed arrival rate
// and measures each request from the instant it was due, so that a stall of the
// system lengthens the latencies that are reported (open loop).
package snipeload
