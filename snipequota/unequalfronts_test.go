package snipequota

import (
	"fmt"
	"testing"
	"time"
)

// largeFronts is the number of large fronts in a fleet, two in each group.
const largeFronts = 12

// atLargeFronts is the weight of fronts in a fleet whose callers send all requests through
// the large ones.
func atLargeFronts(f *clusterFront) float64 {
	if f.index < largeFronts {
		return 1
	}
	return 0
}

// TestUnequalFronts guards against fronts without a watcher that refuse tenants below their
// quotas because callers send all requests through few fronts, whose equal part is far below
// their usual requests; and against tenants that run more requests than their quotas then.
func TestUnequalFronts(t *testing.T) {
	for _, fault := range clusterFaults() {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(3); seed < 5; seed++ {
				c := newClusterOf(seed, testFronts, capacity)
				hot := c.add("hot 300", 300, 300, 150)
				usual := []*clusterTenant{c.add("usual 60", 60, 60, 30), c.add("usual 300", 300, 300, 150)}
				for _, tenant := range c.ordered {
					tenant.weight = atLargeFronts
				}
				c.run(30 * time.Second)
				from := len(hot.admitted)
				hot.demand *= 7.5
				c.run(2 * time.Second)
				end := fault.begin(c)
				c.run(8 * time.Second)
				end()
				c.run(8 * time.Second)
				checkWindow(t, c)
				for _, tenant := range usual {
					refused := total(tenant.refused[from:])
					sent := refused + total(tenant.admitted[from:])
					t.Logf("%s: %d of %d refused", tenant.Name, refused, sent)
					if refused > 3+sent/6 {
						t.Errorf("%s: %d of %d refused at half of the quota", tenant.Name, refused, sent)
					}
				}
			}
		})
	}
}

// capacity returns the processor capacity of a front in a fleet with large ones.
func capacity(i int) float64 {
	if i < largeFronts {
		return 0.8
	}
	return 0.16
}

// TestUnequalFrontsStart guards against fronts that refuse tenants below their quotas in the
// first seconds after all of them restarted, because the large ones, through which the
// requests come, assume the equal part.
func TestUnequalFrontsStart(t *testing.T) {
	t.Parallel()
	for seed := uint64(3); seed < 7; seed++ {
		c := newClusterOf(seed, testFronts, capacity)
		for _, perSecond := range []float64{60, 300, 700} {
			c.add(fmt.Sprint(perSecond), perSecond, perSecond, perSecond/2).weight = atLargeFronts
		}
		c.run(20 * time.Second)
		from := len(c.ordered[0].admitted)
		for _, f := range c.fronts {
			c.restart(f)
		}
		c.run(3 * time.Second)
		for _, tenant := range c.ordered {
			refused := total(tenant.refused[from:])
			sent := refused + total(tenant.admitted[from:])
			t.Logf("%s: %d of %d refused", tenant.Name, refused, sent)
			// Fronts start with few tokens, and requests come at random times.
			allowed := 3 + sent/8
			if tenant.Quota.PerSecond < 100 {
				allowed = 3 + sent/4
			}
			if refused > allowed {
				t.Errorf("%s: %d of %d refused at half of the quota", tenant.Name, refused, sent)
			}
		}
	}
}

// TestLoweredQuotaWithoutWatchers guards against fronts without a watcher that keep what they
// admitted under a higher limit.
func TestLoweredQuotaWithoutWatchers(t *testing.T) {
	t.Parallel()
	c := newCluster(4, testFronts)
	tenant := c.add("a", 400, 400, 300)
	c.run(20 * time.Second)
	for _, f := range c.fronts {
		cut(c, f)
	}
	tenant.Quota.PerSecond, tenant.Quota.Burst = 40, 40
	c.run(5 * time.Second)
	from := len(tenant.admitted)
	c.run(10 * time.Second)
	if worst := tenant.worstWindow(from); float64(worst) > tenant.windowBound() {
		t.Errorf("%d requests in 5 s after the limit was lowered, bound %.0f", worst, tenant.windowBound())
	}
}
