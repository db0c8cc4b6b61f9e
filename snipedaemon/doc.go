// Package snipedaemon assembles an entry instance from the other packages.
//
// New checks the settings and builds the parts, Run runs them until its context
// ends and then stops gracefully. The decision packages perform no I/O; for each
// of them a file of this package subscribes to the timer service, passes events
// and instants in, and sends what they decide over sessions, to the store or to
// targets. All instances of a fleet are equal and keep nothing on disk.
package snipedaemon
