// Package snipemeasure compares the project's choice of targets with other
// policies on stepped time.
//
// Every policy receives the same seeded arrivals and service times. Only the
// targets' slots and queues are modelled; the project's policy is the decision
// code of the packages snipeslot, sniperoute and sniperetry with a delay on
// each control message. Messages are not lost. The package reads no clock and
// performs no I/O besides writing to the given writers.
package snipemeasure
