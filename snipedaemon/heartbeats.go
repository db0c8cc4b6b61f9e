package snipedaemon

import (
	"go.uber.org/zap"

	"github.com/snipemoor/snipemoor/snipemember"
	"github.com/snipemoor/snipemoor/snipepeer"
	"github.com/snipemoor/snipemoor/snipetime"
	"github.com/snipemoor/snipemoor/snipewire"
)

// sendHeartbeats sends a heartbeat to each connected peer for which one is due.
func (m *membership) sendHeartbeats(now snipetime.Instant) {
	state := m.selfState()
	m.handleEvents(m.view.UpdateSelf(state, now))
	for _, p := range m.view.Mesh() {
		if _, up := m.node.Session(p.PeerAddress); up {
			m.sendHeartbeat(now, p, state)
		}
	}
}

// sendHeartbeat sends a heartbeat to a peer if one is due, or at once if the
// own state differs from the one sent last. Without changes it sends a short
// Steady message instead of the full heartbeat.
func (m *membership) sendHeartbeat(now snipetime.Instant, p snipemember.Peer, state snipemember.Report) {
	m.mu.Lock()
	last, ok := m.lastSent[p.PeerAddress]
	if !ok {
		last = &sentHeartbeat{}
		m.lastSent[p.PeerAddress] = last
	}
	urgent := !ok || !equalIgnoringClock(last.state, state)
	// Sending slightly early keeps the mean interval equal to the period.
	due := now.Sub(last.sentAt) >= p.Period-heartbeatSlack
	full := urgent || now.Sub(last.fullSentAt) >= fullHeartbeatPeriod
	if !urgent && !due {
		m.mu.Unlock()
		return
	}
	last.sentAt = now
	if full {
		last.fullSentAt = now
		last.state = state
	}
	m.mu.Unlock()
	sequence := m.sequence.Add(1)
	summaries := m.view.Summaries(p.Address, now)
	h := &snipewire.Heartbeat{Sequence: sequence, InstantMillis: instantMillis(now)}
	m.fillHeartbeat(h)
	if !full && len(summaries) == 0 && len(h.GetGroups()) == 0 {
		_ = m.node.Send(p.PeerAddress, &snipewire.Steady{Sequence: sequence, InstantMillis: instantMillis(now)})
		return
	}
	setHeartbeatState(h, state)
	for _, s := range summaries {
		h.Instances = append(h.Instances, summaryToProto(s))
	}
	_ = m.node.Send(p.PeerAddress, h)
}

// equalIgnoringClock reports whether two states are equal apart from sequence
// number, clock and age.
func equalIgnoringClock(a, b snipemember.Report) bool {
	a.Sequence, b.Sequence = 0, 0
	a.ClockMillis, b.ClockMillis = 0, 0
	a.Age, b.Age = 0, 0
	return a == b
}

// handleHeartbeat merges a full heartbeat of a peer into the view.
func (m *membership) handleHeartbeat(from snipepeer.Peer, h *snipewire.Heartbeat) {
	state := stateFromProto(h)
	if state.PeerAddress != from.Address || state.Incarnation != from.Incarnation {
		m.log.Warn("heartbeat names another instance than its session",
			zap.String("peer", from.Address), zap.String("named", state.PeerAddress))
		return
	}
	summaries := make([]snipemember.Report, 0, len(h.GetInstances()))
	for _, s := range h.GetInstances() {
		summaries = append(summaries, summaryFromProto(s))
	}
	m.handleEvents(m.view.MergeHeartbeat(state, summaries, m.clock.Now()))
	m.onHeartbeat(from, h)
}

// handleSteady merges a heartbeat of a peer whose state has not changed.
func (m *membership) handleSteady(from snipepeer.Peer, h *snipewire.Steady) {
	if address, ok := m.addressOfPeer(from.Address); ok {
		m.handleEvents(m.view.SteadyHeartbeat(address, from.Incarnation, h.GetSequence(), h.GetInstantMillis(), m.clock.Now()))
	}
}

// setHeartbeatState sets the fields of a heartbeat that describe its sender.
func setHeartbeatState(h *snipewire.Heartbeat, n snipemember.Report) {
	h.Address, h.PeerAddress, h.Incarnation, h.Place = n.Address, n.PeerAddress, n.Incarnation, n.Place
	h.Leaving, h.Ready, h.Watching, h.Generation = n.Leaving, n.Ready, n.Watching, n.Generation
}

// stateFromProto returns the state of the sender of a heartbeat.
func stateFromProto(h *snipewire.Heartbeat) snipemember.Report {
	return snipemember.Report{
		Address: h.GetAddress(), PeerAddress: h.GetPeerAddress(), Incarnation: h.GetIncarnation(), Place: h.GetPlace(),
		Sequence: h.GetSequence(), Generation: h.GetGeneration(), ClockMillis: h.GetInstantMillis(),
		Leaving: h.GetLeaving(), Ready: h.GetReady(), Watching: h.GetWatching(),
	}
}

// summaryToProto converts the state of another instance for a heartbeat.
func summaryToProto(n snipemember.Report) *snipewire.InstanceSummary {
	return &snipewire.InstanceSummary{
		Address: n.Address, PeerAddress: n.PeerAddress, Incarnation: n.Incarnation, Place: n.Place,
		Sequence: n.Sequence, Generation: n.Generation, InstantMillis: n.ClockMillis,
		Leaving: n.Leaving, Ready: n.Ready, Watching: n.Watching, AgeMillis: millis(n.Age),
		Silent: n.Silent, Relays: n.Relays,
	}
}

// summaryFromProto converts the state of another instance in a heartbeat.
func summaryFromProto(s *snipewire.InstanceSummary) snipemember.Report {
	return snipemember.Report{
		Address: s.GetAddress(), PeerAddress: s.GetPeerAddress(), Incarnation: s.GetIncarnation(), Place: s.GetPlace(),
		Sequence: s.GetSequence(), Generation: s.GetGeneration(), ClockMillis: s.GetInstantMillis(),
		Leaving: s.GetLeaving(), Ready: s.GetReady(), Watching: s.GetWatching(), Age: fromMillis(s.GetAgeMillis()),
		Silent: s.GetSilent(), Relays: s.GetRelays(),
	}
}
