// Package snipecaller wraps the connections of callers below net/http to support
// HTTP/1.1 pipelining.
//
// A caller that pipelines sends further requests before the first one is
// answered. net/http serves them one after the other. From the first byte of a
// further request on, it no longer notices that the caller closes the connection,
// so that a handler would go on working for a disconnected caller. The connections
// of this package keep reading, up to a limit, and cancel the context of all their
// requests when the caller disconnects. They also record when each pipelined
// request arrived, and can start its response before net/http serves it; net/http
// still delivers the responses in the order of the requests.
//
// After a request that may have a body, a connection only watches for the caller
// to disconnect and detects no further requests, because bytes of a body must not
// be parsed as a request.
package snipecaller
