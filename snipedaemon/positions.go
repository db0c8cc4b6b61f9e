package snipedaemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/snipemoor/snipemoor/snipelease"
	"github.com/snipemoor/snipemoor/snipepeer"
	"github.com/snipemoor/snipemoor/snipestore"
	"github.com/snipemoor/snipemoor/snipetime"
	"github.com/snipemoor/snipemoor/snipewire"
)

// positionPeriod is the time between two ticks of the lease manager.
const positionPeriod = 200 * time.Millisecond

// positionHolder is the newest known holder of a position of the own region.
// The epoch is 0 if none is known.
type positionHolder struct {
	epoch                uint64
	address, incarnation string
}

// positions runs the lease manager for the positions of the own region: it
// carries the manager's messages and performs its store calls. A position is
// one of a fixed number of leases per region. Its holder owns a part of the
// region's slot groups and has a share of its rate limits.
type positions struct {
	log   *zap.Logger
	clock timer
	node  *snipepeer.Node
	store *snipestore.Client
	self  identity

	// onChange is called after each change of the held positions or of the
	// known holders.
	onChange func(now snipetime.Instant)

	mu      sync.Mutex
	region  string
	manager *snipelease.Manager
	members []string
	held    []snipelease.Holding
	holders []positionHolder
	// releasedHoldings holds the positions that release has given up.
	releasedHoldings []snipelease.Holding
}

func newPositions(log *zap.Logger, clock timer, node *snipepeer.Node, store *snipestore.Client, self identity) *positions {
	p := &positions{log: log, clock: clock, node: node, store: store, self: self, onChange: func(snipetime.Instant) {}}
	snipepeer.HandleMessage(node, func(from snipepeer.Peer, m *snipewire.VouchRequest) {
		p.receive(from, m.GetRegion(), vouchRequestFromProto(m))
	})
	snipepeer.HandleMessage(node, func(from snipepeer.Peer, m *snipewire.VouchReply) {
		p.receive(from, m.GetRegion(), vouchReplyFromProto(m))
	})
	snipepeer.HandleMessage(node, func(from snipepeer.Peer, m *snipewire.ConsentRequest) {
		p.receive(from, m.GetRegion(), consentRequestFromProto(m))
	})
	snipepeer.HandleMessage(node, func(from snipepeer.Peer, m *snipewire.ConsentReply) {
		p.receive(from, m.GetRegion(), consentReplyFromProto(m))
	})
	snipepeer.HandleMessage(node, func(from snipepeer.Peer, m *snipewire.PositionNotice) {
		p.handleNotice(from, m.GetPosition())
	})
	return p
}

// configure creates the manager when the first configuration is in force. Later
// calls do nothing, because the number of positions of a region cannot change
// in a running fleet.
func (p *positions) configure(region string, count int, now snipetime.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.manager != nil {
		return
	}
	p.region = region
	p.holders = make([]positionHolder, count)
	p.manager = snipelease.New(snipelease.Config{
		Address:     p.self.peerAddress,
		Incarnation: p.self.incarnation,
		Positions:   count,
		Seed:        p.self.seed,
	}, now)
	p.manager.SetMembers(now, p.members)
}

// setMembers sets the peer addresses of the live members of the region.
func (p *positions) setMembers(now snipetime.Instant, members []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if slices.Equal(p.members, members) {
		return
	}
	p.members = members
	if p.manager != nil {
		p.manager.SetMembers(now, members)
	}
}

func (p *positions) tick(now snipetime.Instant) {
	p.handleEvent(now, func(m *snipelease.Manager) []snipelease.Action { return m.Tick(now) })
}

// receive passes a message of a peer to the manager if it is about the own
// region.
func (p *positions) receive(from snipepeer.Peer, region string, m snipelease.Message) {
	now := p.clock.Now()
	p.handleEvent(now, func(manager *snipelease.Manager) []snipelease.Action {
		if region != p.region {
			return nil
		}
		return manager.HandleMessage(now, from.Address, m)
	})
}

// handleEvent passes one event to the manager, performs the returned actions
// and announces newly acquired positions.
func (p *positions) handleEvent(now snipetime.Instant, event func(*snipelease.Manager) []snipelease.Action) {
	p.mu.Lock()
	if p.manager == nil {
		p.mu.Unlock()
		return
	}
	actions := event(p.manager)
	changed, acquired := p.updateHeld(now)
	p.mu.Unlock()
	for _, a := range actions {
		p.perform(a)
	}
	for _, n := range acquired {
		p.announce(n)
	}
	if changed {
		p.onChange(now)
	}
}

