// Package snipetable holds the route table of a front: which route matches a request,
// how often and how long the request may run, and the services and regions that may
// serve it.
//
// A Table is immutable. A Holder keeps the table in force and never returns to a
// lower version while the process runs.
package snipetable
