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

// positionPeriod is the time between ticks of the lease manager.
const positionPeriod = 200 * time.Millisecond

// positionHolder is the newest known holder of a position of the region.
type positionHolder struct {
	epoch                uint64
	address, incarnation string
}

// positions runs the leases on the positions of the own region.
type positions struct {
	log   *zap.Logger
	clock timer
	node  *snipepeer.Node
	store *snipestore.Client
	self  identity

	// changed is told after each change of what is held or known.
	changed func(now snipetime.Instant)

	mu      sync.Mutex
	region  string
	manager *snipelease.Manager
	members []string
	held    []snipelease.Holding
	holders []positionHolder
	// given holds what release gave up.
	given []snipelease.Holding
}

func newPositions(log *zap.Logger, clock timer, node *snipepeer.Node, store *snipestore.Client, self identity) *positions {
	p := &positions{log: log, clock: clock, node: node, store: store, self: self, changed: func(snipetime.Instant) {}}
	snipepeer.HandleSend(node, func(from snipepeer.Peer, m *snipewire.VouchRequest) {
		p.receive(from, m.GetRegion(), vouchRequestFrom(m))
	})
	snipepeer.HandleSend(node, func(from snipepeer.Peer, m *snipewire.VouchReply) {
		p.receive(from, m.GetRegion(), vouchReplyFrom(m))
	})
	snipepeer.HandleSend(node, func(from snipepeer.Peer, m *snipewire.ConsentRequest) {
		p.receive(from, m.GetRegion(), consentRequestFrom(m))
	})
	snipepeer.HandleSend(node, func(from snipepeer.Peer, m *snipewire.ConsentReply) {
		p.receive(from, m.GetRegion(), consentReplyFrom(m))
	})
	snipepeer.HandleSend(node, func(from snipepeer.Peer, m *snipewire.PositionNotice) {
		p.learn(from, m.GetPosition())
	})
	return p
}

// configure starts the manager once the fleet is known. The number of positions
// of a region cannot change in a running fleet.
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
	p.step(now, func(m *snipelease.Manager) []snipelease.Action { return m.Tick(now) })
}

func (p *positions) receive(from snipepeer.Peer, region string, m snipelease.Message) {
	now := p.clock.Now()
	p.step(now, func(manager *snipelease.Manager) []snipelease.Action {
		if region != p.region {
			return nil
		}
		return manager.Receive(now, from.Address, m)
	})
}

// step passes one event to the manager and performs what it decides.
func (p *positions) step(now snipetime.Instant, event func(*snipelease.Manager) []snipelease.Action) {
	p.mu.Lock()
	if p.manager == nil {
		p.mu.Unlock()
		return
	}
	actions := event(p.manager)
	changed, acquired := p.observe(now)
	p.mu.Unlock()
	for _, a := range actions {
		p.perform(a)
	}
	for _, n := range acquired {
		p.announce(n)
	}
	if changed {
		p.changed(now)
	}
}

// observe compares what is held with the state before and returns the notices
// for positions acquired since. The caller holds the lock.
func (p *positions) observe(now snipetime.Instant) (changed bool, acquired []snipelease.PositionNotice) {
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

func (p *positions) perform(a snipelease.Action) {
	switch a := a.(type) {
	case snipelease.Send:
		p.send(a.To, a.Message)
	case snipelease.ReadRecord:
		go p.read(a)
	case snipelease.WriteRecord:
		go p.write(a)
	}
}

func (p *positions) send(to string, m snipelease.Message) {
	// A message that cannot be sent is a lost one, which the manager repeats.
	switch m := m.(type) {
	case snipelease.VouchRequest:
		_ = p.node.Send(to, vouchRequestTo(p.region, m))
	case snipelease.VouchReply:
		_ = p.node.Send(to, vouchReplyTo(p.region, m))
	case snipelease.ConsentRequest:
		_ = p.node.Send(to, consentRequestTo(p.region, m))
	case snipelease.ConsentReply:
		_ = p.node.Send(to, consentReplyTo(p.region, m))
	case snipelease.PositionNotice:
		_ = p.node.Send(to, &snipewire.PositionNotice{Position: positionState(p.region, m)})
	}
}

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

// learn takes what a peer says about the holder of a position.
func (p *positions) learn(from snipepeer.Peer, s *snipewire.PositionState) {
	notice := snipelease.PositionNotice{
		Index: int(s.GetIndex()), Epoch: s.GetEpoch(),
		Address: s.GetHolderAddress(), Incarnation: s.GetHolderIncarnation(),
	}
	p.mu.Lock()
	known := p.manager != nil && s.GetRegion() == p.region && notice.Index < len(p.holders)
	newer := known && p.holders[notice.Index].epoch < notice.Epoch
	if newer {
		p.holders[notice.Index] = positionHolder{notice.Epoch, notice.Address, notice.Incarnation}
	}
	p.mu.Unlock()
	if !newer {
		return
	}
	p.receive(from, s.GetRegion(), notice)
	p.changed(p.clock.Now())
}

// states returns the positions that this instance holds, for heartbeats.
func (p *positions) states() []*snipewire.PositionState {
	p.mu.Lock()
	defer p.mu.Unlock()
	states := make([]*snipewire.PositionState, 0, len(p.held))
	for _, h := range p.held {
		states = append(states, positionState(p.region, snipelease.PositionNotice{
			Index: h.Index, Epoch: h.Epoch, Address: p.self.peerAddress, Incarnation: p.self.incarnation,
		}))
	}
	return states
}

// view returns what is held and the newest known holder of each position.
func (p *positions) view() (held []snipelease.Holding, holders []positionHolder) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.held), slices.Clone(p.holders)
}

