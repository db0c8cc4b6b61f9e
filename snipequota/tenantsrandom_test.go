package snipequota

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestRandomFaults guards against a sequence of faults in which a tenant runs more
// requests than its quota.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const fronts = 36 // so that a third of them is large
		c := newCluster(rapid.Uint64().Draw(t, "seed"), fronts)
		quota := rapid.SampledFrom([]float64{6, 20, 100}).Draw(t, "quota")
		tenant := c.add("a", quota, quota, quota/2)
		switch rapid.IntRange(0, 2).Draw(t, "division") {
		case 1:
			tenant.weight = mostlyInOneRegion
		case 2:
			tenant.weight = atLargeFronts
		}
		c.run(6 * time.Second)
		var end func()
		for range rapid.IntRange(1, 5).Draw(t, "faults") {
			tenant.demand = quota * rapid.SampledFrom([]float64{0.5, 1, 3.75}).Draw(t, "demand")
			if end != nil {
				end()
			}
			end = rapid.SampledFrom(clusterFaults()).Draw(t, "fault").begin(c)
			c.run(time.Duration(rapid.IntRange(0, 8000).Draw(t, "ms")) * time.Millisecond)
		}
		checkWindow(t, c)
	})
}
