// Package snipetable holds the route table that a front has in force: which
// route a request takes, what the route allows, and which services it leads to.
//
// A Table is immutable. A Holder keeps the newest one and never returns to an
// older version within one process.
package snipetable
