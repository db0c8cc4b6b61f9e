// Package snipelog writes structured logs: one line of key=value pairs for each
// event. A Writer limits their volume and never blocks the code that logs: it drops
// and counts lines above its limits.
package snipelog
