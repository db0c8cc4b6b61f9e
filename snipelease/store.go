package snipelease

import (
	"slices"
	"time"

	"github.com/snipemoor/snipemoor/snipetime"
)

// renewInterval returns the time between renewals. It is also the shortest time
// between reads.
func (m *Manager) renewInterval() time.Duration { return m.cfg.LeaseDuration / 4 }

// retryDelay returns the delay after a failed store call, with exponential
// backoff, and with jitter so that instances do not retry at the same time.
func (m *Manager) retryDelay() time.Duration {
	base := m.cfg.LeaseDuration / 20 << min(m.storeFailures, maxBackoffShift)
	return base + time.Duration(m.rng.Int64N(int64(base)))
}

// readInterval returns the time between reads of position i. It grows with the
// rank for the position while this instance holds no position.
func (m *Manager) readInterval(i int) time.Duration {
	for k := range m.positions {
		if m.positions[k].held {
			return m.renewInterval()
		}
	}
	return m.renewInterval() * time.Duration(min(maxReadFactor, max(1, m.rank(i))))
}

// addCall registers a store call for position i and returns its request
// identifier.
func (m *Manager) addCall(i int, c call) uint64 {
	m.nextID++
	c.index = i
	m.calls[m.nextID] = c
	m.positions[i].callInFlight = true
	return m.nextID
}

func (m *Manager) read(i int, now snipetime.Instant) Action {
	id := m.addCall(i, call{kind: callRead, sent: now})
	return ReadRecord{RequestID: id, Index: i}
}

func (m *Manager) write(i int, now snipetime.Instant, kind callKind, r Record) Action {
	version := m.positions[i].version
	id := m.addCall(i, call{kind: kind, sent: now, version: version, record: r})
	return WriteRecord{RequestID: id, Index: i, IfVersion: version, Record: r}
}

// expireCalls processes the store calls that have had no answer for StoreTimeout
// as calls with an unclear outcome.
func (m *Manager) expireCalls(now snipetime.Instant) []Action {
	var late []uint64
	for id, c := range m.calls {
		if !now.Before(c.sent.Add(m.cfg.StoreTimeout)) {
			late = append(late, id)
		}
	}
	slices.Sort(late)
	var actions []Action
	for _, id := range late {
		actions = append(actions, m.HandleStoreResult(now, StoreResult{RequestID: id})...)
	}
	return actions
}

// HandleStoreResult processes the result of a store call and returns the
// actions that are due. Results of calls that are not outstanding, such as
// those past StoreTimeout, are ignored.
func (m *Manager) HandleStoreResult(now snipetime.Instant, r StoreResult) []Action {
	c, ok := m.calls[r.RequestID]
	if !ok {
		return nil
	}
	delete(m.calls, r.RequestID)
	p := &m.positions[c.index]
	p.callInFlight = false
	if r.Outcome == OutcomeUnclear {
		m.storeFailures++
		// The write may have taken effect, so the record must be read again before
		// the next write.
		p.mustRead = p.mustRead || c.kind != callRead
		p.nextRead = now.Add(m.retryDelay())
		return nil
	}
	m.lastStoreOK = now
	m.storeAnswered = true
	m.storeFailures = 0
	switch r.Outcome {
	case OutcomeRead:
		m.handleRead(c, r, now)
	case OutcomeWritten:
		return m.handleWrite(c, r, now)
	default:
		p.mustRead = true
		p.nextRead = now
	}
	return nil
}

func (m *Manager) handleRead(c call, r StoreResult, now snipetime.Instant) {
	p := &m.positions[c.index]
	older := r.Revision != 0 && r.Revision < m.newestRevision
	if older || p.recordKnown && r.Version < p.version {
		// The store returned older data than before.
		p.nextRead = now.Add(m.retryDelay())
		return
	}
	m.newestRevision = max(m.newestRevision, r.Revision)
	p.mustRead = false
	p.nextRead = now.Add(m.readInterval(c.index))
	m.updateRecord(c.index, r.Record, r.Version, c.sent, now)
}

// updateRecord stores the same or a newer version of the record of position i
// and adjusts the holding and the claim to it.
func (m *Manager) updateRecord(i int, r Record, version uint64, sent, now snipetime.Instant) {
	p := &m.positions[i]
	if !p.recordKnown || version != p.version {
		p.versionSeen = now
	}
	p.recordKnown = true
	m.newestRevision = max(m.newestRevision, version)
	p.record = r
	p.version = version
	p.readSent = sent
	ownRecord := r.Address == m.cfg.Address && r.Incarnation == m.cfg.Incarnation
	if p.held && (!ownRecord || r.Epoch != p.epoch) {
		p.clearHolding()
	}
	if p.claim.active && p.claim.version != version {
		p.claim = claimRound{}
	}
	ownClaim := Claim{Address: m.cfg.Address, Incarnation: m.cfg.Incarnation, Epoch: r.Pending.Epoch}
	if r.Pending == ownClaim && !p.claim.active && !m.stopping {
		m.startClaim(i, r.Pending.Epoch, version, now)
	}
	if ownRecord && !p.held {
		// A write with an unclear outcome has taken effect. The position becomes
		// usable only with the next confirmed renewal.
		p.nextRenew = now
	}
}

func (m *Manager) handleWrite(c call, r StoreResult, now snipetime.Instant) []Action {
	p := &m.positions[c.index]
	m.updateRecord(c.index, c.record, r.Version, c.sent, now)
	switch c.kind {
	case callPending:
		return m.tickClaim(c.index, now)
	case callFree:
		p.clearHolding()
		return nil
	default:
		return m.recordHolding(c, now)
	}
}

// recordHolding extends the lease after a confirmed write that names this
// instance as holder, and starts the holding if it is new.
func (m *Manager) recordHolding(c call, now snipetime.Instant) []Action {
	p := &m.positions[c.index]
	isNew := !p.held || p.epoch != c.record.Epoch
	p.leaseEnd = c.sent.Add(m.cfg.LeaseDuration)
	p.nextRenew = c.sent.Add(m.renewInterval())
	if !isNew {
		return nil
	}
	if c.kind != callCancel || !p.held {
		p.acquiredAt = now
	}
	p.held = true
	p.epoch = c.record.Epoch
	p.vouchRound = vouchRequestRound{}
	p.claim = claimRound{}
	if m.stopping {
		m.release(c.index, now)
	}
	// Vouchers of this instance count the new position only for records that are
	// read after the acquisition, so all records are read again.
	for i := range m.positions {
		m.positions[i].nextRead = now
	}
	return m.announceHolding(c.index)
}

// announceHolding returns the messages that announce a new holding to the other
// members of the region.
func (m *Manager) announceHolding(i int) []Action {
	notice := PositionNotice{
		Index: i, Epoch: m.positions[i].epoch,
		Address: m.cfg.Address, Incarnation: m.cfg.Incarnation,
	}
	var actions []Action
	for _, a := range m.members {
		if a != m.cfg.Address {
			actions = append(actions, Send{To: a, Message: notice})
		}
	}
	return actions
}
