package snipefleet

import (
	"maps"
	"slices"
	"time"

	"github.com/snipemoor/snipemoor/snipetime"
)

// Place is a failure domain and the region that it belongs to.
type Place struct {
	Domain, Region string
}

// TargetReport is what a target says of itself.
type TargetReport struct {
	ID      string
	Service string
	Address string
	Place   Place
	Version string
	Slots   int
	// Draining targets take no new work.
	Draining bool
	// Born tells the incarnations of one ID apart; a later one is higher.
	Born int64
	// Cold is how much longer the target stays cold.
	Cold time.Duration
	// Sequence counts the reports of one incarnation.
	Sequence int64
}

// Target is a target as the registry believes it to be. It is immutable.
type Target struct {
	ID        string
	Service   string
	Address   string
	Place     Place
	Slots     int
	Born      int64
	Draining  bool
	ColdUntil snipetime.Instant
	// Joined is when this front first saw the incarnation.
	Joined snipetime.Instant

	heard *heard
}

// heard is the part of an incarnation that changes with each report. It is
// guarded by the lock of the registry.
type heard struct {
	sequence int64
}

// Member is a front.
type Member struct {
	Name string
	// Address is where callers connect, and Peer where other fronts do; Peer is
	// empty for a front that serves no others.
	Address, Peer string
	Place         Place
}

// View is one consistent state of the registry. It is immutable.
type View struct {
	targets   map[string][]*Target
	members   []Member
	evacuated map[string]bool
	returned  map[string]snipetime.Instant
}

// Targets returns the usable targets of a service: neither draining nor gone
// nor in an evacuated failure domain. The slice must not be changed. It is the
// same in all views between which the targets of the service stay.
func (v *View) Targets(service string) []*Target { return v.targets[service] }

// Members returns the live fronts, ordered by name. The slice must not be
// changed. It is the same in all views between which the fronts stay.
func (v *View) Members() []Member { return v.members }

// Evacuated reports whether a failure domain is evacuated.
func (v *View) Evacuated(domain string) bool { return v.evacuated[domain] }

// EvacuatedDomains returns the names of the evacuated failure domains in order.
func (v *View) EvacuatedDomains() []string { return slices.Sorted(maps.Keys(v.evacuated)) }

// Counts returns the number of usable targets by service.
func (v *View) Counts() map[string]int {
	out := make(map[string]int, len(v.targets))
	for service, list := range v.targets {
		out[service] = len(list)
	}
	return out
}

// ReturnedAt returns when the evacuation of a failure domain was last seen to
// end, and false if none was.
func (v *View) ReturnedAt(domain string) (snipetime.Instant, bool) {
	at, ok := v.returned[domain]
	return at, ok
}

// Known returns the addresses and the IDs of the usable targets.
func (v *View) Known() (addresses, ids map[string]bool) {
	addresses, ids = make(map[string]bool), make(map[string]bool)
	for _, list := range v.targets {
		for _, t := range list {
			addresses[t.Address] = true
			ids[t.ID] = true
		}
	}
	return addresses, ids
}
