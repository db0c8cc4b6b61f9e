package snipepeer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/hashicorp/yamux"
	"go.uber.org/zap"

	"github.com/snipemoor/snipemoor/snipewire"
)

const (
	// maxNameBytes bounds each of address, incarnation and place of a Hello.
	maxNameBytes = 256
	// maxFormerIncarnations bounds the former incarnations kept for an address.
	maxFormerIncarnations = 8
	// maxHandshakes bounds the inbound connections whose Hello exchange is not
	// finished; further connections are closed at once.
	maxHandshakes = 256
)

// muxConfig returns the yamux configuration of a session.
func (n *Node) muxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.KeepAliveInterval = n.settings.PingInterval
	c.ConnectionWriteTimeout = n.settings.PingTimeout
	c.StreamOpenTimeout = n.settings.HandshakeTimeout
	c.StreamCloseTimeout = n.settings.PingTimeout
	c.LogOutput = nil
	c.Logger = yamuxLogger{n.log}
	return c
}

// hello returns the Hello of this instance for a session of the given epoch.
func (n *Node) hello(epoch uint64) *snipewire.Hello {
	return &snipewire.Hello{
		Address:      n.settings.Address,
		Incarnation:  n.settings.Incarnation,
		Place:        n.settings.Place,
		SessionEpoch: epoch,
	}
}

// dialPeer connects to address and opens a session on the connection.
func (n *Node) dialPeer(address string) error {
	ctx, cancel := context.WithTimeout(n.ctx, n.settings.HandshakeTimeout)
	defer cancel()
	conn, err := n.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("dial: %w", err)
	}
	mux, err := yamux.Client(conn, n.muxConfig())
	if err != nil {
		_ = conn.Close()
		return fmt.Errorf("start yamux session: %w", err)
	}
	if err := n.clientHandshake(ctx, mux, address); err != nil {
		_ = mux.Close()
		return fmt.Errorf("handshake: %w", err)
	}
	return nil
}

// clientHandshake sends a Hello with the next epoch and installs the session if
// the peer accepts it.
func (n *Node) clientHandshake(ctx context.Context, mux *yamux.Session, address string) error {
	stop := context.AfterFunc(ctx, func() { _ = mux.Close() })
	defer stop()
	n.mu.Lock()
	p := n.peerLocked(address)
	exists, epoch := p.session != nil, p.epoch+1
	n.mu.Unlock()
	if exists {
		return errors.New("the peer opened a session first")
	}
	control, err := mux.OpenStream()
	if err != nil {
		return fmt.Errorf("open control stream: %w", err)
	}
	hello := &snipewire.Control{Body: &snipewire.Control_Hello{Hello: n.hello(epoch)}}
	if err := writeMessage(control, MaxFrame, hello); err != nil {
		return err
	}
	reply := &snipewire.Control{}
	if err := readMessage(control, MaxFrame, reply); err != nil {
		return n.countInvalid(err)
	}
	h := reply.GetHello()
	if err := n.checkHello(h); err != nil {
		return n.countInvalid(err)
	}
	if h.GetAddress() != address {
		return n.countInvalid(invalidFramef(ReasonBadHello, "dialled %s, but %s answered", address, h.GetAddress()))
	}
	if reply.GetError() != "" {
		n.raiseEpoch(address, h)
		return fmt.Errorf("rejected by the peer: %s", reply.GetError())
	}
	if h.GetSessionEpoch() != epoch {
		return n.countInvalid(invalidFramef(ReasonBadHello, "epoch %d, want %d", h.GetSessionEpoch(), epoch))
	}
	s := newSession(n, mux, control, h, true)
	if _, err := n.install(s); err != nil {
		return err
	}
	if !stop() {
		s.close("handshakeTimeout")
		return errors.New("handshake timeout exceeded during the Hello exchange")
	}
	s.start()
	return nil
}

// raiseEpoch records the epoch in the Hello of the rejecting peer, so that the
// next dial proposes a higher one.
func (n *Node) raiseEpoch(address string, h *snipewire.Hello) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.peerLocked(address)
	p.epoch = max(p.epoch, h.GetSessionEpoch())
}

// checkHello returns an *InvalidFrameError if a received Hello is not valid.
func (n *Node) checkHello(h *snipewire.Hello) error {
	switch {
	case h == nil:
		return invalidFramef(ReasonBadHello, "first message is not a Hello")
	case h.GetAddress() == "" || h.GetIncarnation() == "" || h.GetSessionEpoch() == 0:
		return invalidFramef(ReasonBadHello, "address, incarnation or epoch is missing")
	case len(h.GetAddress()) > maxNameBytes, len(h.GetIncarnation()) > maxNameBytes, len(h.GetPlace()) > maxNameBytes:
		return invalidFramef(ReasonBadHello, "address, incarnation or place is longer than %d bytes", maxNameBytes)
	case h.GetAddress() == n.settings.Address:
		return invalidFramef(ReasonBadHello, "peer names this instance's own address")
	}
	return nil
}

