package snipequota

import (
	"hash/maphash"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipetable"
	"github.com/snipemoor/snipemoor/snipetime"
)

const (
	// numShards is the number of locks over the entries of tenants.
	numShards = 64
	// levelValidity is the time after the request for levels during which they are used.
	levelValidity = 2 * time.Second
	// entryRetention is the time after the last request of a tenant for which its entry
	// is kept.
	entryRetention = 10 * time.Second
)

// Tenants provides the tenants of the configuration in force.
type Tenants interface {
	// Tenant returns the tenant with a name, or nil if there is none.
	Tenant(name string) *snipetable.Tenant
}

// TenantQuotas enforces the quotas of tenants over all fronts. It implements
// snipegate.Quotas and snipefeed.TenantExchange, and is safe for concurrent use.
type TenantQuotas struct {
	self    snipefleet.Member
	fleet   Fleet
	tenants Tenants
	log     *zap.Logger

	seed   maphash.Seed
	shards [numShards]shard
	// fronts is the number of fronts; 0 before the first look at the members.
	fronts atomic.Int64
	// initialShare holds the bits of the share, from 0 to 1, of the rate that this front is
	// assumed to use until it has seen what it admits.
	initialShare atomic.Uint64
	// heardAt is when the last answered request for levels was sent, or
	// math.MinInt64 before the first one.
	heardAt atomic.Int64
	// heardSince is when the first one was sent, or math.MaxInt64 before it.
	heardSince atomic.Int64
	// refusals counts the refused requests, and numOver the tenants with refusals.
	refusals atomic.Uint64
	numOver  atomic.Int64

	// mu guards watch.
	mu    sync.Mutex
	watch watchState
	// reportedTo is the watcher that got the last report, guarded by mu.
	reportedTo string
}

// shard holds the entries of some tenants.
type shard struct {
	mu      sync.Mutex
	entries map[string]*entry
}

// NewTenantQuotas returns the quotas of the front self, which has heard of no usage.
func NewTenantQuotas(self snipefleet.Member, fleet Fleet, tenants Tenants, log *zap.Logger) *TenantQuotas {
	q := &TenantQuotas{self: self, fleet: fleet, tenants: tenants, log: log, seed: maphash.MakeSeed(), watch: newWatchState()}
	for i := range q.shards {
		q.shards[i].entries = make(map[string]*entry)
	}
	q.heardAt.Store(math.MinInt64)
	q.heardSince.Store(math.MaxInt64)
	return q
}

