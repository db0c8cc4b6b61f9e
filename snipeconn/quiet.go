package snipeconn

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// quiet reports whether a connection is open and has nothing to read. Bytes that
// arrived without a request belong to no request.
func quiet(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && empty
}
