// Package snipetarget sends single attempts to targets over bounded pools of
// HTTP/1.1 connections, and probes their health and load.
//
// An attempt is sent at most once: neither the package nor net/http repeats it
// after the first byte was written. The error of a failed attempt states whether
// the target may have begun the request. To decide this, each connection counts
// the bytes that are written to it, and it rejects all writes after its attempt
// has failed. A connection over which a target has refused a request carries no
// other: responses name no request, so that a late copy of the refusal could pass for
// the response to it.
//
// Trailers are not forwarded in either direction, and a response of status 101
// is an error, because connections are not handed to the caller.
package snipetarget
