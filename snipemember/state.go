package snipemember

import "github.com/snipemoor/snipemoor/snipetime"

// updateState updates the state of one member and appends an event if it changes.
func (v *View) updateState(events []Event, e *memberEntry) []Event {
	return v.updateStateWith(events, e, v.lastHeardInDomain(e.Domain))
}

// updateStates updates the states of all members.
func (v *View) updateStates(events []Event) []Event {
	heard := make(map[string]snipetime.Instant)
	for _, e := range v.members {
		if e.Incarnation != "" {
			heard[e.Domain] = max(heard[e.Domain], e.LastHeartbeat)
		}
	}
	for _, e := range v.members {
		events = v.updateStateWith(events, e, heard[e.Domain])
	}
	return events
}

// lastHeardInDomain returns the latest LastHeartbeat of all members of the domain.
func (v *View) lastHeardInDomain(domain string) snipetime.Instant {
	var heard snipetime.Instant
	for _, e := range v.members {
		if e.Domain == domain && e.Incarnation != "" {
			heard = max(heard, e.LastHeartbeat)
		}
	}
	return heard
}

func (v *View) updateStateWith(events []Event, e *memberEntry, domainHeard snipetime.Instant) []Event {
	next := v.stateOf(e, domainHeard)
	if next == e.State {
		return events
	}
	old := e.State
	e.State = next
	if next == Gone {
		e.goneAt = v.now
	}
	return append(events, v.recordChange(e, StateChanged, old))
}

// stateOf returns the state of a member at the current time. domainHeard is the
// latest LastHeartbeat of all members of its domain.
func (v *View) stateOf(e *memberEntry, domainHeard snipetime.Instant) State {
	leaving := e.announcedLeaving || e.listLeaving
	switch {
	case e.Address == v.self:
	case v.isSilent(e, domainHeard):
		return v.silentState(e)
	}
	if leaving {
		return Leaving
	}
	return Live
}

// silentState returns Suspect or Gone for a member without recent heartbeats. A
// member that announced its stop before has stopped. Any other may be paused or
// unreachable; it stays suspect as long as it is listed or leased, and at least
// for GoneAfter.
func (v *View) silentState(e *memberEntry) State {
	if e.announcedLeaving {
		return Gone
	}
	if e.listed || e.leased || v.now.Sub(e.LastHeartbeat) < v.settings.GoneAfter {
		return Suspect
	}
	return Gone
}

// isSilent reports whether there is no sufficiently recent heartbeat of the
// member, or the newest report calls it silent.
func (v *View) isSilent(e *memberEntry, domainHeard snipetime.Instant) bool {
	if e.Incarnation == "" || e.reportedSilent {
		return true
	}
	silence := v.now.Sub(e.LastHeartbeat)
	switch {
	case v.fullMesh(), e.Domain == v.members[v.self].Domain:
		return silence >= v.settings.SuspectAfter
	case e.Direct:
		return silence >= v.settings.RemoteSuspectAfter
	}
	return silence >= v.settings.IndirectSuspectAfter ||
		v.now.Sub(domainHeard) >= v.settings.DomainSuspectAfter
}

func (v *View) fullMesh() bool { return len(v.members) <= v.settings.FullMeshSize }

// prune removes the members that have been gone for PruneAfter.
func (v *View) prune(events []Event) []Event {
	for address, e := range v.members {
		if e.State != Gone || e.listed || e.leased || v.now.Sub(e.goneAt) < v.settings.PruneAfter {
			continue
		}
		delete(v.members, address)
		events = append(events, Event{
			Kind: Removed, Address: address, Incarnation: e.Incarnation, Old: Gone, New: Gone,
		})
	}
	return events
}
