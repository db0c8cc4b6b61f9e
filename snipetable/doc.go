// Package snipetable holds the route table of a front: which route matches a request,
// how often and how long the request may run, the services and regions that may serve
// it, and which tenant a key belongs to.
//
// A Table is immutable. An entry of the configuration that cannot be used is isolated:
// a route or a tenant refuses its requests, a service or a key counts as missing, and
// Table.Problems names the entry. A Holder keeps the table in force and never returns to
// a lower version while the process runs.
package snipetable
