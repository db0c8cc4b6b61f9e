package snipelease

import (
	"slices"
	"time"

	"github.com/snipemoor/snipemoor/snipetime"
)

// vouchRequestRound is one request for vouchers to all holders. vouchers holds
// the positions that have vouched.
type vouchRequestRound struct {
	requestID uint64
	sent      snipetime.Instant
	vouchers  map[int]bool
}

// claimRound is a takeover whose claim has been written to the record. consents
// holds the positions that have consented, vouchersEnd the earliest instant at
// which the takeover may be written.
type claimRound struct {
	active      bool
	epoch       uint64
	version     uint64
	requestIDs  []uint64
	sent        snipetime.Instant
	consents    map[int]bool
	vouchersEnd snipetime.Instant
}

// HandleMessage processes a message of the peer at address from and returns the
// actions that are due, such as a reply. A message for an index out of range is
// ignored.
func (m *Manager) HandleMessage(now snipetime.Instant, from string, msg Message) []Action {
	switch msg := msg.(type) {
	case VouchRequest:
		if !m.inRange(msg.Index) {
			return nil
		}
		return []Action{Send{To: from, Message: m.handleVouchRequest(msg, now)}}
	case VouchReply:
		if m.inRange(msg.Index) {
			m.handleVouchReply(msg, now)
		}
	case ConsentRequest:
		if !m.inRange(msg.Index) {
			return nil
		}
		return []Action{Send{To: from, Message: m.handleConsentRequest(msg, now)}}
	case ConsentReply:
		if m.inRange(msg.Index) {
			return m.handleConsentReply(msg, now)
		}
	case PositionNotice:
		if m.inRange(msg.Index) && msg.Epoch > m.positions[msg.Index].record.Epoch {
			m.positions[msg.Index].nextRead = now
		}
	}
	return nil
}

func (m *Manager) inRange(i int) bool { return i >= 0 && i < len(m.positions) }

// tickVouch requests vouchers if the lease has not been renewed at the store in
// time.
func (m *Manager) tickVouch(i int, now snipetime.Instant) []Action {
	p := &m.positions[i]
	// At half of the default lease, ten rounds remain before it ends.
	due := p.leaseEnd.Add(-m.cfg.LeaseDuration / 2)
	if p.releasing || now.Before(due) || now.Before(p.vouchRound.sent.Add(vouchInterval)) {
		return nil
	}
	m.nextID++
	p.vouchRound = vouchRequestRound{requestID: m.nextID, sent: now, vouchers: make(map[int]bool)}
	req := VouchRequest{Index: i, Epoch: p.epoch, RequestID: m.nextID}
	m.handleVouchReply(m.handleVouchRequest(req, now), now)
	return m.sendToHolders(i, req)
}

// sendToHolders returns the actions that send a message to the holders of the
// positions other than i.
func (m *Manager) sendToHolders(i int, msg Message) []Action {
	var to []string
	for k := range m.positions {
		a := m.positions[k].record.Address
		if k != i && a != "" && a != m.cfg.Address {
			to = append(to, a)
		}
	}
	slices.Sort(to)
	var actions []Action
	for _, a := range slices.Compact(to) {
		actions = append(actions, Send{To: a, Message: msg})
	}
	return actions
}

// handleVouchRequest returns the reply to a request for a voucher. The voucher
// counts only for valid positions that were acquired before the record was read,
// because the predecessor in a position that was acquired later can have
// consented to the end of the epoch.
func (m *Manager) handleVouchRequest(req VouchRequest, now snipetime.Instant) VouchReply {
	p := &m.positions[req.Index]
	reply := VouchReply{Index: req.Index, Epoch: req.Epoch, RequestID: req.RequestID}
	if p.recordKnown {
		reply.NewestEpoch = p.record.Epoch
	}
	if !p.recordKnown || p.consentedEpoch >= req.Epoch || p.record.Epoch > req.Epoch {
		return reply
	}
	// If the record has a lower epoch, no holder can have consented to the end of
	// the requested epoch before the record was read.
	if p.record.Epoch == req.Epoch && p.record.Pending != (Claim{}) {
		return reply
	}
	for k := range m.positions {
		if m.Valid(k, now) && m.positions[k].acquiredAt.Before(p.readSent.Add(1)) {
			reply.Positions = append(reply.Positions, k)
		}
	}
	reply.Granted = len(reply.Positions) > 0
	if reply.Granted {
		p.vouchedEpoch = req.Epoch
		p.vouchedUntil = now.Add(m.cfg.LeaseDuration + m.cfg.DriftMargin)
	}
	return reply
}

