package snipelimit_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/snipemoor/snipemoor/snipelease"
	"github.com/snipemoor/snipemoor/snipelimit"
	"github.com/snipemoor/snipemoor/snipetime"
)

// rules are safeguards that a test can leave out.
type rules struct {
	loanDrain       time.Duration
	forgetInherited bool
}

// fleet steps the managers and ledgers of one region over a store and a network
// that lose, delay and repeat.
type fleet struct {
	rng      *rand.Rand
	seed     uint64
	rules    rules
	now      time.Duration
	queue    map[time.Duration][]func()
	nodes    []*instance
	store    [fleetPositions]snipelease.StoreResult
	stale    [fleetPositions]snipelease.StoreResult
	version  uint64
	down     bool
	loss     float64
	maxDelay time.Duration
	limit    float64
	starts   int
	// borrowed counts the steps in which some instance used a loan.
	borrowed int
}

type instance struct {
	m           *snipelease.Manager
	l           *snipelimit.Ledger
	address     string
	rate        float64
	offset      snipetime.Instant
	life        int
	pausedUntil time.Duration
	cut         bool
	storeCut    bool
	stopping    bool
	limit       float64
	demand      float64
	offered     float64
}

func newFleet(seed uint64, n int, r rules) *fleet {
	f := &fleet{
		rng: rand.New(rand.NewPCG(seed, 3)), seed: seed, rules: r, limit: 1000,
		maxDelay: fleetStep, queue: make(map[time.Duration][]func()),
	}
	for i := range n {
		f.nodes = append(f.nodes, &instance{address: fmt.Sprintf("10.0.0.%d:7", i+1)})
		f.restart(i, false)
	}
	f.setMembers()
	return f
}

func (f *fleet) local(n *instance) snipetime.Instant {
	return n.offset + snipetime.Instant(float64(f.now)*n.rate)
}

// restart replaces the process of an instance. Messages under way reach the new
// process unless it moved to another address.
func (f *fleet) restart(i int, moved bool) {
	n := f.nodes[i]
	f.starts++
	n.life++
	n.rate = 0.9955 + 0.009*f.rng.Float64()
	n.offset = snipetime.Instant(f.rng.Int64N(int64(time.Hour)))
	n.pausedUntil, n.stopping = 0, false
	if moved {
		n.address = fmt.Sprintf("10.0.1.%d:7", f.starts)
	}
	incarnation := fmt.Sprint("inc", f.starts)
	n.m = snipelease.New(snipelease.Config{
		Address: n.address, Incarnation: incarnation, Positions: fleetPositions,
		LoanDrain: f.rules.loanDrain, Seed: f.seed,
	}, f.local(n))
	n.l = snipelimit.New(snipelimit.Config{
		Incarnation: incarnation, Positions: fleetPositions, Seed: f.seed,
	}, f.local(n))
	f.configure(n)
	f.announceMembers(n)
}

func (f *fleet) configure(n *instance) {
	n.limit = f.limit
	n.l.Configure(f.local(n), []snipelimit.Limit{{ID: "x", PerSecond: f.limit, Fraction: 1}})
}

func (f *fleet) setMembers() {
	for _, n := range f.nodes {
		f.announceMembers(n)
	}
}

func (f *fleet) announceMembers(n *instance) {
	var addresses []string
	var peers []snipelimit.Peer
	for _, o := range f.nodes {
		if o.m == nil {
			continue
		}
		addresses = append(addresses, o.address)
		if o != n {
			peers = append(peers, snipelimit.Peer{Address: o.address, SameRegion: true, Positions: 1})
		}
	}
	n.m.SetMembers(f.local(n), addresses)
	n.l.SetPeers(peers)
}

func (f *fleet) at(t time.Duration, run func()) {
	t = max(f.now, t).Truncate(fleetStep) + fleetStep
	f.queue[t] = append(f.queue[t], run)
}

func (f *fleet) delay() time.Duration { return time.Duration(f.rng.Int64N(int64(f.maxDelay))) }