// Admit implements snipegate.Quotas.
func (q *TenantQuotas) Admit(now snipetime.Instant, t *snipetable.Tenant) (retryAfter time.Duration, admitted bool) {
	if !t.Quota.Limited() {
		return 0, true
	}
	s := q.shardOf(t.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[t.Name]
	if e == nil {
		e = q.addEntry(now, s, t)
	}
	e.setQuota(enforced(t.Quota))
	k := q.knowledge(now)
	e.refill(now, k)
	e.demand.add(now)
	if e.tokens >= 1 {
		e.take(k)
		return 0, true
	}
	q.refusals.Add(1)
	q.noteRefusal(now, t.Name, e)
	return e.retryDelay(now, k), false
}

// Return implements snipegate.Quotas.
func (q *TenantQuotas) Return(_ snipetime.Instant, t *snipetable.Tenant) {
	if !t.Quota.Limited() {
		return
	}
	s := q.shardOf(t.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.entries[t.Name]; e != nil && e.admitted > 0 {
		e.admitted--
		e.tokens++
		e.spare++
	}
}

// NumOver returns the number of tenants with refused requests in the last seconds.
func (q *TenantQuotas) NumOver() int { return int(q.numOver.Load()) }

// Refusals returns the number of refused requests.
func (q *TenantQuotas) Refusals() uint64 { return q.refusals.Load() }

// knowledge returns what this front knows at now.
func (q *TenantQuotas) knowledge(now snipetime.Instant) knowledge {
	heardAt := q.heardAt.Load()
	return knowledge{
		fronts: q.numFronts(),
		heard:  heardAt != math.MinInt64 && now.Sub(snipetime.Instant(heardAt)) <= levelValidity,
	}
}

// capacityShare returns the share of a front in the capacity of the members, which callers
// prefer by it, or the equal one if a front does not state its capacity.
func capacityShare(self snipefleet.Member, members []snipefleet.Member) float64 {
	total, found := 0.0, false
	for i := range members {
		if members[i].Cores <= 0 {
			return 1 / float64(len(members))
		}
		total += members[i].Cores
		found = found || members[i].Name == self.Name
	}
	if !found || self.Cores <= 0 {
		return 1 / float64(max(len(members), 1))
	}
	return self.Cores / total
}

// novelty returns the weight, from 0 to 1, of the assumption that this front admits its share
// of the capacity. It is 1 until the front has heard from a watcher, and then decays with
// usualTime, in which the front measures what it usually admits.
func (q *TenantQuotas) novelty(now snipetime.Instant) float64 {
	since := q.heardSince.Load()
	if since == math.MaxInt64 {
		return 1
	}
	return math.Exp(-max(now.Sub(snipetime.Instant(since)), 0).Seconds() / usualTime.Seconds())
}

// numFronts returns the number of fronts, at least 1. The first call reads the members if
// updateMembership has not done so.
func (q *TenantQuotas) numFronts() float64 {
	n := q.fronts.Load()
	if n == 0 {
		members := q.fleet.View().Members()
		n = int64(max(len(members), 1))
		q.initialShare.Store(math.Float64bits(capacityShare(q.self, members)))
		q.fronts.Store(n)
	}
	return float64(n)
}

func (q *TenantQuotas) shardOf(name string) *shard {
	return &q.shards[maphash.String(q.seed, name)%numShards]
}

// addEntry adds the entry of a tenant. The caller holds the lock of the shard.
func (q *TenantQuotas) addEntry(now snipetime.Instant, s *shard, t *snipetable.Tenant) *entry {
	e := &entry{quota: enforced(t.Quota), at: now, levelAt: now, series: nextSeries(now, 0), demand: tenantDemand{at: now}}
	q.numFronts() // looks at the members if nobody has yet
	e.start(q.knowledge(now), q.novelty(now)*math.Float64frombits(q.initialShare.Load()))
	s.entries[t.Name] = e
	return e
}

// refusalRetention is the time without a refusal after which a tenant counts as below
// its quota again.
const refusalRetention = 5 * time.Second

// noteRefusal logs the first refusal after some time without one.
func (q *TenantQuotas) noteRefusal(now snipetime.Instant, name string, e *entry) {
	e.refusedAt = now
	if e.refusing {
		return
	}
	e.refusing = true
	q.numOver.Add(1)
	q.log.Warn("tenant over quota", q.entryFields(now, name, e)...)
}

// entryFields returns the fields of log lines about a tenant. The level and the demand
// over all fronts are those of the last answer, if it named the tenant.
func (q *TenantQuotas) entryFields(now snipetime.Instant, name string, e *entry) []zap.Field {
	f := []zap.Field{
		zap.String("tenant", name), zap.Float64("perSecond", e.quota.PerSecond), zap.Float64("burst", e.quota.Burst-extraBurst),
		zap.Float64("ownDemand", e.demand.rate(now)), zap.Bool("heard", q.knowledge(now).heard),
		zap.String("from", e.from), zap.Duration("age", now.Sub(e.levelAt)),
	}
	if e.tracked {
		f = append(f, zap.Float64("level", e.level), zap.Float64("demand", e.total))
	}
	return f
}

// sweep removes the entries of tenants without requests, and logs which tenants are
// below their quotas again.
func (q *TenantQuotas) sweep(now snipetime.Instant) {
	for i := range q.shards {
		s := &q.shards[i]
		s.mu.Lock()
		for name, e := range s.entries {
			if e.refusing && now.Sub(e.refusedAt) > refusalRetention {
				e.refusing = false
				q.numOver.Add(-1)
				q.log.Info("tenant below quota", q.entryFields(now, name, e)...)
			}
			if !e.refusing && !e.tracked && now.Sub(e.demand.at) > entryRetention {
				delete(s.entries, name)
			}
		}
		s.mu.Unlock()
	}
}
