package snipequota

import (
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/snipemoor/snipemoor/snipefeed"
	"github.com/snipemoor/snipemoor/snipetime"
)

// levelOf returns the level that a watcher keeps of a tenant.
func levelOf(q *TenantQuotas, now snipetime.Instant, name string) float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.bucketOf(now, name).level
}

// TestMessagesLostAndRepeated guards against admissions that are counted twice, or not at
// all, if messages are lost, repeated or overtake each other.
func TestMessagesLostAndRepeated(t *testing.T) {
	c := newCluster(1, 1)
	tenant := c.add("a", 0.001, 100, 0)
	c.run(10 * time.Second)
	watcher := c.fronts[0].quotas
	front := NewTenantQuotas(c.fronts[0].member, c.fronts[0].registry, c, zap.NewNop())
	from := snipefeed.Sender{Address: "x", Incarnation: "1"}
	admit := func(n int) []snipefeed.TenantUsage {
		for range n {
			s := front.shardOf("a")
			front.Admit(c.now, &tenant.Tenant)
			s.entries["a"].tokens = 5
		}
		return front.ReportTenants(c.now, "w")
	}
	full := levelOf(watcher, c.now, "a")
	first := admit(5)
	watcher.MergeTenants(c.now, from, first)
	lost := admit(3)
	third := admit(2)
	watcher.MergeTenants(c.now, from, third)
	watcher.MergeTenants(c.now, from, third)
	watcher.MergeTenants(c.now, from, lost)
	watcher.MergeTenants(c.now, from, first)
	if got := full - levelOf(watcher, c.now, "a"); got < 9.9 || got > 10.1 {
		t.Errorf("%.2f admissions are counted, want 10", got)
	}
	for range 2 {
		front.Return(c.now, &tenant.Tenant)
	}
	watcher.MergeTenants(c.now, from, admit(3))
	if got := full - levelOf(watcher, c.now, "a"); got < 10.9 || got > 11.1 {
		t.Errorf("%.2f admissions are counted after 2 were returned and 3 added, want 11", got)
	}
}

// TestNewWatcherTakesLowestLevel guards against a full burst that a new watcher grants
// again.
func TestNewWatcherTakesLowestLevel(t *testing.T) {
	c := newCluster(1, 1)
	c.add("a", 10, 100, 0)
	c.run(clusterTick)
	q := c.fronts[0].quotas
	for i, level := range []float64{3, -20, 6} {
		from := snipefeed.Sender{Address: string(rune('x' + i))}
		q.MergeTenantNotice(c.now, from, 12, []snipefeed.TenantUsage{{Tenant: "a", Demand: 5, Level: level, LevelKnown: true}})
	}
	if got := levelOf(q, c.now, "a"); got != -20 {
		t.Errorf("level %.1f, want -20", got)
	}
}

// TestQuotaLog guards against a tenant over its quota of which the log says nothing, or a
// line for each refusal.
func TestQuotaLog(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	c := newCluster(1, 1)
	f := c.fronts[0]
	f.quotas = NewTenantQuotas(f.member, f.registry, c, zap.New(core))
	tenant := c.add("a", 10, 10, 0)
	c.run(10 * time.Second)
	tenant.demand = 100
	c.run(5 * time.Second)
	if f.quotas.NumOver() != 1 || f.quotas.Refusals() == 0 {
		t.Errorf("%d tenants over their quotas, %d refusals", f.quotas.NumOver(), f.quotas.Refusals())
	}
	tenant.demand = 1
	c.run(20 * time.Second)
	if f.quotas.NumOver() != 0 {
		t.Error("a tenant is still over its quota")
	}
	var lines []string
	for _, l := range logs.All() {
		lines = append(lines, l.Message)
	}
	if len(lines) != 2 || lines[0] != "tenant over quota" || lines[1] != "tenant below quota" {
		t.Errorf("log lines %q", lines)
	}
	if fields := logs.All()[0].ContextMap(); fields["from"] == "" || fields["age"] == nil {
		t.Errorf("the line does not name the source of the level and its age: %v", fields)
	}
}

// TestIdleTenants guards against state of tenants that send nothing any more.
func TestIdleTenants(t *testing.T) {
	c := newCluster(1, testFronts)
	tenant := c.add("a", 100, 100, 200)
	c.run(10 * time.Second)
	tenant.demand = 0
	c.run(30 * time.Second)
	for _, f := range c.fronts {
		if e, b := len(f.quotas.shardOf("a").entries), len(f.quotas.watch.buckets); e > 0 || b > 0 {
			t.Errorf("front %s has %d entries and %d buckets", f.member.Name, e, b)
		}
	}
}

// TestConcurrentUse guards against data races between requests, messages and the tick.
func TestConcurrentUse(*testing.T) {
	c := newCluster(1, 2)
	tenant := c.add("a", 10, 10, 0)
	c.run(10 * time.Second)
	q, now := c.fronts[0].quotas, c.now
	from := snipefeed.Sender{Address: "x"}
	usage := []snipefeed.TenantUsage{{Tenant: "a", Admitted: 1, Demand: 20}}
	var group sync.WaitGroup
	for _, f := range []func(){
		func() { q.Admit(now, &tenant.Tenant) },
		func() { q.Return(now, &tenant.Tenant) },
		func() { q.Tick(now) },
		func() { q.MergeTenants(now, from, usage) },
		func() { q.MergeTenantNotice(now, from, 3, usage) },
		func() { q.ApplyTenantLevels(now, now, "x", q.ReportTenants(now, "x"), q.TenantLevels(now)) },
		func() { _, _ = q.NumOver(), q.Refusals() },
	} {
		group.Go(func() {
			for range 200 {
				f()
			}
		})
	}
	group.Wait()
}
