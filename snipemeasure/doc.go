// Package snipemeasure compares the load-balancing policy of snipemoor with other
// policies in a discrete-event simulation.
//
// Every policy receives the same arrivals and service times, which depend on the
// seed. The simulation models the slots and queues of the targets only. The policy
// of snipemoor is the production code of the packages snipeslot, sniperoute and
// sniperetry, with a delay on each control message. Messages are not lost. The
// package reads no clock and performs no I/O besides writing to the given writers.
package snipemeasure
