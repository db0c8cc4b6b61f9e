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
	// MaxHeaderBytes bounds the total size of the header names and values of one
	// relayed request or response, in bytes, so that they fit into one frame with
	// the other fields.
	MaxHeaderBytes = 48 << 10

	// prefixBytes is the size of the length prefix, a big-endian uint32.
	prefixBytes = 4
)

// Reason names why a frame was rejected; it is a label value of the counter of
// invalid frames.
type Reason string

// Reasons for which a session is closed.
const (
	// ReasonFrameTooLarge means that a frame or a chunk exceeds its limit.
	ReasonFrameTooLarge Reason = "frameTooLarge"
	// ReasonFrameEmpty means that the length prefix is zero.
	ReasonFrameEmpty Reason = "frameEmpty"
	// ReasonUndecodable means that a frame is not valid protobuf.
	ReasonUndecodable Reason = "undecodable"
	// ReasonUnexpectedFrame means that a frame is not permitted at its position
	// in the stream.
	ReasonUnexpectedFrame Reason = "unexpectedFrame"
	// ReasonHeaderTooLarge means that headers exceed MaxHeaderBytes.
	ReasonHeaderTooLarge Reason = "headerTooLarge"
	// ReasonUnknownKind means that no handler exists for a control message.
	ReasonUnknownKind Reason = "unknownKind"
	// ReasonBadHello means that a Hello is missing, incomplete or contradictory.
	ReasonBadHello Reason = "badHello"
)

// InvalidFrameError reports a frame that breaks the protocol.
type InvalidFrameError struct {
	// Reason is the label value under which the frame is counted.
	Reason Reason
	// Detail says what was wrong, for logs and error texts.
	Detail string
}

// Error implements error.
func (e *InvalidFrameError) Error() string {
	return fmt.Sprintf("invalid frame (%s): %s", e.Reason, e.Detail)
}

// invalidFramef returns an *InvalidFrameError with a formatted detail.
func invalidFramef(reason Reason, format string, args ...any) error {
	return &InvalidFrameError{Reason: reason, Detail: fmt.Sprintf(format, args...)}
}

// readMessage reads one length-prefixed message of at most limit bytes into m.
// It returns io.EOF only at a message boundary. The buffer grows in steps as
// bytes arrive, so that a large length prefix alone does not allocate the whole
// message.
func readMessage(r io.Reader, limit uint32, m proto.Message) error {
	var buf []byte
	return readMessageBuf(r, limit, m, &buf)
}

// readMessageBuf is readMessage with a buffer that the caller reuses.
func readMessageBuf(r io.Reader, limit uint32, m proto.Message, buf *[]byte) error {
	var prefix [prefixBytes]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return io.EOF
		}
		return fmt.Errorf("read length prefix: %w", err)
	}
	size := binary.BigEndian.Uint32(prefix[:])
	if size > limit {
		return invalidFramef(ReasonFrameTooLarge, "%d bytes, limit %d", size, limit)
	}
	if size == 0 {
		return invalidFramef(ReasonFrameEmpty, "length prefix is zero")
	}
	*buf = (*buf)[:0]
	if err := readBytes(r, int(size), buf); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return fmt.Errorf("read frame of %d bytes: %w", size, err)
	}
	// Unmarshal copies the bytes that m retains, so buf can be reused.
	if err := proto.Unmarshal(*buf, m); err != nil {
		return invalidFramef(ReasonUndecodable, "%v", err)
	}
	return nil
}

// readBytes reads size bytes into buf, which it grows by at most MaxFrame bytes
// before each read.
func readBytes(r io.Reader, size int, buf *[]byte) error {
	for len(*buf) < size {
		part := min(size-len(*buf), MaxFrame)
		start := len(*buf)
		*buf = slices.Grow(*buf, part)[:start+part]
		if _, err := io.ReadFull(r, (*buf)[start:]); err != nil {
			return err //nolint:wrapcheck // the caller adds the frame size
		}
	}
	return nil
}

// writeMessage writes m with its length prefix in one Write call.
func writeMessage(w io.Writer, limit uint32, m proto.Message) error {
	var buf []byte
	return writeMessageBuf(w, limit, m, &buf)
}

// writeMessageBuf is writeMessage with a buffer that the caller reuses. This is
// safe because yamux keeps no reference to the bytes after Write has returned.
func writeMessageBuf(w io.Writer, limit uint32, m proto.Message, reused *[]byte) error {
	buf := slices.Grow((*reused)[:0], prefixBytes+proto.Size(m))[:prefixBytes]
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, m)
	if err != nil {
		return fmt.Errorf("encode frame: %w", err)
	}
	*reused = buf
	size := len(buf) - prefixBytes
	if uint64(size) > uint64(limit) || size == 0 {
		return invalidFramef(ReasonFrameTooLarge, "%d bytes to send, limit %d", size, limit)
	}
	binary.BigEndian.PutUint32(buf, uint32(size))
	if _, err := w.Write(buf); err != nil {
		return fmt.Errorf("write frame: %w", err)
	}
	return nil
}

// readFrame reads one relay frame and checks the sizes of its chunk or headers.
func readFrame(r io.Reader, buf *[]byte) (*snipewire.Frame, error) {
	f := &snipewire.Frame{}
	if err := readMessageBuf(r, MaxFrame, f, buf); err != nil {
		return nil, err
	}
	if f.GetBody() == nil {
		return nil, invalidFramef(ReasonUnexpectedFrame, "no body")
	}
	if len(f.GetChunk()) > MaxChunk {
		return nil, invalidFramef(ReasonFrameTooLarge, "chunk of %d bytes, limit %d", len(f.GetChunk()), MaxChunk)
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

// checkHeaders returns an *InvalidFrameError if headers exceed MaxHeaderBytes.
func checkHeaders(headers []*snipewire.Header) error {
	total := 0
	for _, h := range headers {
		total += len(h.GetName())
		for _, v := range h.GetValues() {
			total += len(v)
		}
	}
	if total > MaxHeaderBytes {
		return invalidFramef(ReasonHeaderTooLarge, "%d bytes, limit %d", total, MaxHeaderBytes)
	}
	return nil
}
