// Package snipedemo runs an example deployment in one process on loopback and
// checks the guarantees of the system against what happened.
//
// Run starts the stand-ins, a network with the delays of the deployment and all
// entry instances. It offers load from callers of every place, announces the
// drain of a target, stops an entry instance, and compares the logs of the
// targets with what the callers were told.
package snipedemo
