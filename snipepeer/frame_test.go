package snipepeer

import (
	"bytes"
	"encoding/binary"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/snipemoor/snipemoor/snipewire"
)

// dialRawSession connects to a node with yamux alone and returns the session and
// its control stream, so that a test can send arbitrary bytes.
func dialRawSession(t *testing.T, address string) (*yamux.Session, net.Conn) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	config := yamux.DefaultConfig()
	config.LogOutput, config.Logger = nil, yamuxLogger{zap.NewNop()}
	mux, err := yamux.Client(conn, config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = mux.Close() })
	control, err := mux.Open()
	if err != nil {
		t.Fatal(err)
	}
	_ = control.SetDeadline(time.Now().Add(testTimeout))
	return mux, control
}

// dialRawHello connects to a node, sends h and returns the node's reply.
func dialRawHello(t *testing.T, address string, h *snipewire.Hello) *snipewire.Control {
	t.Helper()
	_, control := dialRawSession(t, address)
	return exchangeHello(t, control, h)
}

// exchangeHello sends h on a control stream and returns the reply.
func exchangeHello(t *testing.T, control net.Conn, h *snipewire.Hello) *snipewire.Control {
	t.Helper()
	if err := writeMessage(control, MaxFrame, &snipewire.Control{Body: &snipewire.Control_Hello{Hello: h}}); err != nil {
		t.Fatal(err)
	}
	reply := &snipewire.Control{}
	if err := readMessage(control, MaxFrame, reply); err != nil {
		t.Fatal(err)
	}
	return reply
}

// Guards against a session of an older or equal epoch that replaces a newer one,
// and checks that the rejection carries the epoch to exceed.
func TestEpochOrder(t *testing.T) {
	verifyNoLeaks(t)
	n := testNode(t, "n", nil, nil, nil)
	for _, step := range []struct {
		epoch, want uint64
		rejected    bool
	}{{5, 5, false}, {4, 5, true}, {5, 5, true}, {6, 6, false}} {
		h := &snipewire.Hello{Address: "peer:1", Incarnation: "p", SessionEpoch: step.epoch}
		r := dialRawHello(t, n.settings.Address, h)
		if (r.GetError() != "") != step.rejected || r.GetHello().GetSessionEpoch() != step.want {
			t.Errorf("epoch %d: answer %v", step.epoch, r)
		}
	}
}

// Guards against a lost rejection: if the rejecting side closes the session
// before the write of the other side's Hello has returned, that write fails and
// the rejection is not read.
func TestRejectedSessionStaysUntilPeerCloses(t *testing.T) {
	verifyNoLeaks(t)
	n := testNode(t, "n", nil, nil, nil)
	hello := &snipewire.Hello{Address: "peer:1", Incarnation: "p", SessionEpoch: 5}
	_ = dialRawHello(t, n.settings.Address, hello)
	mux, control := dialRawSession(t, n.settings.Address)
	if r := exchangeHello(t, control, hello); r.GetError() == "" {
		t.Fatal("a second session of the same epoch was accepted")
	}
	if _, err := mux.Ping(); err != nil {
		t.Errorf("ping after the rejection: %v", err)
	}
}

