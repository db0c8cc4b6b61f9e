package snipecaller

import (
	"net/http"

	"golang.org/x/sys/unix"
)

// ResetOnClose makes the connection of a request end with a reset when it is closed. A
// caller that takes the end of the connection for the end of a response, as one of
// HTTP/1.0 does, can then tell that the response is truncated. ResetOnClose has no effect
// if the server does not use Listen and Context.
func ResetOnClose(r *http.Request) {
	c := connOf(r)
	if c == nil || c.socket == nil {
		return
	}
	raw, err := c.socket.SyscallConn()
	if err != nil {
		return
	}
	// An error means that the connection has been closed.
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1, Linger: 0})
	})
}
