// Package snipedaemon assembles an entry instance from the other packages.
//
// New checks the settings and builds the components. Run runs them until its
// context ends and then stops them gracefully. The packages that make decisions
// perform no I/O: for each of them a file of this package passes in events and
// times and carries out the returned actions, which are messages to peers,
// store calls and requests to targets. All instances of a fleet are equal and
// store nothing on disk.
package snipedaemon
