package snipeonce

import "github.com/snipemoor/snipemoor/snipetime"

// closedSet remembers identifiers that were refused before they had a record.
// When it is full it closes all identifiers issued so far at once, so that the
// memory is bounded and no refused identifier is ever forgotten too early.
type closedSet struct {
	ids   map[RequestID]snipetime.Instant
	limit int
	floor snipetime.Instant
	on    bool
}

func newClosedSet(limit int) closedSet {
	return closedSet{ids: make(map[RequestID]snipetime.Instant), limit: limit}
}

func (c *closedSet) add(id RequestID, now, until snipetime.Instant) {
	if until.Before(now) {
		return
	}
	if len(c.ids) >= c.limit {
		c.floor, c.on = now, true
		clear(c.ids)
	}
	c.ids[id] = until
}

func (c *closedSet) has(id RequestID) bool {
	if c.on && !id.issued().After(c.floor) {
		return true
	}
	_, ok := c.ids[id]
	return ok
}

// tick drops identifiers whose start window has closed.
func (c *closedSet) tick(now snipetime.Instant) {
	for id, until := range c.ids {
		if now.After(until) {
			delete(c.ids, id)
		}
	}
}

// expiryHeap orders records by the end of their retention.
type expiryHeap []*record

func (h expiryHeap) Len() int { return len(h) }

func (h expiryHeap) Less(i, j int) bool { return h[i].keep.Before(h[j].keep) }

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	r := x.(*record)
	r.index = len(*h)
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
