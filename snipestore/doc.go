// Package snipestore is a client of the platform's key-value service and the
// writer and reader of the configuration kept in it.
//
// Every call has a timeout and counts against a call budget, which is a token
// bucket. Reads and watches are retried with exponential backoff and jitter. A
// write is sent at most once per call, because only the calling code knows
// whether a retry is safe. A write whose response was lost is reported as
// ErrOutcomeUnknown.
//
// The configuration consists of immutable documents and of the head, a record
// that lists the documents of the newest generation. A compare-and-swap of the
// head commits a change.
package snipestore
