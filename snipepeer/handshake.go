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
	// maxNameBytes bounds address, incarnation and place of a Hello.
	maxNameBytes = 256
	// maxRetired bounds the remembered former incarnations of an address.
	maxRetired = 8
	// maxHandshakes bounds inbound connections without a finished Hello.
	maxHandshakes = 256
)

func (n *Node) muxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.KeepAliveInterval = n.settings.PingInterval
	c.ConnectionWriteTimeout = n.settings.PingTimeout
	c.StreamOpenTimeout = n.settings.HandshakeTimeout
	c.StreamCloseTimeout = n.settings.PingTimeout
	c.LogOutput = nil
	c.Logger = muxLog{n.log}
	return c
}

func (n *Node) hello(epoch uint64) *snipewire.Hello {
	return &snipewire.Hello{
		Address:      n.settings.Address,
		Incarnation:  n.settings.Incarnation,
		Place:        n.settings.Place,
		SessionEpoch: epoch,
	}
}

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
		return fmt.Errorf("start session: %w", err)
	}
	if err := n.greet(ctx, mux, address); err != nil {
		_ = mux.Close()
		return fmt.Errorf("handshake: %w", err)
	}
	return nil
}

// greet sends a Hello with the next epoch and installs the session when the
// peer agrees.
func (n *Node) greet(ctx context.Context, mux *yamux.Session, address string) error {
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
		return n.countInvalid(invalid(ReasonBadHello, "dialled %s, but %s answered", address, h.GetAddress()))
	}
	if reply.GetError() != "" {
		n.raiseEpoch(address, h)
		return fmt.Errorf("rejected by the peer: %s", reply.GetError())
	}
	if h.GetSessionEpoch() != epoch {
		return n.countInvalid(invalid(ReasonBadHello, "epoch %d, want %d", h.GetSessionEpoch(), epoch))
	}
	s := newSession(n, mux, control, h, true)
	if _, err := n.install(s); err != nil {
		return err
	}
	if !stop() {
		s.close("handshakeTimeout")
		return errors.New("time limit reached")
	}
	s.start()
	return nil
}

// raiseEpoch records the epoch that the rejecting peer has seen, so that the
// next dial proposes a higher one.
func (n *Node) raiseEpoch(address string, h *snipewire.Hello) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.peerLocked(address)
	p.epoch = max(p.epoch, h.GetSessionEpoch())
}

func (n *Node) checkHello(h *snipewire.Hello) error {
	switch {
	case h == nil:
		return invalid(ReasonBadHello, "first message is not a Hello")
	case h.GetAddress() == "" || h.GetIncarnation() == "" || h.GetSessionEpoch() == 0:
		return invalid(ReasonBadHello, "address, incarnation or epoch is missing")
	case len(h.GetAddress()) > maxNameBytes, len(h.GetIncarnation()) > maxNameBytes, len(h.GetPlace()) > maxNameBytes:
		return invalid(ReasonBadHello, "a name is longer than %d bytes", maxNameBytes)
	case h.GetAddress() == n.settings.Address:
		return invalid(ReasonBadHello, "peer names this instance's own address")
	}
	return nil
}

func (n *Node) acceptLoop() {
	slots := make(chan struct{}, maxHandshakes)
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
		case slots <- struct{}{}:
		default:
			_ = conn.Close()
			continue
		}
		started := n.spawn(func() {
			defer func() { <-slots }()
			if err := n.welcome(conn); err != nil {
				n.log.Info("inbound session rejected", zap.Error(err))
			}
		})
		if !started {
			_ = conn.Close()
			return
		}
	}
}

// welcome answers the Hello of an inbound connection.
func (n *Node) welcome(conn net.Conn) error {
	mux, err := yamux.Server(conn, n.muxConfig())
	if err != nil {
		_ = conn.Close()
		return fmt.Errorf("start session: %w", err)
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
		return errors.New("time limit reached")
	}
	s.start()
	return nil
}

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
	floor, err := n.install(s)
	if err != nil {
		reply := &snipewire.Control{
			Error: err.Error(),
			Body:  &snipewire.Control_Hello{Hello: n.hello(max(floor, 1))},
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

// awaitPeerClose leaves the end of a rejected session to the peer. If this side
// closed it right after the reply, the peer's write of its Hello could still be
// waiting for its result and fail with "session shutdown", and the rejection
// with the epoch to exceed would be lost.
func awaitPeerClose(ctx context.Context, mux *yamux.Session) {
	select {
	case <-mux.CloseChan():
	case <-ctx.Done():
	}
}

// awaitOwnDial lets a dial of this instance to address finish first if this
// side has precedence. Without it, a pair that dials at once would open one
// session and replace it by the other while requests run on it. The wait is
// bounded, so that a direction in which dials fail cannot block the other.
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
