// Package snipesync keeps a front in step with the store: it follows the
// operators' configuration, the targets and the other fronts, and announces the
// front under a lease.
//
// One watch follows everything. Between two answers the loop pauses, so that one
// call brings many changes; the pause is the delay that the bounds on draining
// and configuration leave room for.
package snipesync
