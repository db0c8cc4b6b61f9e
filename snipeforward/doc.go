// Package snipeforward implements the HTTP interface for callers of an entry
// instance.
//
// A Forwarder processes a request in steps: it finds the service, admits requests
// of class once, plans the places, acquires tokens and a slot, makes attempts at
// targets of its own region or relays them to an instance of another region,
// retries within a budget, and streams the response back. It also serves the
// requests that other instances relay to it, with exactly one attempt each. All
// its dependencies are behind small interfaces.
//
// The outcome not-run is sent only if no target can have begun the request and
// none will. A truncated response ends the connection of the caller with an
// error, never as if it were complete.
package snipeforward
