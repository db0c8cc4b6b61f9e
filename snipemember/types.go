package snipemember

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/snipemoor/snipemoor/snipetime"
)

// State is the state of a member.
type State uint8

// States of a member.
const (
	// Suspect means that no recent heartbeat is known.
	Suspect State = iota
	// Live means that a recent heartbeat is known and no stop was announced.
	Live
	// Leaving means that the member, or the platform, announced its stop.
	Leaving
	// Gone means that the member has stopped, or that it is neither listed nor
	// leased and has sent no heartbeat for Settings.GoneAfter.
	Gone
)

// String returns the name of the state as used in status output. It panics if the
// state is not one of the constants.
func (s State) String() string {
	return [...]string{"suspect", "live", "leaving", "gone"}[s]
}

// NewIncarnation returns an identifier of a process that starts at the given
// wall-clock time in seconds: eight hexadecimal digits of the time and eight
// random ones. A later start compares greater as a string unless the wall clock
// stepped back or both starts fall into the same second. In these cases a view
// accepts the new process at its address once it receives a heartbeat DelayBound
// later than the last one of the old process. A summary must report a heartbeat
// that is later by a further DelayBound for each message on its way.
func NewIncarnation(startSeconds int64, random *rand.Rand) string {
	return fmt.Sprintf("%08x%08x", uint32(startSeconds), random.Uint32())
}

// Location is the failure domain and the region of a place.
type Location struct{ Domain, Region string }

// Report holds the state of one instance, as a heartbeat or a summary contains it.
type Report struct {
	Address     string
	PeerAddress string
	Incarnation string
	Place       string
	// Sequence increases with each heartbeat of an incarnation.
	Sequence   uint64
	Generation uint64
	// ClockMillis is the instant on the instance's own clock in milliseconds, for
	// request identifiers that name the instance.
	ClockMillis uint64
	Leaving     bool
	Ready       bool
	// Watching is set if the instance holds a configuration watch.
	Watching bool
	// Silent is set in a summary if the sender considers the instance suspect or
	// gone. The age alone does not show this: a report on a live instance can be
	// old when it is sent in rotation.
	Silent bool
	// Age is the time since the newest heartbeat of the instance that is known to
	// the sender.
	Age time.Duration
	// Relays counts the summaries by which the report was forwarded, this one
	// included. Each can have been delayed, so that Age is too low by the sum of
	// the delays.
	Relays uint32
}

// ListEntry is an instance of the platform's list.
type ListEntry struct {
	Address     string
	PeerAddress string
	Place       string
	Leaving     bool
}

// LeaseEntry is an instance with a store lease.
type LeaseEntry struct {
	Address     string
	PeerAddress string
	Place       string
}

// Member is one instance of the view.
type Member struct {
	Address     string
	PeerAddress string
	Place       string
	Location
	// Incarnation is empty until a heartbeat of the instance is known.
	Incarnation string
	State       State
	Sequence    uint64
	Generation  uint64
	ClockMillis uint64
	Ready       bool
	Watching    bool
	// Direct is set if the newest report came from the instance itself.
	Direct bool
	// LastHeartbeat is an upper bound of the local instant at which the newest
	// known heartbeat was sent. It is meaningless while Incarnation is empty.
	LastHeartbeat snipetime.Instant
}

// EventKind is the kind of an Event.
type EventKind uint8

// Kinds of change.
const (
	// Added means that an address was added.
	Added EventKind = iota + 1
	// Restarted means that another incarnation was accepted at the address, also
	// the first one.
	Restarted
	// StateChanged means that the state changed.
	StateChanged
	// Updated means that the generation, readiness, watching or location changed.
	Updated
	// Removed means that the address was removed.
	Removed
)

// Event is one change of the view.
type Event struct {
	Kind    EventKind
	Address string
	// Incarnation is the incarnation after the change.
	Incarnation string
	// Old and New are the states before and after the change.
	Old, New State
}

// Settings configures a View. A value that is not positive selects the default.
type Settings struct {
	// FullMeshSize is the largest number of members for which every pair holds a
	// session (default 32).
	FullMeshSize int
	// SuspectAfter is the time without a heartbeat after which a member of the own
	// failure domain or of a full mesh is suspect (default 1.5 s).
	SuspectAfter time.Duration
	// RemoteSuspectAfter is the time without a heartbeat after which a member of
	// another failure domain with a session is suspect when the fleet is not a
	// full mesh, so that heartbeats are sent every RemotePeriod (default 6 s).
	RemoteSuspectAfter time.Duration
	// DomainSuspectAfter is the time without a heartbeat of any member of a failure
	// domain after which its indirectly known members are suspect (default 2 min,
	// above the time in which rotation brings a report on some member of each
	// domain).
	DomainSuspectAfter time.Duration
	// IndirectSuspectAfter is the time since the newest known heartbeat after
	// which an indirectly known member is suspect (default 5 min). It exceeds
	// the time in which summaries repeat every member.
	IndirectSuspectAfter time.Duration
	// DelayBound exceeds the delay of any message on a session (default 5 s;
	// an unresponsive session is closed after 2 s).
	DelayBound time.Duration
	// GoneAfter is the time without a heartbeat after which a member that is
	// neither listed nor leased is gone (default 30 s).
	GoneAfter time.Duration
	// PruneAfter is how long a gone member is kept, so that late reports on it
	// cannot make it live again (default 10 min).
	PruneAfter time.Duration
}

func (s Settings) withDefaults() Settings {
	setDefault(&s.FullMeshSize, 32)
	setDefault(&s.SuspectAfter, 1500*time.Millisecond)
	setDefault(&s.RemoteSuspectAfter, 3*RemotePeriod)
	setDefault(&s.DomainSuspectAfter, 2*time.Minute)
	setDefault(&s.IndirectSuspectAfter, 5*time.Minute)
	setDefault(&s.DelayBound, 5*time.Second)
	setDefault(&s.GoneAfter, 30*time.Second)
	setDefault(&s.PruneAfter, 10*time.Minute)
	return s
}

func setDefault[T int | time.Duration](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}
