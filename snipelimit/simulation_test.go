package snipelimit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/snipemoor/snipemoor/snipetime"
)

const (
	simulationStep = 10 * time.Millisecond
	tickSteps      = 20
	leaseDuration  = 10 * time.Second
	spendAmount    = 5.0
)

// simulation steps ledgers of two regions with two positions each, connected by
// a network that loses, delays and repeats messages.
type simulation struct {
	rng           *rand.Rand
	seed          uint64
	now           time.Duration
	nodes         []*node
	queue         map[time.Duration][]func()
	cfg           Config
	flagInherited bool
	loss          float64
	maxDelay      time.Duration
	limits        [2]Limit
	processCount  int

	// spent is the amount that all nodes have spent, allowed the amount that the
	// limit yields in the same time, and minDifference the lowest value so far of
	// spent - allowed.
	spent, allowed, minDifference float64
}

type node struct {
	ledger        *Ledger
	bucket        *Bucket
	address       string
	region        int
	clockRate     float64
	clockOffset   snipetime.Instant
	processID     int // incremented at each restart
	pausedUntil   time.Duration
	partitioned   bool
	demand        float64
	offeredAmount float64
	limit         Limit
	leases        []grantedLease
}

// grantedLease is the lease of a position, which the test grants to one node at a
// time.
type grantedLease struct {
	Holding
	until time.Duration // in time of the simulation, for the slowest clock
	renew bool
}

func newSimulation(seed uint64, n int, cfg Config) *simulation {
	s := &simulation{
		rng: rand.New(rand.NewPCG(seed, 2)), seed: seed, cfg: cfg, flagInherited: true,
		maxDelay: 4 * time.Millisecond, queue: make(map[time.Duration][]func()),
	}
	for r := range s.limits {
		s.limits[r] = Limit{ID: "x", PerSecond: 1000, Fraction: 0.5, Shared: true}
	}
	for i := range n {
		s.nodes = append(s.nodes, &node{address: fmt.Sprint("n", i), region: i % 2})
		s.restart(i)
	}
	for i := range 4 {
		s.nodes[i].leases = []grantedLease{{renew: true, until: s.now + leaseDuration}}
		s.setHoldings(s.nodes[i], true)
	}
	return s
}

func (s *simulation) restart(i int) {
	n := s.nodes[i]
	s.processCount++
	n.processID++
	n.clockRate = 0.9955 + 0.009*s.rng.Float64()
	n.clockOffset = snipetime.Instant(s.rng.Int64N(int64(time.Hour)))
	n.pausedUntil = 0
	cfg := s.cfg
	cfg.Incarnation, cfg.Positions, cfg.Seed = fmt.Sprint("i", s.processCount), 2, s.seed
	n.ledger = New(cfg, s.localTime(n))
	n.limit = s.limits[n.region]
	n.ledger.Configure(s.localTime(n), []Limit{n.limit})
	n.bucket, _ = n.ledger.Bucket("x")
	var peers []Peer
	for k := range 6 {
		if k != i {
			peers = append(peers, Peer{Address: fmt.Sprint("n", k), SameRegion: k%2 == i%2, Positions: 1})
		}
	}
	n.ledger.SetPeers(peers)
	for k := range n.leases {
		n.leases[k].Inherited, n.leases[k].AcquiredAt = s.flagInherited, s.localTime(n)
		// The new process has no valid lease until it renews one.
		n.leases[k].LeaseEnd = s.localTime(n)
	}
	s.setHoldings(n, true)
}

func (s *simulation) localTime(n *node) snipetime.Instant {
	return n.clockOffset + snipetime.Instant(float64(s.now)*n.clockRate)
}

// setHoldings passes the leases of a node to its ledger. If renew is set, it
// renews those that may be renewed.
func (s *simulation) setHoldings(n *node, renew bool) {
	var all []Holding
	for k := range n.leases {
		p := &n.leases[k]
		if renew && p.renew {
			p.LeaseEnd = s.localTime(n).Add(leaseDuration)
			p.until = s.now + leaseDuration + leaseDuration/100
		}
		all = append(all, p.Holding)
	}
	n.ledger.SetHoldings(s.localTime(n), all)
}

