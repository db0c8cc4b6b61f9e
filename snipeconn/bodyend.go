package snipeconn

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"

	"golang.org/x/sys/unix"
)

// errBrokenOff means that a body that only the end of the connection delimits ended for
// another reason than that the target had sent all of it.
var errBrokenOff = fmt.Errorf("connection ended without showing that the body is complete: %w", io.ErrUnexpectedEOF)

// closeWait is the state (TCP_CLOSE_WAIT) of a connection that only its peer has closed.
const closeWait = unix.BPF_TCP_CLOSE_WAIT

// EndsWithConn reports whether only the end of the connection delimits the body of a
// response, which then states neither a length nor chunks.
func EndsWithConn(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}

// unframedBody is a body that only the end of the connection delimits. Its Read returns
// io.EOF only if nothing says that the connection ended early.
type unframedBody struct {
	body     io.Reader
	exchange *exchange
}

// Read implements io.Reader.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if errors.Is(err, io.EOF) {
		if endErr := b.exchange.checkEnd(); endErr != nil {
			err = endErr
		}
	}
	return n, err //nolint:wrapcheck // io.EOF is compared
}

// checkEnd returns an error unless the connection, whose reader has seen its end, was
// closed in order after the whole request had been received. The kernel reports a reset
// only once, and a writer that gets the report leaves io.EOF to the reader. The writer is
// stopped first, because what it writes later would not be in the state of the socket.
func (e *exchange) checkEnd() error {
	if e.written != nil {
		// This fails only if the connection is closed already.
		_ = e.conn.SetWriteDeadline(pastDeadline)
		err := <-e.written
		e.written <- err
		if err != nil {
			return fmt.Errorf("%w: write request body: %w", errBrokenOff, err)
		}
	}
	return CheckOrderlyEnd(e.conn.Conn)
}

// CheckOrderlyEnd returns an error unless the peer of a TCP connection has closed it in
// order after it received all bytes that were written. A connection that was reset is no
// longer half-closed. A peer that closes before it has received everything is about to
// reset the connection, so that its end does not show that it has sent all it had to.
// Connections that are not sockets are not checked.
func CheckOrderlyEnd(c net.Conn) error {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return fmt.Errorf("%w: %w", errBrokenOff, err)
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err := errors.Join(err, infoErr); err != nil {
		return fmt.Errorf("%w: read the state of the connection: %w", errBrokenOff, err)
	}
	switch {
	case info.State != closeWait:
		return fmt.Errorf("%w: it was reset", errBrokenOff)
	case info.Unacked > 0 || info.Notsent_bytes > 0:
		return fmt.Errorf("%w: request not received completely", errBrokenOff)
	default:
		return nil
	}
}
