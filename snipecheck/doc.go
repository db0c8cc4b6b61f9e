// Package snipecheck checks a configuration of the users' platform before operators put it
// in force.
//
// Check returns findings: errors, which are the problems that fronts isolate; entries that
// never have an effect; limits that contradict each other or the fleet; and what differs
// from the configuration in force. The errors come from snipetable, so that there is one
// copy of the rules. The package performs no I/O. No finding contains a key of a tenant:
// keys are only counted and compared.
package snipecheck