// moveLease ends the renewals of a lease, and grants its position to another node
// of the region when the lease has ended.
func (s *simulation) moveLease(from int) {
	n := s.nodes[from]
	if len(n.leases) == 0 || !n.leases[0].renew {
		return
	}
	n.leases[0].renew = false
	until := n.leases[0].until + 100*time.Millisecond
	s.schedule(until, func() {
		n.leases = n.leases[1:]
		s.setHoldings(n, false)
		to := s.nodes[(from+2)%len(s.nodes)/2*2+from%2]
		if to.region == n.region {
			to.leases = append(to.leases, grantedLease{renew: true, Holding: Holding{AcquiredAt: s.localTime(to)}})
			s.setHoldings(to, true)
		}
	})
}

func (s *simulation) schedule(t time.Duration, f func()) {
	t = max(s.now, t).Truncate(simulationStep) + simulationStep
	s.queue[t] = append(s.queue[t], f)
}

func (s *simulation) deliver(t time.Duration, n *node, f func()) {
	processID := n.processID
	s.schedule(t, func() {
		if s.now < n.pausedUntil {
			s.deliver(n.pausedUntil, n, f)
		} else if n.processID == processID {
			f()
		}
	})
}

// send delivers a message after a delay. The message can be lost or delivered
// twice.
func (s *simulation) send(from *node, to string, f func(*node)) {
	for _, n := range s.nodes {
		if n.address != to || n.partitioned || from.partitioned || s.rng.Float64() < s.loss {
			continue
		}
		s.deliver(s.now+time.Duration(s.rng.Int64N(int64(s.maxDelay))), n, func() { f(n) })
		if s.rng.Float64() < s.loss {
			s.deliver(s.now+time.Duration(s.rng.Int64N(int64(2*s.maxDelay))), n, func() { f(n) })
		}
	}
}

func (s *simulation) sendAll(n *node, out []Outgoing) {
	for _, o := range out {
		s.send(n, o.To, func(to *node) {
			if o.Return != nil {
				to.ledger.HandleLoanReturn(s.localTime(to), n.address, *o.Return)
				return
			}
			reply := to.ledger.HandleLoanRequest(s.localTime(to), n.address, *o.Request)
			s.send(to, n.address, func(b *node) { s.sendAll(b, b.ledger.HandleLoanReply(s.localTime(b), to.address, reply)) })
		})
	}
}

// run steps the simulation and returns the first violation of the bounds.
func (s *simulation) run(d time.Duration) error {
	for end := s.now + d; s.now < end; {
		s.now += simulationStep
		for _, f := range s.queue[s.now] {
			f()
		}
		delete(s.queue, s.now)
		units, limit := 0, 0.0
		for i, n := range s.nodes {
			limit = max(limit, n.limit.PerSecond)
			units += n.ledger.Status(s.localTime(n))[0].Units
			if s.now < n.pausedUntil {
				continue
			}
			s.spend(n)
			if (int(s.now/simulationStep)+i)%tickSteps == 0 {
				s.setHoldings(n, int(s.now/simulationStep)%250 < tickSteps)
				s.sendAll(n, n.ledger.Tick(s.localTime(n)))
			}
		}
		if units > UnitsPerLimit {
			return fmt.Errorf("seed %d at %v: %d units in use", s.seed, s.now, units)
		}
		s.allowed += limit * simulationStep.Seconds()
		s.minDifference = min(s.minDifference, s.spent-s.allowed)
		// The burst of 20 ms of a whole limit of 2000/s is larger than amount.
		if excess := s.spent - s.allowed - s.minDifference; excess > float64(s.processCount)*2000*0.02 {
			return fmt.Errorf("seed %d at %v: %v above the limit", s.seed, s.now, excess)
		}
	}
	return nil
}

func (s *simulation) spend(n *node) {
	// Callers wait for at most 200 ms.
	n.offeredAmount = min(n.offeredAmount+n.demand*simulationStep.Seconds(), spendAmount+n.demand/5)
	for ; n.offeredAmount >= spendAmount; n.offeredAmount -= spendAmount {
		if _, err := n.bucket.Spend(s.localTime(n), spendAmount); err != nil {
			return
		}
		s.spent += spendAmount
	}
}

func (s *simulation) injectFault(kind, i int) {
	n := s.nodes[i]
	switch kind {
	case 0:
		n.pausedUntil = s.now + time.Duration(s.rng.Int64N(int64(15*time.Second)))
	case 1:
		s.restart(i)
	case 2:
		n.partitioned = !n.partitioned
	case 3:
		s.moveLease(i)
	case 4: // the cap changes; each instance receives it within 3 s
		for r := range s.limits {
			s.limits[r].PerSecond = float64(100 + s.rng.IntN(1900))
		}
		s.announceLimits()
	case 5: // the division among regions changes
		for r := range s.limits {
			s.limits[r].PreviousFraction = s.limits[r].Fraction
		}
		s.limits[0].Fraction = math.Round(s.rng.Float64()*10) / 10
		s.limits[1].Fraction = 1 - s.limits[0].Fraction
		s.announceLimits()
	default:
		n.demand = s.rng.Float64() * 1500
	}
}

