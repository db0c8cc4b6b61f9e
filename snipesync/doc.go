// Package snipesync synchronizes a front with the store. It receives the
// operators' configuration, the targets, the other fronts and the evacuations,
// from the store or through another front, and registers the front itself under a
// lease.
//
// A single watch covers all keys. The follower pauses between two watches of the
// store, so that one call returns many changes. The pause delays changes by what
// the platform's bounds on draining, configuration and evacuation allow.
package snipesync
