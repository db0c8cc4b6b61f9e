package snipegate

import (
	"hash/maphash"
	"slices"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipetime"
)

const (
	// maxRememberedRequests is the number of requests of which a refusalMemory knows where
	// they were refused.
	maxRememberedRequests = 4096
	// refusalRetention is how long it knows a refusal. A request that its caller sends again
	// under the same identifier would otherwise never come to its targets again.
	refusalRetention = time.Minute
)

// rememberedRefusal is a refusal of a request by a target.
type rememberedRefusal struct {
	target *snipefleet.Target
	at     snipetime.Instant
}

// refusalMemory knows which targets lately refused requests that are not idempotent. A caller
// may send a refused request again with the same identifier; a late copy of the refusal could
// then pass for the response of the same target. It is safe for concurrent use.
type refusalMemory struct {
	// seed keeps callers from choosing identifiers with equal hashes.
	seed maphash.Seed

	mu sync.Mutex
	// requests holds the refusals of each request by the hash of its identifier.
	requests *lru.Cache[uint64, []rememberedRefusal]
}

// newRefusalMemory returns an empty memory.
func newRefusalMemory() *refusalMemory {
	requests, err := lru.New[uint64, []rememberedRefusal](maxRememberedRequests)
	if err != nil {
		panic(err) // The size is not positive.
	}
	return &refusalMemory{seed: maphash.MakeSeed(), requests: requests}
}

// add records that t refuses the request with the given identifier at now.
func (m *refusalMemory) add(now snipetime.Instant, id string, t *snipefleet.Target) {
	key := maphash.String(m.seed, id)
	m.mu.Lock()
	defer m.mu.Unlock()
	refusals := append(m.recent(now, key), rememberedRefusal{t, now})
	m.requests.Add(key, refusals)
}

// refusedBy returns the targets that refused the request with the given identifier at most
// refusalRetention before now.
func (m *refusalMemory) refusedBy(now snipetime.Instant, id string) []*snipefleet.Target {
	key := maphash.String(m.seed, id)
	m.mu.Lock()
	defer m.mu.Unlock()
	var targets []*snipefleet.Target
	for _, r := range m.recent(now, key) {
		targets = append(targets, r.target)
	}
	return targets
}

// recent returns the refusals of a request that are kept. The caller holds the lock.
func (m *refusalMemory) recent(now snipetime.Instant, key uint64) []rememberedRefusal {
	refusals, _ := m.requests.Get(key)
	expired := func(r rememberedRefusal) bool { return now.Sub(r.at) > refusalRetention }
	return slices.DeleteFunc(slices.Clone(refusals), expired)
}
