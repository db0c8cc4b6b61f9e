package snipepeer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"

	"github.com/hashicorp/yamux"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/snipemoor/snipemoor/snipewire"
)

// RemoteError reports that a call failed at the peer: its handler returned an
// error, or the peer rejected the call.
type RemoteError struct {
	// Text is the error message of the peer.
	Text string
}

// Error implements error.
func (e *RemoteError) Error() string { return "peer answered: " + e.Text }

// session is one yamux session after its Hello exchange.
type session struct {
	node    *Node
	peer    Peer
	mux     *yamux.Session
	control net.Conn
	// dialledByLower is set if the side with the lower address dialled; of two
	// sessions with the same epoch such a session has precedence.
	dialledByLower bool

	ctx       context.Context
	cancel    context.CancelFunc
	done      chan struct{}
	closeOnce sync.Once
	// outgoing is the queue of control messages.
	outgoing chan *snipewire.Control
	// callSemaphore and relaySemaphore limit the calls and the relayed requests
	// that run concurrently.
	callSemaphore  chan struct{}
	relaySemaphore chan struct{}

	mu           sync.Mutex
	nextCall     uint64
	pendingCalls map[uint64]chan *snipewire.Control
}

// newSession returns a session that is not installed; h is the peer's Hello.
func newSession(n *Node, mux *yamux.Session, control net.Conn, h *snipewire.Hello, dialled bool) *session {
	ctx, cancel := context.WithCancel(n.ctx)
	lower := n.settings.Address < h.GetAddress()
	return &session{
		node: n,
		peer: Peer{
			Address:     h.GetAddress(),
			Incarnation: h.GetIncarnation(),
			Place:       h.GetPlace(),
			Epoch:       h.GetSessionEpoch(),
		},
		mux:            mux,
		control:        control,
		dialledByLower: dialled == lower,
		ctx:            ctx,
		cancel:         cancel,
		done:           make(chan struct{}),
		outgoing:       make(chan *snipewire.Control, n.settings.QueueLength),
		callSemaphore:  make(chan struct{}, n.settings.MaxCalls),
		relaySemaphore: make(chan struct{}, n.settings.MaxRelays),
		pendingCalls:   make(map[uint64]chan *snipewire.Control),
	}
}

// start starts the goroutines of an installed session.
func (s *session) start() {
	loops := []func(){s.writeLoop, s.readLoop, s.relayLoop, s.monitor}
	for _, loop := range loops {
		if !s.node.spawn(loop) {
			s.close("nodeClosed")
			return
		}
	}
}

// close closes the session and publishes SessionDown. Only the first call has an
// effect; cause is a label value of the counter of closed sessions.
func (s *session) close(cause string) {
	s.closeOnce.Do(func() {
		s.cancel()
		close(s.done)
		_ = s.mux.Close()
		n := s.node
		n.mu.Lock()
		if p := n.peers[s.peer.Address]; p != nil && p.session == s {
			p.session = nil
		}
		n.mu.Unlock()
		n.metrics.sessions.Dec()
		n.metrics.closed.WithLabelValues(cause).Inc()
		n.log.Info("session closed", zap.String("peer", s.peer.Address),
			zap.Uint64("epoch", s.peer.Epoch), zap.String("cause", cause))
		n.events.push(Event{Kind: SessionDown, Peer: s.peer})
	})
}

// fail closes the session because of err, which it counts if it reports an
// invalid frame.
func (s *session) fail(err error) {
	var inv *InvalidFrameError
	if errors.As(err, &inv) {
		_ = s.node.countInvalid(err)
		s.close("invalidFrame")
		return
	}
	s.close("lost")
}

// monitor closes the session when yamux shuts down, for example after a ping
// timeout.
func (s *session) monitor() {
	select {
	case <-s.mux.CloseChan():
		s.close("lost")
	case <-s.done:
	}
}

// writeLoop sends the queued control messages. It drops a message that exceeds
// MaxControlBytes and goes on.
func (s *session) writeLoop() {
	for {
		select {
		case <-s.done:
			return
		case c := <-s.outgoing:
			if err := writeMessage(s.control, s.node.settings.MaxControlBytes, c); err != nil {
				var inv *InvalidFrameError
				if errors.As(err, &inv) {
					s.node.log.Error("control message is too large to send", zap.Error(err))
					continue
				}
				s.fail(err)
				return
			}
		}
	}
}

