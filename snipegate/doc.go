// Package snipegate handles the requests of callers: it matches the route, reads
// the body, chooses a target, retries where that is safe, and forwards the
// response.
//
// A request of a non-idempotent route is sent to a second target only if the first
// target cannot have executed it: either nothing reached the target, or its
// response states that it has not run the request. Callers interpret status 429 or
// 503 as a guarantee that the request has not run, so the gate sends these only if
// no target can have begun to execute the request.
package snipegate
