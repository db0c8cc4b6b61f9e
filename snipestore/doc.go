// Package snipestore is a client of the platform's key-value service and the
// writer and reader of the configuration kept in it.
//
// Every call has a time limit and counts against a call budget. Reads and
// watches are repeated with exponential backoff and jitter; a write is sent at
// most once per call, because only the caller can tell whether a repetition is
// safe. A write whose answer was lost is reported as ErrUnclear.
package snipestore
