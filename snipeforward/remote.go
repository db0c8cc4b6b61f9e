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

// revokeTimeout bounds the question about an attempt whose session broke.
const revokeTimeout = 2 * time.Second

// remote relays one attempt to an entry instance of another region.
func (f *Forwarder) remote(ctx context.Context, q *request, place Place, hedge bool) (*answer, *failure) {
	sent, _ := estimate(q)
	if refusal := f.deps.Limits.AdmitLink(place.Region, sent); refusal != nil {
		return nil, refusedAttempt(refusal)
	}
	settle, refusal := f.shift(ctx, q, place)
	if refusal != nil {
		return nil, refusedAttempt(refusal)
	}
	peer, ok := f.deps.Relays.Choose(place.Region, place.Name)
	if !ok {
		settle(0)
		return nil, refusedAttempt(&Refusal{Reason: reasonRelayFailed})
	}
	started := f.deps.Clock.Now()
	finished := func(ok bool) { f.deps.Relays.Finished(peer, ok, f.deps.Clock.Now().Sub(started)) }
	attemptID := f.deps.Relays.NextAttempt().String()
	m := f.relayRequest(q)
	m.AttemptId, m.Place, m.Hedge = attemptID, place.Name, hedge
	m.Excluded = q.excluded
	m.MaxWaitMillis = uint32(relayWait.Milliseconds())
	ctx, cancel := context.WithCancel(ctx)
	stream, err := f.deps.Relays.Open(ctx, peer, m)
	if err != nil {
		cancel()
		finished(false)
		settle(0)
		if errors.Is(err, snipepeer.ErrNoSession) {
			return nil, refusedAttempt(&Refusal{Reason: reasonRelayFailed})
		}
		return nil, &failure{kind: sniperetry.RelayLost, reason: reasonRelayFailed, end: end{detail: err.Error()}}
	}
	f.metrics.attempts.WithLabelValues(q.service.Team, q.service.Name, "relay").Inc()
	a, failed := f.relayed(ctx, q, stream, place.Region, attemptID)
	if failed != nil {
		stream.Close()
		cancel()
		finished(failed.kind == sniperetry.NoSlot || failed.kind == sniperetry.TargetShed)
		settle(chargedBits(q, failed))
		return nil, failed
	}
	counted := &countingReader{r: a.body}
	a.body = counted
	a.finish = func(how ending) {
		stream.Close()
		cancel()
		finished(how != endedByTarget)
		settle(sentBits(q) + float64(counted.n)*bitsPerByte)
	}
	return a, nil
}

// relayRequest returns the parts of a relayed request that do not depend on the
// attempt.
func (f *Forwarder) relayRequest(q *request) *snipewire.RelayRequest {
	return &snipewire.RelayRequest{
		RequestId: q.id.String(), Team: q.service.Team, Service: q.service.Name, Method: q.method, TargetUri: q.uri,
		Headers: headerToWire(endToEnd(q.header)), BudgetMillis: uint32(max(f.left(q).Milliseconds(), 1)),
		ContentLength: q.body.length, Generation: f.deps.Config.Generation(), ClientAddress: q.client.String(),
		IdempotencyKey: q.key, Once: q.class == sniperetry.Once,
	}
}

// relayed sends the body and waits for the start of the response.
func (f *Forwarder) relayed(ctx context.Context, q *request, stream RelayStream, region, attemptID string) (*answer, *failure) {
	// The reader is taken before the goroutine runs, so that it cannot take the
	// body away from a later attempt.
	body := q.body.reader()
	go func() {
		if err := f.sendBody(ctx, body, stream, region); err != nil {
			// The peer must not wait for the rest of the body.
			stream.Close()
		}
	}()
	a, err := stream.ReadAnswer()
	if err == nil {
		return &answer{
			status: int(a.GetStatus()), header: headerFromWire(a.GetHeaders()), length: a.GetContentLength(),
			body: &chunkReader{read: stream.ReadChunk}, target: a.GetTarget(),
		}, nil
	}
	var refused *snipepeer.RefusedError
	if errors.As(err, &refused) {
		return nil, refusedRelay(refused.Refusal)
	}
	return f.lost(ctx, q, stream.Peer(), attemptID, err)
}

