package snipemember

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/snipemoor/snipemoor/snipetime"
)

// maxDisplaced bounds the former incarnations that are remembered per address.
const maxDisplaced = 8

type entry struct {
	Member
	listed      bool
	listLeaving bool
	leased      bool
	selfLeaving bool
	// told tells that the newest report called the member silent.
	told bool
	// relays counts the summaries that brought the news that set Heard.
	relays uint32
	// displaced holds former incarnations.
	displaced formers
	goneAt    snipetime.Instant
	// change numbers the newest change that summaries must carry.
	change uint64
}

// Snapshot is an immutable state of the view.
type Snapshot struct {
	members []Member
}

// Members returns all members, sorted by address. The caller must not change
// the slice.
func (s *Snapshot) Members() []Member { return s.members }

// Find returns the member at an address, or nil.
func (s *Snapshot) Find(address string) *Member {
	i, ok := slices.BinarySearchFunc(s.members, address, func(m Member, a string) int {
		return strings.Compare(m.Address, a)
	})
	if !ok {
		return nil
	}
	return &s.members[i]
}

// View is the merged view of one instance. It is safe for concurrent use.
// Changes of state, incarnation and readiness are in the snapshot at once;
// generations and clocks follow at the next Tick.
type View struct {
	settings Settings
	self     string

	snapshot atomic.Pointer[Snapshot]

	mu      sync.Mutex
	now     snipetime.Instant
	places  map[string]Location
	members map[string]*entry
	changes uint64
	peers   map[string]*peerState
	budget  byteBudget
	dirty   bool
	// reaches tells that this instance is a delegate of its domain.
	reaches bool
	// watcherSeen is the latest instant at which a live watcher was known.
	watcherSeen snipetime.Instant
}

// New returns a view that holds the instance itself, which is live until it is
// stopped by News with Leaving through Self.
func New(self News, places map[string]Location, settings Settings, now snipetime.Instant) *View {
	v := &View{
		settings:    settings.withDefaults(),
		self:        self.Address,
		now:         now,
		places:      places,
		members:     make(map[string]*entry),
		peers:       make(map[string]*peerState),
		budget:      byteBudget{tokens: summaryBurst, last: now},
		watcherSeen: now,
	}
	v.Self(self, now)
	return v
}

// Self updates the instance's own entry.
func (v *View) Self(n News, now snipetime.Instant) []Event {
	n.Age = 0
	return v.update(now, func(events []Event) []Event { return v.hear(events, n, true) })
}

// SetPlaces replaces the locations of places after a configuration change.
func (v *View) SetPlaces(places map[string]Location, now snipetime.Instant) []Event {
	return v.update(now, func(events []Event) []Event {
		v.places = places
		for _, e := range v.members {
			events = v.locate(events, e, e.Place)
		}
		return events
	})
}

// Heartbeat merges a heartbeat of the sender itself and the summaries in it.
func (v *View) Heartbeat(n News, summaries []News, now snipetime.Instant) []Event {
	return v.update(now, func(events []Event) []Event {
		if n.Address != v.self {
			n.Age = 0
			events = v.hear(events, n, true)
		}
		for _, s := range summaries {
			if s.Address != v.self {
				events = v.hear(events, s, false)
			}
		}
		return events
	})
}

// Steady merges a heartbeat that carries only the sequence and the clock,
// because nothing else changed since the last Heartbeat on the same session.
func (v *View) Steady(address, incarnation string, sequence, clockMillis uint64, now snipetime.Instant) []Event {
	return v.update(now, func(events []Event) []Event {
		e, ok := v.members[address]
		if !ok || e.Incarnation != incarnation || address == v.self {
			return events
		}
		n := News{
			Address: address, PeerAddress: e.PeerAddress, Incarnation: incarnation, Place: e.Place,
			Sequence: sequence, Generation: e.Generation, ClockMillis: clockMillis,
			Leaving: e.selfLeaving, Ready: e.Ready, Watching: e.Watching,
		}
		return v.hear(events, n, true)
	})
}

// List merges the platform's complete list.
func (v *View) List(list []ListEntry, now snipetime.Instant) []Event {
	return v.update(now, func(events []Event) []Event {
		for _, e := range v.members {
			e.listed, e.listLeaving = false, false
		}
		for _, l := range list {
			var e *entry
			e, events = v.known(events, l.Address, l.PeerAddress, l.Place)
			e.listed, e.listLeaving = true, l.Leaving
		}
		return v.judgeAll(events)
	})
}

// Leases merges the complete set of store leases.
func (v *View) Leases(leases []LeaseEntry, now snipetime.Instant) []Event {
	return v.update(now, func(events []Event) []Event {
		for _, e := range v.members {
			e.leased = false
		}
		for _, l := range leases {
			var e *entry
			e, events = v.known(events, l.Address, l.PeerAddress, l.Place)
			e.leased = true
		}
		return v.judgeAll(events)
	})
}

// Tick applies the passing of time. It is called at least every 500 ms.
func (v *View) Tick(now snipetime.Instant) []Event {
	return v.update(now, func(events []Event) []Event {
		events = v.judgeAll(events)
		events = v.prune(events)
		v.reaches = v.delegates()[v.self]
		v.dirty = true
		return events
	})
}

// Snapshot returns the current view without allocation.
func (v *View) Snapshot() *Snapshot { return v.snapshot.Load() }

func (v *View) update(now snipetime.Instant, f func([]Event) []Event) []Event {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.now = max(v.now, now)
	events := f(nil)
	if len(events) > 0 || v.dirty || v.snapshot.Load() == nil {
		v.publish()
	}
	return events
}

