// Package snipewire holds the protobuf messages that entry instances exchange.
//
// The generated types are exported because the generator makes them so. They
// are committed, so that a build needs no generator. To generate them again
// after a change to frames.proto, run in this directory:
//
//	go tool -modfile=../tools/buf/go.mod buf generate
package snipewire
