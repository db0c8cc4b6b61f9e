// Package examples holds the example deployments society and bakhour: their
// configuration documents, the settings files of their instances, and the
// behavior of the stand-ins for the store, the instance list and the targets.
package examples
