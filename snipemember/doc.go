// Package snipemember merges the platform's instance list, the store leases and
// the heartbeats of peers into one view of the fleet.
//
// The list and the leases lag. They make an address known and keep it from
// being forgotten, but only a heartbeat, direct or in a summary, makes an
// instance live. An instance that was heard directly is suspect after 1.5 s
// without a heartbeat. News about instances of other failure domains is sent on
// change, so such an instance stays live until a report says otherwise or its
// whole domain is silent.
//
// The package performs no I/O and reads no clock.
package snipemember
