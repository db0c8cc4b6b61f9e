package snipeforward

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/snipemoor/snipemoor/snipeonce"
	"github.com/snipemoor/snipemoor/snipepeer"
	"github.com/snipemoor/snipemoor/sniperetry"
	"github.com/snipemoor/snipemoor/snipewire"
)

// ServeRelay serves a request that another instance relayed: either a single
// attempt at a target of this region, or a request of class once about which this
// instance decides. It is a snipepeer.RelayHandler.
func (f *Forwarder) ServeRelay(ctx context.Context, stream *snipepeer.RelayServerStream) {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	// A panic ends only its request, as in net/http. The sender receives a
	// response without an end mark.
	defer f.recoverRelay()
	m := stream.Request()
	s := &relaySink{
		f: f, ctx: ctx, stream: stream, method: m.GetMethod(),
		region: f.deps.Config.RegionOf(stream.Peer().Place),
	}
	q, refused := f.acceptRelay(m, stream)
	if refused != nil {
		s.Refuse(*refused)
		return
	}
	if m.GetJoin() {
		q.relayedBy = m.GetExcluded()
		f.serveOnce(ctx, q, s)
		return
	}
	f.serveAttempt(ctx, q, m, stream.Peer(), s)
}

// recoverRelay logs and counts a panic. It must be deferred.
func (f *Forwarder) recoverRelay() {
	if v := recover(); v != nil {
		f.metrics.panics.Inc()
		f.log.Error("relayed request panicked", zap.Any("panic", v), zap.Stack("stack"))
	}
}

// acceptRelay returns the relayed request, or the reply if it is refused.
func (f *Forwarder) acceptRelay(m *snipewire.RelayRequest, stream *snipepeer.RelayServerStream) (*request, *errorReply) {
	id, err := snipeonce.ParseRequestID(m.GetRequestId())
	if err != nil {
		e := errorReply{outcome: outcomeUnknown, reason: reasonBadRequestID, detail: err.Error()}
		return nil, &e
	}
	service, refusal := f.deps.Config.Service(m.GetTeam(), m.GetService())
	if refusal != nil {
		// The sender has another generation. A joined request may have run
		// before the generation of this instance came into force.
		e := refusal.errorReply()
		if m.GetJoin() {
			e.outcome = outcomeUnknown
		}
		return nil, &e
	}
	budget := min(time.Duration(m.GetBudgetMillis())*time.Millisecond, service.MaxTimeout)
	q := &request{
		service: service, class: service.Class, id: id, idReceived: true, idempotencyKey: m.GetIdempotencyKey(),
		method: m.GetMethod(), uri: m.GetTargetUri(), header: headerFromWire(m.GetHeaders()),
		deadline: f.deps.Clock.Now().Add(budget), excluded: m.GetExcluded(), currentTarget: new(atomic.Pointer[string]),
	}
	if q.method == http.MethodGet || q.method == http.MethodHead {
		q.class = sniperetry.Safe
	}
	if client, err := netip.ParseAddr(m.GetClientAddress()); err == nil {
		q.client = client
	}
	q.home = f.deps.Config.Home(m.GetTeam(), m.GetService(), q.client)
	length := m.GetContentLength()
	source := &chunkReader{read: stream.ReadChunk}
	if m.GetJoin() {
		q.body, err = readBody(source, length, service.MaxBody)
		if err != nil {
			e := unknown(reasonBodyCut)
			return nil, &e
		}
		return q, nil
	}
	q.body = &body{length: length, unbuffered: &limitedBody{src: source, remaining: service.MaxBody}}
	if length == 0 {
		q.body = &body{fullyBuffered: true}
	}
	return q, nil
}

// serveAttempt makes exactly one attempt for another instance.
func (f *Forwarder) serveAttempt(ctx context.Context, q *request, m *snipewire.RelayRequest, from snipepeer.Peer, s *relaySink) {
	if f.stopping.Load() {
		s.Refuse(errorReply{outcome: outcomeNotRun, reason: reasonStopping, retryAfter: time.Second})
		return
	}
	attemptID, err := snipeonce.ParseAttemptID(m.GetAttemptId())
	if err != nil || f.deps.Records.Admit(attemptID, m, from) != snipeonce.Admitted {
		// This message does not start the attempt, but an earlier one with the
		// same identifier may have.
		s.Refuse(unknown(reasonRelayFailed))
		return
	}
	rec := &recorder{next: s, result: snipeonce.Result{Outcome: snipeonce.OutcomeUnknown, Reason: reasonTargetFailed}}
	if m.GetOnce() {
		rec.limit = maxRecordedBodyBytes
		ctx = context.WithoutCancel(ctx)
	}
	defer func() { f.deps.Records.FinishAttempt(attemptID, rec.result) }()
	ctx, cancel := context.WithTimeout(ctx, f.remaining(q))
	defer cancel()
	wait := time.Duration(m.GetMaxWaitMillis()) * time.Millisecond
	resp, failed := f.attemptLocal(ctx, q, Place{Name: m.GetPlace()}, wait, m.GetHedge())
	if failed != nil {
		e := failed.reply
		e.reason, e.outcome = failed.reason, string(sniperetry.AttemptRecord{failed.kind}.Outcome())
		s.target = failed.target
		rec.Refuse(e)
		return
	}
	s.target = resp.target
	if m.GetOnce() {
		f.deliver(q, rec, resp)
		return
	}
	// An attempt of another class ends when the caller disconnects.
	rec.result = snipeonce.Result{Outcome: snipeonce.OutcomeDone}
	f.deliver(q, s, resp)
}

// relaySink writes a response to the instance that relayed the request, at the
// rate of the link to its region.
type relaySink struct {
	f      *Forwarder
	ctx    context.Context
	stream *snipepeer.RelayServerStream
	region string
	method string
	target string
}

// Begin implements sink.
func (s *relaySink) Begin(status int, header http.Header, length int64) error {
	err := s.stream.WriteResponse(&snipewire.RelayAnswer{
		Status: uint32(status), Headers: headerToWire(header), ContentLength: length, Target: s.target, Outcome: outcomeDone,
	})
	if err != nil {
		return fmt.Errorf("relay response: %w", err)
	}
	return nil
}

// Write implements sink.
func (s *relaySink) Write(p []byte) (int, error) {
	written := 0
	for len(p) > 0 {
		chunk := p[:min(len(p), snipepeer.MaxChunk)]
		if err := s.f.paceLink(s.ctx, s.region, len(chunk)); err != nil {
			return written, err
		}
		if err := s.stream.WriteChunk(chunk); err != nil {
			return written, fmt.Errorf("relay response: %w", err)
		}
		written += len(chunk)
		p = p[len(chunk):]
	}
	return written, nil
}

// Complete implements sink.
func (s *relaySink) Complete() error {
	if err := s.stream.End(); err != nil {
		return fmt.Errorf("end relayed response: %w", err)
	}
	return nil
}

// Abort implements sink. Without an end mark the peer treats the response as
// truncated.
func (s *relaySink) Abort() {}

// Refuse implements sink.
func (s *relaySink) Refuse(e errorReply) {
	// If the refusal cannot be sent, the peer detects a lost stream.
	_ = s.stream.Refuse(&snipewire.Refusal{
		Reason: e.reason, Outcome: e.outcome, Detail: e.detail, Target: s.target,
		RetryAfterMillis: uint32(e.retryAfter.Milliseconds()),
	})
}
