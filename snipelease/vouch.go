package snipelease

import (
	"slices"
	"time"

	"github.com/snipemoor/snipemoor/snipetime"
)

// vouchRound is one request for vouchers to all holders.
type vouchRound struct {
	id   uint64
	sent snipetime.Instant
	from map[int]bool
}

// claimRound is a takeover after its pending record was written.
type claimRound struct {
	active  bool
	epoch   uint64
	version uint64
	ids     []uint64
	asked   snipetime.Instant
	from    map[int]bool
	wait    snipetime.Instant
}

// Receive takes a message of the peer at address from.
func (m *Manager) Receive(now snipetime.Instant, from string, msg Message) []Action {
	switch msg := msg.(type) {
	case VouchRequest:
		if !m.inRange(msg.Index) {
			return nil
		}
		return []Action{Send{To: from, Message: m.giveVoucher(msg, now)}}
	case VouchReply:
		if m.inRange(msg.Index) {
			m.takeVoucher(msg, now)
		}
	case ConsentRequest:
		if !m.inRange(msg.Index) {
			return nil
		}
		return []Action{Send{To: from, Message: m.giveConsent(msg, now)}}
	case ConsentReply:
		if m.inRange(msg.Index) {
			return m.takeConsent(msg, now)
		}
	case PositionNotice:
		if m.inRange(msg.Index) && msg.Epoch > m.positions[msg.Index].record.Epoch {
			m.positions[msg.Index].nextRead = now
		}
	}
	return nil
}

func (m *Manager) inRange(i int) bool { return i >= 0 && i < len(m.positions) }

// tickVouch asks for vouchers once the store has failed to renew in time.
func (m *Manager) tickVouch(i int, now snipetime.Instant) []Action {
	p := &m.positions[i]
	// Asking at half of the lease leaves ten rounds before it ends.
	due := p.leaseEnd.Add(-m.cfg.LeaseDuration / 2)
	if p.releasing || now.Before(due) || now.Before(p.vouch.sent.Add(vouchInterval)) {
		return nil
	}
	m.nextID++
	p.vouch = vouchRound{id: m.nextID, sent: now, from: make(map[int]bool)}
	req := VouchRequest{Index: i, Epoch: p.epoch, RequestID: m.nextID}
	m.takeVoucher(m.giveVoucher(req, now), now)
	return m.askHolders(i, req)
}

// askHolders sends a message to the other holders of the region.
func (m *Manager) askHolders(i int, msg Message) []Action {
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

// giveVoucher answers a request for a voucher. The voucher counts only for valid
// positions that were acquired before the record was read: the predecessor in a
// position acquired later can have consented to the end of the epoch.
func (m *Manager) giveVoucher(req VouchRequest, now snipetime.Instant) VouchReply {
	p := &m.positions[req.Index]
	reply := VouchReply{Index: req.Index, Epoch: req.Epoch, RequestID: req.RequestID}
	if p.known {
		reply.NewestEpoch = p.record.Epoch
	}
	if !p.known || p.promised >= req.Epoch || p.record.Epoch > req.Epoch {
		return reply
	}
	// A record with a lower epoch shows that nobody can have consented to the
	// end of the requested epoch before it was read.
	if p.record.Epoch == req.Epoch && p.record.Pending != (Claim{}) {
		return reply
	}
	for k := range m.positions {
		if m.Valid(k, now) && m.positions[k].since.Before(p.readSent.Add(1)) {
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

func (m *Manager) takeVoucher(r VouchReply, now snipetime.Instant) {
	p := &m.positions[r.Index]
	if !p.held || r.Epoch != p.epoch {
		return
	}
	if r.NewestEpoch > p.epoch {
		// Another holder has been written since.
		p.drop()
		p.mustRead = true
		p.nextRead = now
		return
	}
	if !r.Granted || r.RequestID != p.vouch.id || p.vouch.from == nil {
		return
	}
	for _, k := range r.Positions {
		p.vouch.from[k] = true
	}
	if len(p.vouch.from) < VoucherQuorum(m.cfg.Positions) {
		return
	}
	end := p.vouch.sent.Add(m.cfg.LeaseDuration)
	if end.After(p.leaseEnd) {
		p.leaseEnd = end
	}
}

func (m *Manager) startClaim(i int, epoch, version uint64, now snipetime.Instant) {
	m.positions[i].claim = claimRound{
		active: true, epoch: epoch, version: version, from: make(map[int]bool), wait: now,
	}
}

// tickClaim asks for consent, and writes the takeover once the quorum has
// consented and the vouchers have ended.
func (m *Manager) tickClaim(i int, now snipetime.Instant) []Action {
	p := &m.positions[i]
	if len(p.claim.from) >= ConsentQuorum(m.cfg.Positions) {
		if p.busy || now.Before(p.claim.wait) {
			return nil
		}
		next := Record{Address: m.cfg.Address, Incarnation: m.cfg.Incarnation, Epoch: p.claim.epoch}
		p.inherited = false
		return []Action{m.write(i, now, callTakeover, next)}
	}
	if len(p.claim.ids) > 0 && now.Before(p.claim.asked.Add(consentInterval)) {
		return nil
	}
	m.nextID++
	p.claim.ids = append(p.claim.ids, m.nextID)
	if len(p.claim.ids) > maxConsentRounds {
		p.claim.ids = p.claim.ids[1:]
	}
	p.claim.asked = now
	req := ConsentRequest{Index: i, OldEpoch: p.record.Epoch, NewEpoch: p.claim.epoch, RequestID: m.nextID}
	actions := m.takeConsent(m.giveConsent(req, now), now)
	return append(actions, m.askHolders(i, req)...)
}

// giveConsent answers a request for consent. It counts for the valid positions
// of this instance except the claimed one, whose holder is not gone.
func (m *Manager) giveConsent(req ConsentRequest, now snipetime.Instant) ConsentReply {
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
		// The predecessor in position k can have vouched until it lost it.
		end := m.positions[k].since.Add(m.cfg.LeaseDuration + m.cfg.DriftMargin)
		remaining = max(remaining, end.Sub(now))
	}
	if len(reply.Positions) == 0 {
		return reply
	}
	if p.vouchedEpoch != 0 && p.vouchedEpoch <= req.OldEpoch {
		remaining = max(remaining, p.vouchedUntil.Sub(now))
	}
	p.promised = max(p.promised, req.OldEpoch)
	reply.Granted = true
	reply.Remaining = remaining
	return reply
}

func (m *Manager) takeConsent(r ConsentReply, now snipetime.Instant) []Action {
	p := &m.positions[r.Index]
	if !r.Granted || !p.claim.active || r.NewEpoch != p.claim.epoch || !slices.Contains(p.claim.ids, r.RequestID) {
		return nil
	}
	for _, k := range r.Positions {
		p.claim.from[k] = true
	}
	if r.Remaining > 0 {
		// The remaining time is counted on the clock of the sender.
		wait := now.Add(r.Remaining + m.cfg.DriftMargin)
		p.claim.wait = max(p.claim.wait, wait)
	}
	return nil
}
