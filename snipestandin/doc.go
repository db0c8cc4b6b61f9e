// Package snipestandin provides test doubles ("stand-ins") for the systems
// around snipemoor: HTTP servers for the store, the platform's list of instances
// and the targets, and a network that adds delays and partitions. They are meant
// for tests and the demo.
//
// A stand-in serves on a given address, which should be on loopback, until
// Close. Faults are set by a method or, from another process, by a POST of a
// JSON document to /standin/fault; each POST replaces all faults set before.
package snipestandin
