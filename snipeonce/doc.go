// Package snipeonce decides whether a request of class once may start.
//
// A request identifier names the process incarnation that alone may start it.
// That incarnation keeps a Table of records; every other instance relays to it.
// The package performs no I/O and reads no clock: each call takes the current
// instant of the calling process, and instants of other processes are only
// carried, never compared with local ones.
//
// Two rules make an answer final. An identifier can start only within the start
// window after its issue time, and its record outlives that window, so a
// forgotten identifier can never start again. An identifier that was answered
// not-run is marked as closed before the answer is given, so a late duplicate
// cannot start it either. Only the Table of the issuer, or the complete
// hand-over of a closed issuer, may therefore answer not-run for an identifier;
// any other instance that cannot relay answers unknown.
package snipeonce
