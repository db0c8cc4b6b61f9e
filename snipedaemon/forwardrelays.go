package snipedaemon

import (
	"context"
	"time"

	"github.com/snipemoor/snipemoor/snipeforward"
	"github.com/snipemoor/snipemoor/snipeonce"
	"github.com/snipemoor/snipemoor/snipepeer"
	"github.com/snipemoor/snipemoor/snipewire"
)

// Choose implements snipeforward.Relays.
func (f *forwardAdapter) Choose(region, place string) (string, bool) {
	return f.d.planning.chooseRelay(region, place)
}

// FinishRelay implements snipeforward.Relays.
func (f *forwardAdapter) FinishRelay(peer string, ok bool, latency time.Duration) {
	f.d.planning.finishRelay(peer, ok, latency)
}

// Open implements snipeforward.Relays.
func (f *forwardAdapter) Open(ctx context.Context, peer string, q *snipewire.RelayRequest) (snipeforward.RelayStream, error) {
	stream, err := f.d.node.OpenRelay(ctx, peer, q)
	if err != nil {
		return nil, err //nolint:wrapcheck // names the peer already
	}
	return stream, nil
}

// NextAttempt implements snipeforward.Relays.
func (f *forwardAdapter) NextAttempt() snipeonce.AttemptID {
	return snipeonce.AttemptID{Sender: f.d.self.incarnation, Sequence: f.lastAttempt.Add(1)}
}

// Revoke implements snipeforward.Relays.
func (f *forwardAdapter) Revoke(ctx context.Context, to snipepeer.Peer, attemptID string) snipeonce.Status {
	reply, err := snipepeer.Call[*snipewire.AttemptStatusReply](ctx, f.d.node, to.Address, &snipewire.AttemptStatus{
		AttemptId: attemptID, Incarnation: to.Incarnation, SessionEpoch: to.Epoch, Revoke: true,
	})
	if err != nil {
		return snipeonce.Status{}
	}
	switch reply.GetState() {
	case snipewire.AttemptStatusReply_NEVER_STARTED:
		return snipeonce.Status{State: snipeonce.NeverStarted}
	case snipewire.AttemptStatusReply_RUNNING:
		return snipeonce.Status{State: snipeonce.Running}
	case snipewire.AttemptStatusReply_FINISHED:
		result := resultFromProto(&snipewire.Record{Answer: reply.GetAnswer(), Outcome: reply.GetAnswer().GetOutcome()})
		return snipeonce.Status{State: snipeonce.Finished, Result: result}
	default:
		return snipeonce.Status{}
	}
}

// handleAttemptStatus serves the Revoke call of another instance for an attempt
// that it relayed here.
func (f *forwardAdapter) handleAttemptStatus(_ context.Context, from snipepeer.Peer, q *snipewire.AttemptStatus) (*snipewire.AttemptStatusReply, error) {
	id, err := snipeonce.ParseAttemptID(q.GetAttemptId())
	if err != nil {
		return nil, err //nolint:wrapcheck // names the identifier already
	}
	status := f.d.records.relayedAttempts.Revoke(id, q.GetIncarnation(), from.Epoch, f.d.clock.Now())
	reply := &snipewire.AttemptStatusReply{AttemptId: q.GetAttemptId(), State: snipewire.AttemptStatusReply_UNKNOWN}
	switch status.State {
	case snipeonce.NeverStarted:
		reply.State = snipewire.AttemptStatusReply_NEVER_STARTED
	case snipeonce.Running:
		reply.State = snipewire.AttemptStatusReply_RUNNING
	case snipeonce.Finished:
		reply.State = snipewire.AttemptStatusReply_FINISHED
		reply.Answer = &snipewire.Answer{Outcome: status.Result.Outcome.String(), Reason: string(status.Result.Reason)}
		if a := status.Result.Response; a != nil {
			reply.Answer.Status, reply.Answer.Headers, reply.Answer.Body = a.Status, headersToProto(a.Headers), a.Body
		}
	case snipeonce.StateUnknown:
	}
	return reply, nil
}
