// Package snipequota keeps the rate limits that targets state in their responses.
//
// A limit is the number of requests per second that a target takes from all fronts
// together. It holds from the response that states it until one that does not. A
// Table holds the newest statement of each limited target.
//
// The package performs no I/O and reads no clock; callers pass the time.
package snipequota
