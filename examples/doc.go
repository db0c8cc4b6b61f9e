// Package examples holds the example deployments society and bakhour: their
// configuration documents, the settings files of their instances, and the
// behavior of their stand-ins.
package examples
