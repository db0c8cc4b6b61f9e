package snipepeer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/snipemoor/snipemoor/snipewire"
)

// RelayHandler serves one relayed request. ctx ends when the stream or the
// session goes away. The stream is closed when the handler returns; without an
// End or a Refusal the peer sees a truncated answer.
type RelayHandler func(ctx context.Context, s *RelayStream)

// RefusedError is the refusal that a peer sent on a relay stream.
type RefusedError struct {
	// Refusal is the frame of the peer.
	Refusal *snipewire.Refusal
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("relay refused (%s, %s): %s", e.Refusal.GetReason(), e.Refusal.GetOutcome(), e.Refusal.GetDetail())
}

// ClientStream is the sending end of a relayed request. One goroutine can
// write while another reads.
type ClientStream struct {
	session *session
	stream  *yamux.Stream
	stop    func() bool
	// in and out are the buffers of the reading and the writing goroutine.
	in, out []byte
	sent    uint64
	got     uint64
	once    sync.Once
}

// OpenRelay sends req to the peer on a stream of its own and opens a session if
// there is none. It sets incarnation and session epoch of req. An error that
// wraps ErrNoSession means that nothing was sent. The end of ctx aborts the
// stream.
func (n *Node) OpenRelay(ctx context.Context, peer string, req *snipewire.RelayRequest) (*ClientStream, error) {
	if err := checkHeaders(req.GetHeaders()); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNoSession, err)
	}
	s, err := n.connect(ctx, peer)
	if err != nil {
		return nil, err
	}
	stream, err := s.mux.OpenStream()
	if err != nil {
		return nil, fmt.Errorf("%w: open stream to %s: %w", ErrNoSession, peer, err)
	}
	req.Incarnation = s.peer.Incarnation
	req.SessionEpoch = s.peer.Epoch
	c := &ClientStream{session: s, stream: stream}
	c.stop = context.AfterFunc(ctx, func() { abort(stream) })
	if err := writeMessage(stream, MaxFrame, &snipewire.Frame{Body: &snipewire.Frame_Request{Request: req}}); err != nil {
		c.Close()
		var inv *InvalidFrameError
		if errors.As(err, &inv) {
			err = fmt.Errorf("%w: %w", ErrNoSession, err)
		}
		return nil, fmt.Errorf("relay to %s: %w", peer, err)
	}
	return c, nil
}

// abort unblocks reads and writes of the stream and tells the peer that this
// side is gone.
func abort(stream *yamux.Stream) {
	_ = stream.SetDeadline(time.Unix(1, 0))
	_ = stream.Close()
}

// Peer returns the other end of the stream's session.
func (c *ClientStream) Peer() Peer { return c.session.peer }

// WriteChunk sends a part of the request body and blocks while the peer's
// window is full.
func (c *ClientStream) WriteChunk(p []byte) error { return writeChunks(c.stream, p, &c.sent, &c.out) }

// CloseBody marks the request body as complete.
func (c *ClientStream) CloseBody() error { return writeEnd(c.stream, c.sent) }

// ReadAnswer waits for the start of the answer. A refusal is returned as a
// *RefusedError, a stream that ends early as io.ErrUnexpectedEOF.
func (c *ClientStream) ReadAnswer() (*snipewire.RelayAnswer, error) {
	f, err := c.read()
	if err != nil {
		return nil, err
	}
	if a := f.GetAnswer(); a != nil {
		return a, nil
	}
	return nil, c.unexpected(f)
}

// ReadChunk returns the next part of the answer's body. It returns io.EOF only
// after the end frame whose length matches; a stream cut short returns
// io.ErrUnexpectedEOF.
func (c *ClientStream) ReadChunk() ([]byte, error) {
	f, err := c.read()
	if err != nil {
		return nil, err
	}
	switch body := f.GetBody().(type) {
	case *snipewire.Frame_Chunk:
		c.got += uint64(len(body.Chunk))
		return body.Chunk, nil
	case *snipewire.Frame_End:
		if body.End.GetLength() != c.got {
			err := invalid(ReasonUnexpectedFrame, "end names %d bytes, %d arrived", body.End.GetLength(), c.got)
			c.session.fail(err)
			return nil, fmt.Errorf("%w: %w", io.ErrUnexpectedEOF, err)
		}
		return nil, io.EOF
	}
	return nil, c.unexpected(f)
}