// release stops the use of all positions for a planned stop.
func (p *positions) release(now snipetime.Instant) {
	p.mu.Lock()
	p.given = slices.Clone(p.held)
	p.mu.Unlock()
	p.step(now, func(m *snipelease.Manager) []snipelease.Action {
		m.Release(now)
		return nil
	})
}

// loansEnded lets released positions be freed at once.
func (p *positions) loansEnded(now snipetime.Instant) {
	p.step(now, func(m *snipelease.Manager) []snipelease.Action {
		m.LoansEnded(now)
		return m.Tick(now)
	})
}

// succeeded reports whether all positions that release gave up have new holders.
func (p *positions) succeeded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.given {
		if p.holders[h.Index].epoch <= h.Epoch {
			return false
		}
	}
	return true
}

func (p *positions) released() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.manager == nil || p.manager.Released()
}

// recordWire is the value of a position in the store.
type recordWire struct {
	Address     string     `json:"address"`
	Incarnation string     `json:"incarnation"`
	Epoch       uint64     `json:"epoch"`
	Pending     *claimWire `json:"pending,omitempty"`
}

type claimWire struct {
	Address     string `json:"address"`
	Incarnation string `json:"incarnation"`
	Epoch       uint64 `json:"epoch"`
}

func (p *positions) key(index int) string { return fmt.Sprintf("positions/%s/%d", p.region, index) }

// read reads a record through a listing, because only a listing tells the
// revision of the store, by which an older answer is recognised.
func (p *positions) read(a snipelease.ReadRecord) {
	key := p.key(a.Index)
	items, revision, err := p.store.List(context.Background(), key)
	result := snipelease.StoreResult{RequestID: a.RequestID, Outcome: snipelease.OutcomeUnclear}
	if err == nil {
		result.Outcome, result.Revision = snipelease.OutcomeRead, revision
		for _, item := range items {
			if item.Key != key {
				continue
			}
			record, decodeErr := decodeRecord(item.Value)
			if decodeErr != nil {
				p.log.Error("position record cannot be decoded", zap.String("key", key), zap.Error(decodeErr))
				result.Outcome = snipelease.OutcomeUnclear
				break
			}
			result.Version, result.Record = item.Version, record
		}
	}
	p.finish(result)
}

func (p *positions) write(a snipelease.WriteRecord) {
	value, err := encodeRecord(a.Record)
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
	p.finish(result)
}

func (p *positions) finish(r snipelease.StoreResult) {
	now := p.clock.Now()
	p.step(now, func(m *snipelease.Manager) []snipelease.Action { return m.StoreResult(now, r) })
}

func decodeRecord(value []byte) (snipelease.Record, error) {
	var w recordWire
	if err := json.Unmarshal(value, &w); err != nil {
		return snipelease.Record{}, fmt.Errorf("decode position record: %w", err)
	}
	r := snipelease.Record{Address: w.Address, Incarnation: w.Incarnation, Epoch: w.Epoch}
	if w.Pending != nil {
		r.Pending = snipelease.Claim(*w.Pending)
	}
	return r, nil
}

func encodeRecord(r snipelease.Record) ([]byte, error) {
	w := recordWire{Address: r.Address, Incarnation: r.Incarnation, Epoch: r.Epoch}
	if r.Pending != (snipelease.Claim{}) {
		pending := claimWire(r.Pending)
		w.Pending = &pending
	}
	value, err := json.Marshal(w)
	if err != nil {
		return nil, fmt.Errorf("encode position record: %w", err)
	}
	return value, nil
}
