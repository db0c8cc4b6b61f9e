// Package snipestandin provides small HTTP stand-ins for the systems around
// snipemoor: the store, the platform's list of instances, targets, and a
// network with delays and cuts. They are meant for tests and the demo.
//
// A stand-in listens on a given address, which should be on loopback, until
// Close. Faults are set by method or, from another process, by a POST of a
// JSON document to /standin/fault; each POST replaces all faults set before.
package snipestandin
