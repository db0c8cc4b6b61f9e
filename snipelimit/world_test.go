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
	step      = 10 * time.Millisecond
	tickSteps = 20
	lease     = 10 * time.Second
	amount    = 5.0
)

// world steps ledgers of two regions with two positions each over a network
// that loses, delays and repeats messages.
type world struct {
	rng      *rand.Rand
	seed     uint64
	now      time.Duration
	nodes    []*node
	queue    map[time.Duration][]func()
	cfg      Config
	inherit  bool
	loss     float64
	maxDelay time.Duration
	limits   [2]Limit
	starts   int

	spent, allowed, lowest float64
}

type node struct {
	l           *Ledger
	b           *Bucket
	address     string
	region      int
	rate        float64
	offset      snipetime.Instant
	life        int
	pausedUntil time.Duration
	cut         bool
	demand      float64
	offered     float64
	limit       Limit
	holds       []position
}

// position is a lease that the test grants to one node at a time.
type position struct {
	Holding
	until time.Duration // in time of the world, for the slowest clock
	renew bool
}

func newWorld(seed uint64, n int, cfg Config) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 2)), seed: seed, cfg: cfg, inherit: true,
		maxDelay: 4 * time.Millisecond, queue: make(map[time.Duration][]func()),
	}
	for r := range w.limits {
		w.limits[r] = Limit{ID: "x", PerSecond: 1000, Fraction: 0.5, Shared: true}
	}
	for i := range n {
		w.nodes = append(w.nodes, &node{address: fmt.Sprint("n", i), region: i % 2})
		w.restart(i)
	}
	for i := range 4 {
		w.nodes[i].holds = []position{{renew: true, until: w.now + lease}}
		w.setHoldings(w.nodes[i], true)
	}
	return w
}

func (w *world) restart(i int) {
	n := w.nodes[i]
	w.starts++
	n.life++
	n.rate = 0.9955 + 0.009*w.rng.Float64()
	n.offset = snipetime.Instant(w.rng.Int64N(int64(time.Hour)))
	n.pausedUntil = 0
	cfg := w.cfg
	cfg.Incarnation, cfg.Positions, cfg.Seed = fmt.Sprint("i", w.starts), 2, w.seed
	n.l = New(cfg, w.local(n))
	n.limit = w.limits[n.region]
	n.l.Configure(w.local(n), []Limit{n.limit})
	n.b, _ = n.l.Bucket("x")
	var peers []Peer
	for k := range 6 {
		if k != i {
			peers = append(peers, Peer{Address: fmt.Sprint("n", k), SameRegion: k%2 == i%2, Positions: 1})
		}
	}
	n.l.SetPeers(peers)
	for k := range n.holds {
		n.holds[k].Inherited, n.holds[k].Since = w.inherit, w.local(n)
		// The new process knows no lease that it does not renew.
		n.holds[k].LeaseEnd = w.local(n)
	}
	w.setHoldings(n, true)
}

func (w *world) local(n *node) snipetime.Instant {
	return n.offset + snipetime.Instant(float64(w.now)*n.rate)
}

// setHoldings renews the leases of a node.
func (w *world) setHoldings(n *node, renew bool) {
	var all []Holding
	for k := range n.holds {
		p := &n.holds[k]
		if renew && p.renew {
			p.LeaseEnd = w.local(n).Add(lease)
			p.until = w.now + lease + lease/100
		}
		all = append(all, p.Holding)
	}
	n.l.SetHoldings(w.local(n), all)
}

// move ends the renewals of a position, and grants it to another node of the
// region when its lease has ended.
func (w *world) move(from int) {
	n := w.nodes[from]
	if len(n.holds) == 0 || !n.holds[0].renew {
		return
	}
	n.holds[0].renew = false
	until := n.holds[0].until + 100*time.Millisecond
	w.at(until, func() {
		n.holds = n.holds[1:]
		w.setHoldings(n, false)
		to := w.nodes[(from+2)%len(w.nodes)/2*2+from%2]
		if to.region == n.region {
			to.holds = append(to.holds, position{renew: true, Holding: Holding{Since: w.local(to)}})
			w.setHoldings(to, true)
		}
	})
}

