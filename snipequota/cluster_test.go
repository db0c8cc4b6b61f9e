package snipequota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/snipemoor/snipemoor/snipefeed"
	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipetable"
	"github.com/snipemoor/snipemoor/snipetime"
)

const (
	clusterStep    = 5 * time.Millisecond
	clusterPoll    = 375 * time.Millisecond
	clusterTick    = 250 * time.Millisecond
	clusterLatency = 10 * time.Millisecond
	quotaWindow    = 5 * time.Second
	// entryLapse is the time until the entry of a front that is gone lapses, and
	// viewDelay the longest time until a front knows of it.
	entryLapse = 4 * time.Second
	viewDelay  = 2 * time.Second
)

// cluster passes the messages of fronts that run in one process, in steps.
type cluster struct {
	now     snipetime.Instant
	random  *rand.Rand
	fronts  []*clusterFront
	tenants map[string]*clusterTenant
	// ordered holds the tenants in the order of their creation.
	ordered []*clusterTenant
	// events run when they are due.
	events []clusterEvent
	// onAdmit is called for each admitted request, if it is set.
	onAdmit func(f *clusterFront)
	// bytes counts what fronts send about tenants, once the size is set.
	size  func(usage []snipefeed.TenantUsage) int
	bytes map[string]int
}

// count counts a message.
func (c *cluster) count(kind string, usage []snipefeed.TenantUsage) {
	if c.size != nil {
		c.bytes[kind] += c.size(usage)
	}
}

type clusterEvent struct {
	at  snipetime.Instant
	run func()
}

// clusterFront is a front of a cluster, and its process.
type clusterFront struct {
	// index is the number of the front in the cluster.
	index       int
	member      snipefleet.Member
	registry    *snipefleet.Registry
	quotas      *TenantQuotas
	selector    *snipefeed.SourceSelector
	incarnation int
	dead        bool
	frozen      bool
	// partition is the part of the network that the front reaches.
	partition int
	busy      bool
	nextPoll  snipetime.Instant
	nextTick  snipetime.Instant
}

// clusterTenant is a tenant, its load and what became of it.
type clusterTenant struct {
	snipetable.Tenant
	// demand is in requests per second, and weight the share of a front in it; nil
	// means equal shares.
	demand float64
	weight func(f *clusterFront) float64
	// admitted and refused count the requests of each step.
	admitted, refused []int
	// reference is one token bucket over all requests, and its refusals.
	reference        *rate.Limiter
	referenceRefused []int
}

// Tenant implements Tenants.
func (c *cluster) Tenant(name string) *snipetable.Tenant {
	if t := c.tenants[name]; t != nil {
		return &t.Tenant
	}
	return nil
}

// newCluster returns a cluster of six groups of about the same size, whose fronts state no
// capacity.
func newCluster(seed uint64, fronts int) *cluster {
	return newClusterOf(seed, fronts, func(int) float64 { return 0 })
}

// newClusterOf returns a cluster of fronts with the given processor capacities.
func newClusterOf(seed uint64, fronts int, cores func(i int) float64) *cluster {
	c := &cluster{now: snipetime.Instant(time.Minute), random: rand.New(rand.NewPCG(seed, 0)), tenants: make(map[string]*clusterTenant)}
	for i := range fronts {
		place := snipefleet.Place{Region: fmt.Sprint("r", i%3), Domain: fmt.Sprint("d", i%6)}
		m := snipefleet.Member{Name: fmt.Sprint("f", i), Peer: fmt.Sprint("f", i), Place: place, Cores: cores(i)}
		c.fronts = append(c.fronts, &clusterFront{index: i, member: m, registry: snipefleet.New()})
	}
	for _, f := range c.fronts {
		for _, o := range c.fronts {
			f.registry.UpdateMember(o.member)
		}
		c.start(f)
	}
	return c
}

// start starts the process of a front.
func (c *cluster) start(f *clusterFront) {
	f.dead, f.busy = false, false
	f.incarnation++
	f.quotas = NewTenantQuotas(f.member, f.registry, c, zap.NewNop())
	f.selector = snipefeed.NewSourceSelector(f.member, nil)
	f.nextPoll = c.now.Add(time.Duration(c.random.Int64N(int64(clusterPoll))))
	f.nextTick = c.now.Add(time.Duration(c.random.Int64N(int64(clusterTick))))
}

// after runs an event later.
func (c *cluster) after(d time.Duration, run func()) {
	c.events = append(c.events, clusterEvent{at: c.now.Add(d), run: run})
}

// kill ends the process of a front. Its entry lapses later.
func (c *cluster) kill(f *clusterFront) {
	f.dead = true
	incarnation := f.incarnation
	c.after(entryLapse, func() {
		if f.dead && f.incarnation == incarnation {
			c.forEachView(func(o *clusterFront) { o.registry.RemoveMember(c.now, f.member.Name) })
		}
	})
}

// restart starts the process of a front again.
func (c *cluster) restart(f *clusterFront) {
	c.start(f)
	c.forEachView(func(o *clusterFront) { o.registry.UpdateMember(f.member) })
}

// forEachView updates the views of the fronts, each after some time.
func (c *cluster) forEachView(update func(o *clusterFront)) {
	for _, o := range c.fronts {
		c.after(time.Duration(c.random.Int64N(int64(viewDelay))), func() { update(o) })
	}
}

// watches reports whether a front considers itself a watcher.
func (f *clusterFront) watches() bool { return f.quotas.watches() }

