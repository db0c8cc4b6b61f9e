// Package snipeforward serves the callers' interface of an entry instance.
//
// A Forwarder takes a request through its steps: it finds the service, decides
// about requests of class once, plans the places, acquires tokens and a slot,
// makes attempts at targets of the own region or relays them to an instance of
// another region, retries within a budget, and streams the response back. It
// also serves the requests that other instances relay to it, with exactly one
// attempt each. Everything it decides with is behind small interfaces.
//
// The outcome not-run is sent only where no target can have begun the request
// and none will. A response that is cut short ends the connection of the caller
// with an error, never with a clean end.
package snipeforward
