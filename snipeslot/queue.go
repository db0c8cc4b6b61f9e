package snipeslot

import (
	"slices"
	"sort"

	"github.com/snipemoor/snipemoor/snipetime"
)

type entry struct {
	acquire  Acquire
	arrived  snipetime.Instant
	deadline snipetime.Instant
	giveUp   snipetime.Instant // end of the longest wait, at most deadline
	offered  bool              // the member may start it under a grant that it has
}

// queue holds requests by deadline, and by arrival among equal deadlines. It is
// a slice because requests are also removed from its middle and its length is
// bounded.
type queue struct {
	entries []*entry
}

// position returns the index at which a request with the deadline belongs.
func (q *queue) position(deadline snipetime.Instant) int {
	return sort.Search(len(q.entries), func(i int) bool { return q.entries[i].deadline.After(deadline) })
}

func (q *queue) insert(at int, e *entry) { q.entries = slices.Insert(q.entries, at, e) }

func (q *queue) remove(at int) { q.entries = slices.Delete(q.entries, at, at+1) }

// find returns the index of an attempt, or -1.
func (q *queue) find(attemptID string) int {
	return slices.IndexFunc(q.entries, func(e *entry) bool { return e.acquire.AttemptID == attemptID })
}
