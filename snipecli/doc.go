// Package snipecli implements the operators' command line of snipemoor.
//
// An App runs one command line and returns its exit status. The configuration
// commands talk to the store, and poll the admin interface of one instance to
// learn whether a generation is in force. The commands lookup and load use the
// callers' interface.
package snipecli
