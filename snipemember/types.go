package snipemember

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/snipemoor/snipemoor/snipetime"
)

// State is the state of a member.
type State uint8

// States.
const (
	// Suspect means that no recent heartbeat is known.
	Suspect State = iota
	// Live means that the member is heard.
	Live
	// Leaving means that the member, or the platform, announced its stop.
	Leaving
	// Gone means that the member has stopped.
	Gone
)

// String returns the name used in status output.
func (s State) String() string {
	return [...]string{"suspect", "live", "leaving", "gone"}[s]
}

// NewIncarnation returns an identifier of a process that starts at the given
// wall-clock time in seconds: eight hexadecimal digits of the time and eight
// random ones. A later start compares greater as a string unless the wall clock
// stepped back or both starts fall into the same second. In these cases the new
// process is accepted at its address once it is heard DelayBound later than the
// old one, and in summaries later by DelayBound for each further message.
func NewIncarnation(startSeconds int64, random *rand.Rand) string {
	return fmt.Sprintf("%08x%08x", uint32(startSeconds), random.Uint32())
}

// Location is where a place is.
type Location struct{ Domain, Region string }

// News is what a heartbeat or a summary tells about one instance.
type News struct {
	Address     string
	PeerAddress string
	Incarnation string
	Place       string
	// Sequence rises with each heartbeat of an incarnation.
	Sequence   uint64
	Generation uint64
	// ClockMillis is the instance's own instant, for request identifiers that
	// name it.
	ClockMillis uint64
	Leaving     bool
	Ready       bool
	// Watching tells that the instance holds a configuration watch.
	Watching bool
	// Silent tells in a summary that the sender considers the instance suspect
	// or gone. The age alone cannot tell: news of a live instance is old where
	// it travels in rotation.
	Silent bool
	// Age is how long ago the sender heard the instance.
	Age time.Duration
	// Relays counts the summaries in which the news has travelled, this one
	// included. Each can have been delayed, so that Age is too low by the sum.
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
	// Incarnation is empty until the instance was heard.
	Incarnation string
	State       State
	Sequence    uint64
	Generation  uint64
	ClockMillis uint64
	Ready       bool
	Watching    bool
	// Direct tells that the newest news came from the instance itself.
	Direct bool
	// Heard is an upper bound of the local instant at which the newest known
	// heartbeat was sent. It is meaningless while Incarnation is empty.
	Heard snipetime.Instant
}

// EventKind is the kind of a change.
type EventKind uint8

// Kinds of change.
const (
	// Joined means that an address became known.
	Joined EventKind = iota + 1
	// Restarted means that an incarnation was heard at the address for the first
	// time.
	Restarted
	// StateChanged means that the state changed.
	StateChanged
	// Updated means that the generation, readiness or location changed.
	Updated
	// Pruned means that the address was forgotten.
	Pruned
)

// Event is one change of the view.
type Event struct {
	Kind    EventKind
	Address string
	// Incarnation is the incarnation after the change.
	Incarnation string
	Old, New    State
}

// Settings configures a View. The zero value of a field selects its default.
type Settings struct {
	// FullMeshSize is the largest fleet in which every pair holds a session
	// (default 32).
	FullMeshSize int
	// SuspectAfter is the silence after which a member of the own failure domain
	// or of a full mesh is suspect (default 1.5 s).
	SuspectAfter time.Duration
	// RemoteSuspectAfter is the same for members of other failure domains when
	// the fleet is no full mesh, where heartbeats are sent every RemotePeriod
	// (default 6 s).
	RemoteSuspectAfter time.Duration
	// DomainSilence is the silence of a whole failure domain after which its
	// indirectly known members are suspect (default 2 min, above the time in
	// which rotation brings news of some member of each domain).
	DomainSilence time.Duration
	// IndirectAfter is the age of the newest report after which an indirectly
	// known member is suspect (default 5 min). It exceeds the time in which
	// summaries repeat every member.
	IndirectAfter time.Duration
	// DelayBound exceeds the delay of any message on a session (default 5 s;
	// an unresponsive session is closed after 2 s).
	DelayBound time.Duration
	// GoneAfter is the silence after which a member that is neither listed nor
	// leased is gone (default 30 s).
	GoneAfter time.Duration
	// PruneAfter is how long a gone member is remembered, so that late news of
	// it cannot revive it (default 10 min).
	PruneAfter time.Duration
}

func (s Settings) withDefaults() Settings {
	setDefault(&s.FullMeshSize, 32)
	setDefault(&s.SuspectAfter, 1500*time.Millisecond)
	setDefault(&s.RemoteSuspectAfter, 3*RemotePeriod)
	setDefault(&s.DomainSilence, 2*time.Minute)
	setDefault(&s.IndirectAfter, 5*time.Minute)
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
