package snipepeer

import "sync"

// EventKind says what happened to a session.
type EventKind int

// Kinds of events.
const (
	// SessionUp means that a session was opened.
	SessionUp EventKind = iota + 1
	// SessionDown means that a session ended.
	SessionDown
	// IncarnationChanged means that a new process, with another incarnation,
	// uses the peer address; it precedes SessionUp.
	IncarnationChanged
)

// Event reports a change of a session.
type Event struct {
	// Kind says what happened.
	Kind EventKind
	// Peer is the other end of the session; for IncarnationChanged it is the
	// new process.
	Peer Peer
	// Previous is the former incarnation for IncarnationChanged, else empty.
	Previous string
}

// eventQueue holds events for delivery in order. It has no limit of its own; the
// rate of handshakes bounds its growth.
type eventQueue struct {
	mu          sync.Mutex
	pending     []Event
	subscribers []func(Event)
	// wake has a buffer of one, so that push never blocks.
	wake chan struct{}
}

func (q *eventQueue) push(e Event) {
	q.mu.Lock()
	q.pending = append(q.pending, e)
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// Subscribe calls f for each later event, in order, on one goroutine. f must
// not block for long, because it delays the events of other sessions.
func (n *Node) Subscribe(f func(Event)) {
	n.events.mu.Lock()
	defer n.events.mu.Unlock()
	n.events.subscribers = append(n.events.subscribers, f)
}

// eventLoop delivers queued events to the subscribers until the node is closed.
func (n *Node) eventLoop() {
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-n.events.wake:
		}
		n.events.mu.Lock()
		pending := n.events.pending
		n.events.pending = nil
		subscribers := n.events.subscribers
		n.events.mu.Unlock()
		for _, e := range pending {
			for _, f := range subscribers {
				f(e)
			}
		}
	}
}
