// Package snipeconfig parses, validates and compares configuration, and keeps
// the generation that is in force.
//
// Documents are JSON with comments. There are four kinds: template, team,
// fleet and drain. ParseDocument checks one document and Build checks a set of
// documents against each other; both collect all faults, each with file, line
// and column. A Snapshot is immutable. A Tracker holds the snapshot in force
// and never goes back to a lower generation.
//
// The package performs no I/O and reads no clock. Decode can be reused for
// other strict documents, such as the settings of a process.
package snipeconfig
