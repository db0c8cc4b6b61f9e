package snipeconn

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// openWithoutData reports whether an idle connection is open and has no received
// bytes. Bytes that arrive on an idle connection belong to no request, so it must
// not be reused.
func openWithoutData(c net.Conn) bool {
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
