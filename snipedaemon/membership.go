package snipedaemon

import (
	"encoding/json"
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

// heartbeatSlack is less than half of the ticks between two heartbeats.
const heartbeatSlack = 20 * time.Millisecond

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
