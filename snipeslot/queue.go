package snipeslot

import (
	"slices"
	"sort"

	"github.com/snipemoor/snipemoor/snipetime"
)

// queueEntry is a request that waits for a slot.
type queueEntry struct {
	acquire  Acquire
	arrived  snipetime.Instant
	deadline snipetime.Instant
	waitEnd  snipetime.Instant // end of MaximumWait, at most deadline
	mayReuse bool              // the member may start it under a grant of a completed attempt
}

// queue holds requests ordered by deadline, and by arrival among equal
// deadlines. It is a slice instead of a heap because requests are also removed
// from its middle and its length is bounded.
type queue struct {
	entries []*queueEntry
}

// position returns the index at which a request with the deadline belongs.
func (q *queue) position(deadline snipetime.Instant) int {
	return sort.Search(len(q.entries), func(i int) bool { return q.entries[i].deadline.After(deadline) })
}

func (q *queue) insert(at int, e *queueEntry) { q.entries = slices.Insert(q.entries, at, e) }

func (q *queue) remove(at int) { q.entries = slices.Delete(q.entries, at, at+1) }

// find returns the index of an attempt, or -1.
func (q *queue) find(attemptID string) int {
	return slices.IndexFunc(q.entries, func(e *queueEntry) bool { return e.acquire.AttemptID == attemptID })
}