// refusedRelay returns what the refusal of the other instance means.
func refusedRelay(r *snipewire.Refusal) *failure {
	failed := &failure{
		kind: sniperetry.NoSlot, reason: r.GetReason(), target: r.GetTarget(),
		end: end{retryAfter: time.Duration(r.GetRetryAfterMillis()) * time.Millisecond, detail: r.GetDetail()},
	}
	failed.final = r.GetReason() == reasonBadPath
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

// lost asks the other instance about an attempt whose stream broke before its
// response. For class once the answer decides whether the request can have run.
func (f *Forwarder) lost(ctx context.Context, q *request, peer snipepeer.Peer, attemptID string, cause error) (*answer, *failure) {
	failed := &failure{kind: sniperetry.RelayLost, reason: reasonRelayFailed, end: end{detail: cause.Error()}}
	if fault := q.body.fault(); fault != "" {
		failed.reason, failed.final = fault, true
	}
	if ctx.Err() != nil && q.class != sniperetry.Once {
		// Nobody waits for the response, and a repetition does no harm.
		return nil, failed
	}
	askCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), min(revokeTimeout, max(f.left(q), 0)))
	defer cancel()
	status := f.deps.Relays.Revoke(askCtx, peer, attemptID)
	switch {
	case status.State == snipeonce.NeverStarted:
		failed.kind = sniperetry.RelayRefused
	case status.State == snipeonce.Finished && status.Result.Outcome == snipeonce.OutcomeNotRun:
		failed.kind = sniperetry.RelayRefused
	case status.State == snipeonce.Finished && status.Result.Answer != nil:
		return recordedAnswer(status.Result.Answer), nil
	}
	return nil, failed
}

// recordedAnswer returns a kept response as one that has just arrived.
func recordedAnswer(kept *snipeonce.Answer) *answer {
	body := kept.Body
	read := func() ([]byte, error) {
		if len(body) == 0 {
			return nil, io.EOF
		}
		p := body
		body = nil
		return p, nil
	}
	return &answer{
		status: int(kept.Status), header: headerFromRecord(kept.Headers), length: int64(len(kept.Body)),
		body: &chunkReader{read: read},
	}
}

// sendBody sends the request body in paced chunks, with an end mark.
func (f *Forwarder) sendBody(ctx context.Context, r io.ReadCloser, stream RelayStream, region string) error {
	if r != nil {
		defer func() { _ = r.Close() }()
		pooled := f.buffers.get()
		defer f.buffers.put(pooled)
		chunk := pooled[:]
		for {
			n, err := r.Read(chunk)
			if n > 0 {
				if err := f.pace(ctx, region, n); err != nil {
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

// pace waits until n bytes may be sent to a region; the own region needs no
// tokens.
func (f *Forwarder) pace(ctx context.Context, region string, n int) error {
	if region == "" || region == f.deps.Region() {
		return nil
	}
	if err := f.deps.Limits.PaceLink(ctx, region, float64(n)*bitsPerByte); err != nil {
		return fmt.Errorf("pace to region %s: %w", region, err)
	}
	return nil
}

// chunkReader reads the chunks of a stream as a body. Only the end mark of the
// stream is io.EOF.
type chunkReader struct {
	read func() ([]byte, error)
	rest []byte
}

// Read implements io.Reader.
func (c *chunkReader) Read(p []byte) (int, error) {
	for len(c.rest) == 0 {
		chunk, err := c.read()
		if err != nil {
			return 0, err //nolint:wrapcheck // io.EOF must stay what it is
		}
		c.rest = chunk
	}
	n := copy(p, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}
