package snipequota

import (
	"testing"
	"time"
)

// TestWatchersReturnDuringOverload guards against watchers that come back while a tenant is
// far over its quota, as after the store rejected them for some seconds, and charge the
// level with the demand that other watchers report. Their fronts then refused most requests
// of the tenant, also after its overload had ended.
func TestWatchersReturnDuringOverload(t *testing.T) {
	const quota = 700.0
	c := newCluster(4, testFronts)
	tenant := c.add("a", quota, quota, quota/2)
	c.run(10 * time.Second)
	var away []*clusterFront
	for _, f := range c.fronts {
		if f.watches() && len(away) < 2 {
			away = append(away, f)
		}
	}
	for _, f := range away {
		c.forEachView(func(o *clusterFront) {
			if o != f {
				o.registry.RemoveMember(c.now, f.member.Name)
			}
		})
	}
	c.run(2 * time.Second)
	tenant.demand = 3.5 * quota
	c.run(4 * time.Second)
	for _, f := range away {
		c.forEachView(func(o *clusterFront) { o.registry.UpdateMember(f.member) })
	}
	c.run(viewDelay / 2)
	from := len(tenant.admitted)
	c.run(5 * time.Second)
	if got := float64(total(tenant.admitted[from:])) / 5; got < 0.85*quota {
		t.Errorf("%.1f admitted per second in the overload, want %.1f", got, 0.85*quota)
	}
	checkWindow(t, c)
	tenant.demand = quota / 2
	c.run(2 * time.Second)
	from = len(tenant.refused)
	c.run(5 * time.Second)
	if n, r := total(tenant.refused[from:]), total(tenant.referenceRefused[from:]); n > r+1 {
		t.Errorf("%d requests refused 2 s after the overload, reference %d", n, r)
	}
}
