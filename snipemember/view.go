package snipemember

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/snipemoor/snipemoor/snipetime"
)

// maxFormerIncarnations bounds the former incarnations that are kept for each
// address.
const maxFormerIncarnations = 8

// memberEntry is a member with the data from which its state follows.
type memberEntry struct {
	Member
	listed           bool
	listLeaving      bool
	leased           bool
	announcedLeaving bool
	// reportedSilent is set if the newest report called the member silent.
	reportedSilent bool
	// relays counts the summaries that forwarded the report that set LastHeartbeat.
	relays             uint32
	formerIncarnations formerIncarnations
	goneAt             snipetime.Instant
	// changeNumber is the number of the newest change that summaries must report.
	changeNumber uint64
}

// Snapshot is an immutable copy of the members of a View.
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
// A change that is returned as an Event appears in the snapshot at once; other
// changes, such as those of clocks and sequences, appear at the next Tick.
type View struct {
	settings Settings
	self     string

	snapshot atomic.Pointer[Snapshot]

	mu               sync.Mutex
	now              snipetime.Instant
	places           map[string]Location
	members          map[string]*memberEntry
	lastChange       uint64
	peers            map[string]*peerState
	budget           byteBudget
	snapshotOutdated bool
	// isDelegate is set if this instance is a delegate of its domain.
	isDelegate bool
	// watcherSeen is the latest instant at which another live watcher was known.
	watcherSeen snipetime.Instant
}

// New returns a view that contains only the instance itself. It is live until
// UpdateSelf receives a report with Leaving set, or the platform's list calls it
// leaving.
func New(self Report, places map[string]Location, settings Settings, now snipetime.Instant) *View {
	v := &View{
		settings:    settings.withDefaults(),
		self:        self.Address,
		now:         now,
		places:      places,
		members:     make(map[string]*memberEntry),
		peers:       make(map[string]*peerState),
		budget:      byteBudget{tokens: summaryBurst, last: now},
		watcherSeen: now,
	}
	v.UpdateSelf(self, now)
	return v
}

// UpdateSelf updates the instance's own entry and returns the changes of the view.
func (v *View) UpdateSelf(n Report, now snipetime.Instant) []Event {
	n.Age = 0
	return v.update(now, func(events []Event) []Event { return v.mergeReport(events, n, true) })
}

// SetPlaces replaces the locations of places after a configuration change.
func (v *View) SetPlaces(places map[string]Location, now snipetime.Instant) []Event {
	return v.update(now, func(events []Event) []Event {
		v.places = places
		for _, e := range v.members {
			events = v.setPlace(events, e, e.Place)
		}
		return events
	})
}

// MergeHeartbeat merges a heartbeat, which is the sender's report n on itself
// and the summaries on other instances, and returns the changes of the view.
func (v *View) MergeHeartbeat(n Report, summaries []Report, now snipetime.Instant) []Event {
	return v.update(now, func(events []Event) []Event {
		if n.Address != v.self {
			n.Age = 0
			events = v.mergeReport(events, n, true)
		}
		for _, s := range summaries {
			if s.Address != v.self {
				events = v.mergeReport(events, s, false)
			}
		}
		return events
	})
}

// SteadyHeartbeat merges a heartbeat that contains only the sequence and the clock,
// because nothing else changed since the last MergeHeartbeat of the same
// session. It is ignored if the view has another incarnation at the address.
func (v *View) SteadyHeartbeat(address, incarnation string, sequence, clockMillis uint64, now snipetime.Instant) []Event {
	return v.update(now, func(events []Event) []Event {
		e, ok := v.members[address]
		if !ok || e.Incarnation != incarnation || address == v.self {
			return events
		}
		n := Report{
			Address: address, PeerAddress: e.PeerAddress, Incarnation: incarnation, Place: e.Place,
			Sequence: sequence, Generation: e.Generation, ClockMillis: clockMillis,
			Leaving: e.announcedLeaving, Ready: e.Ready, Watching: e.Watching,
		}
		return v.mergeReport(events, n, true)
	})
}

