package snipeforward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/snipemoor/snipemoor/snipeonce"
	"github.com/snipemoor/snipemoor/snipepeer"
	"github.com/snipemoor/snipemoor/sniperetry"
	"github.com/snipemoor/snipemoor/snipewire"
)

// revokeTimeout bounds the revocation of an attempt whose session was lost.
const revokeTimeout = 2 * time.Second

// attemptRemote relays one attempt to an entry instance of another region.
func (f *Forwarder) attemptRemote(ctx context.Context, q *request, place Place, hedge bool) (*response, *failure) {
	sent, _ := estimateBits(q)
	if refusal := f.deps.Limits.AdmitLink(place.Region, sent); refusal != nil {
		return nil, refusalFailure(refusal)
	}
	chargeActual, refusal := f.admitShift(ctx, q, place)
	if refusal != nil {
		return nil, refusalFailure(refusal)
	}
	peer, ok := f.deps.Relays.Choose(place.Region, place.Name)
	if !ok {
		chargeActual(0)
		return nil, refusalFailure(&Refusal{Reason: reasonRelayFailed})
	}
	started := f.deps.Clock.Now()
	finished := func(ok bool) { f.deps.Relays.FinishRelay(peer, ok, f.deps.Clock.Now().Sub(started)) }
	attemptID := f.deps.Relays.NextAttempt().String()
	m := f.newRelayRequest(q)
	m.AttemptId, m.Place, m.Hedge = attemptID, place.Name, hedge
	m.Excluded = q.excluded
	m.MaxWaitMillis = uint32(relayQueueWait.Milliseconds())
	ctx, cancel := context.WithCancel(ctx)
	stream, err := f.deps.Relays.Open(ctx, peer, m)
	if err != nil {
		cancel()
		finished(false)
		chargeActual(0)
		if errors.Is(err, snipepeer.ErrNotSent) {
			return nil, refusalFailure(&Refusal{Reason: reasonRelayFailed})
		}
		return nil, &failure{kind: sniperetry.RelayLost, reason: reasonRelayFailed, reply: errorReply{detail: err.Error()}}
	}
	f.metrics.attempts.WithLabelValues(q.service.Team, q.service.Name, "relay").Inc()
	resp, failed := f.exchangeRelay(ctx, q, stream, place.Region, attemptID)
	if failed != nil {
		stream.Close()
		cancel()
		finished(failed.kind == sniperetry.NoSlot || failed.kind == sniperetry.TargetShed)
		chargeActual(chargedBits(q, failed))
		return nil, failed
	}
	counted := &countingReader{r: resp.body}
	resp.body = counted
	resp.finish = func(how bodyEnd) {
		stream.Close()
		cancel()
		finished(how != bodyTruncated)
		chargeActual(sentBits(q) + float64(counted.n)*bitsPerByte)
	}
	return resp, nil
}

// newRelayRequest returns the message that relays a request, without the fields
// that depend on the attempt.
func (f *Forwarder) newRelayRequest(q *request) *snipewire.RelayRequest {
	return &snipewire.RelayRequest{
		RequestId: q.id.String(), Team: q.service.Team, Service: q.service.Name, Method: q.method, TargetUri: q.uri,
		Headers: headerToWire(endToEnd(q.header)), BudgetMillis: uint32(max(f.remaining(q).Milliseconds(), 1)),
		ContentLength: q.body.length, Generation: f.deps.Config.Generation(), ClientAddress: q.client.String(),
		IdempotencyKey: q.idempotencyKey, Once: q.class == sniperetry.Once,
	}
}

// exchangeRelay sends the body and waits for the start of the response.
func (f *Forwarder) exchangeRelay(ctx context.Context, q *request, stream RelayStream, region, attemptID string) (*response, *failure) {
	// The reader is created before the goroutine starts. Created later, it could
	// replace the reader of a later attempt.
	body := q.body.reader()
	go func() {
		if err := f.sendBody(ctx, body, stream, region); err != nil {
			// Otherwise the peer would wait for the rest of the body.
			stream.Close()
		}
	}()
	a, err := stream.ReadResponse()
	if err == nil {
		return &response{
			status: int(a.GetStatus()), header: headerFromWire(a.GetHeaders()), length: a.GetContentLength(),
			body: &chunkReader{read: stream.ReadChunk}, target: a.GetTarget(),
		}, nil
	}
	var refused *snipepeer.RefusedError
	if errors.As(err, &refused) {
		return nil, relayRefusalFailure(refused.Refusal)
	}
	return f.resolveLostRelay(ctx, q, stream.Peer(), attemptID, err)
}