// updateHeld stores the held positions. It reports whether they have changed,
// and returns notices for the newly acquired ones. The caller holds the lock.
func (p *positions) updateHeld(now snipetime.Instant) (changed bool, acquired []snipelease.PositionNotice) {
	held := p.manager.Held(now)
	changed = !slices.Equal(held, p.held)
	p.held = held
	for _, h := range held {
		if p.holders[h.Index].epoch >= h.Epoch {
			continue
		}
		p.holders[h.Index] = positionHolder{h.Epoch, p.self.peerAddress, p.self.incarnation}
		acquired = append(acquired, snipelease.PositionNotice{
			Index: h.Index, Epoch: h.Epoch, Address: p.self.peerAddress, Incarnation: p.self.incarnation,
		})
		p.log.Info("position acquired", zap.String("region", p.region), zap.Int("index", h.Index),
			zap.Uint64("epoch", h.Epoch))
	}
	return changed, acquired
}

// perform starts one action of the manager. Store calls run on their own
// goroutines.
func (p *positions) perform(a snipelease.Action) {
	switch a := a.(type) {
	case snipelease.Send:
		p.send(a.To, a.Message)
	case snipelease.ReadRecord:
		go p.readRecord(a)
	case snipelease.WriteRecord:
		go p.writeRecord(a)
	}
}

// send sends a message of the manager to a peer.
func (p *positions) send(to string, m snipelease.Message) {
	// A message that cannot be sent counts as lost; the manager repeats it.
	switch m := m.(type) {
	case snipelease.VouchRequest:
		_ = p.node.Send(to, vouchRequestToProto(p.region, m))
	case snipelease.VouchReply:
		_ = p.node.Send(to, vouchReplyToProto(p.region, m))
	case snipelease.ConsentRequest:
		_ = p.node.Send(to, consentRequestToProto(p.region, m))
	case snipelease.ConsentReply:
		_ = p.node.Send(to, consentReplyToProto(p.region, m))
	case snipelease.PositionNotice:
		_ = p.node.Send(to, &snipewire.PositionNotice{Position: positionStateToProto(p.region, m)})
	}
}

// announce sends a notice of the holder of a position to the members of the
// region.
func (p *positions) announce(n snipelease.PositionNotice) {
	p.mu.Lock()
	members := slices.Clone(p.members)
	p.mu.Unlock()
	for _, to := range members {
		if to != p.self.peerAddress {
			p.send(to, n)
		}
	}
}

// handleNotice processes the holder of a position that a peer reports. A holder
// whose epoch is not above the known one is ignored.
func (p *positions) handleNotice(from snipepeer.Peer, s *snipewire.PositionState) {
	notice := snipelease.PositionNotice{
		Index: int(s.GetIndex()), Epoch: s.GetEpoch(),
		Address: s.GetHolderAddress(), Incarnation: s.GetHolderIncarnation(),
	}
	p.mu.Lock()
	valid := p.manager != nil && s.GetRegion() == p.region && notice.Index < len(p.holders)
	newer := valid && p.holders[notice.Index].epoch < notice.Epoch
	if newer {
		p.holders[notice.Index] = positionHolder{notice.Epoch, notice.Address, notice.Incarnation}
	}
	p.mu.Unlock()
	if !newer {
		return
	}
	p.receive(from, s.GetRegion(), notice)
	p.onChange(p.clock.Now())
}

// heldStates returns the positions that this instance holds, for heartbeats.
func (p *positions) heldStates() []*snipewire.PositionState {
	p.mu.Lock()
	defer p.mu.Unlock()
	states := make([]*snipewire.PositionState, 0, len(p.held))
	for _, h := range p.held {
		states = append(states, positionStateToProto(p.region, snipelease.PositionNotice{
			Index: h.Index, Epoch: h.Epoch, Address: p.self.peerAddress, Incarnation: p.self.incarnation,
		}))
	}
	return states
}

// snapshot returns the held positions and the newest known holder of each
// position of the region, by index.
func (p *positions) snapshot() (held []snipelease.Holding, holders []positionHolder) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.held), slices.Clone(p.holders)
}

// release stops the use of all held positions for a planned stop.
func (p *positions) release(now snipetime.Instant) {
	p.mu.Lock()
	p.releasedHoldings = slices.Clone(p.held)
	p.mu.Unlock()
	p.handleEvent(now, func(m *snipelease.Manager) []snipelease.Action {
		m.Release(now)
		return nil
	})
}

