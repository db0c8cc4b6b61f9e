package snipequota

import (
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
				c := newCluster(seed, testFronts)
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
