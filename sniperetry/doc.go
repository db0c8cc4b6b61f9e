// Package sniperetry decides whether a request is retried or hedged, and when.
//
// A Budget bounds the retries and hedges of one service to a fraction of its
// first attempts. Backoff yields exponential delays with full jitter. Latency
// estimates the hedge delay. Policy combines them in Decide. The package
// performs no I/O and reads no clock; its types are not safe for concurrent
// use.
package sniperetry