// Guards against invalid bytes from a peer that crash the process, are not
// counted or leave the session open.
func TestInvalidFramesCloseSession(t *testing.T) {
	verifyNoLeaks(t)
	hello := &snipewire.Hello{Address: "peer:1", Incarnation: "p", SessionEpoch: 1}
	frame := func(m proto.Message) []byte {
		var b bytes.Buffer
		if err := writeMessage(&b, 1<<20, m); err != nil {
			t.Fatal(err)
		}
		return b.Bytes()
	}
	for _, c := range []struct {
		name   string
		hello  *snipewire.Hello
		relay  bool
		bytes  []byte
		reason Reason
	}{
		{"no hello", nil, false, frame(&snipewire.Control{CallId: 1}), ReasonBadHello},
		{"own address", &snipewire.Hello{Address: "own", Incarnation: "x", SessionEpoch: 1}, false, nil, ReasonBadHello},
		{"length", hello, false, []byte{0xff, 0xff, 0xff, 0xff}, ReasonFrameTooLarge},
		{"empty", hello, false, []byte{0, 0, 0, 0}, ReasonFrameEmpty},
		{"garbage", hello, false, []byte{0, 0, 0, 2, 0xff, 0xff}, ReasonUndecodable},
		{"no body", hello, false, frame(&snipewire.Control{CallId: 7}), ReasonUnknownKind},
		{"relay length", hello, true, []byte{0, 1, 0, 1}, ReasonFrameTooLarge},
		{"relay start", hello, true, frame(&snipewire.Frame{Body: &snipewire.Frame_Chunk{Chunk: []byte("x")}}), ReasonUnexpectedFrame},
		{"relay headers", hello, true, frame(&snipewire.Frame{Body: &snipewire.Frame_Request{Request: &snipewire.RelayRequest{
			Headers: []*snipewire.Header{{Name: "A", Values: []string{string(make([]byte, MaxHeaderBytes))}}},
		}}}), ReasonHeaderTooLarge},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := testNode(t, "n", nil, nil, func(n *Node) { n.HandleRelay(echoRelay) })
			mux, control := dialRawSession(t, n.settings.Address)
			h := proto.CloneOf(c.hello)
			if c.name == "own address" {
				h.Address = n.settings.Address
				c.bytes = frame(&snipewire.Control{Body: &snipewire.Control_Hello{Hello: h}})
				h = nil
			}
			if h != nil {
				exchangeHello(t, control, h)
			}
			target := control
			if c.relay {
				var err error
				if target, err = mux.Open(); err != nil {
					t.Fatal(err)
				}
			}
			// The node can close the session before Write has returned.
			_, _ = target.Write(c.bytes)
			select {
			case <-mux.CloseChan():
			case <-time.After(testTimeout):
				t.Fatal("the session stayed open")
			}
			if got := testutil.ToFloat64(n.metrics.invalid.WithLabelValues(string(c.reason))); got != 1 {
				t.Errorf("counter of %s is %v", c.reason, got)
			}
		})
	}
}

// Guards against panics and large allocations of the frame decoder, and against
// frames that differ after they are encoded and decoded again.
func FuzzReadFrame(f *testing.F) {
	for _, seed := range []*snipewire.Frame{
		{Body: &snipewire.Frame_Request{Request: &snipewire.RelayRequest{Method: "GET", Headers: []*snipewire.Header{{Name: "A", Values: []string{"b"}}}}}},
		{Body: &snipewire.Frame_Chunk{Chunk: []byte("chunk")}},
		{Body: &snipewire.Frame_Answer{Answer: &snipewire.RelayAnswer{Status: 200}}},
		{Body: &snipewire.Frame_End{End: &snipewire.End{Length: 5}}},
		{Body: &snipewire.Frame_Refusal{Refusal: &snipewire.Refusal{Reason: "noSlot"}}},
	} {
		var b bytes.Buffer
		if err := writeMessage(&b, MaxFrame, seed); err != nil {
			f.Fatal(err)
		}
		f.Add(b.Bytes())
	}
	f.Add(binary.BigEndian.AppendUint32(nil, MaxFrame+1))
	f.Add([]byte{0, 0, 0, 3, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		var buffer []byte
		frame, err := readFrame(bytes.NewReader(data), &buffer)
		if err != nil {
			return
		}
		var b bytes.Buffer
		if err := writeMessage(&b, MaxFrame, frame); err != nil {
			var inv *InvalidFrameError
			// The canonical encoding can be longer than the input.
			if errors.As(err, &inv) && inv.Reason == ReasonFrameTooLarge {
				return
			}
			t.Fatal(err)
		}
		again, err := readFrame(&b, &buffer)
		if err != nil || !proto.Equal(frame, again) {
			t.Errorf("frame changed: %v, error %v", frame, err)
		}
	})
}
