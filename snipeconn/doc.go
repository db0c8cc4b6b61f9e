// Package snipeconn sends single HTTP/1.1 requests to targets over connections
// that it keeps for reuse.
//
// It never repeats a request: each failure says whether the target can have
// begun it, and the caller decides. An answer belongs to a request only if it
// echoes the identifier of that request; other answers on the connection are
// skipped. A connection is reused only after a complete, framed answer with no
// bytes behind it.
package snipeconn
