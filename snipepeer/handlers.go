package snipepeer

import (
	"context"
	"fmt"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/snipemoor/snipemoor/snipewire"
)

// callHandler handles a call and returns its reply.
type callHandler func(ctx context.Context, from Peer, m proto.Message) (proto.Message, error)

// sendHandler handles a one-way message on the read loop of the session.
type sendHandler func(from Peer, m proto.Message)

// HandleMessage registers f for one-way messages of type M. f runs on the read loop
// of the session, in the order of arrival, and must not block. HandleMessage panics
// if M already has a handler or if the node has been started.
func HandleMessage[M proto.Message](n *Node, f func(from Peer, m M)) {
	n.register(kindOf[M](), nil, func(from Peer, m proto.Message) { f(from, m.(M)) })
}

// HandleCall registers f for calls with a request of type Q. Each call runs f on
// a goroutine of its own; its context is cancelled when the session ends. The
// text of an error that f returns is sent to the peer. HandleCall panics like
// HandleMessage.
func HandleCall[Q, R proto.Message](n *Node, f func(ctx context.Context, from Peer, q Q) (R, error)) {
	h := func(ctx context.Context, from Peer, m proto.Message) (proto.Message, error) {
		return f(ctx, from, m.(Q))
	}
	n.register(kindOf[Q](), h, nil)
}

// Call sends q to the peer and returns its reply of type R. It returns the errors
// of Node.Call, and an error if the reply has another type.
func Call[R proto.Message](ctx context.Context, n *Node, peer string, q proto.Message) (R, error) {
	var zero R
	m, err := n.Call(ctx, peer, q)
	if err != nil {
		return zero, err
	}
	reply, ok := m.(R)
	if !ok {
		return zero, fmt.Errorf("call to %s: reply has type %T, want %T", peer, m, zero)
	}
	return reply, nil
}

// kindOf returns the full protobuf name of M, under which handlers are stored.
func kindOf[M proto.Message]() protoreflect.FullName {
	var m M
	return m.ProtoReflect().Descriptor().FullName()
}

// bodyOneof describes the oneof that holds the body of a control message.
func bodyOneof() protoreflect.OneofDescriptor {
	return (&snipewire.Control{}).ProtoReflect().Descriptor().Oneofs().ByName("body")
}

// wrap returns a control message with m as its body.
func wrap(m proto.Message) (*snipewire.Control, error) {
	name := m.ProtoReflect().Descriptor().FullName()
	fields := bodyOneof().Fields()
	for i := range fields.Len() {
		fd := fields.Get(i)
		if fd.Message().FullName() != name {
			continue
		}
		c := &snipewire.Control{}
		c.ProtoReflect().Set(fd, protoreflect.ValueOfMessage(m.ProtoReflect()))
		return c, nil
	}
	return nil, fmt.Errorf("message %s is not a control message", name)
}

// unwrap returns the body of c, or nil if it has none.
func unwrap(c *snipewire.Control) proto.Message {
	r := c.ProtoReflect()
	fd := r.WhichOneof(bodyOneof())
	if fd == nil {
		return nil
	}
	return r.Get(fd).Message().Interface()
}
