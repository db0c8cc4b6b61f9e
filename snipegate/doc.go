// Package snipegate takes one request of a caller through its steps: route,
// target, attempts, answer.
//
// A request of a route that is not idempotent is sent to a second target only
// after a statement that the first has not run it. A refusal with status 429 or
// 503 is sent only where no target can have begun the request.
package snipegate
