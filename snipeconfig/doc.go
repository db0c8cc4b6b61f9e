// Package snipeconfig parses, validates and compares the configuration of a
// fleet, and holds the generation that is in force.
//
// The configuration is a set of documents in JSON with comments. There are four
// kinds: a template holds the properties that services share, a team document
// holds the services and targets of a customer, the fleet document holds
// regions, failure domains, places and links, and a drain names a target, an
// instance or a place that must receive no new requests.
//
// ParseDocument checks one document and Build checks a set of documents against
// each other; both collect all faults, each with file, line and column. A
// Snapshot is the immutable result of Build, numbered by its generation. A
// Tracker holds the snapshot in force and never replaces it by one of a lower
// generation.
//
// The package performs no I/O and reads no clock. Decode also parses other
// documents strictly, such as the settings of a process.
package snipeconfig
