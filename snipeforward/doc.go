// Package snipeforward serves the callers' interface: it forwards one request
// to a target of its place and streams the answer back.
//
// This version makes one attempt in the own place. Requests of class once are
// refused, because at-most-once records are not connected yet.
package snipeforward
