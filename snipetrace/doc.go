// Package snipetrace finds out why a request ran although it was refused with the promise
// that it had not, or why it ran twice.
//
// A Tracer takes the records of targets and callers and reads the logs of fronts. For a
// request it returns a Verdict: the attempts that the logs name, the runs that the targets
// recorded, and the Hypothesis that fits both. It reads log lines of the form that package
// snipelog writes, also those of older fronts, which state neither the address of an attempt
// nor the time of its refusal.
//
// Times of targets and fronts are compared. They are assumed to agree within
// Settings.ClockTolerance.
package snipetrace