// loansEnded lets the manager free the released positions at once, because no
// loan from them is outstanding.
func (p *positions) loansEnded(now snipetime.Instant) {
	p.handleEvent(now, func(m *snipelease.Manager) []snipelease.Action {
		m.LoansEnded(now)
		return m.Tick(now)
	})
}

// allTakenOver reports whether all released positions are known to have new
// holders.
func (p *positions) allTakenOver() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.releasedHoldings {
		if p.holders[h.Index].epoch <= h.Epoch {
			return false
		}
	}
	return true
}

// released reports whether this instance holds no position and has none left to
// free.
func (p *positions) released() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.manager == nil || p.manager.Released()
}

// positionRecord is the value of a position's key in the store.
type positionRecord struct {
	Address     string         `json:"address"`
	Incarnation string         `json:"incarnation"`
	Epoch       uint64         `json:"epoch"`
	Pending     *positionClaim `json:"pending,omitempty"`
}

// positionClaim names an instance that is taking a position over.
type positionClaim struct {
	Address     string `json:"address"`
	Incarnation string `json:"incarnation"`
	Epoch       uint64 `json:"epoch"`
}

// key returns the store key of a position.
func (p *positions) key(index int) string { return fmt.Sprintf("positions/%s/%d", p.region, index) }

// readRecord reads a position's record by a listing. Only a listing returns the
// revision of the store, by which the manager recognises outdated answers.
func (p *positions) readRecord(a snipelease.ReadRecord) {
	key := p.key(a.Index)
	items, revision, err := p.store.List(context.Background(), key)
	result := snipelease.StoreResult{RequestID: a.RequestID, Outcome: snipelease.OutcomeUnclear}
	if err == nil {
		result.Outcome, result.Revision = snipelease.OutcomeRead, revision
		for _, item := range items {
			if item.Key != key {
				continue
			}
			record, decodeErr := decodePositionRecord(item.Value)
			if decodeErr != nil {
				p.log.Error("position record cannot be decoded", zap.String("key", key), zap.Error(decodeErr))
				result.Outcome = snipelease.OutcomeUnclear
				break
			}
			result.Version, result.Record = item.Version, record
		}
	}
	p.completeStoreCall(result)
}

// writeRecord replaces a position's record by compare-and-swap and passes the
// result to the manager. A record that cannot be encoded has no result; the
// manager treats the call as unclear after its store timeout.
func (p *positions) writeRecord(a snipelease.WriteRecord) {
	value, err := encodePositionRecord(a.Record)
	if err != nil {
		p.log.Error("position record cannot be encoded", zap.Error(err))
		return
	}
	version, err := p.store.Put(context.Background(), p.key(a.Index), value, a.IfVersion, "")
	result := snipelease.StoreResult{RequestID: a.RequestID}
	switch {
	case err == nil:
		result.Outcome, result.Version = snipelease.OutcomeWritten, version
	case errors.Is(err, snipestore.ErrConflict):
		result.Outcome = snipelease.OutcomeConflict
	default:
		result.Outcome = snipelease.OutcomeUnclear
	}
	p.completeStoreCall(result)
}

// completeStoreCall passes the result of a store call to the manager.
func (p *positions) completeStoreCall(r snipelease.StoreResult) {
	now := p.clock.Now()
	p.handleEvent(now, func(m *snipelease.Manager) []snipelease.Action { return m.HandleStoreResult(now, r) })
}

// decodePositionRecord decodes the stored value of a position.
func decodePositionRecord(value []byte) (snipelease.Record, error) {
	var stored positionRecord
	if err := json.Unmarshal(value, &stored); err != nil {
		return snipelease.Record{}, fmt.Errorf("decode position record: %w", err)
	}
	r := snipelease.Record{Address: stored.Address, Incarnation: stored.Incarnation, Epoch: stored.Epoch}
	if stored.Pending != nil {
		r.Pending = snipelease.Claim(*stored.Pending)
	}
	return r, nil
}

// encodePositionRecord encodes the value of a position for the store.
func encodePositionRecord(r snipelease.Record) ([]byte, error) {
	stored := positionRecord{Address: r.Address, Incarnation: r.Incarnation, Epoch: r.Epoch}
	if r.Pending != (snipelease.Claim{}) {
		pending := positionClaim(r.Pending)
		stored.Pending = &pending
	}
	value, err := json.Marshal(stored)
	if err != nil {
		return nil, fmt.Errorf("encode position record: %w", err)
	}
	return value, nil
}