func (w *world) at(t time.Duration, f func()) {
	t = max(w.now, t).Truncate(step) + step
	w.queue[t] = append(w.queue[t], f)
}

func (w *world) deliver(t time.Duration, n *node, f func()) {
	life := n.life
	w.at(t, func() {
		if w.now < n.pausedUntil {
			w.deliver(n.pausedUntil, n, f)
		} else if n.life == life {
			f()
		}
	})
}

// send passes a message on after a delay, sometimes twice or never.
func (w *world) send(from *node, to string, f func(*node)) {
	for _, n := range w.nodes {
		if n.address != to || n.cut || from.cut || w.rng.Float64() < w.loss {
			continue
		}
		w.deliver(w.now+time.Duration(w.rng.Int64N(int64(w.maxDelay))), n, func() { f(n) })
		if w.rng.Float64() < w.loss {
			w.deliver(w.now+time.Duration(w.rng.Int64N(int64(2*w.maxDelay))), n, func() { f(n) })
		}
	}
}

func (w *world) do(n *node, out []Outgoing) {
	for _, o := range out {
		w.send(n, o.To, func(to *node) {
			if o.Return != nil {
				to.l.HandleLoanReturn(w.local(to), n.address, *o.Return)
				return
			}
			reply := to.l.HandleLoanRequest(w.local(to), n.address, *o.Request)
			w.send(to, n.address, func(b *node) { w.do(b, b.l.HandleLoanReply(w.local(b), to.address, reply)) })
		})
	}
}

// run steps the world and returns the first violation of the bounds.
func (w *world) run(d time.Duration) error {
	for end := w.now + d; w.now < end; {
		w.now += step
		for _, f := range w.queue[w.now] {
			f()
		}
		delete(w.queue, w.now)
		units, limit := 0, 0.0
		for i, n := range w.nodes {
			limit = max(limit, n.limit.PerSecond)
			units += n.l.Status(w.local(n))[0].Units
			if w.now < n.pausedUntil {
				continue
			}
			w.spend(n)
			if (int(w.now/step)+i)%tickSteps == 0 {
				w.setHoldings(n, int(w.now/step)%250 < tickSteps)
				w.do(n, n.l.Tick(w.local(n)))
			}
		}
		if units > UnitsPerLimit {
			return fmt.Errorf("seed %d at %v: %d units in use", w.seed, w.now, units)
		}
		w.allowed += limit * step.Seconds()
		w.lowest = min(w.lowest, w.spent-w.allowed)
		// The burst of 20 ms of a whole limit of 2000/s is larger than amount.
		if over := w.spent - w.allowed - w.lowest; over > float64(w.starts)*2000*0.02 {
			return fmt.Errorf("seed %d at %v: %v above the limit", w.seed, w.now, over)
		}
	}
	return nil
}

func (w *world) spend(n *node) {
	// Callers wait for at most 200 ms.
	n.offered = min(n.offered+n.demand*step.Seconds(), amount+n.demand/5)
	for ; n.offered >= amount; n.offered -= amount {
		if _, err := n.b.Spend(w.local(n), amount); err != nil {
			return
		}
		w.spent += amount
	}
}

func (w *world) fault(kind, i int) {
	n := w.nodes[i]
	switch kind {
	case 0:
		n.pausedUntil = w.now + time.Duration(w.rng.Int64N(int64(15*time.Second)))
	case 1:
		w.restart(i)
	case 2:
		n.cut = !n.cut
	case 3:
		w.move(i)
	case 4: // the cap changes; each instance learns of it within 3 s
		for r := range w.limits {
			w.limits[r].PerSecond = float64(100 + w.rng.IntN(1900))
		}
		w.announce()
	case 5: // the split changes
		for r := range w.limits {
			w.limits[r].PreviousFraction = w.limits[r].Fraction
		}
		w.limits[0].Fraction = math.Round(w.rng.Float64()*10) / 10
		w.limits[1].Fraction = 1 - w.limits[0].Fraction
		w.announce()
	default:
		n.demand = w.rng.Float64() * 1500
	}
}