// relayRefusalFailure returns the failure of an attempt that the other instance
// refused.
func relayRefusalFailure(r *snipewire.Refusal) *failure {
	failed := &failure{
		kind: sniperetry.NoSlot, reason: r.GetReason(), target: r.GetTarget(),
		reply: errorReply{retryAfter: time.Duration(r.GetRetryAfterMillis()) * time.Millisecond, detail: r.GetDetail()},
	}
	failed.permanent = r.GetReason() == reasonBadPath
	switch {
	case r.GetOutcome() != outcomeNotRun:
		failed.kind = sniperetry.RelayLost
	case r.GetReason() == "targetShed":
		failed.kind = sniperetry.TargetShed
	case r.GetReason() == "dialFailed":
		failed.kind = sniperetry.DialFailed
	}
	return failed
}

// resolveLostRelay revokes an attempt at the other instance after its stream
// failed before the response. For class once the reply decides whether the request
// may have run.
func (f *Forwarder) resolveLostRelay(ctx context.Context, q *request, peer snipepeer.Peer, attemptID string, cause error) (*response, *failure) {
	failed := &failure{kind: sniperetry.RelayLost, reason: reasonRelayFailed, reply: errorReply{detail: cause.Error()}}
	if reason := q.body.errorReason(); reason != "" {
		failed.reason, failed.permanent = reason, true
	}
	if ctx.Err() != nil && q.class != sniperetry.Once {
		// No caller waits for the response, and a repeated execution is harmless.
		return nil, failed
	}
	revokeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), min(revokeTimeout, max(f.remaining(q), 0)))
	defer cancel()
	status := f.deps.Relays.Revoke(revokeCtx, peer, attemptID)
	switch {
	case status.State == snipeonce.NeverStarted:
		failed.kind = sniperetry.RelayRefused
	case status.State == snipeonce.Finished && status.Result.Outcome == snipeonce.OutcomeNotRun:
		failed.kind = sniperetry.RelayRefused
		// A target may have refused the attempt, and the status does not name it. A
		// late copy of its refusal could pass for the response to another attempt.
		failed.permanent = failed.permanent || q.class == sniperetry.Once
	case status.State == snipeonce.Finished && status.Result.Response != nil:
		return responseFromRecord(status.Result.Response), nil
	}
	return nil, failed
}

// responseFromRecord returns a recorded response as if it had just arrived.
func responseFromRecord(recorded *snipeonce.Response) *response {
	body := recorded.Body
	read := func() ([]byte, error) {
		if len(body) == 0 {
			return nil, io.EOF
		}
		p := body
		body = nil
		return p, nil
	}
	return &response{
		status: int(recorded.Status), header: headerFromRecord(recorded.Headers), length: int64(len(recorded.Body)),
		body: &chunkReader{read: read},
	}
}

// sendBody sends the request body in chunks at the rate of the link to a region,
// followed by an end mark. r is nil for an empty body.
func (f *Forwarder) sendBody(ctx context.Context, r io.ReadCloser, stream RelayStream, region string) error {
	if r != nil {
		defer func() { _ = r.Close() }()
		pooled := f.buffers.get()
		defer f.buffers.put(pooled)
		chunk := pooled[:]
		for {
			n, err := r.Read(chunk)
			if n > 0 {
				if err := f.paceLink(ctx, region, n); err != nil {
					return err
				}
				if err := stream.WriteChunk(chunk[:n]); err != nil {
					return fmt.Errorf("send request body: %w", err)
				}
			}
			if errors.Is(err, io.EOF) {
				break
			}
			if err != nil {
				return fmt.Errorf("read request body: %w", err)
			}
		}
	}
	if err := stream.CloseBody(); err != nil {
		return fmt.Errorf("end request body: %w", err)
	}
	return nil
}

// paceLink waits until n bytes may be sent to a region. Traffic within the region
// of this instance is not limited.
func (f *Forwarder) paceLink(ctx context.Context, region string, n int) error {
	if region == "" || region == f.deps.Region() {
		return nil
	}
	if err := f.deps.Limits.PaceLink(ctx, region, float64(n)*bitsPerByte); err != nil {
		return fmt.Errorf("wait for tokens of the link to region %s: %w", region, err)
	}
	return nil
}

// chunkReader reads the chunks of a relay stream as a body. It returns io.EOF only
// after the end mark of the stream, so a truncated body ends with another error.
type chunkReader struct {
	read   func() ([]byte, error)
	unread []byte
}

// Read implements io.Reader.
func (c *chunkReader) Read(p []byte) (int, error) {
	for len(c.unread) == 0 {
		chunk, err := c.read()
		if err != nil {
			return 0, err //nolint:wrapcheck // io.EOF must stay what it is
		}
		c.unread = chunk
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}
