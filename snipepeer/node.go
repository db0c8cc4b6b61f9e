package snipepeer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// Errors of Send, Call and OpenRelay.
var (
	// ErrNotSent means that there is no usable session to the peer or that the
	// message could not be sent on it; nothing was sent.
	ErrNotSent = errors.New("no session to the peer")
	// ErrQueueFull means that the outgoing queue is full; nothing was sent.
	ErrQueueFull = errors.New("outgoing queue is full")
	// ErrSessionClosed means that the session ended before the reply.
	ErrSessionClosed = errors.New("session closed")
	// ErrClosed means that the node is closed.
	ErrClosed = errors.New("node is closed")
)

// Dialer opens connections to peers. net.Dialer implements it.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Settings configures a Node. A zero duration or count selects the default.
type Settings struct {
	// Address is the peer address of this instance, as host:port; peers dial it.
	Address string
	// Incarnation identifies this process.
	Incarnation string
	// Place is the place of this instance.
	Place string
	// PingInterval is the time between pings of a session; default 1 s.
	PingInterval time.Duration
	// PingTimeout bounds the wait for the answer to a ping and the time for which
	// a write may block; default 2 s.
	PingTimeout time.Duration
	// HandshakeTimeout bounds dialling and the Hello exchange; default 2 s.
	HandshakeTimeout time.Duration
	// CallTimeout bounds a call whose context has no deadline; default 2 s.
	CallTimeout time.Duration
	// QueueLength bounds the queued outgoing control messages of a session;
	// default 256. Further messages are dropped.
	QueueLength int
	// MaxCalls bounds the calls of one session that run concurrently; default
	// 1024. Further calls fail with a *RemoteError.
	MaxCalls int
	// MaxRelays bounds the relayed requests of one session that run concurrently;
	// default 4096. The streams of further requests are closed.
	MaxRelays int
	// MaxControlBytes bounds one control message, in bytes; default 4 MiB,
	// because a configuration document can have 1 MB, and a recorded response can
	// exceed MaxFrame.
	MaxControlBytes uint32
	// RetryMin and RetryMax bound the backoff between dials of a peer that
	// MaintainSessions lists; defaults 50 ms and 1 s.
	RetryMin, RetryMax time.Duration
}

// withDefaults returns s with zero fields set to their defaults.
func (s Settings) withDefaults() Settings {
	defaultTo(&s.PingInterval, time.Second)
	defaultTo(&s.PingTimeout, 2*time.Second)
	defaultTo(&s.HandshakeTimeout, 2*time.Second)
	defaultTo(&s.CallTimeout, 2*time.Second)
	defaultTo(&s.QueueLength, 256)
	defaultTo(&s.MaxCalls, 1024)
	defaultTo(&s.MaxRelays, 4096)
	defaultTo(&s.MaxControlBytes, 4<<20)
	defaultTo(&s.RetryMin, 50*time.Millisecond)
	defaultTo(&s.RetryMax, time.Second)
	return s
}

