package snipelease

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/snipemoor/snipemoor/snipetime"
)

// Manager claims, renews and releases the positions of one region for one
// instance. It is not safe for concurrent use.
type Manager struct {
	cfg       Config
	rng       *rand.Rand
	positions []position
	calls     map[uint64]call
	nextID    uint64

	members       []string
	membersKnown  bool
	membersSince  snipetime.Instant
	lastStoreOK   snipetime.Instant
	storeAnswered bool
	stopping      bool
	// newestRevision is the highest version or revision that the store has
	// returned.
	newestRevision uint64
	storeFailures  int
}

// position is the state of one position at this instance: the latest copy of
// its record, the lease if it is held, and the vouchers and claims in progress.
type position struct {
	recordKnown bool
	record      Record
	version     uint64
	// readSent is when the read or write that returned record was sent.
	readSent snipetime.Instant
	// recheckAt is when the record may be read again before a claim.
	recheckAt snipetime.Instant
	// versionSeen is when this version was first received.
	versionSeen  snipetime.Instant
	nextRead     snipetime.Instant
	callInFlight bool
	mustRead     bool

	held       bool
	epoch      uint64
	leaseEnd   snipetime.Instant
	acquiredAt snipetime.Instant
	inherited  bool
	releasing  bool
	freeAt     snipetime.Instant
	nextRenew  snipetime.Instant

	vouchRound vouchRequestRound
	claim      claimRound

	// consentedEpoch is the highest epoch that this instance consented to end.
	consentedEpoch uint64
	// vouchedEpoch and vouchedUntil describe the last voucher that this
	// instance gave.
	vouchedEpoch uint64
	vouchedUntil snipetime.Instant
}

// callKind is the purpose of a store call.
type callKind uint8

const (
	callRead     callKind = iota
	callRenew             // extends the lease
	callClaim             // claims a free position
	callInherit           // claims a position of an earlier incarnation
	callPending           // announces a takeover in the record
	callTakeover          // replaces the holder after consent
	callFree              // clears the holder
	callCancel            // removes the claim of another instance
)

// call is a store call without a result yet.
type call struct {
	kind    callKind
	index   int
	sent    snipetime.Instant
	version uint64
	record  Record
}

// New returns a Manager that holds no position. It panics if the address or the
// incarnation in cfg is empty or the number of positions is not positive.
func New(cfg Config, startedAt snipetime.Instant) *Manager {
	if cfg.Address == "" || cfg.Incarnation == "" || cfg.Positions <= 0 {
		panic("snipelease: address, incarnation and positions are required")
	}
	cfg = cfg.withDefaults()
	m := &Manager{
		cfg:          cfg,
		rng:          rand.New(rand.NewPCG(cfg.Seed, hash(cfg.Incarnation, 0))),
		positions:    make([]position, cfg.Positions),
		calls:        make(map[uint64]call),
		members:      []string{cfg.Address},
		membersSince: startedAt,
		lastStoreOK:  startedAt,
	}
	// Request identifiers start at a random number, so that late replies to an
	// earlier incarnation do not match.
	m.nextID = m.rng.Uint64() >> 1
	return m
}

// SetMembers sets the peer addresses of the live members of the region. The
// instance itself is always a member. Before the first call the manager claims
// only positions whose record names its own address.
func (m *Manager) SetMembers(now snipetime.Instant, addresses []string) {
	m.membersKnown = true
	next := append(slices.Clone(addresses), m.cfg.Address)
	slices.Sort(next)
	next = slices.Compact(next)
	if !slices.Equal(next, m.members) {
		m.members = next
		m.membersSince = now
	}
}

// Held returns the positions that may be used at now, in order of their index.
func (m *Manager) Held(now snipetime.Instant) []Holding {
	var held []Holding
	for i := range m.positions {
		if !m.Valid(i, now) {
			continue
		}
		p := &m.positions[i]
		held = append(held, Holding{
			Index: i, Epoch: p.epoch, LeaseEnd: p.leaseEnd, AcquiredAt: p.acquiredAt, Inherited: p.inherited,
		})
	}
	return held
}

// Valid reports whether the instance may use the position at now. It is false
// for an index out of range.
func (m *Manager) Valid(index int, now snipetime.Instant) bool {
	if index < 0 || index >= len(m.positions) {
		return false
	}
	p := &m.positions[index]
	return p.held && !p.releasing && now.Before(p.leaseEnd)
}

// Release ends the use of all positions and frees each one LoanDrain later, or
// on LoansEnded if that is earlier. No position is claimed afterwards.
func (m *Manager) Release(now snipetime.Instant) {
	m.stopping = true
	for i := range m.positions {
		m.positions[i].claim = claimRound{}
		m.release(i, now)
	}
}

// LoansEnded reports to the manager that no loan from a released position is
// outstanding, so that released positions can be freed at once.
func (m *Manager) LoansEnded(now snipetime.Instant) {
	for i := range m.positions {
		if m.positions[i].releasing {
			m.positions[i].freeAt = now
		}
	}
}