func (w *world) announce() {
	for _, n := range w.nodes {
		life := n.life
		w.at(w.now+time.Duration(w.rng.Int64N(int64(3*time.Second))), func() {
			if n.life == life {
				n.limit = w.limits[n.region]
				n.l.Configure(w.local(n), []Limit{n.limit})
			}
		})
	}
}

// Guards against instances that together use more than the limit.
func TestSumWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(4, 6).Draw(t, "instances"), Config{})
		w.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss")
		w.maxDelay = rapid.SampledFrom([]time.Duration{step, 700 * time.Millisecond, 3 * time.Second}).Draw(t, "delay")
		split := -time.Minute
		gaps := []time.Duration{step, 300 * time.Millisecond, 2 * time.Second, 4 * time.Second, 9 * time.Second}
		for range rapid.IntRange(1, 15).Draw(t, "faults") {
			if err := w.run(rapid.SampledFrom(gaps).Draw(t, "gap")); err != nil {
				t.Fatal(err)
			}
			kind := rapid.IntRange(0, 9).Draw(t, "fault")
			if kind == 5 {
				// PreviousFraction remembers one change of the split only.
				if w.now-split < 16*time.Second {
					continue
				}
				split = w.now
			}
			w.fault(kind, rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node"))
		}
	})
}

// Guards against a check that cannot fail: each variant leaves one rule out, and
// some seed must show a violation. The rules themselves pass the same runs.
func TestCheckCatchesViolations(t *testing.T) {
	variants := []struct {
		name  string
		cfg   Config
		apply func(*world)
		safe  bool
	}{
		{name: "all rules", safe: true, apply: func(*world) {}},
		{name: "no drift margin", cfg: Config{DriftMargin: 1}, apply: func(*world) {}},
		{name: "no wait after a restart", apply: func(w *world) { w.inherit = false }},
		{name: "no wait after a change of the split", cfg: Config{SplitSettle: 1}, apply: func(*world) {}},
	}
	for _, v := range variants {
		t.Run(v.name, func(t *testing.T) {
			var err error
			for seed := uint64(0); seed < 40 && err == nil; seed++ {
				w := newWorld(seed, 6, v.cfg)
				v.apply(w)
				for _, kind := range []int{6, 7, 6, 7, 1, 6, 5, 7, 1, 6} {
					if err = w.run(2500 * time.Millisecond); err != nil {
						break
					}
					w.fault(kind, w.rng.IntN(4))
				}
			}
			t.Log(err)
			if v.safe != (err == nil) {
				t.Errorf("violation %v, want none: %v", err, v.safe)
			}
		})
	}
}

// Guards against units that lie idle at the wrong instance: at 85 % of a limit,
// after 5 s of steady demand, less than 10 % of the limit may be refused.
func TestSkewedDemand(t *testing.T) {
	for _, skew := range [][]float64{{0.85, 0, 0, 0}, {0.6, 0.1, 0.1, 0.05}, {0.2, 0, 0.2, 0, 0.45, 0}, {0, 0.4, 0, 0.45}, {0, 0, 0, 0, 0.85, 0}} {
		for seed := range uint64(5) {
			w := newWorld(seed, len(skew), Config{})
			w.loss = 0.01
			for i, part := range skew {
				w.nodes[i].demand = part * 1000
			}
			if err := w.run(5 * time.Second); err != nil {
				t.Fatal(err)
			}
			before := w.spent
			if err := w.run(20 * time.Second); err != nil {
				t.Fatal(err)
			}
			unused := 0.85 - (w.spent-before)/20/1000
			if seed == 0 {
				t.Logf("skew %v: %.1f %% of the limit unused", skew, 100*unused)
			}
			if unused >= 0.10 {
				t.Errorf("seed %d, skew %v: %.1f %% of the limit unused", seed, skew, 100*unused)
			}
		}
	}
}
