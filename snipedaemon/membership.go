package snipedaemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/snipemoor/snipemoor/snipeconfig"
	"github.com/snipemoor/snipemoor/snipemember"
	"github.com/snipemoor/snipemoor/snipepeer"
	"github.com/snipemoor/snipemoor/snipestore"
	"github.com/snipemoor/snipemoor/snipetime"
	"github.com/snipemoor/snipemoor/snipewire"
)

const (
	// maxListBytes bounds the platform's list.
	maxListBytes = 4 << 20
	// instanceLease is the time to live of an instance's key in the store.
	instanceLease = 15 * time.Second
	// leaseScanPeriod is the time between reads of all instance keys.
	leaseScanPeriod = 5 * time.Second
	instancePrefix  = "instances/"
	// fullNewsPeriod is the time after which unchanged news is sent again.
	fullNewsPeriod = 5 * time.Second
	// loadPeriod is the time between load reports to a peer.
	loadPeriod = 500 * time.Millisecond
)

// listWire is the platform's list of instances.
type listWire struct {
	Instances []listEntryWire `json:"instances"`
}

type listEntryWire struct {
	Address     string `json:"address"`
	PeerAddress string `json:"peerAddress"`
	Place       string `json:"place"`
	Role        string `json:"role"`
	State       string `json:"state"`
}

// instanceWire is the value of an instance key in the store.
type instanceWire struct {
	Address     string `json:"address"`
	PeerAddress string `json:"peerAddress"`
	Place       string `json:"place"`
}

// peerState is what this instance last told a peer.
type peerState struct {
	sent     snipetime.Instant
	fullSent snipetime.Instant
	news     snipemember.News
}

// membership runs the view of the fleet: it polls the platform's list, keeps
// the store lease of this instance, and exchanges heartbeats.
type membership struct {
	log      *zap.Logger
	clock    timer
	node     *snipepeer.Node
	store    *snipestore.Client
	self     identity
	listURL  string
	client   *http.Client
	view     *snipemember.View
	sequence atomic.Uint64

	// news returns the present news of this instance.
	news func() snipemember.News
	// fill adds load, positions and configuration to a full heartbeat.
	fill func(*snipewire.Heartbeat)
	// heard is told about each full heartbeat.
	heard func(from snipepeer.Peer, m *snipewire.Heartbeat)
	// changed is told after changes of the view.
	changed func(now snipetime.Instant)

	mu             sync.Mutex
	peers          map[string]*peerState
	leavingTargets map[string]bool
	lease          string
	listed         bool
}

func newMembership(log *zap.Logger, clock timer, node *snipepeer.Node, store *snipestore.Client, self identity, settings *Settings, dialer Dialer) *membership {
	m := &membership{
		log: log, clock: clock, node: node, store: store, self: self,
		listURL: "http://" + settings.instanceList.String() + "/v1/instances",
		client: &http.Client{
			Timeout:   settings.listTimeout,
			Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute},
		},
		peers:          make(map[string]*peerState),
		leavingTargets: make(map[string]bool),
	}
	m.view = snipemember.New(snipemember.News{
		Address: self.address, PeerAddress: self.peerAddress, Incarnation: self.incarnation, Place: self.place,
	}, nil, snipemember.Settings{}, clock.Now())
	snipepeer.HandleSend(node, func(from snipepeer.Peer, h *snipewire.Heartbeat) { m.receive(from, h) })
	snipepeer.HandleSend(node, func(from snipepeer.Peer, h *snipewire.Steady) { m.receiveSteady(from, h) })
	return m
}

// start subscribes to session events; heartbeats on a new session begin with
// full news.
func (m *membership) start() {
	m.node.Subscribe(func(e snipepeer.Event) {
		if e.Kind != snipepeer.SessionUp {
			return
		}
		m.mu.Lock()
		delete(m.peers, e.Peer.Address)
		m.mu.Unlock()
		if address, ok := m.addressOf(e.Peer.Address); ok {
			m.view.ResetPeer(address)
		}
		m.beat(m.clock.Now())
	})
}

func (m *membership) addressOf(peerAddress string) (string, bool) {
	for _, member := range m.view.Snapshot().Members() {
		if member.PeerAddress == peerAddress {
			return member.Address, true
		}
	}
	return "", false
}

// configure tells the view where the places are.
func (m *membership) configure(now snipetime.Instant, fleet *snipeconfig.Fleet) {
	places := make(map[string]snipemember.Location)
	for _, p := range fleet.Places() {
		places[p.Name()] = snipemember.Location{Domain: p.Domain().Name(), Region: p.Region().Name()}
	}
	m.notify(m.view.SetPlaces(places, now))
}

func (m *membership) notify(events []snipemember.Event) {
	for _, e := range events {
		if e.Kind == snipemember.StateChanged || e.Kind == snipemember.Restarted {
			m.log.Info("member changed", zap.String("address", e.Address),
				zap.String("incarnation", e.Incarnation), zap.Stringer("state", e.New))
		}
	}
	if len(events) > 0 {
		m.changed(m.clock.Now())
	}
}

