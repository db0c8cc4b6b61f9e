package snipegate

import (
	"hash/maphash"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/snipemoor/snipemoor/snipefleet"
)

// maxRememberedRefusals is the number of requests of which a refusalMemory knows where they
// were refused.
const maxRememberedRefusals = 4096

// refusalMemory knows which targets refused the last requests that are not idempotent. A
// caller may send a refused request again with the same identifier; a late copy of the
// refusal could then pass for the response of the same target. It is safe for concurrent use.
type refusalMemory struct {
	// seed keeps callers from choosing identifiers with equal hashes.
	seed    maphash.Seed
	targets *lru.Cache[uint64, []*snipefleet.Target]
}

// newRefusalMemory returns an empty memory.
func newRefusalMemory() *refusalMemory {
	targets, err := lru.New[uint64, []*snipefleet.Target](maxRememberedRefusals)
	if err != nil {
		panic(err) // The size is not positive.
	}
	return &refusalMemory{seed: maphash.MakeSeed(), targets: targets}
}

// add records that the targets refused the request with the given identifier.
func (m *refusalMemory) add(id string, targets []*snipefleet.Target) {
	if len(targets) > 0 {
		m.targets.Add(maphash.String(m.seed, id), targets)
	}
}

// refusedBy returns the targets that refused the request with the given identifier. The
// caller must not change the result.
func (m *refusalMemory) refusedBy(id string) []*snipefleet.Target {
	targets, _ := m.targets.Get(maphash.String(m.seed, id))
	return targets
}