// MergeList merges the platform's complete list of instances.
func (v *View) MergeList(list []ListEntry, now snipetime.Instant) []Event {
	return v.update(now, func(events []Event) []Event {
		for _, e := range v.members {
			e.listed, e.listLeaving = false, false
		}
		for _, l := range list {
			var e *memberEntry
			e, events = v.memberAt(events, l.Address, l.PeerAddress, l.Place)
			e.listed, e.listLeaving = true, l.Leaving
		}
		return v.updateStates(events)
	})
}

// MergeLeases merges the complete set of store leases.
func (v *View) MergeLeases(leases []LeaseEntry, now snipetime.Instant) []Event {
	return v.update(now, func(events []Event) []Event {
		for _, e := range v.members {
			e.leased = false
		}
		for _, l := range leases {
			var e *memberEntry
			e, events = v.memberAt(events, l.Address, l.PeerAddress, l.Place)
			e.leased = true
		}
		return v.updateStates(events)
	})
}

// Tick updates the states that depend on time, removes members that have been
// gone for Settings.PruneAfter, and returns the changes of the view. It must be
// called at least every 500 ms.
func (v *View) Tick(now snipetime.Instant) []Event {
	return v.update(now, func(events []Event) []Event {
		events = v.updateStates(events)
		events = v.prune(events)
		v.isDelegate = v.delegates()[v.self]
		v.snapshotOutdated = true
		return events
	})
}

// Snapshot returns the current view without allocation.
func (v *View) Snapshot() *Snapshot { return v.snapshot.Load() }

