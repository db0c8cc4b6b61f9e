package snipecaller

import (
	"errors"
	"net/http"

	"golang.org/x/sys/unix"
)

// Disconnected reports whether the caller of a request has closed or reset its
// connection. Unlike the context of the request, it also tells if the connection was
// closed before the request was read and no read has found the end yet. It is false
// while further bytes of the caller wait to be read, and if the server does not use
// Listen and Context.
func Disconnected(r *http.Request) bool {
	if r.Context().Err() != nil {
		return true
	}
	c := connOf(r)
	if c == nil || c.socket == nil {
		return false
	}
	raw, err := c.socket.SyscallConn()
	if err != nil {
		return true
	}
	ended := false
	// Unlike Read, Control does not wait for a read that is in progress.
	err = raw.Control(func(fd uintptr) { ended = atEnd(int(fd)) })
	return err != nil || ended
}

// atEnd reports whether a read of a socket would find its end or an error at once.
func atEnd(fd int) bool {
	var b [1]byte
	for {
		n, _, err := unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case errors.Is(err, unix.EINTR):
		case errors.Is(err, unix.EAGAIN):
			return false
		default:
			return err != nil || n == 0
		}
	}
}
