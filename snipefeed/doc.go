// Package snipefeed distributes the items of the store to the fronts, from the
// store itself or through another front.
//
// The fronts of a failure domain form a group; the small failure domains of a
// region share one. Rendezvous hashing over the members selects a few fronts of
// each group as watchers, which watch the store. The other fronts ask a watcher
// for changes, so that the load on the store grows with the number of groups and
// not with that of fronts. The fronts need no agreement on this: a front whose
// source does not answer, or whose source has had no confirmation from the store
// for a fraction of the bound on changes, asks another watcher or the store.
//
// With each request for changes, fronts exchange the loads that targets reported
// lately, since each of many fronts receives few responses of any one target.
//
// A Log caches the items and their recent changes and serves them to other
// fronts. A SourceSelector selects the source of a front; it performs no I/O
// and receives the current time as a parameter. Items are opaque here: each
// front decodes them itself.
package snipefeed
