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

// ServeRelay serves a request that another instance relayed: either one attempt
// at a target of this region, or a request of class once that this instance
// decides about. It is a snipepeer.RelayHandler.
func (f *Forwarder) ServeRelay(ctx context.Context, stream *snipepeer.RelayStream) {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	// Like net/http does for callers, a panic ends only its request. The sender
	// sees a response without its end mark.
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
		q.passedBy = m.GetExcluded()
		f.serveOnce(ctx, q, s)
		return
	}
	f.serveAttempt(ctx, q, m, stream.Peer(), s)
}

func (f *Forwarder) recoverRelay() {
	if v := recover(); v != nil {
		f.metrics.panics.Inc()
		f.log.Error("relayed request panicked", zap.Any("panic", v), zap.Stack("stack"))
	}
}

// acceptRelay rebuilds the request that was relayed.
func (f *Forwarder) acceptRelay(m *snipewire.RelayRequest, stream *snipepeer.RelayStream) (*request, *end) {
	id, err := snipeonce.ParseRequestID(m.GetRequestId())
	if err != nil {
		e := end{outcome: outcomeUnknown, reason: reasonBadRequestID, detail: err.Error()}
		return nil, &e
	}
	service, refusal := f.deps.Config.Service(m.GetTeam(), m.GetService())
	if refusal != nil {
		// The sender has another generation; for a join the request can have
		// run before this one came into force.
		e := refusal.end()
		if m.GetJoin() {
			e.outcome = outcomeUnknown
		}
		return nil, &e
	}
	budget := min(time.Duration(m.GetBudgetMillis())*time.Millisecond, service.MaxTimeout)
	q := &request{
		service: service, class: service.Class, id: id, named: true, key: m.GetIdempotencyKey(),
		method: m.GetMethod(), uri: m.GetTargetUri(), header: headerFromWire(m.GetHeaders()),
		deadline: f.deps.Clock.Now().Add(budget), excluded: m.GetExcluded(), running: new(atomic.Pointer[string]),
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
	q.body = &body{length: length, rest: &limitedBody{src: source, left: service.MaxBody}}
	if length == 0 {
		q.body = &body{whole: true}
	}
	return q, nil
}

// serveAttempt makes exactly one attempt for another instance.
func (f *Forwarder) serveAttempt(ctx context.Context, q *request, m *snipewire.RelayRequest, from snipepeer.Peer, s *relaySink) {
	if f.stopping.Load() {
		s.Refuse(end{outcome: outcomeNotRun, reason: reasonStopping, retryAfter: time.Second})
		return
	}
	attemptID, err := snipeonce.ParseAttemptID(m.GetAttemptId())
	if err != nil || f.deps.Records.Admit(attemptID, m, from) != snipeonce.Admitted {
		// The attempt was not started by this message, but one with the same
		// identifier can have been.
		s.Refuse(unknown(reasonRelayFailed))
		return
	}
	rec := &recorder{next: s, result: snipeonce.Result{Outcome: snipeonce.OutcomeUnknown, Reason: reasonTargetFailed}}
	if m.GetOnce() {
		rec.limit = keptAnswerBytes
		ctx = context.WithoutCancel(ctx)
	}
	defer func() { f.deps.Records.Finished(attemptID, rec.result) }()
	ctx, cancel := context.WithTimeout(ctx, f.left(q))
	defer cancel()
	wait := time.Duration(m.GetMaxWaitMillis()) * time.Millisecond
	a, failed := f.local(ctx, q, Place{Name: m.GetPlace()}, wait, m.GetHedge())
	if failed != nil {
		e := failed.end
		e.reason, e.outcome = failed.reason, outcomeNotRun
		if failed.kind.Begun() {
			e.outcome = outcomeUnknown
		}
		s.target = failed.target
		rec.Refuse(e)
		return
	}
	s.target = a.target
	if m.GetOnce() {
		f.deliver(q, rec, a)
		return
	}
	// Other classes follow the caller: when it is gone, the attempt ends.
	rec.result = snipeonce.Result{Outcome: snipeonce.OutcomeDone}
	f.deliver(q, s, a)
}

// relaySink answers the instance that relayed a request, paced by the tokens of
// the link to its region.
type relaySink struct {
	f      *Forwarder
	ctx    context.Context
	stream *snipepeer.RelayStream
	region string
	method string
	target string
}

// Begin implements sink.
func (s *relaySink) Begin(status int, header http.Header, length int64) error {
	err := s.stream.WriteAnswer(&snipewire.RelayAnswer{
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
		if err := s.f.pace(s.ctx, s.region, len(chunk)); err != nil {
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

// Abort implements sink. Without an end mark the peer sees a truncated response.
func (s *relaySink) Abort() {}

// Refuse implements sink.
func (s *relaySink) Refuse(e end) {
	// A refusal that cannot be sent is seen as a lost stream.
	_ = s.stream.Refuse(&snipewire.Refusal{
		Reason: e.reason, Outcome: e.outcome, Detail: e.detail, Target: s.target,
		RetryAfterMillis: uint32(e.retryAfter.Milliseconds()),
	})
}
