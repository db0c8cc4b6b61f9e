// Package sniperetry decides whether a request is retried or hedged, and when.
//
// A Budget is a token bucket that bounds the retries and hedges of one service to
// a fraction of its first attempts. Backoff returns exponential delays with full
// jitter. LatencyEstimator estimates the 95th percentile of the latency, which is the
// delay before a hedge. Policy combines them in Decide. The package performs no I/O
// and reads no clock; its types are not safe for concurrent use.
package sniperetry
