package snipedaemon

import (
	"go.uber.org/zap"

	"github.com/snipemoor/snipemoor/snipemember"
	"github.com/snipemoor/snipemoor/snipepeer"
	"github.com/snipemoor/snipemoor/snipetime"
	"github.com/snipemoor/snipemoor/snipewire"
)

// beat sends heartbeats to the peers for which one is due.
func (m *membership) beat(now snipetime.Instant) {
	news := m.news()
	m.notify(m.view.Self(news, now))
	for _, p := range m.view.Mesh() {
		if _, up := m.node.Session(p.PeerAddress); up {
			m.beatPeer(now, p, news)
		}
	}
}

func (m *membership) beatPeer(now snipetime.Instant, p snipemember.Peer, news snipemember.News) {
	m.mu.Lock()
	state, ok := m.peers[p.PeerAddress]
	if !ok {
		state = &peerState{}
		m.peers[p.PeerAddress] = state
	}
	urgent := !ok || !sameNews(state.news, news)
	// A heartbeat slightly before its period keeps the period on average.
	due := now.Sub(state.sent) >= p.Period-heartbeatSlack
	full := urgent || now.Sub(state.fullSent) >= fullNewsPeriod
	if !urgent && !due {
		m.mu.Unlock()
		return
	}
	state.sent = now
	if full {
		state.fullSent = now
		state.news = news
	}
	m.mu.Unlock()
	sequence := m.sequence.Add(1)
	summaries := m.view.Summaries(p.Address, now)
	h := &snipewire.Heartbeat{Sequence: sequence, InstantMillis: instantMillis(now)}
	m.fill(h)
	if !full && len(summaries) == 0 && len(h.GetGroups()) == 0 {
		_ = m.node.Send(p.PeerAddress, &snipewire.Steady{Sequence: sequence, InstantMillis: instantMillis(now)})
		return
	}
	fillNews(h, news)
	for _, s := range summaries {
		h.Instances = append(h.Instances, summaryTo(s))
	}
	_ = m.node.Send(p.PeerAddress, h)
}

// sameNews reports whether two news differ at most in sequence and clock.
func sameNews(a, b snipemember.News) bool {
	a.Sequence, b.Sequence = 0, 0
	a.ClockMillis, b.ClockMillis = 0, 0
	a.Age, b.Age = 0, 0
	return a == b
}

func (m *membership) receive(from snipepeer.Peer, h *snipewire.Heartbeat) {
	news := newsFrom(h)
	if news.PeerAddress != from.Address || news.Incarnation != from.Incarnation {
		m.log.Warn("heartbeat names another instance than its session",
			zap.String("peer", from.Address), zap.String("named", news.PeerAddress))
		return
	}
	summaries := make([]snipemember.News, 0, len(h.GetInstances()))
	for _, s := range h.GetInstances() {
		summaries = append(summaries, summaryFrom(s))
	}
	m.notify(m.view.Heartbeat(news, summaries, m.clock.Now()))
	m.heard(from, h)
}

func (m *membership) receiveSteady(from snipepeer.Peer, h *snipewire.Steady) {
	if address, ok := m.addressOf(from.Address); ok {
		m.notify(m.view.Steady(address, from.Incarnation, h.GetSequence(), h.GetInstantMillis(), m.clock.Now()))
	}
}

func fillNews(h *snipewire.Heartbeat, n snipemember.News) {
	h.Address, h.PeerAddress, h.Incarnation, h.Place = n.Address, n.PeerAddress, n.Incarnation, n.Place
	h.Leaving, h.Ready, h.Watching, h.Generation = n.Leaving, n.Ready, n.Watching, n.Generation
}

func newsFrom(h *snipewire.Heartbeat) snipemember.News {
	return snipemember.News{
		Address: h.GetAddress(), PeerAddress: h.GetPeerAddress(), Incarnation: h.GetIncarnation(), Place: h.GetPlace(),
		Sequence: h.GetSequence(), Generation: h.GetGeneration(), ClockMillis: h.GetInstantMillis(),
		Leaving: h.GetLeaving(), Ready: h.GetReady(), Watching: h.GetWatching(),
	}
}

func summaryTo(n snipemember.News) *snipewire.InstanceSummary {
	return &snipewire.InstanceSummary{
		Address: n.Address, PeerAddress: n.PeerAddress, Incarnation: n.Incarnation, Place: n.Place,
		Sequence: n.Sequence, Generation: n.Generation, InstantMillis: n.ClockMillis,
		Leaving: n.Leaving, Ready: n.Ready, Watching: n.Watching, AgeMillis: millis(n.Age),
		Silent: n.Silent, Relays: n.Relays,
	}
}

func summaryFrom(s *snipewire.InstanceSummary) snipemember.News {
	return snipemember.News{
		Address: s.GetAddress(), PeerAddress: s.GetPeerAddress(), Incarnation: s.GetIncarnation(), Place: s.GetPlace(),
		Sequence: s.GetSequence(), Generation: s.GetGeneration(), ClockMillis: s.GetInstantMillis(),
		Leaving: s.GetLeaving(), Ready: s.GetReady(), Watching: s.GetWatching(), Age: fromMillis(s.GetAgeMillis()),
		Silent: s.GetSilent(), Relays: s.GetRelays(),
	}
}
