package snipelease

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/snipemoor/snipemoor/snipetime"
)

// Manager decides on the positions of one region for one instance. It is not
// safe for concurrent use.
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
	// newest is the highest version or revision that the store has shown.
	newest   uint64
	failures int
}

// position is what the manager knows of one position.
type position struct {
	known   bool
	record  Record
	version uint64
	// readSent is when the read or write that showed record was sent.
	readSent snipetime.Instant
	// recheckAt is when the record may be read again before a claim.
	recheckAt snipetime.Instant
	// versionSeen is when this version was first seen.
	versionSeen snipetime.Instant
	nextRead    snipetime.Instant
	busy        bool
	mustRead    bool

	held      bool
	epoch     uint64
	leaseEnd  snipetime.Instant
	since     snipetime.Instant
	inherited bool
	releasing bool
	freeAt    snipetime.Instant
	nextRenew snipetime.Instant

	vouch vouchRound
	claim claimRound

	// promised is the highest epoch that this instance consented to end.
	promised uint64
	// vouchedEpoch and vouchedUntil describe the last voucher that this
	// instance gave.
	vouchedEpoch uint64
	vouchedUntil snipetime.Instant
}

type callKind uint8

const (
	callRead callKind = iota
	callRenew
	callClaim
	callInherit
	callPending
	callTakeover
	callFree
	callCancel
)

type call struct {
	kind    callKind
	index   int
	sent    snipetime.Instant
	version uint64
	record  Record
}

// New returns a Manager that holds no position. It panics if cfg names no
// address, no incarnation or no positions.
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
	// Numbers of an earlier incarnation must not match late replies.
	m.nextID = m.rng.Uint64() >> 1
	return m
}

// SetMembers sets the peer addresses of the live members of the region. The
// instance itself is always a member. Before the first call only positions of
// the own address are claimed.
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
			Index: i, Epoch: p.epoch, LeaseEnd: p.leaseEnd, Since: p.since, Inherited: p.inherited,
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

// Release stops the use of all positions and frees each one LoanDrain later, or
// on LoansEnded. No position is claimed afterwards.
func (m *Manager) Release(now snipetime.Instant) {
	m.stopping = true
	for i := range m.positions {
		m.positions[i].claim = claimRound{}
		m.release(i, now)
	}
}

// LoansEnded tells that no loan from a released position is outstanding, so
// that released positions can be freed at once.
func (m *Manager) LoansEnded(now snipetime.Instant) {
	for i := range m.positions {
		if m.positions[i].releasing {
			m.positions[i].freeAt = now
		}
	}
}

// Released reports whether the instance holds and frees no position any more.
func (m *Manager) Released() bool {
	return !slices.ContainsFunc(m.positions, func(p position) bool { return p.held })
}

func (m *Manager) release(i int, now snipetime.Instant) {
	p := &m.positions[i]
	if !p.held || p.releasing {
		return
	}
	p.releasing = true
	p.freeAt = now.Add(m.cfg.LoanDrain)
}

// drop forgets a position that the store gives to another holder.
func (p *position) drop() {
	p.held = false
	p.releasing = false
	p.vouch = vouchRound{}
}

// Tick advances the manager to now and returns what is due. A call every 100 ms
// to 500 ms is enough; a late call costs leases but not their safety.
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
	if p.busy {
		return actions
	}
	if p.mustRead || !p.known {
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
		if p.busy {
			return actions
		}
	}
	if !now.Before(p.nextRead) {
		actions = append(actions, m.read(i, now))
	}
	return actions
}

// freshRead is the age up to which a copy of a record may lead to a claim.
const freshRead = time.Second

// nextWrite returns the write that position i needs now, or the read that must
// precede it.
func (m *Manager) nextWrite(i int, now snipetime.Instant) (Action, bool) {
	p := &m.positions[i]
	mine := p.record.Address == m.cfg.Address
	own := mine && p.record.Incarnation == m.cfg.Incarnation
	next := Record{Address: m.cfg.Address, Incarnation: m.cfg.Incarnation}
	switch {
	case own && p.held && p.releasing:
		if now.Before(p.freeAt) {
			return nil, false
		}
		return m.write(i, now, callFree, Record{Epoch: max(p.record.Epoch, p.record.Pending.Epoch)}), true
	case own && p.record.Pending != (Claim{}):
		if m.stopping {
			return nil, false
		}
		next.Epoch = p.record.Pending.Epoch + 1
		return m.write(i, now, callCancel, next), true
	case own:
		if now.Before(p.nextRenew) {
			return nil, false
		}
		next.Epoch = p.record.Epoch
		return m.write(i, now, callRenew, next), true
	case m.stopping:
		return nil, false
	case mine:
		next.Epoch = max(p.record.Epoch, p.record.Pending.Epoch) + 1
		p.inherited = true
		return m.write(i, now, callInherit, next), true
	case !m.wants() || p.claim.active:
		return nil, false
	case p.record.Address == "":
		if now.Before(p.versionSeen.Add(m.stagger(i))) {
			return nil, false
		}
		next.Epoch = max(p.record.Epoch, p.record.Pending.Epoch) + 1
		p.inherited = false
		return m.write(i, now, callClaim, next), true
	case m.lapsed(i, now):
		if now.Sub(p.readSent) > freshRead {
			// An instance without positions reads rarely, so that its copy can be
			// old although the holder renews.
			if now.Before(p.recheckAt) {
				return nil, false
			}
			p.recheckAt = now.Add(freshRead / 2)
			return m.read(i, now), true
		}
		pending := p.record
		epoch := max(p.record.Epoch, p.record.Pending.Epoch) + 1
		pending.Pending = Claim{Address: m.cfg.Address, Incarnation: m.cfg.Incarnation, Epoch: epoch}
		return m.write(i, now, callPending, pending), true
	}
	return nil, false
}

// lapsed reports whether the record has been unchanged for long enough that
// its last store lease has ended.
func (m *Manager) lapsed(i int, now snipetime.Instant) bool {
	quiet := m.cfg.LeaseDuration + m.cfg.DriftMargin
	if m.positions[i].record.Pending != (Claim{}) {
		// Another claimant waits for vouchers to end.
		quiet *= 2
	}
	quiet += m.stagger(i)
	return !now.Before(m.positions[i].versionSeen.Add(quiet))
}