// send delivers a message to the process at an address, late, twice or never.
func (f *fleet) send(from *instance, to string, receive func(*instance)) {
	for copies := 1; copies > 0; copies-- {
		if f.rng.Float64() < f.loss/2 {
			copies++
		}
		if !from.cut && f.rng.Float64() >= f.loss {
			f.deliver(f.now+f.delay(), to, receive)
		}
	}
}

func (f *fleet) deliver(t time.Duration, to string, receive func(*instance)) {
	f.at(t, func() {
		for _, n := range f.nodes {
			switch {
			case n.address != to || n.cut:
			case f.now < n.pausedUntil:
				f.deliver(n.pausedUntil, to, receive)
			default:
				receive(n)
			}
		}
	})
}

// lease performs the actions of a manager and passes its positions on.
func (f *fleet) lease(n *instance, actions []snipelease.Action) {
	f.setHoldings(n)
	for _, a := range actions {
		switch a := a.(type) {
		case snipelease.Send:
			from, message := n.address, a.Message
			f.send(n, a.To, func(to *instance) { f.lease(to, to.m.Receive(f.local(to), from, message)) })
		case snipelease.ReadRecord:
			f.call(n, a.RequestID, func() snipelease.StoreResult { return f.read(a.Index) })
		case snipelease.WriteRecord:
			f.call(n, a.RequestID, func() snipelease.StoreResult { return f.write(a) })
		}
	}
}

func (f *fleet) setHoldings(n *instance) {
	var holdings []snipelimit.Holding
	for _, h := range n.m.Held(f.local(n)) {
		holdings = append(holdings, snipelimit.Holding{
			Index: h.Index, LeaseEnd: h.LeaseEnd, Since: h.Since, Inherited: h.Inherited && !f.rules.forgetInherited,
		})
	}
	n.l.SetHoldings(f.local(n), holdings)
}

// call runs a store call and returns its answer to the process, or loses it.
func (f *fleet) call(n *instance, id uint64, run func() snipelease.StoreResult) {
	life := n.life
	f.at(f.now+f.delay(), func() {
		r := snipelease.StoreResult{}
		if !f.down && !n.storeCut {
			r = run()
			if f.rng.Float64() < f.loss {
				r = snipelease.StoreResult{}
			}
		}
		r.RequestID = id
		f.deliver(f.now+f.delay(), n.address, func(to *instance) {
			if to == n && to.life == life {
				f.lease(n, n.m.StoreResult(f.local(n), r))
			}
		})
	})
}

func (f *fleet) read(index int) snipelease.StoreResult {
	r := f.store[index]
	r.Revision = f.version
	if f.rng.Float64() < f.loss {
		r = f.stale[index]
	}
	r.Outcome = snipelease.OutcomeRead
	return r
}

func (f *fleet) write(a snipelease.WriteRecord) snipelease.StoreResult {
	if f.store[a.Index].Version != a.IfVersion {
		return snipelease.StoreResult{Outcome: snipelease.OutcomeConflict}
	}
	f.stale[a.Index] = f.store[a.Index]
	f.stale[a.Index].Revision = f.version
	f.version++
	f.store[a.Index] = snipelease.StoreResult{Version: f.version, Record: a.Record}
	return snipelease.StoreResult{Outcome: snipelease.OutcomeWritten, Version: f.version}
}

// lend sends the messages of a ledger.
func (f *fleet) lend(n *instance, out []snipelimit.Outgoing) {
	for _, o := range out {
		from := n.address
		f.send(n, o.To, func(to *instance) {
			if o.Return != nil {
				to.l.HandleLoanReturn(f.local(to), from, *o.Return)
				return
			}
			reply := to.l.HandleLoanRequest(f.local(to), from, *o.Request)
			lender := to.address
			f.send(to, from, func(b *instance) { f.lend(b, b.l.HandleLoanReply(f.local(b), lender, reply)) })
		})
	}
}
