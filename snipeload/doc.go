// Package snipeload offers load to a deployment as its callers do.
//
// A Caller implements the callers' side of the protocol: it looks up entry
// instances, caches the response, and sends a request again with the same
// identifier to the next entry instance if a connection fails. A Generator is an
// open-loop load generator: it sends requests through a Caller at a fixed mean
// rate, without waiting for earlier responses, and measures latency from the
// instant a request was due, so that a stall of the system lengthens the reported
// latencies.
package snipeload