func (c *ClientStream) read() (*snipewire.Frame, error) {
	f, err := readFrame(c.stream, &c.in)
	if err == nil {
		return f, nil
	}
	var inv *InvalidFrameError
	if errors.As(err, &inv) {
		c.session.fail(err)
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return nil, fmt.Errorf("relay from %s: %w", c.session.peer.Address, err)
}

func (c *ClientStream) unexpected(f *snipewire.Frame) error {
	if r := f.GetRefusal(); r != nil {
		return &RefusedError{Refusal: r}
	}
	err := invalid(ReasonUnexpectedFrame, "%T from the peer", f.GetBody())
	c.session.fail(err)
	return err
}

// Close releases the stream. Before the end of the answer it cancels the
// request at the peer. It can be called more than once.
func (c *ClientStream) Close() {
	c.once.Do(func() {
		c.stop()
		abort(c.stream)
	})
}

// RelayStream is the serving end of a relayed request. One goroutine can read
// the body while another writes the answer.
type RelayStream struct {
	session *session
	stream  *yamux.Stream
	request *snipewire.RelayRequest
	cancel  context.CancelFunc
	chunks  chan []byte
	// readErr is set before chunks is closed; io.EOF marks a complete body.
	readErr error
	ctx     context.Context
	// in and out are the buffers of the reading and the writing goroutine.
	in, out []byte
	sent    uint64
}

// Request returns the relayed request.
func (r *RelayStream) Request() *snipewire.RelayRequest { return r.request }

// Peer returns the other end of the stream's session.
func (r *RelayStream) Peer() Peer { return r.session.peer }

// ReadChunk returns the next part of the request body and io.EOF after its end
// mark. A body cut short returns io.ErrUnexpectedEOF.
func (r *RelayStream) ReadChunk() ([]byte, error) {
	select {
	case p, ok := <-r.chunks:
		if !ok {
			return nil, r.readErr
		}
		return p, nil
	case <-r.ctx.Done():
		return nil, fmt.Errorf("relay stream: %w", r.ctx.Err())
	}
}

// WriteAnswer sends the start of the answer.
func (r *RelayStream) WriteAnswer(a *snipewire.RelayAnswer) error {
	if err := checkHeaders(a.GetHeaders()); err != nil {
		return err
	}
	return writeMessage(r.stream, MaxFrame, &snipewire.Frame{Body: &snipewire.Frame_Answer{Answer: a}})
}

// WriteChunk sends a part of the answer's body and blocks while the peer's
// window is full.
func (r *RelayStream) WriteChunk(p []byte) error { return writeChunks(r.stream, p, &r.sent, &r.out) }

// End marks the answer as complete.
func (r *RelayStream) End() error { return writeEnd(r.stream, r.sent) }

// Refuse ends the request without an answer.
func (r *RelayStream) Refuse(refusal *snipewire.Refusal) error {
	return writeMessage(r.stream, MaxFrame, &snipewire.Frame{Body: &snipewire.Frame_Refusal{Refusal: refusal}})
}

func writeChunks(w io.Writer, p []byte, sent *uint64, buf *[]byte) error {
	for len(p) > 0 {
		part := p[:min(len(p), MaxChunk)]
		if err := writeBuffered(w, MaxFrame, &snipewire.Frame{Body: &snipewire.Frame_Chunk{Chunk: part}}, buf); err != nil {
			return err
		}
		*sent += uint64(len(part))
		p = p[len(part):]
	}
	return nil
}

func writeEnd(w io.Writer, length uint64) error {
	return writeMessage(w, MaxFrame, &snipewire.Frame{Body: &snipewire.Frame_End{End: &snipewire.End{Length: length}}})
}

// relayLoop accepts the streams that the peer opens.
func (s *session) relayLoop() {
	for {
		stream, err := s.mux.AcceptStream()
		if err != nil {
			s.close("lost")
			return
		}
		select {
		case s.relays <- struct{}{}:
		default:
			abort(stream)
			continue
		}
		started := s.node.spawn(func() {
			defer func() { <-s.relays }()
			s.serveRelay(stream)
		})
		if !started {
			<-s.relays
			abort(stream)
		}
	}
}

func (s *session) serveRelay(stream *yamux.Stream) {
	defer abort(stream)
	_ = stream.SetReadDeadline(time.Now().Add(s.node.settings.HandshakeTimeout))
	var in []byte
	f, err := readFrame(stream, &in)
	if err != nil {
		var inv *InvalidFrameError
		if errors.As(err, &inv) {
			s.fail(err)
		}
		return
	}
	_ = stream.SetReadDeadline(time.Time{})
	req := f.GetRequest()
	if req == nil || s.node.relay == nil {
		s.fail(invalid(ReasonUnexpectedFrame, "relay stream starts with %T", f.GetBody()))
		return
	}
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	r := &RelayStream{session: s, stream: stream, request: req, cancel: cancel, chunks: make(chan []byte), ctx: ctx, in: in}
	if !s.node.spawn(r.readBody) {
		return
	}
	s.node.relay(ctx, r)
}

// readBody passes on the request body, then waits for the peer to go away.
// While a chunk waits for the handler, the end of the stream is not seen; the
// handler's deadline bounds this time.
func (r *RelayStream) readBody() {
	defer r.cancel()
	length, err := r.readChunks()
	r.readErr = err
	close(r.chunks)
	var inv *InvalidFrameError
	if errors.As(err, &inv) {
		r.session.fail(err)
	}
	if !errors.Is(err, io.EOF) {
		return
	}
	if f, err := readFrame(r.stream, &r.in); err == nil {
		r.session.fail(invalid(ReasonUnexpectedFrame, "%T after a body of %d bytes", f.GetBody(), length))
	}
}

// readChunks returns io.EOF after a complete body.
func (r *RelayStream) readChunks() (uint64, error) {
	length := uint64(0)
	for {
		f, err := readFrame(r.stream, &r.in)
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return length, err
		}
		switch body := f.GetBody().(type) {
		case *snipewire.Frame_Chunk:
			length += uint64(len(body.Chunk))
			select {
			case r.chunks <- body.Chunk:
			case <-r.ctx.Done():
				return length, fmt.Errorf("relay stream: %w", r.ctx.Err())
			}
		case *snipewire.Frame_End:
			if body.End.GetLength() != length {
				return length, invalid(ReasonUnexpectedFrame, "end names %d bytes, %d arrived", body.End.GetLength(), length)
			}
			return length, io.EOF
		default:
			return length, invalid(ReasonUnexpectedFrame, "%T in the request body", body)
		}
	}
}
