package snipefront

import "golang.org/x/sync/semaphore"

const (
	// bodyMemoryShare is the fraction of the memory of the process for the bodies of
	// requests and responses.
	bodyMemoryShare = 0.25
	// responseMemoryShare is the fraction of the memory for bodies that responses may
	// hold. Callers decide how long a response is held; the rest is for request bodies,
	// which are held only as long as targets work.
	responseMemoryShare = 0.5
	// defaultMemoryBytes is the assumed memory of the process if the settings state
	// none.
	defaultMemoryBytes = 256 << 20
)

// newBodyMemory returns the memory budget, in bytes, for the bodies of requests and
// responses. process is the memory of the process in bytes, or zero if it is not
// known.
func newBodyMemory(process int64) *semaphore.Weighted {
	return semaphore.NewWeighted(int64(bodyMemoryShare * processMemory(process)))
}

// processMemory returns process, or the assumed memory of a process if it is zero.
func processMemory(process int64) float64 {
	if process == 0 {
		return defaultMemoryBytes
	}
	return float64(process)
}

// memoryShare is a part of a memory budget. What it reserves counts in both.
type memoryShare struct {
	total, share *semaphore.Weighted
}

// newMemoryShare returns the part of the budget for bodies that responses may hold.
func newMemoryShare(total *semaphore.Weighted, process int64) memoryShare {
	n := bodyMemoryShare * responseMemoryShare * processMemory(process)
	return memoryShare{total: total, share: semaphore.NewWeighted(int64(n))}
}

// TryAcquire reserves n bytes, or reports false if the share or the budget has fewer.
func (m memoryShare) TryAcquire(n int64) bool {
	if !m.share.TryAcquire(n) {
		return false
	}
	if !m.total.TryAcquire(n) {
		m.share.Release(n)
		return false
	}
	return true
}

// Release returns n reserved bytes.
func (m memoryShare) Release(n int64) {
	m.total.Release(n)
	m.share.Release(n)
}