// acceptLoop accepts connections of peers until the node is closed.
func (n *Node) acceptLoop() {
	semaphore := make(chan struct{}, maxHandshakes)
	for {
		conn, err := n.listener.Accept()
		if err != nil {
			if n.ctx.Err() != nil {
				return
			}
			n.log.Warn("accept failed", zap.Error(err))
			select {
			case <-n.ctx.Done():
				return
			case <-time.After(n.settings.RetryMin):
			}
			continue
		}
		select {
		case semaphore <- struct{}{}:
		default:
			_ = conn.Close()
			continue
		}
		started := n.spawn(func() {
			defer func() { <-semaphore }()
			if err := n.serverHandshake(conn); err != nil {
				n.log.Info("inbound session rejected", zap.Error(err))
			}
		})
		if !started {
			_ = conn.Close()
			return
		}
	}
}

// serverHandshake opens the session of an inbound connection.
func (n *Node) serverHandshake(conn net.Conn) error {
	mux, err := yamux.Server(conn, n.muxConfig())
	if err != nil {
		_ = conn.Close()
		return fmt.Errorf("start yamux session: %w", err)
	}
	ctx, cancel := context.WithTimeout(n.ctx, n.settings.HandshakeTimeout)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = mux.Close() })
	defer stop()
	s, err := n.answerHello(ctx, mux)
	if err != nil {
		_ = mux.Close()
		return err
	}
	if !stop() {
		s.close("handshakeTimeout")
		return errors.New("handshake timeout exceeded during the Hello exchange")
	}
	s.start()
	return nil
}

// answerHello reads the peer's Hello and replies with a Hello of the same epoch,
// or rejects the session with an error and the epoch to exceed.
func (n *Node) answerHello(ctx context.Context, mux *yamux.Session) (*session, error) {
	control, err := mux.AcceptStreamWithContext(ctx)
	if err != nil {
		return nil, fmt.Errorf("accept control stream: %w", err)
	}
	first := &snipewire.Control{}
	if err := readMessage(control, MaxFrame, first); err != nil {
		return nil, n.countInvalid(err)
	}
	h := first.GetHello()
	if err := n.checkHello(h); err != nil {
		return nil, n.countInvalid(err)
	}
	n.awaitOwnDial(ctx, h.GetAddress())
	s := newSession(n, mux, control, h, false)
	highestEpoch, err := n.install(s)
	if err != nil {
		reply := &snipewire.Control{
			Error: err.Error(),
			Body:  &snipewire.Control_Hello{Hello: n.hello(max(highestEpoch, 1))},
		}
		if writeMessage(control, MaxFrame, reply) == nil {
			awaitPeerClose(ctx, mux)
		}
		return nil, err
	}
	reply := &snipewire.Control{Body: &snipewire.Control_Hello{Hello: n.hello(h.GetSessionEpoch())}}
	if err := writeMessage(control, MaxFrame, reply); err != nil {
		s.close("handshakeFailed")
		return nil, err
	}
	return s, nil
}

// awaitPeerClose waits until the peer closes a rejected session. If this side
// closed it right after the reply, the peer's write of its Hello might not have
// returned yet and would fail with "session shutdown"; the peer would then not
// read the rejection with the epoch to exceed.
func awaitPeerClose(ctx context.Context, mux *yamux.Session) {
	select {
	case <-mux.CloseChan():
	case <-ctx.Done():
	}
}

// awaitOwnDial waits for a dial of this instance to address that is in progress,
// if this side has precedence because its address is the lower one. Without the
// wait, two instances that dial each other at the same time would open one
// session and replace it by the other while requests run on it. The wait is
// bounded, so that failing dials in one direction cannot block the other.
func (n *Node) awaitOwnDial(ctx context.Context, address string) {
	if n.settings.Address > address {
		return
	}
	n.mu.Lock()
	d := n.peerLocked(address).dial
	n.mu.Unlock()
	if d == nil {
		return
	}
	timer := time.NewTimer(n.settings.HandshakeTimeout / 4)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-d.done:
	}
}

// countInvalid counts err if it reports an invalid frame, and returns it.
func (n *Node) countInvalid(err error) error {
	var inv *InvalidFrameError
	if errors.As(err, &inv) {
		n.metrics.invalid.WithLabelValues(string(inv.Reason)).Inc()
	}
	return err
}
