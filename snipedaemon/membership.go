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
	// maxListBytes bounds the size of the platform's list of instances.
	maxListBytes = 4 << 20
	// instanceTTL is the time to live of an instance's key in the store.
	instanceTTL = 15 * time.Second
	// leaseScanPeriod is the time between two reads of all instance keys.
	leaseScanPeriod   = 5 * time.Second
	instanceKeyPrefix = "instances/"
	// fullHeartbeatPeriod is the time after which an unchanged state is sent in
	// full again.
	fullHeartbeatPeriod = 5 * time.Second
	// loadUpdatePeriod is the time between two updates of the place weights by
	// load.
	loadUpdatePeriod = 500 * time.Millisecond
)

// platformList is the platform's list of instances.
type platformList struct {
	Instances []platformInstance `json:"instances"`
}

// platformInstance is one entry of the platform's list. Role is "entry" or
// "target", and State "live" or "leaving".
type platformInstance struct {
	Address     string `json:"address"`
	PeerAddress string `json:"peerAddress"`
	Place       string `json:"place"`
	Role        string `json:"role"`
	State       string `json:"state"`
}

// sentHeartbeat records when heartbeats were last sent to a peer, and the state
// in the last full one.
type sentHeartbeat struct {
	sentAt     snipetime.Instant
	fullSentAt snipetime.Instant
	state      snipemember.Report
}

// membership maintains the view of the fleet: it polls the platform's list of
// instances, keeps the lease of this instance in the store, and exchanges
// heartbeats.
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

	// selfState returns the current state of this instance for heartbeats.
	selfState func() snipemember.Report
	// fillHeartbeat adds loads, positions and the configuration's digest to a
	// full heartbeat.
	fillHeartbeat func(*snipewire.Heartbeat)
	// onHeartbeat is called for each full heartbeat received.
	onHeartbeat func(from snipepeer.Peer, m *snipewire.Heartbeat)
	// onChange is called after each change of the view or of the targets that
	// leave.
	onChange func(now snipetime.Instant)

	mu             sync.Mutex
	lastSent       map[string]*sentHeartbeat
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
		lastSent:       make(map[string]*sentHeartbeat),
		leavingTargets: make(map[string]bool),
	}
	m.view = snipemember.New(snipemember.Report{
		Address: self.address, PeerAddress: self.peerAddress, Incarnation: self.incarnation, Place: self.place,
	}, nil, snipemember.Settings{}, clock.Now())
	snipepeer.HandleMessage(node, func(from snipepeer.Peer, h *snipewire.Heartbeat) { m.handleHeartbeat(from, h) })
	snipepeer.HandleMessage(node, func(from snipepeer.Peer, h *snipewire.Steady) { m.handleSteady(from, h) })
	return m
}

// start subscribes to session events. The first heartbeat on a new session is a
// full one.
func (m *membership) start() {
	m.node.Subscribe(func(e snipepeer.Event) {
		if e.Kind != snipepeer.SessionUp {
			return
		}
		m.mu.Lock()
		delete(m.lastSent, e.Peer.Address)
		m.mu.Unlock()
		if address, ok := m.addressOfPeer(e.Peer.Address); ok {
			m.view.ResetPeer(address)
		}
		m.sendHeartbeats(m.clock.Now())
	})
}

// addressOfPeer returns the address of the member with the given peer address.
func (m *membership) addressOfPeer(peerAddress string) (string, bool) {
	for _, member := range m.view.Snapshot().Members() {
		if member.PeerAddress == peerAddress {
			return member.Address, true
		}
	}
	return "", false
}

// configure passes the locations of the places to the view.
func (m *membership) configure(now snipetime.Instant, fleet *snipeconfig.Fleet) {
	places := make(map[string]snipemember.Location)
	for _, p := range fleet.Places() {
		places[p.Name()] = snipemember.Location{Domain: p.Domain().Name(), Region: p.Region().Name()}
	}
	m.handleEvents(m.view.SetPlaces(places, now))
}

// handleEvents logs changes of members and calls onChange if there are events.
func (m *membership) handleEvents(events []snipemember.Event) {
	for _, e := range events {
		if e.Kind == snipemember.StateChanged || e.Kind == snipemember.Restarted {
			m.log.Info("member changed", zap.String("address", e.Address),
				zap.String("incarnation", e.Incarnation), zap.Stringer("state", e.New))
		}
	}
	if len(events) > 0 {
		m.onChange(m.clock.Now())
	}
}

// tick updates the states of silent members, requests the sessions of the mesh
// and sends the heartbeats that are due.
func (m *membership) tick(now snipetime.Instant) {
	m.handleEvents(m.view.Tick(now))
	mesh := m.view.Mesh()
	wanted := make([]string, 0, len(mesh))
	for _, p := range mesh {
		wanted = append(wanted, p.PeerAddress)
	}
	m.node.MaintainSessions(wanted)
	m.sendHeartbeats(now)
}

// heartbeatSlack is how long before its due time a heartbeat may be sent, so
// that jitter of the ticks does not delay it by a whole tick. It is less than
// one tick, which is half of the shortest heartbeat period.
const heartbeatSlack = 20 * time.Millisecond

// pollPlatformList reads the platform's list and merges its entry instances
// into the view. The targets that the list shows as leaving replace those known
// before.
func (m *membership) pollPlatformList(now snipetime.Instant) {
	list, err := m.fetchPlatformList()
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
	m.handleEvents(m.view.MergeList(entries, now))
	if changed {
		m.onChange(now)
	}
}

// fetchPlatformList requests the list from the platform.
func (m *membership) fetchPlatformList() (platformList, error) {
	var list platformList
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

// regionMembers returns the members of a region that are not gone, this
// instance included, sorted by peer address.
func (m *membership) regionMembers(region string) []snipemember.Member {
	var members []snipemember.Member
	for _, member := range m.view.Snapshot().Members() {
		if member.Region == region && member.State != snipemember.Gone {
			members = append(members, member)
		}
	}
	slices.SortFunc(members, func(a, b snipemember.Member) int { return strings.Compare(a.PeerAddress, b.PeerAddress) })
	return members
}

// instantMillis returns an instant in whole milliseconds, rounded down.
func instantMillis(now snipetime.Instant) uint64 {
	return uint64(now) / uint64(time.Millisecond)
}

// equalSets reports whether two sets have the same elements.
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
