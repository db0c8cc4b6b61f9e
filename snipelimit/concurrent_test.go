package snipelimit_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/snipemoor/snipemoor/snipelimit"
	"github.com/snipemoor/snipemoor/snipetime"
)

// Guards against data races and deadlocks, and against units or tokens that are
// used twice, when all methods of two ledgers that lend to each other are called
// at once.
func TestConcurrentLedgers(t *testing.T) {
	const callers, rounds, perRound = 4, 300, 10 * time.Millisecond
	const perSecond, amount = 10_000.0, 5.0
	p := &ledgerPair{limits: []snipelimit.Limit{{ID: "x", PerSecond: perSecond, Fraction: 1}}}
	for i, name := range []string{"a", "b"} {
		p.ledgers[i] = snipelimit.New(snipelimit.Config{Incarnation: name, Positions: 2}, 0)
		p.ledgers[i].Configure(0, p.limits)
		p.configure(i, 0)
	}
	var clock, spent atomic.Int64
	var wg sync.WaitGroup
	for caller := range callers {
		wg.Go(func() {
			for range rounds {
				// Each caller reads the clock first, so that instants are passed
				// out of order.
				now := snipetime.Instant(clock.Add(int64(perRound / callers)))
				i := caller % 2
				spent.Add(p.spend(i, now, amount))
				p.tick(i, now)
				p.configure(i, now)
				p.check(t, i, now)
			}
		})
	}
	wg.Wait()
	end := snipetime.Instant(clock.Load())
	units := 0
	for _, l := range p.ledgers {
		units += l.Status(end)[0].Units
	}
	for i, l := range p.ledgers {
		p.deliver(i, l.ReturnAll(end), end)
		if l.OutstandingLoansEnd(end).Before(end) {
			t.Error("outstanding loans end in the past")
		}
	}
	if units > snipelimit.UnitsPerLimit {
		t.Errorf("%d units in use", units)
	}
	// Each ledger can accumulate tokens for 20 ms of the whole limit and go into
	// debt once.
	allowed := perSecond*(end.Sub(0).Seconds()+2*0.02) + 2*amount
	if got := float64(spent.Load()); got == 0 || got > allowed {
		t.Errorf("%v spent, want more than 0 and at most %v", got, allowed)
	}
	if p.loans.Load() == 0 {
		t.Error("no loan was made")
	}
}

// ledgerPair is a pair of ledgers, each of which holds one of two positions.
type ledgerPair struct {
	ledgers [2]*snipelimit.Ledger
	limits  []snipelimit.Limit
	loans   atomic.Int64
}

func (p *ledgerPair) configure(i int, now snipetime.Instant) {
	l := p.ledgers[i]
	l.Configure(now, p.limits)
	l.SetPeers([]snipelimit.Peer{{Address: []string{"b", "a"}[i], SameRegion: true, Positions: 1}})
	l.SetHoldings(now, []snipelimit.Holding{{Index: i, LeaseEnd: snipetime.Instant(time.Hour)}})
}

// spend spends at the first ledger only, so that it borrows from the other one.
func (p *ledgerPair) spend(i int, now snipetime.Instant, amount float64) int64 {
	b, ok := p.ledgers[i].Bucket("x")
	if !ok || i != 0 {
		return 0
	}
	spent := 0.0
	for range 20 {
		if _, err := b.Spend(now, amount); err == nil {
			spent += amount
		}
	}
	b.Ready(now, amount)
	b.Wait(now, amount)
	b.Correct(now, 0)
	return int64(spent)
}

func (p *ledgerPair) tick(i int, now snipetime.Instant) {
	p.deliver(i, p.ledgers[i].Tick(now), now)
}

// deliver passes messages to the other ledger and its replies back.
func (p *ledgerPair) deliver(i int, out []snipelimit.Outgoing, now snipetime.Instant) {
	from, l, other := []string{"a", "b"}[i], p.ledgers[i], p.ledgers[1-i]
	for _, o := range out {
		if o.Return != nil {
			other.HandleLoanReturn(now, from, *o.Return)
			continue
		}
		reply := other.HandleLoanRequest(now, from, *o.Request)
		if reply.Units > 0 {
			p.loans.Add(1)
		}
		p.deliver(i, l.HandleLoanReply(now, o.To, reply), now)
	}
}

// check reports a ledger that uses more than the units of its position and of
// its loans, or lends more than the units of its position.
func (p *ledgerPair) check(t *testing.T, i int, now snipetime.Instant) {
	s := p.ledgers[i].Status(now)[0]
	if own := snipelimit.UnitsPerLimit / 2; s.Units > own+s.Borrowed || s.Lent > own {
		t.Errorf("ledger %d has %d units, %d borrowed, %d lent", i, s.Units, s.Borrowed, s.Lent)
	}
}
