// Package snipescenario contains the end-to-end tests of the daemon: scripted
// scenarios and a matrix of injected faults. The tests run the code of
// snipedaemon in child processes on loopback, against the stand-ins of
// snipestandin, and check the guarantees of section 1.2 of the design under the
// faults of section 1.4.
//
// The scripts are in testdata/script. The package exports nothing.
package snipescenario
