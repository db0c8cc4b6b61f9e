// Package snipeconn sends single HTTP/1.1 requests to targets over pooled
// keep-alive connections.
//
// It never retries a request: each Error reports whether the target may have
// begun the request, and the calling code decides whether to send it again. A
// response that carries the identifier of another request is skipped. One without
// an identifier is accepted on a new connection only, since on a reused one it may
// be a late copy of a response to an earlier request.
//
// No identifier is sent twice over one connection. A late copy of a response to an
// earlier attempt, which has the identifier of its request, is therefore never taken
// for the response to a later attempt, whichever target, status or caller the two
// attempts have. A further attempt takes another idle connection, or opens one.
// Requests of method HEAD and others have separate connections, so that a response to
// another request can be skipped with its body.
//
// A connection is reused only after a complete response with a defined end
// (Content-Length, chunked or no body) and no bytes after it.
package snipeconn
