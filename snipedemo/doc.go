// Package snipedemo runs an example deployment in one process on loopback and
// checks the guarantees of the system against what happened.
//
// Run starts stand-ins for the store, the instance list and the targets, a
// network with the delays of the deployment, and all entry instances. Under load
// from callers in every place it drains a target and stops an entry instance as
// planned. Then it compares the execution logs of the targets with the responses
// that the callers received.
package snipedemo
