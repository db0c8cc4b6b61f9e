package snipelease

import (
	"slices"
	"time"

	"github.com/snipemoor/snipemoor/snipetime"
)

// interval is the time between renewals and between reads.
func (m *Manager) interval() time.Duration { return m.cfg.LeaseDuration / 4 }

// retry returns a delay after a store failure, with backoff and with jitter so
// that instances do not return in step.
func (m *Manager) retry() time.Duration {
	base := m.cfg.LeaseDuration / 20 << min(m.failures, maxBackoffShift)
	return base + time.Duration(m.rng.Int64N(int64(base)))
}

func (m *Manager) readInterval(i int) time.Duration {
	for k := range m.positions {
		if m.positions[k].held {
			return m.interval()
		}
	}
	return m.interval() * time.Duration(min(maxReadFactor, max(1, m.rank(i))))
}

func (m *Manager) start(i int, c call) uint64 {
	m.nextID++
	c.index = i
	m.calls[m.nextID] = c
	m.positions[i].busy = true
	return m.nextID
}

func (m *Manager) read(i int, now snipetime.Instant) Action {
	id := m.start(i, call{kind: callRead, sent: now})
	return ReadRecord{RequestID: id, Index: i}
}

func (m *Manager) write(i int, now snipetime.Instant, kind callKind, r Record) Action {
	version := m.positions[i].version
	id := m.start(i, call{kind: kind, sent: now, version: version, record: r})
	return WriteRecord{RequestID: id, Index: i, IfVersion: version, Record: r}
}

// expireCalls treats calls without an answer as unclear.
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
		actions = append(actions, m.StoreResult(now, StoreResult{RequestID: id})...)
	}
	return actions
}

// StoreResult takes the result of a store call. Results of calls that are not
// outstanding, such as those past StoreTimeout, are ignored.
func (m *Manager) StoreResult(now snipetime.Instant, r StoreResult) []Action {
	c, ok := m.calls[r.RequestID]
	if !ok {
		return nil
	}
	delete(m.calls, r.RequestID)
	p := &m.positions[c.index]
	p.busy = false
	if r.Outcome == OutcomeUnclear {
		m.failures++
		// The write may have taken effect: nothing follows from it before the
		// record is read back.
		p.mustRead = p.mustRead || c.kind != callRead
		p.nextRead = now.Add(m.retry())
		return nil
	}
	m.lastStoreOK = now
	m.storeAnswered = true
	m.failures = 0
	switch r.Outcome {
	case OutcomeRead:
		m.readDone(c, r, now)
	case OutcomeWritten:
		return m.writeDone(c, r, now)
	default:
		p.mustRead = true
		p.nextRead = now
	}
	return nil
}

func (m *Manager) readDone(c call, r StoreResult, now snipetime.Instant) {
	p := &m.positions[c.index]
	older := r.Revision != 0 && r.Revision < m.newest
	if older || p.known && r.Version < p.version {
		// The store answered with data older than already seen.
		p.nextRead = now.Add(m.retry())
		return
	}
	m.newest = max(m.newest, r.Revision)
	p.mustRead = false
	p.nextRead = now.Add(m.readInterval(c.index))
	m.learn(c.index, r.Record, r.Version, c.sent, now)
}

// learn stores a newer or equal version of the record of position i.
func (m *Manager) learn(i int, r Record, version uint64, sent, now snipetime.Instant) {
	p := &m.positions[i]
	if !p.known || version != p.version {
		p.versionSeen = now
	}
	p.known = true
	m.newest = max(m.newest, version)
	p.record = r
	p.version = version
	p.readSent = sent
	own := r.Address == m.cfg.Address && r.Incarnation == m.cfg.Incarnation
	if p.held && (!own || r.Epoch != p.epoch) {
		p.drop()
	}
	if p.claim.active && p.claim.version != version {
		p.claim = claimRound{}
	}
	self := Claim{Address: m.cfg.Address, Incarnation: m.cfg.Incarnation, Epoch: r.Pending.Epoch}
	if r.Pending == self && !p.claim.active && !m.stopping {
		m.startClaim(i, r.Pending.Epoch, version, now)
	}
	if own && !p.held {
		// A write with an unclear outcome took effect. Only a new renewal
		// makes the position usable.
		p.nextRenew = now
	}
}

func (m *Manager) writeDone(c call, r StoreResult, now snipetime.Instant) []Action {
	p := &m.positions[c.index]
	m.learn(c.index, c.record, r.Version, c.sent, now)
	switch c.kind {
	case callPending:
		return m.tickClaim(c.index, now)
	case callFree:
		p.drop()
		return nil
	default:
		return m.acquired(c, now)
	}
}

// acquired records a confirmed write that names this instance as holder.
func (m *Manager) acquired(c call, now snipetime.Instant) []Action {
	p := &m.positions[c.index]
	fresh := !p.held || p.epoch != c.record.Epoch
	p.leaseEnd = c.sent.Add(m.cfg.LeaseDuration)
	p.nextRenew = c.sent.Add(m.interval())
	if !fresh {
		return nil
	}
	if c.kind != callCancel || !p.held {
		p.since = now
	}
	p.held = true
	p.epoch = c.record.Epoch
	p.vouch = vouchRound{}
	p.claim = claimRound{}
	if m.stopping {
		m.release(c.index, now)
	}
	// Vouchers count only for records read after the acquisition.
	for i := range m.positions {
		m.positions[i].nextRead = now
	}
	return m.notify(c.index)
}

// notify tells the members of the region about a new holding.
func (m *Manager) notify(i int) []Action {
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
