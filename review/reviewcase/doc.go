// Command reviewcase plays the scripted cases of the review. It starts fronts with the
// command of the deploy file as separate processes on loopback addresses, beside
// stand-ins for the store, the servers and the clients, and checks one rule from what
// clients and servers see. It exits with 0 if the rule held, 1 if it was broken and 2 if
// the case could not be played.
package main
