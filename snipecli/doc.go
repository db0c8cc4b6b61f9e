// Package snipecli implements the operators' command line of snipemoor.
//
// An App runs one command line and returns its exit status. The configuration
// commands read and write the store, and poll the admin interface of one instance
// until every live instance has the new generation in force. The commands lookup
// and load use the callers' interface. The command check-config checks a configuration of
// the users' platform, which a ConfigReader decodes.
package snipecli
