package snipelimit

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/snipemoor/snipemoor/snipetime"
)

// Ledger holds the units of all limits at one instance. Its methods are safe
// for concurrent use.
type Ledger struct {
	mu       sync.Mutex
	cfg      Config
	rng      *rand.Rand
	accounts map[string]*account
	sorted   []*account // by name of the limit
	holdings []Holding
	// inheritedEnd is the instant by which all loans that an earlier incarnation
	// made from inherited positions have ended. It is kept after a position is
	// released.
	inheritedEnd snipetime.Instant
	peers        []Peer
	nextLoan     int
	lastTick     snipetime.Instant
	stopping     bool
}

// account is the state of one limit that only the ledger uses.
type account struct {
	id     string
	bucket *Bucket
	// demand and used are rates, in amounts per second.
	demand, used float64
	pending      map[string]pendingRequest
	backoffUntil map[string]snipetime.Instant
	// removed is set while the limit is not configured. The account keeps its
	// loans until deleteAt, in case the limit is configured again.
	removed  bool
	deleteAt snipetime.Instant
}

// pendingRequest is a request for a loan that has no reply yet.
type pendingRequest struct {
	peer    string
	units   int
	attempt int
	sent    snipetime.Instant
}

// New returns a Ledger without limits. It panics if cfg has no incarnation or no
// positions.
func New(cfg Config, startedAt snipetime.Instant) *Ledger {
	if cfg.Incarnation == "" || cfg.Positions <= 0 {
		panic("snipelimit: incarnation and positions are required")
	}
	return &Ledger{
		cfg:      cfg.withDefaults(),
		rng:      rand.New(rand.NewPCG(cfg.Seed, uint64(len(cfg.Incarnation)))),
		accounts: make(map[string]*account),
		lastTick: startedAt,
	}
}

// Configure replaces the limits. The bucket of a limit that is absent admits
// nothing; the bucket of a new limit starts empty. A raised fraction applies
// after FractionDelay, a lowered fraction and a changed cap apply at once.
func (l *Ledger) Configure(now snipetime.Instant, limits []Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	configured := make(map[string]bool, len(limits))
	for _, limit := range limits {
		configured[limit.ID] = true
		if a, ok := l.accounts[limit.ID]; ok {
			a.removed = false
			l.reconfigure(a, now, limit)
			continue
		}
		l.addAccount(now, limit)
	}
	for id, a := range l.accounts {
		if !configured[id] && !a.removed {
			l.reconfigure(a, now, Limit{ID: id})
			a.removed = true
			a.deleteAt = now.Add(l.cfg.FractionDelay)
		}
	}
	l.sortAccounts()
}

func (l *Ledger) sortAccounts() {
	l.sorted = l.sorted[:0]
	for _, id := range slices.Sorted(maps.Keys(l.accounts)) {
		l.sorted = append(l.sorted, l.accounts[id])
	}
}

func (l *Ledger) addAccount(now snipetime.Instant, limit Limit) {
	b := &Bucket{limit: limit, last: now, ramp: ramp{windowStart: now}}
	b.units = unitAccount{
		positions:      l.cfg.Positions,
		inheritedDelay: l.cfg.MaxLoan + l.cfg.DriftMargin,
		holdings:       l.holdings,
		lent:           make(map[string]loan),
		borrowed:       make(map[string]loan),
	}
	if p := limit.PreviousFraction; p > 0 && p < limit.Fraction {
		b.units.fractionCaps = []fractionCap{{fraction: p, until: now.Add(l.cfg.FractionDelay)}}
	}
	b.recompute()
	l.accounts[limit.ID] = &account{
		id: limit.ID, bucket: b,
		pending: make(map[string]pendingRequest), backoffUntil: make(map[string]snipetime.Instant),
	}
}

func (l *Ledger) reconfigure(a *account, now snipetime.Instant, limit Limit) {
	b := a.bucket
	b.mu.Lock()
	defer b.mu.Unlock()
	b.update(now, func() {
		if limit.Fraction > b.limit.Fraction {
			until := now.Add(l.cfg.FractionDelay)
			b.units.fractionCaps = append(b.units.fractionCaps, fractionCap{fraction: b.limit.Fraction, until: until})
		}
		b.limit = limit
	})
}

// SetHoldings sets the positions that the instance holds and the ends of their
// leases.
func (l *Ledger) SetHoldings(now snipetime.Instant, holdings []Holding) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holdings = slices.Clone(holdings)
	for _, h := range holdings {
		if h.Inherited {
			l.inheritedEnd = max(l.inheritedEnd, h.AcquiredAt.Add(l.cfg.MaxLoan+l.cfg.DriftMargin))
		}
	}
	for _, a := range l.sorted {
		a.bucket.mu.Lock()
		a.bucket.update(now, func() { a.bucket.units.holdings = l.holdings })
		a.bucket.mu.Unlock()
	}
}

// SetPeers sets the live instances that can lend, without this instance.
func (l *Ledger) SetPeers(peers []Peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peers = slices.Clone(peers)
}

// Bucket returns the bucket of a limit, or false if the limit is not configured.
// The bucket stays the same while the limit is configured.
func (l *Ledger) Bucket(id string) (*Bucket, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.accounts[id]
	if !ok || a.removed {
		return nil, false
	}
	return a.bucket, true
}

// Status describes all limits, in order of their names.
func (l *Ledger) Status(now snipetime.Instant) []Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []Status
	for _, a := range l.sorted {
		if a.removed {
			continue
		}
		a.bucket.mu.Lock()
		s := a.bucket.units.stateAt(now, a.bucket.limit)
		all = append(all, Status{
			ID: a.id, PerSecond: a.bucket.limit.PerSecond,
			Units: s.usable, Borrowed: s.borrowed, Lent: s.lent,
			UsedPerSecond: a.used, DemandPerSecond: a.demand,
		})
		a.bucket.mu.Unlock()
	}
	return all
}

// OutstandingLoansEnd returns the instant on the clock of this instance at which
// the last loan has ended that was made by it, or by an earlier incarnation from
// an inherited position, including the drift margin. It returns now if there is
// none.
func (l *Ledger) OutstandingLoansEnd(now snipetime.Instant) snipetime.Instant {
	l.mu.Lock()
	defer l.mu.Unlock()
	end := max(now, l.inheritedEnd)
	for _, a := range l.sorted {
		a.bucket.mu.Lock()
		for _, v := range a.bucket.units.lent {
			if v.active(now) {
				end = max(end, v.end)
			}
		}
		a.bucket.mu.Unlock()
	}
	return end
}

// updateRates updates the rates of an account with the amounts since the last
// tick.
func (a *account) updateRates(elapsed time.Duration) {
	b := a.bucket
	seconds := elapsed.Seconds()
	used := max(0, b.spent) / seconds
	// Callers repeat refused amounts, so these show that demand is higher but
	// not by how much. At most twice the use is assumed.
	unmet := min(b.refused/seconds, max(used, b.limit.PerSecond*b.limit.Fraction*firstDemandPart))
	b.spent, b.refused = 0, 0
	a.used = smooth(a.used, used)
	a.demand = max(used+unmet, smooth(a.demand, used+unmet))
}

// smooth returns a moving average in which an old value fades within about a
// second of ticks at 200 ms.
func smooth(old, value float64) float64 { return old + (value-old)*demandSmoothing }
