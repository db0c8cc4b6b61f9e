// Package snipefront assembles the process that stands between callers and
// targets on the users' platform: it answers callers, the directory and
// readiness, follows the store, and stops gracefully.
package snipefront
