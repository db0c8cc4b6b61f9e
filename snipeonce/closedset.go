package snipeonce

import "github.com/snipemoor/snipemoor/snipetime"

// closedSet holds the identifiers that were closed before their request had a
// record, until their start window ends. When it is full, it closes all
// identifiers issued so far and starts again empty. That bounds its memory
// without reopening an identifier whose start window is still open.
type closedSet struct {
	// ids maps each identifier to the end of its start window.
	ids   map[RequestID]snipetime.Instant
	limit int
	// closedUpTo is the latest issue time of the identifiers that were closed
	// because the set was full. It is valid if overflowed is set.
	closedUpTo snipetime.Instant
	overflowed bool
}

func newClosedSet(limit int) closedSet {
	return closedSet{ids: make(map[RequestID]snipetime.Instant), limit: limit}
}

func (c *closedSet) add(id RequestID, now, until snipetime.Instant) {
	if until.Before(now) {
		return
	}
	if len(c.ids) >= c.limit {
		c.closedUpTo, c.overflowed = now, true
		clear(c.ids)
	}
	c.ids[id] = until
}

func (c *closedSet) contains(id RequestID) bool {
	if c.overflowed && !id.issued().After(c.closedUpTo) {
		return true
	}
	_, ok := c.ids[id]
	return ok
}

// expire removes identifiers whose start window has ended.
func (c *closedSet) expire(now snipetime.Instant) {
	for id, until := range c.ids {
		if now.After(until) {
			delete(c.ids, id)
		}
	}
}

// expiryHeap is a min-heap of records by their expiry time.
type expiryHeap []*record

func (h expiryHeap) Len() int { return len(h) }

func (h expiryHeap) Less(i, j int) bool { return h[i].expiresAt.Before(h[j].expiresAt) }

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	r := x.(*record)
	r.heapIndex = len(*h)
	*h = append(*h, r)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
