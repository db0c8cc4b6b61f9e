// Package snipetarget sends single attempts to targets over bounded pools of
// HTTP/1.1 connections, and probes their health and load.
//
// An attempt is sent at most once: neither the package nor net/http repeats it
// after the first byte was written. A failure says whether the target can have
// begun the request. That is decided by the connection itself, which counts
// written bytes and can be sealed against late writes.
//
// Trailers are not forwarded in either direction, and an answer of status 101
// is an error, because connections are not handed to the caller.
package snipetarget
