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

// RelayHandler serves one relayed request. ctx is cancelled when the stream or
// the session is closed. The stream is closed when the handler returns; unless
// the handler has called End or Refuse, the peer reads a truncated response.
type RelayHandler func(ctx context.Context, s *RelayServerStream)

// RefusedError is the refusal that a peer sent on a relay stream.
type RefusedError struct {
	// Refusal is the received refusal.
	Refusal *snipewire.Refusal
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("relay refused (%s, %s): %s", e.Refusal.GetReason(), e.Refusal.GetOutcome(), e.Refusal.GetDetail())
}

// RelayClientStream is the requesting end of a relayed request. One goroutine can
// write the body while another reads the response.
type RelayClientStream struct {
	session *session
	stream  *yamux.Stream
	// detachContext stops the abort of the stream at the end of the context.
	detachContext func() bool
	// rbuf and wbuf are the buffers of the reading and the writing goroutine.
	rbuf, wbuf []byte
	sent       uint64
	received   uint64
	closeOnce  sync.Once
}

// OpenRelay sends req to the peer at the given address on a stream of its own and
// opens a session if there is none. It sets the incarnation and the session
// epoch of req. An error that wraps ErrNotSent means that nothing was sent,
// which includes a req that exceeds MaxHeaderBytes or MaxFrame. The stream is
// aborted when ctx ends.
func (n *Node) OpenRelay(ctx context.Context, peer string, req *snipewire.RelayRequest) (*RelayClientStream, error) {
	if err := checkHeaders(req.GetHeaders()); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	s, err := n.connect(ctx, peer)
	if err != nil {
		return nil, err
	}
	stream, err := s.mux.OpenStream()
	if err != nil {
		return nil, fmt.Errorf("%w: open stream to %s: %w", ErrNotSent, peer, err)
	}
	req.Incarnation = s.peer.Incarnation
	req.SessionEpoch = s.peer.Epoch
	c := &RelayClientStream{session: s, stream: stream}
	c.detachContext = context.AfterFunc(ctx, func() { abort(stream) })
	if err := writeMessage(stream, MaxFrame, &snipewire.Frame{Body: &snipewire.Frame_Request{Request: req}}); err != nil {
		c.Close()
		var inv *InvalidFrameError
		if errors.As(err, &inv) {
			err = fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return nil, fmt.Errorf("relay to %s: %w", peer, err)
	}
	return c, nil
}

// abort unblocks reads and writes of the stream and closes it, so that the peer
// reads its end.
func abort(stream *yamux.Stream) {
	_ = stream.SetDeadline(time.Unix(1, 0))
	_ = stream.Close()
}

// Peer returns the other end of the stream's session.
func (c *RelayClientStream) Peer() Peer { return c.session.peer }

// WriteChunk sends a part of the request body, split into frames of at most
// MaxChunk bytes. It blocks while the flow-control window of the stream is full.
func (c *RelayClientStream) WriteChunk(p []byte) error {
	return writeChunks(c.stream, p, &c.sent, &c.wbuf)
}

// CloseBody marks the request body as complete.
func (c *RelayClientStream) CloseBody() error { return writeEnd(c.stream, c.sent) }

// ReadResponse waits for the status and the headers of the response. A refusal is
// returned as a *RefusedError; if the stream ends early, the error wraps
// io.ErrUnexpectedEOF.
func (c *RelayClientStream) ReadResponse() (*snipewire.RelayAnswer, error) {
	f, err := c.read()
	if err != nil {
		return nil, err
	}
	if a := f.GetAnswer(); a != nil {
		return a, nil
	}
	return nil, c.unexpected(f)
}

// ReadChunk returns the next part of the response's body. It returns io.EOF only
// after an end frame whose length matches; if the body is truncated, the error
// wraps io.ErrUnexpectedEOF.
func (c *RelayClientStream) ReadChunk() ([]byte, error) {
	f, err := c.read()
	if err != nil {
		return nil, err
	}
	switch body := f.GetBody().(type) {
	case *snipewire.Frame_Chunk:
		c.received += uint64(len(body.Chunk))
		return body.Chunk, nil
	case *snipewire.Frame_End:
		if body.End.GetLength() != c.received {
			err := invalidFramef(ReasonUnexpectedFrame, "end names %d bytes, %d arrived", body.End.GetLength(), c.received)
			c.session.fail(err)
			return nil, fmt.Errorf("%w: %w", io.ErrUnexpectedEOF, err)
		}
		return nil, io.EOF
	}
	return nil, c.unexpected(f)
}

// read returns the next frame. An invalid one closes the session.
func (c *RelayClientStream) read() (*snipewire.Frame, error) {
	f, err := readFrame(c.stream, &c.rbuf)
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

// unexpected returns the error for a frame that the caller did not expect: a
// refusal, or a breach of the protocol, which closes the session.
func (c *RelayClientStream) unexpected(f *snipewire.Frame) error {
	if r := f.GetRefusal(); r != nil {
		return &RefusedError{Refusal: r}
	}
	err := invalidFramef(ReasonUnexpectedFrame, "%T from the peer", f.GetBody())
	c.session.fail(err)
	return err
}

// Close closes the stream. Before the end of the response, this cancels the
// context of the request's handler at the peer. It can be called more than once.
func (c *RelayClientStream) Close() {
	c.closeOnce.Do(func() {
		c.detachContext()
		abort(c.stream)
	})
}

// RelayServerStream is the serving end of a relayed request. One goroutine can read
// the body while another writes the response.
type RelayServerStream struct {
	session *session
	stream  *yamux.Stream
	request *snipewire.RelayRequest
	cancel  context.CancelFunc
	// chunks passes the parts of the request body from readBody to ReadChunk.
	chunks chan []byte
	// readErr is set before chunks is closed; it is io.EOF for a complete body.
	readErr error
	ctx     context.Context
	// rbuf and wbuf are the buffers of the reading and the writing goroutine.
	rbuf, wbuf []byte
	sent       uint64
}

// Request returns the relayed request.
func (r *RelayServerStream) Request() *snipewire.RelayRequest { return r.request }

// Peer returns the other end of the stream's session.
func (r *RelayServerStream) Peer() Peer { return r.session.peer }

// ReadChunk returns the next part of the request body, and io.EOF after the end
// frame. The error wraps io.ErrUnexpectedEOF if the body is truncated, and the
// error of the handler's context if that ends first.
func (r *RelayServerStream) ReadChunk() ([]byte, error) {
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

// WriteResponse sends the status and the headers of the response. It returns an
// *InvalidFrameError, and sends nothing, if they exceed MaxHeaderBytes.
func (r *RelayServerStream) WriteResponse(a *snipewire.RelayAnswer) error {
	if err := checkHeaders(a.GetHeaders()); err != nil {
		return err
	}
	return writeMessage(r.stream, MaxFrame, &snipewire.Frame{Body: &snipewire.Frame_Answer{Answer: a}})
}

// WriteChunk sends a part of the response's body, split into frames of at most
// MaxChunk bytes. It blocks while the flow-control window of the stream is full.
func (r *RelayServerStream) WriteChunk(p []byte) error {
	return writeChunks(r.stream, p, &r.sent, &r.wbuf)
}

// End marks the response as complete.
func (r *RelayServerStream) End() error { return writeEnd(r.stream, r.sent) }

// Refuse ends the request without a response.
func (r *RelayServerStream) Refuse(refusal *snipewire.Refusal) error {
	return writeMessage(r.stream, MaxFrame, &snipewire.Frame{Body: &snipewire.Frame_Refusal{Refusal: refusal}})
}

// writeChunks sends p in frames of at most MaxChunk bytes and adds the bytes sent
// to sent.
func writeChunks(w io.Writer, p []byte, sent *uint64, buf *[]byte) error {
	for len(p) > 0 {
		part := p[:min(len(p), MaxChunk)]
		if err := writeMessageBuf(w, MaxFrame, &snipewire.Frame{Body: &snipewire.Frame_Chunk{Chunk: part}}, buf); err != nil {
			return err
		}
		*sent += uint64(len(part))
		p = p[len(part):]
	}
	return nil
}

// writeEnd sends the end frame of a body of the given length in bytes.
func writeEnd(w io.Writer, length uint64) error {
	return writeMessage(w, MaxFrame, &snipewire.Frame{Body: &snipewire.Frame_End{End: &snipewire.End{Length: length}}})
}

// relayLoop accepts the streams that the peer opens. It aborts a stream if
// MaxRelays requests of the session are running.
func (s *session) relayLoop() {
	for {
		stream, err := s.mux.AcceptStream()
		if err != nil {
			s.close("lost")
			return
		}
		select {
		case s.relaySemaphore <- struct{}{}:
		default:
			abort(stream)
			continue
		}
		started := s.node.spawn(func() {
			defer func() { <-s.relaySemaphore }()
			s.serveRelay(stream)
		})
		if !started {
			<-s.relaySemaphore
			abort(stream)
		}
	}
}

// serveRelay reads the request of a stream and runs the handler.
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
		s.fail(invalidFramef(ReasonUnexpectedFrame, "relay stream starts with %T", f.GetBody()))
		return
	}
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	r := &RelayServerStream{session: s, stream: stream, request: req, cancel: cancel, chunks: make(chan []byte), ctx: ctx, rbuf: in}
	if !s.node.spawn(r.readBody) {
		return
	}
	s.node.relay(ctx, r)
}

// readBody passes the request body to ReadChunk, then waits for the peer to close
// the stream and cancels the handler's context. While a chunk waits for the
// handler to read it, a close by the peer is not detected; the handler's deadline
// bounds this time.
func (r *RelayServerStream) readBody() {
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
	if f, err := readFrame(r.stream, &r.rbuf); err == nil {
		r.session.fail(invalidFramef(ReasonUnexpectedFrame, "%T after a body of %d bytes", f.GetBody(), length))
	}
}

// readChunks reads the request body and returns its length in bytes. The error is
// io.EOF after a complete body and never nil.
func (r *RelayServerStream) readChunks() (uint64, error) {
	length := uint64(0)
	for {
		f, err := readFrame(r.stream, &r.rbuf)
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
				return length, invalidFramef(ReasonUnexpectedFrame, "end names %d bytes, %d arrived", body.End.GetLength(), length)
			}
			return length, io.EOF
		default:
			return length, invalidFramef(ReasonUnexpectedFrame, "%T in the request body", body)
		}
	}
}