// readLoop reads control messages and dispatches them in order.
func (s *session) readLoop() {
	for {
		c := &snipewire.Control{}
		if err := readMessage(s.control, s.node.settings.MaxControlBytes, c); err != nil {
			s.fail(err)
			return
		}
		if err := s.dispatch(c); err != nil {
			s.fail(err)
			return
		}
	}
}

// dispatch passes a control message to the waiting call or to its handler. A
// message without a call id is one-way.
func (s *session) dispatch(c *snipewire.Control) error {
	if c.GetReply() {
		s.deliver(c)
		return nil
	}
	m := unwrap(c)
	if m == nil {
		return invalidFramef(ReasonUnknownKind, "control message without a known body")
	}
	kind := m.ProtoReflect().Descriptor().FullName()
	if c.GetCallId() == 0 {
		h := s.node.sends[kind]
		if h == nil {
			return invalidFramef(ReasonUnknownKind, "no handler for message %s", kind)
		}
		h(s.peer, m)
		return nil
	}
	h := s.node.calls[kind]
	if h == nil {
		return invalidFramef(ReasonUnknownKind, "no handler for call %s", kind)
	}
	s.serveCall(c.GetCallId(), m, h)
	return nil
}

// serveCall runs h on a goroutine of its own, or rejects the call if MaxCalls
// calls of the session are running.
func (s *session) serveCall(id uint64, m proto.Message, h callHandler) {
	select {
	case s.callSemaphore <- struct{}{}:
	default:
		_ = s.enqueue(&snipewire.Control{CallId: id, Reply: true, Error: "too many calls at once"})
		return
	}
	started := s.node.spawn(func() {
		defer func() { <-s.callSemaphore }()
		_ = s.enqueue(answerCall(s.ctx, s.peer, id, m, h))
	})
	if !started {
		<-s.callSemaphore
	}
}

// answerCall runs h and returns the control message with its reply or error.
func answerCall(ctx context.Context, from Peer, id uint64, m proto.Message, h callHandler) *snipewire.Control {
	reply, err := h(ctx, from, m)
	if err != nil {
		return &snipewire.Control{CallId: id, Reply: true, Error: err.Error()}
	}
	c, err := wrap(reply)
	if err != nil {
		return &snipewire.Control{CallId: id, Reply: true, Error: err.Error()}
	}
	c.CallId = id
	c.Reply = true
	return c
}

// enqueue queues c, or drops it, counts it and returns an error that wraps
// ErrNotSent or ErrQueueFull.
func (s *session) enqueue(c *snipewire.Control) error {
	select {
	case <-s.done:
		s.node.metrics.dropped.Inc()
		return fmt.Errorf("send to %s: %w", s.peer.Address, ErrNotSent)
	default:
	}
	select {
	case s.outgoing <- c:
		return nil
	default:
		s.node.metrics.dropped.Inc()
		return fmt.Errorf("send to %s: %w", s.peer.Address, ErrQueueFull)
	}
}

// call sends c with a new call id and waits for the reply.
func (s *session) call(ctx context.Context, c *snipewire.Control) (proto.Message, error) {
	reply := make(chan *snipewire.Control, 1)
	s.mu.Lock()
	s.nextCall++
	id := s.nextCall
	s.pendingCalls[id] = reply
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.pendingCalls, id)
		s.mu.Unlock()
	}()
	c.CallId = id
	if err := s.enqueue(c); err != nil {
		return nil, err
	}
	select {
	case <-ctx.Done():
		return nil, fmt.Errorf("call to %s: %w", s.peer.Address, ctx.Err())
	case <-s.done:
		return nil, fmt.Errorf("call to %s: %w", s.peer.Address, ErrSessionClosed)
	case r := <-reply:
		return openReply(r)
	}
}

// openReply returns the body of a reply, or its error as a *RemoteError.
func openReply(r *snipewire.Control) (proto.Message, error) {
	if r.GetError() != "" {
		return nil, &RemoteError{Text: r.GetError()}
	}
	m := unwrap(r)
	if m == nil {
		return nil, &RemoteError{Text: "reply without a body"}
	}
	return m, nil
}

// deliver passes a reply to the pending call; it drops the reply of a call that
// has already returned.
func (s *session) deliver(c *snipewire.Control) {
	s.mu.Lock()
	reply := s.pendingCalls[c.GetCallId()]
	delete(s.pendingCalls, c.GetCallId())
	s.mu.Unlock()
	if reply != nil {
		reply <- c
	}
}