// Released reports whether every position of the instance has been freed or
// lost.
func (m *Manager) Released() bool {
	return !slices.ContainsFunc(m.positions, func(p position) bool { return p.held })
}

// release ends the use of position i and schedules the write that frees it.
func (m *Manager) release(i int, now snipetime.Instant) {
	p := &m.positions[i]
	if !p.held || p.releasing {
		return
	}
	p.releasing = true
	p.freeAt = now.Add(m.cfg.LoanDrain)
}

// clearHolding resets the holding of a position that this instance has freed or
// lost to another holder.
func (p *position) clearHolding() {
	p.held = false
	p.releasing = false
	p.vouchRound = vouchRequestRound{}
}

// Tick advances the manager to now and returns the actions that are due. A call
// every 100 ms to 500 ms is sufficient. After a late call leases may have
// expired, but no position has two holders.
func (m *Manager) Tick(now snipetime.Instant) []Action {
	actions := m.expireCalls(now)
	m.releaseSurplus(now)
	for i := range m.positions {
		actions = append(actions, m.tickPosition(i, now)...)
	}
	return actions
}

func (m *Manager) tickPosition(i int, now snipetime.Instant) []Action {
	p := &m.positions[i]
	var actions []Action
	if p.held {
		actions = m.tickVouch(i, now)
	}
	if p.callInFlight {
		return actions
	}
	if p.mustRead || !p.recordKnown {
		if !now.Before(p.nextRead) {
			actions = append(actions, m.read(i, now))
		}
		return actions
	}
	if a, ok := m.nextWrite(i, now); ok {
		return append(actions, a)
	}
	if p.claim.active {
		actions = append(actions, m.tickClaim(i, now)...)
		if p.callInFlight {
			return actions
		}
	}
	if !now.Before(p.nextRead) {
		actions = append(actions, m.read(i, now))
	}
	return actions
}

// maximumReadAge is the largest age of a copy of a record on which a claim may be
// based.
const maximumReadAge = time.Second

// nextWrite returns the write that is due for position i, or the read that must
// precede it. It reports false if neither is due.
func (m *Manager) nextWrite(i int, now snipetime.Instant) (Action, bool) {
	p := &m.positions[i]
	ownAddress := p.record.Address == m.cfg.Address
	ownRecord := ownAddress && p.record.Incarnation == m.cfg.Incarnation
	next := Record{Address: m.cfg.Address, Incarnation: m.cfg.Incarnation}
	switch {
	case ownRecord && p.held && p.releasing:
		if now.Before(p.freeAt) {
			return nil, false
		}
		return m.write(i, now, callFree, Record{Epoch: max(p.record.Epoch, p.record.Pending.Epoch)}), true
	case ownRecord && p.record.Pending != (Claim{}):
		if m.stopping {
			return nil, false
		}
		next.Epoch = p.record.Pending.Epoch + 1
		return m.write(i, now, callCancel, next), true
	case ownRecord:
		if now.Before(p.nextRenew) {
			return nil, false
		}
		next.Epoch = p.record.Epoch
		return m.write(i, now, callRenew, next), true
	case m.stopping:
		return nil, false
	case ownAddress:
		next.Epoch = max(p.record.Epoch, p.record.Pending.Epoch) + 1
		p.inherited = true
		return m.write(i, now, callInherit, next), true
	case !m.mayClaim() || p.claim.active:
		return nil, false
	case p.record.Address == "":
		if now.Before(p.versionSeen.Add(m.claimDelay(i))) {
			return nil, false
		}
		next.Epoch = max(p.record.Epoch, p.record.Pending.Epoch) + 1
		p.inherited = false
		return m.write(i, now, callClaim, next), true
	case m.storeLeaseEnded(i, now):
		if now.Sub(p.readSent) > maximumReadAge {
			// An instance without positions reads rarely, so that its copy can be
			// outdated although the holder renews the lease.
			if now.Before(p.recheckAt) {
				return nil, false
			}
			p.recheckAt = now.Add(maximumReadAge / 2)
			return m.read(i, now), true
		}
		pending := p.record
		epoch := max(p.record.Epoch, p.record.Pending.Epoch) + 1
		pending.Pending = Claim{Address: m.cfg.Address, Incarnation: m.cfg.Incarnation, Epoch: epoch}
		return m.write(i, now, callPending, pending), true
	}
	return nil, false
}

// storeLeaseEnded reports whether the record has been unchanged for so long that
// the lease of its last renewal at the store has ended.
func (m *Manager) storeLeaseEnded(i int, now snipetime.Instant) bool {
	unchanged := m.cfg.LeaseDuration + m.cfg.DriftMargin
	if m.positions[i].record.Pending != (Claim{}) {
		// Another claimant may be waiting for vouchers to expire.
		unchanged *= 2
	}
	unchanged += m.claimDelay(i)
	return !now.Before(m.positions[i].versionSeen.Add(unchanged))
}
