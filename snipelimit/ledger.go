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
	order    []*account
	holdings []Holding
	// inheritedEnd is when loans that an earlier incarnation made from an
	// inherited position have ended, also after the position was released.
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
	asked        map[string]asked
	backoff      map[string]snipetime.Instant
	// removed is set while the limit is not configured; until forgetAt the
	// account remembers its loans, in case the limit returns.
	removed  bool
	forgetAt snipetime.Instant
}

// asked is a request for a loan without an answer.
type asked struct {
	peer    string
	units   int
	attempt int
	sent    snipetime.Instant
}

// New returns a Ledger without limits. It panics if cfg names no incarnation or
// no positions.
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

// Configure puts limits in force. The bucket of a limit that is absent
// admits nothing; the bucket of a new limit starts empty. A raised fraction applies after
// SplitSettle, a lowered fraction and a changed cap at once.
func (l *Ledger) Configure(now snipetime.Instant, limits []Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	seen := make(map[string]bool, len(limits))
	for _, limit := range limits {
		seen[limit.ID] = true
		if a, ok := l.accounts[limit.ID]; ok {
			a.removed = false
			l.reconfigure(a, now, limit)
			continue
		}
		l.add(now, limit)
	}
	for id, a := range l.accounts {
		if !seen[id] && !a.removed {
			l.reconfigure(a, now, Limit{ID: id})
			a.removed = true
			a.forgetAt = now.Add(l.cfg.SplitSettle)
		}
	}
	l.sortAccounts()
}

func (l *Ledger) sortAccounts() {
	l.order = l.order[:0]
	for _, id := range slices.Sorted(maps.Keys(l.accounts)) {
		l.order = append(l.order, l.accounts[id])
	}
}

func (l *Ledger) add(now snipetime.Instant, limit Limit) {
	b := &Bucket{limit: limit, last: now, ramp: ramp{window: now}}
	b.units = unitAccount{
		positions: l.cfg.Positions,
		inherit:   l.cfg.MaxLoan + l.cfg.DriftMargin,
		holdings:  l.holdings,
		lent:      make(map[string]loan),
		borrowed:  make(map[string]loan),
	}
	if p := limit.PreviousFraction; p > 0 && p < limit.Fraction {
		b.units.old = []oldFraction{{fraction: p, until: now.Add(l.cfg.SplitSettle)}}
	}
	b.recompute()
	l.accounts[limit.ID] = &account{
		id: limit.ID, bucket: b,
		asked: make(map[string]asked), backoff: make(map[string]snipetime.Instant),
	}
}

func (l *Ledger) reconfigure(a *account, now snipetime.Instant, limit Limit) {
	b := a.bucket
	b.mu.Lock()
	defer b.mu.Unlock()
	b.change(now, func() {
		if limit.Fraction > b.limit.Fraction {
			until := now.Add(l.cfg.SplitSettle)
			b.units.old = append(b.units.old, oldFraction{fraction: b.limit.Fraction, until: until})
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
			l.inheritedEnd = max(l.inheritedEnd, h.Since.Add(l.cfg.MaxLoan+l.cfg.DriftMargin))
		}
	}
	for _, a := range l.order {
		a.bucket.mu.Lock()
		a.bucket.change(now, func() { a.bucket.units.holdings = l.holdings })
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
	for _, a := range l.order {
		if a.removed {
			continue
		}
		a.bucket.mu.Lock()
		s := a.bucket.units.at(now, a.bucket.limit)
		all = append(all, Status{
			ID: a.id, PerSecond: a.bucket.limit.PerSecond,
			Units: s.usable, Borrowed: s.borrowed, Lent: s.lent,
			UsedPerSecond: a.used, DemandPerSecond: a.demand,
		})
		a.bucket.mu.Unlock()
	}
	return all
}

// OutstandingLoansEnd returns when the last loan made by this instance, or by an
// earlier incarnation from an inherited position, has ended on its clock, margin
// included; now if there is none.
func (l *Ledger) OutstandingLoansEnd(now snipetime.Instant) snipetime.Instant {
	l.mu.Lock()
	defer l.mu.Unlock()
	end := max(now, l.inheritedEnd)
	for _, a := range l.order {
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

// measure updates the rates of an account over the time since the last tick.
func (a *account) measure(elapsed time.Duration) {
	b := a.bucket
	seconds := elapsed.Seconds()
	used := max(0, b.spent) / seconds
	// Refused amounts are repeated by callers, so that they show that demand is
	// higher but not by how much: at most doubled demand is assumed.
	more := min(b.refused/seconds, max(used, b.limit.PerSecond*b.limit.Fraction*firstDemand))
	b.spent, b.refused = 0, 0
	a.used = smooth(a.used, used)
	a.demand = max(used+more, smooth(a.demand, used+more))
}

// smooth weights a new value so that an old one fades within about a second of
// ticks at 200 ms.
func smooth(old, value float64) float64 { return old + (value-old)*demandGain }
