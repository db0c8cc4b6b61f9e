// Package snipemember merges the platform's instance list, the store leases and
// the heartbeats of peers into one view of the fleet, and detects failed
// instances.
//
// The list and the leases lag. They add an address to the view and keep it from
// being removed, but only a heartbeat, received directly or reported in a
// summary, makes an instance live. An instance whose heartbeats are received
// directly is suspect after 1.5 s without one. Reports on instances of other
// failure domains are sent on change, so such an instance stays live until a
// report says otherwise or there is no heartbeat from its whole domain.
//
// The package performs no I/O and reads no clock.
package snipemember