func defaultTo[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Peer describes the other end of a session.
type Peer struct {
	// Address is the peer address.
	Address string
	// Incarnation identifies the peer's process.
	Incarnation string
	// Place is the place of the peer.
	Place string
	// Epoch is the epoch of the session, at least 1. A later session with the same
	// incarnation has a higher one, unless both were dialled at the same time.
	Epoch uint64
}

// Node holds the peer sessions of one instance. Its methods are safe for
// concurrent use, except HandleRelay.
type Node struct {
	settings Settings
	listener net.Listener
	dialer   Dialer
	log      *zap.Logger
	metrics  *metrics
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup

	calls map[protoreflect.FullName]callHandler
	sends map[protoreflect.FullName]sendHandler
	relay RelayHandler

	mu      sync.Mutex
	started bool
	closed  bool
	peers   map[string]*peerState

	events eventQueue
}

// New returns a node that is not started. The node takes ownership of listener
// and closes it in Close.
func New(settings Settings, listener net.Listener, dialer Dialer, log *zap.Logger) *Node {
	ctx, cancel := context.WithCancel(context.Background())
	return &Node{
		settings: settings.withDefaults(),
		listener: listener,
		dialer:   dialer,
		log:      log,
		metrics:  newMetrics(),
		ctx:      ctx,
		cancel:   cancel,
		calls:    make(map[protoreflect.FullName]callHandler),
		sends:    make(map[protoreflect.FullName]sendHandler),
		peers:    make(map[string]*peerState),
		events:   eventQueue{wake: make(chan struct{}, 1)},
	}
}

// HandleRelay registers the handler of relayed requests. It must be called
// before Start.
func (n *Node) HandleRelay(h RelayHandler) { n.relay = h }

// register stores the one handler of the two that is not nil.
func (n *Node) register(kind protoreflect.FullName, call callHandler, send sendHandler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.started {
		panic("snipepeer: handler registered after Start")
	}
	if call != nil {
		if n.calls[kind] != nil {
			panic("snipepeer: second call handler for " + string(kind))
		}
		n.calls[kind] = call
		return
	}
	if n.sends[kind] != nil {
		panic("snipepeer: second message handler for " + string(kind))
	}
	n.sends[kind] = send
}

// Start begins to accept sessions and returns; they are accepted until Close.
func (n *Node) Start() {
	n.mu.Lock()
	n.started = true
	n.mu.Unlock()
	n.spawn(n.acceptLoop)
	n.spawn(n.eventLoop)
}

// Close ends all sessions and waits for all goroutines of the node, including
// running handlers. A handler must not call it.
func (n *Node) Close() {
	n.mu.Lock()
	n.closed = true
	var open []*session
	for _, p := range n.peers {
		if p.session != nil {
			open = append(open, p.session)
		}
	}
	n.mu.Unlock()
	n.cancel()
	_ = n.listener.Close()
	for _, s := range open {
		s.close("nodeClosed")
	}
	n.wg.Wait()
}

// spawn runs f on a goroutine that Close waits for. It returns false, without
// running f, if the node is closed.
func (n *Node) spawn(f func()) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.spawnLocked(f)
}

// spawnLocked is spawn for callers that hold n.mu.
func (n *Node) spawnLocked(f func()) bool {
	if n.closed {
		return false
	}
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		f()
	}()
	return true
}

// MaintainSessions replaces the list of peer addresses to which the node
// maintains a session: it dials them with backoff while there is none. Sessions
// to other peers stay open until they fail. The node's own address is ignored.
func (n *Node) MaintainSessions(addresses []string) {
	wanted := make(map[string]bool, len(addresses))
	for _, a := range addresses {
		if a != n.settings.Address {
			wanted[a] = true
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for address, p := range n.peers {
		if !wanted[address] && p.stopMaintaining != nil {
			p.stopMaintaining()
			p.stopMaintaining = nil
		}
	}
	for address := range wanted {
		p := n.peerLocked(address)
		if p.stopMaintaining != nil {
			continue
		}
		ctx, stop := context.WithCancel(n.ctx)
		p.stopMaintaining = stop
		if !n.spawnLocked(func() { n.maintainSession(ctx, address) }) {
			stop()
		}
	}
}

// Session returns the other end of the open session to address, and false if
// there is none.
func (n *Node) Session(address string) (Peer, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.peers[address]
	if p == nil || p.session == nil {
		return Peer{}, false
	}
	return p.session.peer, true
}

// Disconnect closes the session to address, if there is one, so that the next
// call opens a new one.
func (n *Node) Disconnect(address string) {
	if s := n.currentSession(address); s != nil {
		s.close("disconnected")
	}
}

// Send queues the one-way message m for the peer at the given address and does
// not block. Without a session it drops m, starts to open a session and returns
// an error that wraps ErrNotSent. If the queue is full, it drops m and returns
// an error that wraps ErrQueueFull. Dropped messages are counted.
func (n *Node) Send(peer string, m proto.Message) error {
	c, err := wrap(m)
	if err != nil {
		return err
	}
	s := n.currentSession(peer)
	if s == nil {
		n.metrics.dropped.Inc()
		_, _ = n.dialInBackground(peer)
		return fmt.Errorf("send to %s: %w", peer, ErrNotSent)
	}
	return s.enqueue(c)
}

// Call sends m to the peer at the given address and waits for the reply, for at
// most CallTimeout if ctx has no deadline. It opens a session if there is none.
// The error wraps ErrNotSent or ErrQueueFull if nothing was sent,
// ErrSessionClosed if the session ended before the reply, and the error of ctx
// if ctx ended first. The error text of a failed handler is returned as a
// *RemoteError.
func (n *Node) Call(ctx context.Context, peer string, m proto.Message) (proto.Message, error) {
	c, err := wrap(m)
	if err != nil {
		return nil, err
	}
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, n.settings.CallTimeout)
		defer cancel()
	}
	s, err := n.connect(ctx, peer)
	if err != nil {
		return nil, err
	}
	return s.call(ctx, c)
}
