// Package snipefront assembles the process that stands between callers and
// targets on the users' platform. The process serves callers, the directory,
// readiness and metrics, applies the changes of the store, exchanges data with other
// fronts, and stops gracefully.
package snipefront