// update runs f with the lock held and replaces the snapshot if there are events
// or the snapshot is outdated.
func (v *View) update(now snipetime.Instant, f func([]Event) []Event) []Event {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.now = max(v.now, now)
	events := f(nil)
	if len(events) > 0 || v.snapshotOutdated || v.snapshot.Load() == nil {
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
	v.snapshotOutdated = false
}

// memberAt returns the entry of an address and creates it if necessary. The list
// and the leases determine the peer address and the place only until a heartbeat
// is known.
func (v *View) memberAt(events []Event, address, peerAddress, place string) (*memberEntry, []Event) {
	e, ok := v.members[address]
	if !ok {
		e = &memberEntry{Member: Member{Address: address, PeerAddress: peerAddress, LastHeartbeat: v.now}}
		v.members[address] = e
		events = append(events, Event{Kind: Added, Address: address})
		return e, v.setPlace(events, e, place)
	}
	if e.Incarnation == "" {
		e.PeerAddress = peerAddress
		events = v.setPlace(events, e, place)
	}
	return e, events
}

// setPlace sets the place of a member and appends an event if the place or its
// location changed.
func (v *View) setPlace(events []Event, e *memberEntry, place string) []Event {
	at := v.places[place]
	if e.Place == place && e.Location == at {
		return events
	}
	e.Place, e.Location = place, at
	return append(events, v.recordChange(e, Updated, e.State))
}

// mergeReport merges a report on an instance. A direct report is from the
// instance itself.
func (v *View) mergeReport(events []Event, n Report, direct bool) []Event {
	heard := v.now.Add(-max(0, n.Age))
	if direct {
		n.Relays = 0
	}
	if !direct && v.members[n.Address] == nil && n.Age > v.settings.GoneAfter {
		return events
	}
	e, events := v.memberAt(events, n.Address, n.PeerAddress, n.Place)
	if e.Incarnation != n.Incarnation {
		if !v.replacesIncarnation(e, n, heard, direct) {
			return events
		}
		e.LastHeartbeat, e.relays = heard, n.Relays
		events = v.setIncarnation(events, e, n.Incarnation)
	} else if n.Sequence <= e.Sequence {
		return v.mergeOldReport(events, e, n, direct)
	}
	if heard.After(e.LastHeartbeat) {
		e.LastHeartbeat, e.relays = heard, n.Relays
	}
	e.Direct = direct
	e.reportedSilent = !direct && n.Silent
	advanced := e.Generation != n.Generation
	updated := e.Ready != n.Ready || e.Watching != n.Watching
	e.Sequence, e.Generation, e.Ready, e.Watching = n.Sequence, n.Generation, n.Ready, n.Watching
	e.ClockMillis = max(e.ClockMillis, n.ClockMillis)
	e.PeerAddress = n.PeerAddress
	e.announcedLeaving = n.Leaving
	events = v.setPlace(events, e, n.Place)
	switch {
	case updated:
		events = append(events, v.recordChange(e, Updated, e.State))
	case advanced:
		events = append(events, newEvent(e, Updated, e.State))
	}
	return v.updateState(events, e)
}

// mergeOldReport merges a report that is not newer than the entry. A report of
// silence counts if the view has no newer heartbeat, or no recent one. Any later
// heartbeat overrides it, so that two instances cannot keep up such a report by
// repeating it to each other.
func (v *View) mergeOldReport(events []Event, e *memberEntry, n Report, direct bool) []Event {
	if direct || e.Direct || !n.Silent {
		return events
	}
	recentSilence := v.settings.RemoteSuspectAfter + v.settings.DelayBound
	if n.Sequence < e.Sequence && v.now.Sub(e.LastHeartbeat) < recentSilence {
		return events
	}
	e.reportedSilent = true
	return v.updateState(events, e)
}

// replacesIncarnation reports whether a report on another incarnation replaces
// the current one. A greater identifier is a later start, unless it was replaced
// before or its heartbeat is older than the newest one of the current
// incarnation. Any other identifier belongs either to a late report on a former
// process, or to a new process after the wall clock stepped back. It counts only
// if its heartbeat was sent after the newest one of the current process, which is
// impossible for a former process: LastHeartbeat is not before the sending of
// the current heartbeat, and heard exceeds the sending of the new one by at
// most DelayBound for each message on its way.
func (v *View) replacesIncarnation(e *memberEntry, n Report, heard snipetime.Instant, direct bool) bool {
	if n.Incarnation == "" {
		return false
	}
	sequence, isFormer := e.formerIncarnations.find(n.Incarnation)
	if !isFormer && n.Incarnation > e.Incarnation {
		return !heard.Before(e.LastHeartbeat)
	}
	if isFormer && n.Sequence <= sequence {
		return false
	}
	messages := time.Duration(1)
	if !direct {
		messages += time.Duration(max(1, n.Relays))
	}
	return heard.Sub(e.LastHeartbeat) >= messages*v.settings.DelayBound
}

// setIncarnation replaces the incarnation of a member.
func (v *View) setIncarnation(events []Event, e *memberEntry, incarnation string) []Event {
	if e.Incarnation != "" {
		e.formerIncarnations = e.formerIncarnations.add(e.Incarnation, e.Sequence)
	}
	e.Incarnation = incarnation
	e.Sequence, e.ClockMillis = 0, 0
	return append(events, v.recordChange(e, Restarted, e.State))
}

// formerIncarnation is an incarnation that was replaced, with its newest known
// sequence.
type formerIncarnation struct {
	incarnation string
	sequence    uint64
}

// formerIncarnations holds the former incarnations of one address, in the order
// of their first replacement.
type formerIncarnations []formerIncarnation

func (f formerIncarnations) find(incarnation string) (sequence uint64, ok bool) {
	for _, x := range f {
		if x.incarnation == incarnation {
			return x.sequence, true
		}
	}
	return 0, false
}

func (f formerIncarnations) add(incarnation string, sequence uint64) formerIncarnations {
	for i := range f {
		if f[i].incarnation == incarnation {
			f[i].sequence = max(f[i].sequence, sequence)
			return f
		}
	}
	f = append(f, formerIncarnation{incarnation, sequence})
	if len(f) > maxFormerIncarnations {
		f = f[1:]
	}
	return f
}

// recordChange assigns the next change number to the member, so that summaries
// report it, and returns the event.
func (v *View) recordChange(e *memberEntry, kind EventKind, old State) Event {
	v.lastChange++
	e.changeNumber = v.lastChange
	return newEvent(e, kind, old)
}

// newEvent returns an event without a change number, so that summaries do not
// report it as a change. This is used for a new generation: it reaches all
// instances at once, and reporting it for every member would exceed the limit on
// the control traffic of a node.
func newEvent(e *memberEntry, kind EventKind, old State) Event {
	return Event{Kind: kind, Address: e.Address, Incarnation: e.Incarnation, Old: old, New: e.State}
}
