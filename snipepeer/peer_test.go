package snipepeer

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"github.com/snipemoor/snipemoor/snipewire"
)

// testTimeout bounds each wait of a test for another goroutine or a peer.
const testTimeout = 10 * time.Second

// testContext returns a context with a deadline of testTimeout.
func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// testNode returns a started node on a loopback address with short ping
// intervals and timeouts. Its handler for AttemptStatus returns an error for the
// id "fail", and else the id with the caller's incarnation. setup, if not nil,
// registers handlers before the start.
func testNode(t *testing.T, incarnation string, listener net.Listener, dialer Dialer, setup func(*Node)) *Node {
	t.Helper()
	if listener == nil {
		var err error
		listener, err = net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
	}
	if dialer == nil {
		dialer = &net.Dialer{}
	}
	n := New(Settings{
		Address:      listener.Addr().String(),
		Incarnation:  incarnation,
		Place:        "place-" + incarnation,
		PingInterval: 50 * time.Millisecond,
		PingTimeout:  300 * time.Millisecond,
	}, listener, dialer, zap.NewNop())
	HandleCall(n, func(_ context.Context, from Peer, q *snipewire.AttemptStatus) (*snipewire.AttemptStatusReply, error) {
		if q.GetAttemptId() == "fail" {
			return nil, errors.New("no such attempt")
		}
		return &snipewire.AttemptStatusReply{AttemptId: q.GetAttemptId() + "@" + from.Incarnation}, nil
	})
	if setup != nil {
		setup(n)
	}
	n.Start()
	t.Cleanup(n.Close)
	return n
}

// verifyNoLeaks fails the test if goroutines that it started outlive it.
func verifyNoLeaks(t *testing.T) {
	t.Helper()
	before := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, before) })
}

// Guards against replies that are delivered to another call, lost error texts
// and one-way messages that are not delivered.
func TestCallAndSend(t *testing.T) {
	verifyNoLeaks(t)
	got := make(chan Peer, 1)
	b := testNode(t, "b", nil, nil, func(n *Node) {
		HandleMessage(n, func(from Peer, _ *snipewire.Heartbeat) { got <- from })
	})
	a := testNode(t, "a", nil, nil, nil)
	ctx := testContext(t)
	results := make(chan error, 50)
	for i := range cap(results) {
		go func() {
			id := string(rune('A' + i))
			r, err := Call[*snipewire.AttemptStatusReply](ctx, a, b.settings.Address, &snipewire.AttemptStatus{AttemptId: id})
			if err == nil && r.GetAttemptId() != id+"@a" {
				err = errors.New("reply of another call: " + r.GetAttemptId())
			}
			results <- err
		}()
	}
	for range cap(results) {
		if err := <-results; err != nil {
			t.Error(err)
		}
	}
	var remote *RemoteError
	_, err := a.Call(ctx, b.settings.Address, &snipewire.AttemptStatus{AttemptId: "fail"})
	if !errors.As(err, &remote) || remote.Text != "no such attempt" {
		t.Errorf("failed call returned %v", err)
	}
	if err := a.Send(b.settings.Address, &snipewire.Heartbeat{}); err != nil {
		t.Fatal(err)
	}
	if from := <-got; from.Incarnation != "a" || from.Place != "place-a" {
		t.Errorf("message came from %+v", from)
	}
}

// Guards against two sessions, none, or a replaced one when two nodes dial each
// other at the same time.
func TestBothDial(t *testing.T) {
	verifyNoLeaks(t)
	for range 20 {
		a := testNode(t, "a", nil, nil, nil)
		b := testNode(t, "b", nil, nil, nil)
		a.MaintainSessions([]string{b.settings.Address})
		b.MaintainSessions([]string{a.settings.Address})
		ctx := testContext(t)
		for pair := range 2 {
			from, to := a, b
			if pair == 1 {
				from, to = b, a
			}
			if _, err := from.Call(ctx, to.settings.Address, &snipewire.AttemptStatus{}); err != nil {
				t.Error(err)
			}
		}
		pa, oka := a.Session(b.settings.Address)
		pb, okb := b.Session(a.settings.Address)
		if !oka || !okb || pa.Epoch != 1 || pb.Epoch != 1 {
			t.Errorf("sessions %+v %v, %+v %v", pa, oka, pb, okb)
		}
		for _, n := range []*Node{a, b} {
			if open := testutil.ToFloat64(n.metrics.sessions); open != 1 {
				t.Errorf("%v open sessions", open)
			}
			if replaced := testutil.ToFloat64(n.metrics.closed.WithLabelValues("replaced")); replaced != 0 {
				t.Errorf("%v sessions were replaced", replaced)
			}
		}
		a.Close()
		b.Close()
	}
}

