package snipelimit_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/snipemoor/snipemoor/snipelease"
	"github.com/snipemoor/snipemoor/snipelimit"
	"github.com/snipemoor/snipemoor/snipetime"
)

// disabledRules selects safeguards that a test disables.
type disabledRules struct {
	// loanDrain replaces the time for which a released position waits for loans
	// to end, unless it is 0.
	loanDrain       time.Duration
	ignoreInherited bool
}

// fleet steps the lease managers and ledgers of one region, connected by a store
// and a network that lose, delay and repeat messages.
type fleet struct {
	rng          *rand.Rand
	seed         uint64
	rules        disabledRules
	now          time.Duration
	queue        map[time.Duration][]func()
	nodes        []*instance
	store        [fleetPositions]snipelease.StoreResult
	staleStore   [fleetPositions]snipelease.StoreResult
	version      uint64
	storeDown    bool
	loss         float64
	maxDelay     time.Duration
	limit        float64
	processCount int
	// borrowed counts the steps in which some instance used a loan.
	borrowed int
}

type instance struct {
	manager          *snipelease.Manager
	ledger           *snipelimit.Ledger
	address          string
	clockRate        float64
	clockOffset      snipetime.Instant
	processID        int // incremented at each restart
	pausedUntil      time.Duration
	partitioned      bool
	storePartitioned bool
	stopping         bool
	limit            float64
	demand           float64
	offeredAmount    float64
}

func newFleet(seed uint64, n int, r disabledRules) *fleet {
	f := &fleet{
		rng: rand.New(rand.NewPCG(seed, 3)), seed: seed, rules: r, limit: 1000,
		maxDelay: fleetStep, queue: make(map[time.Duration][]func()),
	}
	for i := range n {
		f.nodes = append(f.nodes, &instance{address: fmt.Sprintf("10.0.0.%d:7", i+1)})
		f.restart(i, false)
	}
	f.announceMembersToAll()
	return f
}

func (f *fleet) localTime(n *instance) snipetime.Instant {
	return n.clockOffset + snipetime.Instant(float64(f.now)*n.clockRate)
}

// restart replaces the process of an instance. Messages in flight reach the new
// process unless it moved to another address.
func (f *fleet) restart(i int, moved bool) {
	n := f.nodes[i]
	f.processCount++
	n.processID++
	n.clockRate = 0.9955 + 0.009*f.rng.Float64()
	n.clockOffset = snipetime.Instant(f.rng.Int64N(int64(time.Hour)))
	n.pausedUntil, n.stopping = 0, false
	if moved {
		n.address = fmt.Sprintf("10.0.1.%d:7", f.processCount)
	}
	incarnation := fmt.Sprint("inc", f.processCount)
	n.manager = snipelease.New(snipelease.Config{
		Address: n.address, Incarnation: incarnation, Positions: fleetPositions,
		LoanDrain: f.rules.loanDrain, Seed: f.seed,
	}, f.localTime(n))
	n.ledger = snipelimit.New(snipelimit.Config{
		Incarnation: incarnation, Positions: fleetPositions, Seed: f.seed,
	}, f.localTime(n))
	f.configure(n)
	f.announceMembers(n)
}

func (f *fleet) configure(n *instance) {
	n.limit = f.limit
	n.ledger.Configure(f.localTime(n), []snipelimit.Limit{{ID: "x", PerSecond: f.limit, Fraction: 1}})
}

func (f *fleet) announceMembersToAll() {
	for _, n := range f.nodes {
		f.announceMembers(n)
	}
}

func (f *fleet) announceMembers(n *instance) {
	var addresses []string
	var peers []snipelimit.Peer
	for _, o := range f.nodes {
		if o.manager == nil {
			continue
		}
		addresses = append(addresses, o.address)
		if o != n {
			peers = append(peers, snipelimit.Peer{Address: o.address, SameRegion: true, Positions: 1})
		}
	}
	n.manager.SetMembers(f.localTime(n), addresses)
	n.ledger.SetPeers(peers)
}

func (f *fleet) schedule(t time.Duration, run func()) {
	t = max(f.now, t).Truncate(fleetStep) + fleetStep
	f.queue[t] = append(f.queue[t], run)
}

func (f *fleet) delay() time.Duration { return time.Duration(f.rng.Int64N(int64(f.maxDelay))) }

