package snipepeer

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/snipemoor/snipemoor/snipewire"
)

const (
	// MaxFrame is the largest relay frame in bytes, without its length prefix.
	MaxFrame = 64 << 10
	// MaxChunk is the largest part of a body in one frame, in bytes. A frame
	// with a full chunk stays below MaxFrame.
	MaxChunk = 32 << 10
	// MaxHeaderBytes bounds names and values of the headers of one relayed
	// request or answer, so that they fit into one frame with the other fields.
	MaxHeaderBytes = 48 << 10

	prefixBytes = 4
)

// Reason names why a frame was rejected; it is a label of a counter.
type Reason string

// Reasons for which a session is closed.
const (
	ReasonFrameTooLarge   Reason = "frameTooLarge"
	ReasonFrameEmpty      Reason = "frameEmpty"
	ReasonUndecodable     Reason = "undecodable"
	ReasonUnexpectedFrame Reason = "unexpectedFrame"
	ReasonHeaderTooLarge  Reason = "headerTooLarge"
	ReasonUnknownKind     Reason = "unknownKind"
	ReasonBadHello        Reason = "badHello"
)

// InvalidFrameError reports a frame that breaks the protocol.
type InvalidFrameError struct {
	// Reason is the label of the counter.
	Reason Reason
	// Detail says what was wrong.
	Detail string
}

// Error implements error.
func (e *InvalidFrameError) Error() string {
	return fmt.Sprintf("invalid frame (%s): %s", e.Reason, e.Detail)
}

func invalid(reason Reason, format string, args ...any) error {
	return &InvalidFrameError{Reason: reason, Detail: fmt.Sprintf(format, args...)}
}

// readMessage reads one length-prefixed message of at most limit bytes into m.
// It returns io.EOF only at a message boundary. The buffer grows with the bytes
// that arrive, so a large prefix alone allocates nothing.
func readMessage(r io.Reader, limit uint32, m proto.Message) error {
	var buf []byte
	return readBuffered(r, limit, m, &buf)
}

// readBuffered is readMessage with a buffer that is used again.
func readBuffered(r io.Reader, limit uint32, m proto.Message, buf *[]byte) error {
	var prefix [prefixBytes]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return io.EOF
		}
		return fmt.Errorf("read length prefix: %w", err)
	}
	size := binary.BigEndian.Uint32(prefix[:])
	if size > limit {
		return invalid(ReasonFrameTooLarge, "%d bytes, limit %d", size, limit)
	}
	if size == 0 {
		return invalid(ReasonFrameEmpty, "length prefix is zero")
	}
	*buf = (*buf)[:0]
	if err := readBytes(r, int(size), buf); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return fmt.Errorf("read frame of %d bytes: %w", size, err)
	}
	// Unmarshal copies the bytes that m keeps.
	if err := proto.Unmarshal(*buf, m); err != nil {
		return invalid(ReasonUndecodable, "%v", err)
	}
	return nil
}

// readBytes reads size bytes into buf, which grows with what arrives.
func readBytes(r io.Reader, size int, buf *[]byte) error {
	for len(*buf) < size {
		part := min(size-len(*buf), MaxFrame)
		start := len(*buf)
		*buf = slices.Grow(*buf, part)[:start+part]
		if _, err := io.ReadFull(r, (*buf)[start:]); err != nil {
			return err //nolint:wrapcheck // the caller names the frame
		}
	}
	return nil
}

// writeMessage writes m with its length prefix in one Write call.
func writeMessage(w io.Writer, limit uint32, m proto.Message) error {
	var buf []byte
	return writeBuffered(w, limit, m, &buf)
}

// writeBuffered is writeMessage with a buffer that is used again. yamux keeps
// no reference to the bytes after Write has returned.
func writeBuffered(w io.Writer, limit uint32, m proto.Message, reused *[]byte) error {
	buf := slices.Grow((*reused)[:0], prefixBytes+proto.Size(m))[:prefixBytes]
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, m)
	if err != nil {
		return fmt.Errorf("encode frame: %w", err)
	}
	*reused = buf
	size := len(buf) - prefixBytes
	if uint64(size) > uint64(limit) || size == 0 {
		return invalid(ReasonFrameTooLarge, "%d bytes to send, limit %d", size, limit)
	}
	binary.BigEndian.PutUint32(buf, uint32(size))
	if _, err := w.Write(buf); err != nil {
		return fmt.Errorf("write frame: %w", err)
	}
	return nil
}

// readFrame reads one relay frame and checks its bounds.
func readFrame(r io.Reader, buf *[]byte) (*snipewire.Frame, error) {
	f := &snipewire.Frame{}
	if err := readBuffered(r, MaxFrame, f, buf); err != nil {
		return nil, err
	}
	if f.GetBody() == nil {
		return nil, invalid(ReasonUnexpectedFrame, "no body")
	}
	if len(f.GetChunk()) > MaxChunk {
		return nil, invalid(ReasonFrameTooLarge, "chunk of %d bytes, limit %d", len(f.GetChunk()), MaxChunk)
	}
	headers := f.GetRequest().GetHeaders()
	if f.GetAnswer() != nil {
		headers = f.GetAnswer().GetHeaders()
	}
	if err := checkHeaders(headers); err != nil {
		return nil, err
	}
	return f, nil
}

func checkHeaders(headers []*snipewire.Header) error {
	total := 0
	for _, h := range headers {
		total += len(h.GetName())
		for _, v := range h.GetValues() {
			total += len(v)
		}
	}
	if total > MaxHeaderBytes {
		return invalid(ReasonHeaderTooLarge, "%d bytes, limit %d", total, MaxHeaderBytes)
	}
	return nil
}