// blackholeDialer opens connections that can be made to discard all writes while
// they stay open. dropWrites is the switch of the last connection.
type blackholeDialer struct{ dropWrites atomic.Pointer[atomic.Bool] }

type blackholeConn struct {
	net.Conn
	dropWrites *atomic.Bool
}

func (d *blackholeDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	flag := &atomic.Bool{}
	d.dropWrites.Store(flag)
	return &blackholeConn{Conn: c, dropWrites: flag}, nil
}

func (c *blackholeConn) Write(p []byte) (int, error) {
	if c.dropWrites.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Guards against a session that stays open although its connection no longer
// transmits anything: the ping timeout must close it, the next session must have
// a higher epoch, and subscribers must receive SessionDown before SessionUp.
func TestSilentSessionIsReplaced(t *testing.T) {
	verifyNoLeaks(t)
	b := testNode(t, "b", nil, nil, nil)
	dialer := &blackholeDialer{}
	a := testNode(t, "a", nil, dialer, nil)
	events := make(chan Event, 100)
	a.Subscribe(func(e Event) { events <- e })
	a.MaintainSessions([]string{b.settings.Address})
	first := <-events
	dialer.dropWrites.Load().Store(true)
	second, third := <-events, <-events
	if first.Kind != SessionUp || second.Kind != SessionDown || third.Kind != SessionUp {
		t.Fatalf("events %v %v %v", first, second, third)
	}
	if third.Peer.Epoch <= first.Peer.Epoch {
		t.Errorf("new session has epoch %d, old one %d", third.Peer.Epoch, first.Peer.Epoch)
	}
	if _, err := a.Call(testContext(t), b.settings.Address, &snipewire.AttemptStatus{}); err != nil {
		t.Error(err)
	}
}

// Guards against messages of a replaced process: a new incarnation at the same
// address must be reported to subscribers, and sessions of the old one must be
// rejected from then on.
func TestIncarnationChange(t *testing.T) {
	verifyNoLeaks(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	a := testNode(t, "a", nil, nil, nil)
	events := make(chan Event, 100)
	a.Subscribe(func(e Event) { events <- e })
	start := func(incarnation string) *Node {
		if listener == nil {
			if listener, err = net.Listen("tcp", address); err != nil {
				t.Fatal(err)
			}
		}
		n := testNode(t, incarnation, listener, nil, nil)
		listener = nil
		return n
	}
	old := start("b1")
	a.MaintainSessions([]string{address})
	if e := <-events; e.Kind != SessionUp || e.Peer.Incarnation != "b1" {
		t.Fatalf("event %+v", e)
	}
	old.Close()
	start("b2")
	var kinds []EventKind
	for len(kinds) < 3 {
		e := <-events
		kinds = append(kinds, e.Kind)
		if e.Kind == IncarnationChanged && (e.Previous != "b1" || e.Peer.Incarnation != "b2") {
			t.Errorf("event %+v", e)
		}
	}
	if kinds[0] != SessionDown || kinds[1] != IncarnationChanged || kinds[2] != SessionUp {
		t.Errorf("events %v", kinds)
	}
	returned := &snipewire.Hello{Address: address, Incarnation: "b1", SessionEpoch: 99}
	if err := dialRawHello(t, a.settings.Address, returned).GetError(); err == "" {
		t.Error("a replaced incarnation was accepted again")
	}
}

// echoRelay returns the request body. For the attempt id "refuse" it refuses the
// request, and for "cut" it truncates the response.
func echoRelay(_ context.Context, r *RelayServerStream) {
	switch r.Request().GetAttemptId() {
	case "refuse":
		_ = r.Refuse(&snipewire.Refusal{Reason: "noSlot", Outcome: "not-run"})
		return
	case "cut":
		_ = r.WriteResponse(&snipewire.RelayAnswer{Status: 200})
		_ = r.WriteChunk([]byte("part"))
		return
	}
	_ = r.WriteResponse(&snipewire.RelayAnswer{Status: 200})
	for {
		p, err := r.ReadChunk()
		if errors.Is(err, io.EOF) {
			_ = r.End()
			return
		}
		if err != nil || r.WriteChunk(p) != nil {
			return
		}
	}
}

// Guards against lost or reordered parts of a body, a truncated response that is
// reported as complete, and a lost refusal.
func TestRelay(t *testing.T) {
	verifyNoLeaks(t)
	b := testNode(t, "b", nil, nil, func(n *Node) { n.HandleRelay(echoRelay) })
	a := testNode(t, "a", nil, nil, nil)
	ctx := testContext(t)
	for _, size := range []int{0, 1, MaxChunk, MaxChunk + 1, 3 << 20} {
		s, err := a.OpenRelay(ctx, b.settings.Address, &snipewire.RelayRequest{AttemptId: "echo"})
		if err != nil {
			t.Fatal(err)
		}
		body := make([]byte, size)
		for i := range body {
			body[i] = byte(i * 7 >> 3)
		}
		go func() {
			if err := errors.Join(s.WriteChunk(body), s.CloseBody()); err != nil {
				t.Error(err)
			}
		}()
		if _, err := s.ReadResponse(); err != nil {
			t.Fatal(err)
		}
		got, err := readAll(s)
		if err != nil || string(got) != string(body) {
			t.Errorf("size %d: %d bytes came back, error %v", size, len(got), err)
		}
		s.Close()
	}
	s, err := a.OpenRelay(ctx, b.settings.Address, &snipewire.RelayRequest{AttemptId: "cut"})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.ReadResponse(); err != nil {
		t.Fatal(err)
	}
	if _, err := readAll(s); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("a truncated response ended with %v", err)
	}
	s.Close()
	s, err = a.OpenRelay(ctx, b.settings.Address, &snipewire.RelayRequest{AttemptId: "refuse"})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	var refused *RefusedError
	if _, err := s.ReadResponse(); !errors.As(err, &refused) || refused.Refusal.GetReason() != "noSlot" {
		t.Errorf("a refused relay returned %v", err)
	}
}

// readAll reads the response's body up to its end.
func readAll(s *RelayClientStream) ([]byte, error) {
	var all []byte
	for {
		p, err := s.ReadChunk()
		if errors.Is(err, io.EOF) {
			return all, nil
		}
		if err != nil {
			return all, err
		}
		all = append(all, p...)
	}
}

// Guards against a handler that keeps running after the requesting side has
// gone: its context must be cancelled when the client closes the stream and when
// the session ends.
func TestRelayCancel(t *testing.T) {
	verifyNoLeaks(t)
	started, ended := make(chan struct{}, 1), make(chan struct{}, 1)
	b := testNode(t, "b", nil, nil, func(n *Node) {
		n.HandleRelay(func(ctx context.Context, _ *RelayServerStream) {
			started <- struct{}{}
			<-ctx.Done()
			ended <- struct{}{}
		})
	})
	a := testNode(t, "a", nil, nil, nil)
	for _, cancel := range []func(*RelayClientStream){
		func(s *RelayClientStream) { s.Close() },
		func(s *RelayClientStream) { s.session.close("test") },
	} {
		s, err := a.OpenRelay(testContext(t), b.settings.Address, &snipewire.RelayRequest{})
		if err != nil {
			t.Fatal(err)
		}
		if err := s.CloseBody(); err != nil {
			t.Fatal(err)
		}
		<-started
		cancel(s)
		<-ended
		s.Close()
	}
}
