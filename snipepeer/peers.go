package snipepeer

import (
	"context"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// peerState is what the node knows about one address. Node.mu guards it.
type peerState struct {
	session     *session
	incarnation string
	epoch       uint64
	retired     []string
	dial        *dialState
	stopWanted  context.CancelFunc
}

// dialState is one dial that several callers can wait for.
type dialState struct {
	done chan struct{}
	err  error
}

func (n *Node) peerLocked(address string) *peerState {
	p := n.peers[address]
	if p == nil {
		p = &peerState{}
		n.peers[address] = p
	}
	return p
}

func (n *Node) current(address string) *session {
	n.mu.Lock()
	defer n.mu.Unlock()
	if p := n.peers[address]; p != nil {
		return p.session
	}
	return nil
}

// connect returns the session to address and opens one if there is none.
func (n *Node) connect(ctx context.Context, address string) (*session, error) {
	if s := n.current(address); s != nil {
		return s, nil
	}
	d, err := n.dialInBackground(address)
	if err != nil {
		return nil, err
	}
	select {
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: connect to %s: %w", ErrNoSession, address, ctx.Err())
	case <-d.done:
	}
	if s := n.current(address); s != nil {
		return s, nil
	}
	return nil, fmt.Errorf("%w: connect to %s: %w", ErrNoSession, address, d.err)
}

// dialInBackground joins or starts the dial to address.
func (n *Node) dialInBackground(address string) (*dialState, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if address == n.settings.Address || address == "" {
		return nil, fmt.Errorf("%w: address %q is not a peer", ErrNoSession, address)
	}
	p := n.peerLocked(address)
	if p.dial != nil {
		return p.dial, nil
	}
	d := &dialState{done: make(chan struct{})}
	if p.session != nil {
		close(d.done)
		return d, nil
	}
	started := n.spawnLocked(func() {
		err := n.dialPeer(address)
		n.mu.Lock()
		d.err = err
		p.dial = nil
		n.mu.Unlock()
		close(d.done)
	})
	if !started {
		return nil, fmt.Errorf("%w: %w", ErrNoSession, ErrClosed)
	}
	p.dial = d
	return d, nil
}

// keepSession dials address whenever it has no session, until ctx ends.
func (n *Node) keepSession(ctx context.Context, address string) {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = n.settings.RetryMin
	delays.MaxInterval = n.settings.RetryMax
	for {
		s, err := n.connect(ctx, address)
		if err == nil {
			delays.Reset()
			select {
			case <-ctx.Done():
				return
			case <-s.done:
			}
		}
		timer := time.NewTimer(delays.NextBackOff())
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

// install makes s the session of its peer, or returns an error and the highest
// known epoch if a session with precedence exists or existed.
func (n *Node) install(s *session) (floor uint64, err error) {
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		return 0, ErrClosed
	}
	p := n.peerLocked(s.peer.Address)
	if err := p.admit(s); err != nil {
		floor = p.epoch
		n.mu.Unlock()
		return floor, err
	}
	previous := p.incarnation
	if previous != "" && previous != s.peer.Incarnation {
		p.retire(previous)
		n.events.push(Event{Kind: IncarnationChanged, Peer: s.peer, Previous: previous})
	}
	old := p.session
	p.session = s
	p.incarnation = s.peer.Incarnation
	p.epoch = s.peer.Epoch
	n.metrics.sessions.Inc()
	n.mu.Unlock()
	if old != nil {
		old.close("replaced")
	}
	n.events.push(Event{Kind: SessionUp, Peer: s.peer})
	return 0, nil
}

// admit reports why s may not become the session of the peer. Of two sessions
// with the same epoch the one dialled by the lower address has precedence.
func (p *peerState) admit(s *session) error {
	for _, r := range p.retired {
		if r == s.peer.Incarnation {
			return fmt.Errorf("incarnation %s was replaced", r)
		}
	}
	if p.incarnation != s.peer.Incarnation || s.peer.Epoch > p.epoch {
		return nil
	}
	tie := s.peer.Epoch == p.epoch && p.session != nil
	if tie && s.preferred && !p.session.preferred {
		return nil
	}
	return fmt.Errorf("epoch %d is not higher than %d", s.peer.Epoch, p.epoch)
}

func (p *peerState) retire(incarnation string) {
	p.retired = append(p.retired, incarnation)
	if len(p.retired) > maxRetired {
		p.retired = p.retired[1:]
	}
}
