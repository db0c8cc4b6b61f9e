package snipefleet

import (
	"cmp"
	"maps"
	"slices"
	"time"
	"unsafe"

	"github.com/snipemoor/snipemoor/snipetime"
)

// Place is a failure domain and the region that it belongs to.
type Place struct {
	Domain, Region string
}

// TargetReport is the state that a target reports about itself.
type TargetReport struct {
	ID      string
	Service string
	// Address is the host and port at which the target accepts requests.
	Address string
	Place   Place
	// Version is the version that the target states, or empty.
	Version string
	// Slots is the number of requests that the target processes at the same time.
	Slots int
	// Draining targets accept no new requests.
	Draining bool
	// Born identifies an incarnation of the ID; that of a later one is higher. It is 0
	// if the target states no start time.
	Born int64
	// Cold is the remaining time for which the target is cold, that is, can serve only
	// a reduced rate after its start; 0 if it is warm.
	Cold time.Duration
	// Sequence increases with each report of one incarnation.
	Sequence int64
	// Revision is that of the entry in the store. It tells a report that was written
	// again from an old one with the same sequence number.
	Revision uint64
}

// Target is the registered state of a target. It is immutable. Fields that also
// exist in TargetReport hold the reported values.
type Target struct {
	ID       string
	Service  string
	Address  string
	Place    Place
	Slots    int
	Born     int64
	Draining bool
	// ColdUntil is when the target stops being cold, 0 if it is warm.
	ColdUntil snipetime.Instant
	// FirstReported is when this front first received a report of the incarnation.
	FirstReported snipetime.Instant

	reportState *reportState
}

// reportState is the state of an incarnation that changes with each report. The
// lock of the registry guards it.
type reportState struct {
	// sequence and revision are those of the newest report.
	sequence int64
	revision uint64
}

// Member is the registered state of a front.
type Member struct {
	Name string
	// Address is the host and port at which callers connect, and Peer that at which
	// other fronts connect. Peer is empty for a front that does not accept sessions
	// of other fronts.
	Address, Peer string
	Place         Place
	// Cores is the processor capacity of the front in cores, or 0 if it states none.
	Cores float64
}

// View is a consistent snapshot of the registry. It is immutable.
type View struct {
	// targets holds the usable targets by service.
	targets       map[string][]*Target
	members       []Member
	evacuated     map[string]bool
	evacuationEnd map[string]snipetime.Instant
}

// Targets returns the usable targets of a service, ordered by ID. They are neither
// draining nor removed nor in an evacuated failure domain. The slice must not be
// modified. Successive views share it as long as the targets of the service do not
// change.
func (v *View) Targets(service string) []*Target { return v.targets[service] }

// Target returns the usable target of a service with the given ID, or nil.
func (v *View) Target(service, id string) *Target {
	list := v.targets[service]
	i, found := slices.BinarySearchFunc(list, id, func(t *Target, id string) int { return cmp.Compare(t.ID, id) })
	if !found {
		return nil
	}
	return list[i]
}

// Members returns the registered fronts, ordered by name. The slice must not be
// modified. Successive views share it as long as the fronts do not change.
func (v *View) Members() []Member { return v.members }

// Evacuated reports whether a failure domain is evacuated.
func (v *View) Evacuated(domain string) bool { return v.evacuated[domain] }

// EvacuatedDomains returns the names of the evacuated failure domains, sorted.
func (v *View) EvacuatedDomains() []string { return slices.Sorted(maps.Keys(v.evacuated)) }

// Counts returns the number of usable targets by service.
func (v *View) Counts() map[string]int {
	out := make(map[string]int, len(v.targets))
	for service, list := range v.targets {
		out[service] = len(list)
	}
	return out
}

// EvacuationEnd returns when this front observed that the last evacuation of a
// failure domain ended, and false if it observed none.
func (v *View) EvacuationEnd(domain string) (snipetime.Instant, bool) {
	at, ok := v.evacuationEnd[domain]
	return at, ok
}

// UsableAddressesAndIDs returns the sets of addresses and of IDs of the usable
// targets.
func (v *View) UsableAddressesAndIDs() (addresses, ids map[string]bool) {
	addresses, ids = make(map[string]bool), make(map[string]bool)
	for _, list := range v.targets {
		for _, t := range list {
			addresses[t.Address] = true
			ids[t.ID] = true
		}
	}
	return addresses, ids
}

// SameSlice reports whether two slices share their memory. Those of views are
// immutable, so that their contents are then equal.
func SameSlice[T any](a, b []T) bool {
	return len(a) == len(b) && unsafe.SliceData(a) == unsafe.SliceData(b)
}
