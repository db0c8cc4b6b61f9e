package sniperetry

import "slices"

// AttemptRecord holds the state of each attempt of a request, in order. The zero value
// belongs to a request without attempts, which was offered to no target.
type AttemptRecord []AttemptState

// Begin records an attempt that is made now and returns its index. It counts as one that
// may have begun until End records a state that shows the contrary.
func (r *AttemptRecord) Begin() int {
	*r = append(*r, Running)
	return len(*r) - 1
}

// End records the state in which the attempt with the given index has ended.
func (r AttemptRecord) End(index int, s AttemptState) { r[index] = s }

// MayHaveBegun reports whether a target may have begun to execute one of the attempts.
func (r AttemptRecord) MayHaveBegun() bool {
	return slices.ContainsFunc(r, AttemptState.MayHaveBegun)
}

// Outcome returns the outcome of a request without a response: NotRun if the state of each
// attempt shows it, otherwise Unknown.
func (r AttemptRecord) Outcome() Outcome {
	if r.MayHaveBegun() {
		return Unknown
	}
	return NotRun
}