func (v *View) publish() {
	s := &Snapshot{members: make([]Member, 0, len(v.members))}
	for _, e := range v.members {
		s.members = append(s.members, e.Member)
	}
	slices.SortFunc(s.members, func(a, b Member) int { return strings.Compare(a.Address, b.Address) })
	v.snapshot.Store(s)
	v.dirty = false
}

// known returns the entry of an address and creates it if necessary.
func (v *View) known(events []Event, address, peerAddress, place string) (*entry, []Event) {
	e, ok := v.members[address]
	if !ok {
		e = &entry{Member: Member{Address: address, PeerAddress: peerAddress, Heard: v.now}}
		v.members[address] = e
		events = append(events, Event{Kind: Joined, Address: address})
		return e, v.locate(events, e, place)
	}
	if e.Incarnation == "" {
		e.PeerAddress = peerAddress
		events = v.locate(events, e, place)
	}
	return e, events
}

func (v *View) locate(events []Event, e *entry, place string) []Event {
	at := v.places[place]
	if e.Place == place && e.Location == at {
		return events
	}
	e.Place, e.Location = place, at
	return append(events, v.changed(e, Updated, e.State))
}

// hear merges news of an instance. Direct news is from the instance itself.
func (v *View) hear(events []Event, n News, direct bool) []Event {
	heard := v.now.Add(-max(0, n.Age))
	if direct {
		n.Relays = 0
	}
	if !direct && v.members[n.Address] == nil && n.Age > v.settings.GoneAfter {
		return events
	}
	e, events := v.known(events, n.Address, n.PeerAddress, n.Place)
	if e.Incarnation != n.Incarnation {
		if !v.displaces(e, n, heard, direct) {
			return events
		}
		e.Heard, e.relays = heard, n.Relays
		events = v.restart(events, e, n.Incarnation)
	} else if n.Sequence <= e.Sequence {
		return v.repeated(events, e, n, direct)
	}
	if heard.After(e.Heard) {
		e.Heard, e.relays = heard, n.Relays
	}
	e.Direct = direct
	e.told = !direct && n.Silent
	advanced := e.Generation != n.Generation
	updated := e.Ready != n.Ready || e.Watching != n.Watching
	e.Sequence, e.Generation, e.Ready, e.Watching = n.Sequence, n.Generation, n.Ready, n.Watching
	e.ClockMillis = max(e.ClockMillis, n.ClockMillis)
	e.PeerAddress = n.PeerAddress
	e.selfLeaving = n.Leaving
	events = v.locate(events, e, n.Place)
	switch {
	case updated:
		events = append(events, v.changed(e, Updated, e.State))
	case advanced:
		events = append(events, event(e, Updated, e.State))
	}
	return v.judge(events, e)
}

// repeated handles news that is no newer than what is known. A report of
// silence counts if no newer heartbeat is known here, or none that is recent.
// Any later heartbeat refutes it, so that reports cannot keep each other alive.
func (v *View) repeated(events []Event, e *entry, n News, direct bool) []Event {
	if direct || e.Direct || !n.Silent {
		return events
	}
	recent := v.settings.RemoteSuspectAfter + v.settings.DelayBound
	if n.Sequence < e.Sequence && v.now.Sub(e.Heard) < recent {
		return events
	}
	e.told = true
	return v.judge(events, e)
}

// displaces reports whether news of another incarnation replaces the known one.
// A greater identifier is a later start, unless it was displaced before or its
// news is older than that of the known one. Any other is either late news of a
// former process, or a new process after the wall clock stepped back. It counts
// only if its heartbeat was sent after the newest one of the known process,
// which a former process cannot achieve: Heard is not before the sending of the
// known heartbeat, and heard exceeds the sending of the new one by at most
// DelayBound for each message on its way.
func (v *View) displaces(e *entry, n News, heard snipetime.Instant, direct bool) bool {
	if n.Incarnation == "" {
		return false
	}
	sequence, former := e.displaced.find(n.Incarnation)
	if !former && n.Incarnation > e.Incarnation {
		return !heard.Before(e.Heard)
	}
	if former && n.Sequence <= sequence {
		return false
	}
	messages := time.Duration(1)
	if !direct {
		messages += time.Duration(max(1, n.Relays))
	}
	return heard.Sub(e.Heard) >= messages*v.settings.DelayBound
}

func (v *View) restart(events []Event, e *entry, incarnation string) []Event {
	if e.Incarnation != "" {
		e.displaced = e.displaced.add(e.Incarnation, e.Sequence)
	}
	e.Incarnation = incarnation
	e.Sequence, e.ClockMillis = 0, 0
	return append(events, v.changed(e, Restarted, e.State))
}

// former is an incarnation that was displaced and its newest known sequence.
type former struct {
	incarnation string
	sequence    uint64
}

type formers []former

func (f formers) find(incarnation string) (sequence uint64, ok bool) {
	for _, x := range f {
		if x.incarnation == incarnation {
			return x.sequence, true
		}
	}
	return 0, false
}

func (f formers) add(incarnation string, sequence uint64) formers {
	for i := range f {
		if f[i].incarnation == incarnation {
			f[i].sequence = max(f[i].sequence, sequence)
			return f
		}
	}
	f = append(f, former{incarnation, sequence})
	if len(f) > maxDisplaced {
		f = f[1:]
	}
	return f
}

// changed numbers a change for the summaries and returns its event.
func (v *View) changed(e *entry, kind EventKind, old State) Event {
	v.changes++
	e.change = v.changes
	return event(e, kind, old)
}

// event returns an event that summaries do not carry as a change: a new
// generation reaches all instances at once, and sending it for every member
// would exceed the control traffic of a node.
func event(e *entry, kind EventKind, old State) Event {
	return Event{Kind: kind, Address: e.Address, Incarnation: e.Incarnation, Old: old, New: e.State}
}