// handleVouchReply records a voucher and extends the lease once the quorum is
// reached.
func (m *Manager) handleVouchReply(r VouchReply, now snipetime.Instant) {
	p := &m.positions[r.Index]
	if !p.held || r.Epoch != p.epoch {
		return
	}
	if r.NewestEpoch > p.epoch {
		// The store has a later holder.
		p.clearHolding()
		p.mustRead = true
		p.nextRead = now
		return
	}
	if !r.Granted || r.RequestID != p.vouchRound.requestID || p.vouchRound.vouchers == nil {
		return
	}
	for _, k := range r.Positions {
		p.vouchRound.vouchers[k] = true
	}
	if len(p.vouchRound.vouchers) < VoucherQuorum(m.cfg.Positions) {
		return
	}
	end := p.vouchRound.sent.Add(m.cfg.LeaseDuration)
	if end.After(p.leaseEnd) {
		p.leaseEnd = end
	}
}

// startClaim starts the round of consent requests for an own claim that is in the
// record.
func (m *Manager) startClaim(i int, epoch, version uint64, now snipetime.Instant) {
	m.positions[i].claim = claimRound{
		active: true, epoch: epoch, version: version, consents: make(map[int]bool), vouchersEnd: now,
	}
}

// tickClaim requests consent, and writes the takeover once the quorum has
// consented and the vouchers for the former holder have expired.
func (m *Manager) tickClaim(i int, now snipetime.Instant) []Action {
	p := &m.positions[i]
	if len(p.claim.consents) >= ConsentQuorum(m.cfg.Positions) {
		if p.callInFlight || now.Before(p.claim.vouchersEnd) {
			return nil
		}
		next := Record{Address: m.cfg.Address, Incarnation: m.cfg.Incarnation, Epoch: p.claim.epoch}
		p.inherited = false
		return []Action{m.write(i, now, callTakeover, next)}
	}
	if len(p.claim.requestIDs) > 0 && now.Before(p.claim.sent.Add(consentInterval)) {
		return nil
	}
	m.nextID++
	p.claim.requestIDs = append(p.claim.requestIDs, m.nextID)
	if len(p.claim.requestIDs) > maxConsentRounds {
		p.claim.requestIDs = p.claim.requestIDs[1:]
	}
	p.claim.sent = now
	req := ConsentRequest{Index: i, OldEpoch: p.record.Epoch, NewEpoch: p.claim.epoch, RequestID: m.nextID}
	actions := m.handleConsentReply(m.handleConsentRequest(req, now), now)
	return append(actions, m.sendToHolders(i, req)...)
}

// handleConsentRequest returns the reply to a request for consent. The consent
// counts for all valid positions of this instance. It is refused if this instance
// has a valid lease for the claimed position itself.
func (m *Manager) handleConsentRequest(req ConsentRequest, now snipetime.Instant) ConsentReply {
	p := &m.positions[req.Index]
	reply := ConsentReply{Index: req.Index, NewEpoch: req.NewEpoch, RequestID: req.RequestID}
	if m.Valid(req.Index, now) || p.record.Epoch > req.OldEpoch {
		return reply
	}
	var remaining time.Duration
	for k := range m.positions {
		if !m.Valid(k, now) {
			continue
		}
		reply.Positions = append(reply.Positions, k)
		// The predecessor in position k can have vouched until it lost that
		// position, at the latest when this instance acquired it.
		end := m.positions[k].acquiredAt.Add(m.cfg.LeaseDuration + m.cfg.DriftMargin)
		remaining = max(remaining, end.Sub(now))
	}
	if len(reply.Positions) == 0 {
		return reply
	}
	if p.vouchedEpoch != 0 && p.vouchedEpoch <= req.OldEpoch {
		remaining = max(remaining, p.vouchedUntil.Sub(now))
	}
	p.consentedEpoch = max(p.consentedEpoch, req.OldEpoch)
	reply.Granted = true
	reply.Remaining = remaining
	return reply
}

// handleConsentReply records a consent. It always returns nil.
func (m *Manager) handleConsentReply(r ConsentReply, now snipetime.Instant) []Action {
	p := &m.positions[r.Index]
	if !r.Granted || !p.claim.active || r.NewEpoch != p.claim.epoch || !slices.Contains(p.claim.requestIDs, r.RequestID) {
		return nil
	}
	for _, k := range r.Positions {
		p.claim.consents[k] = true
	}
	if r.Remaining > 0 {
		// The margin is added because the remaining time was measured on the clock
		// of the sender.
		vouchersEnd := now.Add(r.Remaining + m.cfg.DriftMargin)
		p.claim.vouchersEnd = max(p.claim.vouchersEnd, vouchersEnd)
	}
	return nil
}