func (s *simulation) announceLimits() {
	for _, n := range s.nodes {
		processID := n.processID
		s.schedule(s.now+time.Duration(s.rng.Int64N(int64(3*time.Second))), func() {
			if n.processID == processID {
				n.limit = s.limits[n.region]
				n.ledger.Configure(s.localTime(n), []Limit{n.limit})
			}
		})
	}
}

// Guards against instances that together use more than the limit.
func TestSumWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(4, 6).Draw(t, "instances"), Config{})
		s.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss")
		s.maxDelay = rapid.SampledFrom([]time.Duration{simulationStep, 700 * time.Millisecond, 3 * time.Second}).Draw(t, "delay")
		lastFractionChange := -time.Minute
		gaps := []time.Duration{simulationStep, 300 * time.Millisecond, 2 * time.Second, 4 * time.Second, 9 * time.Second}
		for range rapid.IntRange(1, 15).Draw(t, "faults") {
			if err := s.run(rapid.SampledFrom(gaps).Draw(t, "gap")); err != nil {
				t.Fatal(err)
			}
			kind := rapid.IntRange(0, 9).Draw(t, "fault")
			if kind == 5 {
				// PreviousFraction covers only the last change of the fractions.
				if s.now-lastFractionChange < 16*time.Second {
					continue
				}
				lastFractionChange = s.now
			}
			s.injectFault(kind, rapid.IntRange(0, len(s.nodes)-1).Draw(t, "node"))
		}
	})
}

// Guards against a check that cannot fail: each variant disables one rule, and
// some seed must show a violation. With all rules the same runs pass.
func TestCheckCatchesViolations(t *testing.T) {
	variants := []struct {
		name  string
		cfg   Config
		apply func(*simulation)
		safe  bool
	}{
		{name: "all rules", safe: true, apply: func(*simulation) {}},
		{name: "no drift margin", cfg: Config{DriftMargin: 1}, apply: func(*simulation) {}},
		{name: "no wait after a restart", apply: func(s *simulation) { s.flagInherited = false }},
		{name: "no wait after a change of the split", cfg: Config{FractionDelay: 1}, apply: func(*simulation) {}},
	}
	for _, v := range variants {
		t.Run(v.name, func(t *testing.T) {
			var err error
			for seed := uint64(0); seed < 40 && err == nil; seed++ {
				s := newSimulation(seed, 6, v.cfg)
				v.apply(s)
				for _, kind := range []int{6, 7, 6, 7, 1, 6, 5, 7, 1, 6} {
					if err = s.run(2500 * time.Millisecond); err != nil {
						break
					}
					s.injectFault(kind, s.rng.IntN(4))
				}
			}
			t.Log(err)
			if v.safe != (err == nil) {
				t.Errorf("violation %v, want none: %v", err, v.safe)
			}
		})
	}
}

// Guards against units that stay unused at one instance while another one needs
// them. At 85 % of a limit, after 5 s of steady demand, less than 10 % of the
// limit may be refused.
func TestSkewedDemand(t *testing.T) {
	for _, skew := range [][]float64{{0.85, 0, 0, 0}, {0.6, 0.1, 0.1, 0.05}, {0.2, 0, 0.2, 0, 0.45, 0}, {0, 0.4, 0, 0.45}, {0, 0, 0, 0, 0.85, 0}} {
		for seed := range uint64(5) {
			s := newSimulation(seed, len(skew), Config{})
			s.loss = 0.01
			for i, part := range skew {
				s.nodes[i].demand = part * 1000
			}
			if err := s.run(5 * time.Second); err != nil {
				t.Fatal(err)
			}
			before := s.spent
			if err := s.run(20 * time.Second); err != nil {
				t.Fatal(err)
			}
			unused := 0.85 - (s.spent-before)/20/1000
			if seed == 0 {
				t.Logf("skew %v: %.1f %% of the limit unused", skew, 100*unused)
			}
			if unused >= 0.10 {
				t.Errorf("seed %d, skew %v: %.1f %% of the limit unused", seed, skew, 100*unused)
			}
		}
	}
}
