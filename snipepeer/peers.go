package snipepeer

import (
	"context"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// peerState is the state of one peer address. Node.mu guards it.
type peerState struct {
	// session is the open session, or nil.
	session *session
	// incarnation is that of the last session, empty before the first one.
	incarnation string
	// epoch is that of the last session, or a higher one from a rejection by the
	// peer. The next dial proposes the epoch that follows.
	epoch uint64
	// formerIncarnations are rejected; the oldest comes first.
	formerIncarnations []string
	// dial is the dial in progress, or nil.
	dial *dialState
	// stopMaintaining ends maintainSession; nil if MaintainSessions does not
	// list the peer.
	stopMaintaining context.CancelFunc
}

// dialState is one dial that several callers can wait for.
type dialState struct {
	done chan struct{}
	// err is set before done is closed.
	err error
}

// peerLocked returns the state of address and creates it if there is none. The
// caller holds n.mu.
func (n *Node) peerLocked(address string) *peerState {
	p := n.peers[address]
	if p == nil {
		p = &peerState{}
		n.peers[address] = p
	}
	return p
}

// currentSession returns the open session to address, or nil.
func (n *Node) currentSession(address string) *session {
	n.mu.Lock()
	defer n.mu.Unlock()
	if p := n.peers[address]; p != nil {
		return p.session
	}
	return nil
}

// connect returns the session to address and opens one if there is none.
func (n *Node) connect(ctx context.Context, address string) (*session, error) {
	if s := n.currentSession(address); s != nil {
		return s, nil
	}
	d, err := n.dialInBackground(address)
	if err != nil {
		return nil, err
	}
	select {
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: connect to %s: %w", ErrNotSent, address, ctx.Err())
	case <-d.done:
	}
	if s := n.currentSession(address); s != nil {
		return s, nil
	}
	return nil, fmt.Errorf("%w: connect to %s: %w", ErrNotSent, address, d.err)
}

// dialInBackground returns the dial to address that is in progress, or starts
// one. If there is a session, it returns a dial that is already done.
func (n *Node) dialInBackground(address string) (*dialState, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if address == n.settings.Address || address == "" {
		return nil, fmt.Errorf("%w: address %q is not a peer", ErrNotSent, address)
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
		return nil, fmt.Errorf("%w: %w", ErrNotSent, ErrClosed)
	}
	p.dial = d
	return d, nil
}

// maintainSession dials address whenever it has no session, until ctx ends.
func (n *Node) maintainSession(ctx context.Context, address string) {
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

// install makes s the session of its peer and closes the session that it
// replaces. If a session with precedence exists or existed, it returns an error
// and the epoch that the next session must exceed.
func (n *Node) install(s *session) (highestEpoch uint64, err error) {
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		return 0, ErrClosed
	}
	p := n.peerLocked(s.peer.Address)
	if err := p.checkPrecedence(s); err != nil {
		highestEpoch = p.epoch
		n.mu.Unlock()
		return highestEpoch, err
	}
	previous := p.incarnation
	if previous != "" && previous != s.peer.Incarnation {
		p.addFormerIncarnation(previous)
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

// checkPrecedence returns an error if s must not become the session of the peer.
// Of two sessions with the same epoch the one dialled by the lower address has
// precedence.
func (p *peerState) checkPrecedence(s *session) error {
	for _, r := range p.formerIncarnations {
		if r == s.peer.Incarnation {
			return fmt.Errorf("incarnation %s was replaced", r)
		}
	}
	if p.incarnation != s.peer.Incarnation || s.peer.Epoch > p.epoch {
		return nil
	}
	tie := s.peer.Epoch == p.epoch && p.session != nil
	if tie && s.dialledByLower && !p.session.dialledByLower {
		return nil
	}
	return fmt.Errorf("epoch %d is not higher than %d", s.peer.Epoch, p.epoch)
}

// addFormerIncarnation records an incarnation whose sessions are rejected from
// now on.
func (p *peerState) addFormerIncarnation(incarnation string) {
	p.formerIncarnations = append(p.formerIncarnations, incarnation)
	if len(p.formerIncarnations) > maxFormerIncarnations {
		p.formerIncarnations = p.formerIncarnations[1:]
	}
}
