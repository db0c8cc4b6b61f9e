package snipetarget

import (
	"errors"
	"fmt"
	"io"
	"net/http/httptrace"
	"time"
)

// maxWriteReport is how long the end of a response waits for the report that its request
// has been written. The goroutine that writes may be scheduled after the one that reads
// the response; net/http waits as long before it reuses a connection.
const maxWriteReport = 50 * time.Millisecond

var errRequestNotWritten = fmt.Errorf("connection ended before the request was written: %w", io.ErrUnexpectedEOF)

// wroteRequest records that net/http has written the whole request.
func (t *tracker) wroteRequest(info httptrace.WroteRequestInfo) {
	if info.Err == nil {
		t.writtenOnce.Do(func() { close(t.written) })
	}
}

// checkEnd returns an error unless the connection of the attempt, whose reader has seen
// its end, was closed in order after the whole request had been received.
func (t *tracker) checkEnd() error {
	timer := time.NewTimer(maxWriteReport)
	defer timer.Stop()
	select {
	case <-t.written:
	case <-timer.C:
		return errRequestNotWritten
	}
	t.mu.Lock()
	conn := t.conn
	t.mu.Unlock()
	return conn.endError()
}

// unframedBody is a response body that only the end of the connection delimits. Its Read
// returns io.EOF only if nothing says that the connection ended early.
type unframedBody struct {
	io.ReadCloser
	tracker *tracker
}

// Read implements io.Reader.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if endErr := b.tracker.checkEnd(); endErr != nil {
			err = endErr
		}
	}
	return n, err //nolint:wrapcheck // io.EOF is compared
}