// send delivers a message to the process at an address after a delay. The message
// can be lost or delivered several times.
func (f *fleet) send(from *instance, to string, receive func(*instance)) {
	for copies := 1; copies > 0; copies-- {
		if f.rng.Float64() < f.loss/2 {
			copies++
		}
		if !from.partitioned && f.rng.Float64() >= f.loss {
			f.deliver(f.now+f.delay(), to, receive)
		}
	}
}

func (f *fleet) deliver(t time.Duration, to string, receive func(*instance)) {
	f.schedule(t, func() {
		for _, n := range f.nodes {
			switch {
			case n.address != to || n.partitioned:
			case f.now < n.pausedUntil:
				f.deliver(n.pausedUntil, to, receive)
			default:
				receive(n)
			}
		}
	})
}

// performLeaseActions passes the positions of the manager to the ledger and
// performs the actions of the manager.
func (f *fleet) performLeaseActions(n *instance, actions []snipelease.Action) {
	f.setHoldings(n)
	for _, a := range actions {
		switch a := a.(type) {
		case snipelease.Send:
			from, message := n.address, a.Message
			f.send(n, a.To, func(to *instance) {
				f.performLeaseActions(to, to.manager.HandleMessage(f.localTime(to), from, message))
			})
		case snipelease.ReadRecord:
			f.callStore(n, a.RequestID, func() snipelease.StoreResult { return f.readRecord(a.Index) })
		case snipelease.WriteRecord:
			f.callStore(n, a.RequestID, func() snipelease.StoreResult { return f.writeRecord(a) })
		}
	}
}

func (f *fleet) setHoldings(n *instance) {
	var holdings []snipelimit.Holding
	for _, h := range n.manager.Held(f.localTime(n)) {
		holdings = append(holdings, snipelimit.Holding{
			Index: h.Index, LeaseEnd: h.LeaseEnd, AcquiredAt: h.AcquiredAt, Inherited: h.Inherited && !f.rules.ignoreInherited,
		})
	}
	n.ledger.SetHoldings(f.localTime(n), holdings)
}

// callStore runs a store call and delivers its response to the process, unless
// the call or the response is lost.
func (f *fleet) callStore(n *instance, id uint64, run func() snipelease.StoreResult) {
	processID := n.processID
	f.schedule(f.now+f.delay(), func() {
		r := snipelease.StoreResult{}
		if !f.storeDown && !n.storePartitioned {
			r = run()
			if f.rng.Float64() < f.loss {
				r = snipelease.StoreResult{}
			}
		}
		r.RequestID = id
		f.deliver(f.now+f.delay(), n.address, func(to *instance) {
			if to == n && to.processID == processID {
				f.performLeaseActions(n, n.manager.HandleStoreResult(f.localTime(n), r))
			}
		})
	})
}

func (f *fleet) readRecord(index int) snipelease.StoreResult {
	r := f.store[index]
	r.Revision = f.version
	if f.rng.Float64() < f.loss {
		r = f.staleStore[index]
	}
	r.Outcome = snipelease.OutcomeRead
	return r
}

func (f *fleet) writeRecord(a snipelease.WriteRecord) snipelease.StoreResult {
	if f.store[a.Index].Version != a.IfVersion {
		return snipelease.StoreResult{Outcome: snipelease.OutcomeConflict}
	}
	f.staleStore[a.Index] = f.store[a.Index]
	f.staleStore[a.Index].Revision = f.version
	f.version++
	f.store[a.Index] = snipelease.StoreResult{Version: f.version, Record: a.Record}
	return snipelease.StoreResult{Outcome: snipelease.OutcomeWritten, Version: f.version}
}

// sendLoanMessages sends the messages of a ledger.
func (f *fleet) sendLoanMessages(n *instance, out []snipelimit.Outgoing) {
	for _, o := range out {
		from := n.address
		f.send(n, o.To, func(to *instance) {
			if o.Return != nil {
				to.ledger.HandleLoanReturn(f.localTime(to), from, *o.Return)
				return
			}
			reply := to.ledger.HandleLoanRequest(f.localTime(to), from, *o.Request)
			lender := to.address
			f.send(to, from, func(b *instance) { f.sendLoanMessages(b, b.ledger.HandleLoanReply(f.localTime(b), lender, reply)) })
		})
	}
}
