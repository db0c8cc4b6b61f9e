// Package snipequota keeps the rate limits that targets state in their responses.
//
// A limit is the number of requests per second that a target takes from all fronts
// together. It holds from the response that states it until one that does not. A
// Table holds the newest statements and decides whether this front may send a request
// to a limited target, without a call to another front.
//
// Only the fronts of one group, the one nearest to the target, send to a limited
// target, and of these only as many, chosen by rendezvous hashing, as have at least
// minSenderRate each. Without further agreement each of these senders has the same
// share of the limit. A watcher of the group leases other shares, by demand, with the
// answers to the requests for changes that the fronts send it anyway. This follows the
// leases and the safe capacity of Doorman (Google, 2016): a watcher reserves the equal
// share for each sender from which it has not heard, a sender returns to its equal
// share when its lease ends, and a new watcher leases nothing until it has heard from
// all senders or their earlier leases have ended. So the shares in use add up to at
// most one, as long as the fronts know the same fronts; a share that grows because
// fronts came or went is used only after membershipDelay.
//
// Fronts of other groups learn the limits, and that they have ended, from notices
// that the watchers of the nearest group send to those of the others. Without notices
// they send single requests after a long pause.
//
// Nothing is sent, and nothing is kept for a target, while no target states a limit.
// TenantQuotas enforces the quotas of tenants over all fronts. Each front admits requests
// from a token bucket of its own. The watchers keep the level of one bucket for all fronts
// and their total demand, from which the fronts derive their shares.
//
// The package performs no I/O and reads no clock; callers pass the time.
package snipequota