// tick judges silence, keeps the wanted sessions and sends what is due.
func (m *membership) tick(now snipetime.Instant) {
	m.notify(m.view.Tick(now))
	mesh := m.view.Mesh()
	wanted := make([]string, 0, len(mesh))
	for _, p := range mesh {
		wanted = append(wanted, p.PeerAddress)
	}
	m.node.Want(wanted)
	m.beat(now)
}

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

// heartbeatSlack is less than half of the ticks between two heartbeats.
const heartbeatSlack = 20 * time.Millisecond

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

// pollList reads the platform's list.
func (m *membership) pollList(now snipetime.Instant) {
	list, err := m.readList()
	if err != nil {
		m.log.Debug("platform list not read", zap.Error(err))
		return
	}
	var entries []snipemember.ListEntry
	leaving := make(map[string]bool)
	for _, e := range list.Instances {
		switch {
		case e.Role == "entry":
			entries = append(entries, snipemember.ListEntry{
				Address: e.Address, PeerAddress: e.PeerAddress, Place: e.Place, Leaving: e.State == "leaving",
			})
		case e.State == "leaving":
			leaving[e.Address] = true
		}
	}
	m.mu.Lock()
	changed := !equalSets(m.leavingTargets, leaving)
	m.leavingTargets = leaving
	m.listed = true
	m.mu.Unlock()
	m.notify(m.view.List(entries, now))
	if changed {
		m.changed(now)
	}
}

func (m *membership) readList() (listWire, error) {
	var list listWire
	resp, err := m.client.Get(m.listURL)
	if err != nil {
		return list, fmt.Errorf("read platform list: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return list, fmt.Errorf("read platform list: status %d", resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)).Decode(&list); err != nil {
		return list, fmt.Errorf("decode platform list: %w", err)
	}
	return list, nil
}

// targetLeaving reports whether the platform lists a target as leaving.
func (m *membership) targetLeaving(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leavingTargets[address]
}

// keepLease registers this instance in the store and renews its lease.
func (m *membership) keepLease(ctx context.Context) {
	m.mu.Lock()
	lease := m.lease
	m.mu.Unlock()
	if lease != "" {
		err := m.store.Renew(ctx, lease)
		if err == nil || !errors.Is(err, snipestore.ErrLeaseExpired) {
			return
		}
	}
	lease, err := m.register(ctx)
	if err != nil {
		m.log.Debug("instance not registered in the store", zap.Error(err))
	}
	m.mu.Lock()
	m.lease = lease
	m.mu.Unlock()
}

func (m *membership) register(ctx context.Context) (string, error) {
	lease, err := m.store.Grant(ctx, instanceLease)
	if err != nil {
		return "", fmt.Errorf("grant lease: %w", err)
	}
	value, err := json.Marshal(instanceWire{m.self.address, m.self.peerAddress, m.self.place})
	if err != nil {
		return "", fmt.Errorf("encode instance: %w", err)
	}
	key := instancePrefix + m.self.address
	version := uint64(0)
	if item, err := m.store.Get(ctx, key); err == nil {
		version = item.Version
	}
	if _, err := m.store.Put(ctx, key, value, version, lease); err != nil {
		return "", fmt.Errorf("write %s: %w", key, err)
	}
	return lease, nil
}

// scanLeases reads the keys of all instances. Only the watchers do so, the
// others hear of the instances by heartbeats.
func (m *membership) scanLeases(ctx context.Context) {
	items, _, err := m.store.List(ctx, instancePrefix)
	if err != nil {
		m.log.Debug("instance keys not read", zap.Error(err))
		return
	}
	var entries []snipemember.LeaseEntry
	for _, item := range items {
		var w instanceWire
		if err := json.Unmarshal(item.Value, &w); err != nil || !strings.HasSuffix(item.Key, w.Address) {
			m.log.Warn("instance key ignored", zap.String("key", item.Key))
			continue
		}
		entries = append(entries, snipemember.LeaseEntry(w))
	}
	m.notify(m.view.Leases(entries, m.clock.Now()))
}

// deregister ends the store lease for a planned stop.
func (m *membership) deregister(ctx context.Context) {
	m.mu.Lock()
	lease := m.lease
	m.mu.Unlock()
	if lease != "" {
		// The lease ends by itself if this call fails.
		_ = m.store.Revoke(ctx, lease)
	}
}

// regionPeers returns the members of a region that have been heard and are not
// gone, with this instance, sorted by address.
func (m *membership) regionPeers(region string) []snipemember.Member {
	var members []snipemember.Member
	for _, member := range m.view.Snapshot().Members() {
		if member.Region == region && member.State != snipemember.Gone {
			members = append(members, member)
		}
	}
	slices.SortFunc(members, func(a, b snipemember.Member) int { return strings.Compare(a.PeerAddress, b.PeerAddress) })
	return members
}

func instantMillis(now snipetime.Instant) uint64 {
	return uint64(now) / uint64(time.Millisecond)
}

func equalSets(a, b map[string]bool) bool {
	if len(a) != len(b) {
		return false
	}
	for k := range a {
		if !b[k] {
			return false
		}
	}
	return true
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
