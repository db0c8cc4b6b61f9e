// Package snipeconn sends single HTTP/1.1 requests to targets over pooled
// keep-alive connections.
//
// It never retries a request: each Error reports whether the target may have
// begun the request, and the calling code decides whether to send it again. A
// response that carries the identifier of another request is skipped; one without
// an identifier is accepted. A connection is reused only after a complete
// response with a defined end (Content-Length, chunked or no body) and no bytes
// after it.
package snipeconn
