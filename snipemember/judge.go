package snipemember

import "github.com/snipemoor/snipemoor/snipetime"

// judge updates the state of one member.
func (v *View) judge(events []Event, e *entry) []Event {
	return v.judgeWith(events, e, v.domainHeard(e.Domain))
}

func (v *View) judgeAll(events []Event) []Event {
	heard := make(map[string]snipetime.Instant)
	for _, e := range v.members {
		if e.Incarnation != "" {
			heard[e.Domain] = max(heard[e.Domain], e.Heard)
		}
	}
	for _, e := range v.members {
		events = v.judgeWith(events, e, heard[e.Domain])
	}
	return events
}

// domainHeard returns when any member of the domain was last heard.
func (v *View) domainHeard(domain string) snipetime.Instant {
	var heard snipetime.Instant
	for _, e := range v.members {
		if e.Domain == domain && e.Incarnation != "" {
			heard = max(heard, e.Heard)
		}
	}
	return heard
}

func (v *View) judgeWith(events []Event, e *entry, domainHeard snipetime.Instant) []Event {
	next := v.stateOf(e, domainHeard)
	if next == e.State {
		return events
	}
	old := e.State
	e.State = next
	if next == Gone {
		e.goneAt = v.now
	}
	return append(events, v.changed(e, StateChanged, old))
}

func (v *View) stateOf(e *entry, domainHeard snipetime.Instant) State {
	leaving := e.selfLeaving || e.listLeaving
	switch {
	case e.Address == v.self:
	case v.silent(e, domainHeard):
		return v.silentState(e)
	}
	if leaving {
		return Leaving
	}
	return Live
}

// silentState tells suspect members from gone ones. A member that announced its
// stop and then fell silent has stopped. The others may be paused or cut off,
// and the platform's word that they exist keeps them suspect.
func (v *View) silentState(e *entry) State {
	if e.selfLeaving {
		return Gone
	}
	if e.listed || e.leased || v.now.Sub(e.Heard) < v.settings.GoneAfter {
		return Suspect
	}
	return Gone
}

func (v *View) silent(e *entry, domainHeard snipetime.Instant) bool {
	if e.Incarnation == "" || e.told {
		return true
	}
	silence := v.now.Sub(e.Heard)
	switch {
	case v.fullMesh(), e.Domain == v.members[v.self].Domain:
		return silence >= v.settings.SuspectAfter
	case e.Direct:
		return silence >= v.settings.RemoteSuspectAfter
	}
	return silence >= v.settings.IndirectAfter ||
		v.now.Sub(domainHeard) >= v.settings.DomainSilence
}

func (v *View) fullMesh() bool { return len(v.members) <= v.settings.FullMeshSize }

func (v *View) prune(events []Event) []Event {
	for address, e := range v.members {
		if e.State != Gone || e.listed || e.leased || v.now.Sub(e.goneAt) < v.settings.PruneAfter {
			continue
		}
		delete(v.members, address)
		events = append(events, Event{
			Kind: Pruned, Address: address, Incarnation: e.Incarnation, Old: Gone, New: Gone,
		})
	}
	return events
}
