package snipequota

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/snipemoor/snipemoor/snipefeed"
	"github.com/snipemoor/snipemoor/snipetable"
	"github.com/snipemoor/snipemoor/snipewire"
)

// BenchmarkAdmit measures a decision.
func BenchmarkAdmit(b *testing.B) {
	for _, n := range []int{1, 77, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := newCluster(1, 1)
			for i := range n {
				c.add(fmt.Sprintf("tenant-%05d", i), 1e6, 1e6, 0)
			}
			q := c.fronts[0].quotas
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				q.Admit(c.now.Add(time.Duration(i)*time.Microsecond), &c.ordered[i%n].Tenant)
			}
		})
	}
}

// BenchmarkAdmitParallel measures decisions on all cores, for as many tenants.
func BenchmarkAdmitParallel(b *testing.B) {
	for _, n := range []int{1, 77} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := newCluster(1, 1)
			for i := range n {
				c.add(fmt.Sprintf("tenant-%05d", i), 1e6, 1e6, 0)
			}
			q := c.fronts[0].quotas
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for i := 0; pb.Next(); i++ {
					q.Admit(c.now, &c.ordered[i%n].Tenant)
				}
			})
		})
	}
}

// BenchmarkExchange measures the bytes about tenants that all fronts together send in a
// second, with a tenth of the tenants at 1.5 times the quota and the others at half of it.
func BenchmarkExchange(b *testing.B) {
	for _, n := range []int{77, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := newCluster(1, testFronts)
			for i := range n {
				load := 0.5
				if i%10 == 0 {
					load = 1.5
				}
				c.add(fmt.Sprintf("tenant-%05d", i), 10, 10, load*10)
			}
			c.run(5 * time.Second)
			c.size, c.bytes = usageSize, make(map[string]int)
			for b.Loop() {
				c.run(time.Second)
			}
			for kind, bytes := range c.bytes {
				b.ReportMetric(float64(bytes)/float64(b.N), kind+"-B/s")
			}
		})
	}
}

// usageSize returns the size of the usage in a message.
func usageSize(usage []snipefeed.TenantUsage) int {
	m := &snipewire.ItemsRequest{}
	for _, u := range usage {
		m.Tenants = append(m.Tenants, &snipewire.TenantUsage{
			Tenant: u.Tenant, Admitted: u.Admitted, Demand: u.Demand, Level: u.Level, LevelKnown: u.LevelKnown,
		})
	}
	return proto.Size(m)
}

// TestAdmitAllocations guards against allocations in the decision on a request.
func TestAdmitAllocations(t *testing.T) {
	c := newCluster(1, 1)
	limited, unlimited := c.add("a", 10, 10, 0), &snipetable.Tenant{Name: "b"}
	q := c.fronts[0].quotas
	now := c.now
	q.Admit(now, &limited.Tenant)
	if n := testing.AllocsPerRun(1000, func() {
		now = now.Add(time.Millisecond)
		q.Admit(now, &limited.Tenant)
		q.Return(now, &limited.Tenant)
		q.Admit(now, unlimited)
	}); n > 0 {
		t.Errorf("%.1f allocations", n)
	}
	if len(q.shardOf("b").entries) > 0 && q.shardOf("b").entries["b"] != nil {
		t.Error("there is state of a tenant without a quota")
	}
}
