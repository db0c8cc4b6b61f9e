// Package snipelog writes structured logs: one line of key=value pairs for each
// event, in bounded volume, and without ever blocking the caller.
package snipelog