// add adds a tenant.
func (c *cluster) add(name string, perSecond, burst, demand float64) *clusterTenant {
	t := &clusterTenant{
		Tenant: snipetable.Tenant{Name: name, Quota: snipetable.Quota{PerSecond: perSecond, Burst: burst}},
		demand: demand, reference: rate.NewLimiter(rate.Limit(perSecond), max(int(burst), 1)),
	}
	c.tenants[name] = t
	c.ordered = append(c.ordered, t)
	return t
}

// run advances the cluster.
func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now < end; c.now = c.now.Add(clusterStep) {
		c.runEvents()
		for _, f := range c.fronts {
			c.runFront(f)
		}
		for _, t := range c.ordered {
			c.send(t)
		}
	}
}

func (c *cluster) runEvents() {
	due := c.events
	c.events = nil
	for _, e := range due {
		if e.at.After(c.now) {
			c.events = append(c.events, e)
			continue
		}
		e.run()
	}
}

func (c *cluster) runFront(f *clusterFront) {
	if f.dead || f.frozen {
		return
	}
	if !f.nextTick.After(c.now) {
		f.nextTick = c.now.Add(clusterTick)
		c.notify(f, f.quotas.Tick(c.now))
	}
	if !f.busy && !f.nextPoll.After(c.now) {
		c.poll(f)
	}
}

// reach returns the front at an address if f reaches it, or nil.
func (c *cluster) reach(f *clusterFront, address string) *clusterFront {
	for _, o := range c.fronts {
		if o.member.Peer == address && !o.dead && !o.frozen && o.partition == f.partition {
			return o
		}
	}
	return nil
}

func (f *clusterFront) sender() snipefeed.Sender {
	return snipefeed.Sender{Address: f.member.Peer, Incarnation: fmt.Sprint(f.incarnation)}
}

func (c *cluster) notify(f *clusterFront, n TenantNotice) {
	from := f.sender()
	for _, peer := range n.Peers {
		if o := c.reach(f, peer); o != nil {
			c.count("notices", n.Usage)
			c.after(clusterLatency, func() { o.quotas.MergeTenantNotice(c.now, from, n.Fronts, n.Usage) })
		}
	}
}

// poll sends the request of a front for items to its source.
func (c *cluster) poll(f *clusterFront) {
	s := f.selector.Select(c.now, f.registry.View().Members())
	if s.Peer == "" {
		f.nextPoll = c.now.Add(clusterPoll)
		return
	}
	f.busy = true
	sent, process := c.now, f.quotas
	reported := process.ReportTenants(c.now, s.Peer)
	from := f.sender()
	o := c.reach(f, s.Peer)
	if o != nil {
		c.count("reports", reported)
		c.after(clusterLatency, func() { o.quotas.MergeTenants(c.now, from, reported) })
	}
	c.after(clusterPoll+2*clusterLatency, func() {
		if f.quotas != process {
			return
		}
		f.busy, f.nextPoll = false, c.now
		if o == nil || c.reach(f, s.Peer) != o {
			f.selector.PeerFailed(c.now, s.Peer)
			return
		}
		levels := o.quotas.TenantLevels(c.now)
		c.count("levels", levels)
		process.ApplyTenantLevels(sent, c.now, s.Peer, reported, levels)
	})
}

// send sends the requests of a tenant in one step.
func (c *cluster) send(t *clusterTenant) {
	admitted, refused, referenceRefused := 0, 0, 0
	for range c.poisson(t.demand * clusterStep.Seconds()) {
		f := c.pick(t)
		if f == nil {
			continue
		}
		if !t.reference.AllowN(wallTime(c.now), 1) {
			referenceRefused++
		}
		if _, ok := f.quotas.Admit(c.now, &t.Tenant); ok {
			admitted++
			if c.onAdmit != nil {
				c.onAdmit(f)
			}
		} else {
			refused++
		}
	}
	t.admitted = append(t.admitted, admitted)
	t.refused = append(t.refused, refused)
	t.referenceRefused = append(t.referenceRefused, referenceRefused)
}

// pick returns the front to which a caller sends a request, or nil if it is dead.
func (c *cluster) pick(t *clusterTenant) *clusterFront {
	for {
		f := c.fronts[c.random.IntN(len(c.fronts))]
		if t.weight != nil && c.random.Float64() >= t.weight(f) {
			continue
		}
		if f.dead || f.frozen {
			return nil
		}
		return f
	}
}

// poisson returns a Poisson variate (Knuth, 1969, section 3.4.1).
func (c *cluster) poisson(mean float64) int {
	n := 0
	for p := c.random.Float64(); p > math.Exp(-mean); n++ {
		p *= c.random.Float64()
	}
	return n
}

// worstWindow returns the largest number of requests that ran in quotaWindow, of those
// after the first steps.
func (t *clusterTenant) worstWindow(from int) int {
	const steps = int(quotaWindow / clusterStep)
	sum, worst := 0, 0
	for i := from; i < len(t.admitted); i++ {
		sum += t.admitted[i]
		if i-from >= steps {
			sum -= t.admitted[i-steps]
		}
		worst = max(worst, sum)
	}
	return worst
}

// windowBound is the largest number of requests that may run in quotaWindow.
func (t *clusterTenant) windowBound() float64 {
	return (t.Quota.PerSecond*quotaWindow.Seconds()+t.Quota.Burst)*1.1 + 20
}

func total(counts []int) (n int) {
	for _, c := range counts {
		n += c
	}
	return n
}
