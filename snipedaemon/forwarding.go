package snipedaemon

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/snipemoor/snipemoor/snipeconfig"
	"github.com/snipemoor/snipemoor/snipeforward"
	"github.com/snipemoor/snipemoor/snipelimit"
	"github.com/snipemoor/snipemoor/snipelookup"
	"github.com/snipemoor/snipemoor/snipeonce"
	"github.com/snipemoor/snipemoor/snipepeer"
	"github.com/snipemoor/snipemoor/sniperetry"
	"github.com/snipemoor/snipemoor/sniperoute"
	"github.com/snipemoor/snipemoor/snipeslot"
	"github.com/snipemoor/snipemoor/snipetime"
	"github.com/snipemoor/snipemoor/snipewire"
)

// forwarding adapts the parts of the daemon to the interfaces of snipeforward.
type forwarding struct {
	d         *Daemon
	forwarder *snipeforward.Forwarder
	attempts  atomic.Uint64

	mu       sync.Mutex
	policies map[serviceKey]*lockedPolicy

	// bounded holds the targets with a pool bound; only reconciliation uses it.
	bounded map[string]bool
}

// buildForwarding creates the forwarder and the server for callers.
func (d *Daemon) buildForwarding(registry *prometheus.Registry) {
	f := &forwarding{d: d, policies: make(map[serviceKey]*lockedPolicy)}
	d.forward = f
	f.forwarder = snipeforward.New(snipeforward.Dependencies{
		Clock: d.clock, Config: f, Planner: f, Limits: f, Slots: slotAdapter{f}, Targets: d.pools, Relays: f,
		Records: recordAdapter{f}, Policies: f, Lookups: f, Region: d.region, Incarnation: d.self.incarnation,
		Log: d.log,
	}, registry)
	d.node.HandleRelay(f.forwarder.ServeRelay)
	snipepeer.HandleCall(d.node, f.answerAttemptStatus)
	d.callerServer = f.forwarder.Server(d.Ready)
	d.callerServer.ErrorLog = d.serverLog()
}

// configure keeps the retry policies of services that remain.
func (f *forwarding) configure(snapshot *snipeconfig.Snapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for key := range f.policies {
		if _, ok := snapshot.Service(key.team, key.service); !ok {
			delete(f.policies, key)
		}
	}
}

// boundPools divides the connections of each target of the region among the
// instances of the region. Pools of targets that are gone are dropped.
func (f *forwarding) boundPools(snapshot *snipeconfig.Snapshot, region string, instances int) {
	present := make(map[string]bool)
	for _, team := range snapshot.Teams() {
		for _, s := range team.Services() {
			t := s.Template()
			for _, target := range s.Targets() {
				if target.Place().Region().Name() == region {
					address := target.Address().String()
					present[address] = true
					f.d.pools.SetBound(address, t.ConnectionsPerTarget()/max(instances, 1), t.ConnectCost())
				}
			}
		}
	}
	for address := range f.bounded {
		if !present[address] {
			f.d.pools.Forget(address)
		}
	}
	f.bounded = present
}

func (f *forwarding) refuse() { f.forwarder.Refuse() }

func (f *forwarding) inFlight() int { return f.forwarder.InFlight() }

// Generation implements snipeforward.Configuration.
func (f *forwarding) Generation() uint64 { return f.d.config.generation() }

// Service implements snipeforward.Configuration.
func (f *forwarding) Service(team, name string) (snipeforward.Service, *snipeforward.Refusal) {
	snapshot := f.d.config.current()
	if snapshot == nil {
		return snipeforward.Service{}, &snipeforward.Refusal{Reason: "noConfiguration", RetryAfter: time.Second}
	}
	if _, ok := snapshot.Team(team); !ok {
		return snipeforward.Service{}, &snipeforward.Refusal{Reason: "unknownTeam"}
	}
	s, ok := snapshot.Service(team, name)
	if !ok {
		return snipeforward.Service{}, &snipeforward.Refusal{Reason: "unknownService"}
	}
	t := s.Template()
	return snipeforward.Service{
		Team: team, Name: name, Class: sniperetry.Class(t.Class().String()),
		DefaultTimeout: t.DefaultTimeout(), MaxTimeout: t.MaxTimeout(),
		MaxBody: t.MaxBodyBytes(), MaxHeader: t.MaxHeaderBytes(),
		RequestBytes: t.RequestBytes(), AnswerBytes: t.AnswerBytes(),
	}, nil
}

// RegionOf implements snipeforward.Configuration.
func (f *forwarding) RegionOf(place string) string {
	if snapshot := f.d.config.current(); snapshot != nil {
		if p, ok := snapshot.Fleet().Place(place); ok {
			return p.Region().Name()
		}
	}
	return ""
}

// Home implements snipeforward.Configuration.
func (f *forwarding) Home(team, name string, client netip.Addr) string {
	snapshot := f.d.config.current()
	if snapshot == nil {
		return ""
	}
	s, ok := snapshot.Service(team, name)
	if !ok {
		return ""
	}
	return f.d.lookup.home(s, client)
}

// Plan implements snipeforward.Planner.
func (f *forwarding) Plan(s snipeforward.Service, home string, buffer []snipeforward.Place) []snipeforward.Place {
	var candidates [16]sniperoute.PlaceCandidate
	for _, c := range f.d.planning.plan(s.Team, s.Name, home, candidates[:0]) {
		buffer = append(buffer, snipeforward.Place{
			Name: c.Place, Region: c.Region, NeedsShift: c.NeedsShift, NeedsLink: c.NeedsLink,
		})
	}
	return buffer
}

// limitRefusal maps an error of the limits to a refusal.
func limitRefusal(err error, capReached string, wait time.Duration) *snipeforward.Refusal {
	reason := capReached
	if errors.Is(err, snipelimit.ErrLeaseLapsed) {
		reason = "limitLeaseLapsed"
	}
	return &snipeforward.Refusal{Reason: reason, RetryAfter: wait}
}

// shiftPatience is how long a request waits for a token of a shift, while it
// holds a slot. Without waiting, random arrivals at a small cap are refused
// though its mean rate is free.
const shiftPatience = 50 * time.Millisecond

// AdmitShift implements snipeforward.Limits.
func (f *forwarding) AdmitShift(ctx context.Context, s snipeforward.Service, bits float64) *snipeforward.Refusal {
	requests, err := f.d.limits.bucket(shiftRequestsID(s.Team, s.Name))
	if err != nil {
		return limitRefusal(err, "shiftCap", time.Second)
	}
	if wait, err := f.await(ctx, requests); err != nil {
		return limitRefusal(err, "shiftCap", wait)
	}
	if wait, err := f.d.limits.spend(shiftBitsID(s.Team, s.Name), bits); err != nil {
		requests.Correct(f.d.clock.Now(), -1)
		return limitRefusal(err, "shiftCap", wait)
	}
	return nil
}

// await takes one token of a bucket, in the order of arrival.
func (f *forwarding) await(ctx context.Context, b *snipelimit.Bucket) (time.Duration, error) {
	reservation, wait, err := b.Reserve(f.d.clock.Now(), 1, shiftPatience)
	for err == nil && reservation != nil && wait > 0 {
		sleep(ctx, wait)
		if ctx.Err() != nil {
			reservation.Cancel()
			return 0, fmt.Errorf("wait for a token: %w", ctx.Err())
		}
		wait, err = reservation.Spend(f.d.clock.Now())
	}
	if err != nil {
		return wait, fmt.Errorf("take a token: %w", err)
	}
	return 0, nil
}

// CorrectShift implements snipeforward.Limits.
func (f *forwarding) CorrectShift(s snipeforward.Service, difference float64) {
	if b, err := f.d.limits.bucket(shiftBitsID(s.Team, s.Name)); err == nil {
		b.Correct(f.d.clock.Now(), difference)
	}
}

// maxLinkWait is the longest expected wait for link tokens with which a request
// is still relayed.
const maxLinkWait = 200 * time.Millisecond

// AdmitLink implements snipeforward.Limits.
func (f *forwarding) AdmitLink(region string, bits float64) *snipeforward.Refusal {
	b, err := f.d.limits.bucket(linkID(f.d.region(), region))
	if err != nil {
		return limitRefusal(err, "linkCap", time.Second)
	}
	if wait := b.Wait(f.d.clock.Now(), bits); wait > maxLinkWait {
		return &snipeforward.Refusal{Reason: "linkCap", RetryAfter: wait}
	}
	return nil
}

// PaceLink implements snipeforward.Limits.
func (f *forwarding) PaceLink(ctx context.Context, region string, bits float64) error {
	return f.d.limits.pace(ctx, linkID(f.d.region(), region), bits)
}

// slotAdapter implements snipeforward.Slots.
type slotAdapter struct{ f *forwarding }

// Acquire implements snipeforward.Slots.
func (a slotAdapter) Acquire(ctx context.Context, r snipeforward.SlotRequest) (string, *snipeforward.Refusal) {
	group, ok := a.f.d.planning.group(r.Service.Team, r.Service.Name, r.Place)
	if !ok {
		return "", &snipeforward.Refusal{Reason: "noTarget"}
	}
	target, refusal := a.f.d.slots.acquire(ctx, slotRequest{
		group: group, attemptID: r.AttemptID, budget: r.Budget, maxWait: r.MaxWait,
		excluded: r.Excluded, hedge: r.Hedge, revoke: r.Revoke,
	})
	if refusal != nil {
		return "", &snipeforward.Refusal{Reason: string(refusal.reason), RetryAfter: refusal.retryAfter}
	}
	return target, nil
}

// Release implements snipeforward.Slots.
func (a slotAdapter) Release(attemptID string, result snipeforward.AttemptResult, latency time.Duration) {
	outcome := snipeslot.OutcomeCancelled
	switch result {
	case snipeforward.AttemptDone:
		outcome = snipeslot.OutcomeDone
	case snipeforward.AttemptFailed:
		outcome = snipeslot.OutcomeFailed
	case snipeforward.AttemptDialFailed:
		outcome = snipeslot.OutcomeDialFailed
	case snipeforward.AttemptShed:
		outcome = snipeslot.OutcomeShed
	case snipeforward.AttemptCancelled:
	}
	if outcome == snipeslot.OutcomeCancelled && latency > 0 {
		// The target learns of the cancellation a little later and works until
		// then, so that its slot is not free yet.
		a.f.d.clock.After(cancelSettle, func(snipetime.Instant) { a.f.d.slots.finish(attemptID, outcome, latency) })
		return
	}
	a.f.d.slots.finish(attemptID, outcome, latency)
}

// cancelSettle is the time in which a target notices that its caller has closed
// the connection: several one-way delays between failure domains.
const cancelSettle = 20 * time.Millisecond

// Choose implements snipeforward.Relays.
func (f *forwarding) Choose(region, place string) (string, bool) {
	return f.d.planning.chooseRelay(region, place)
}

// Finished implements snipeforward.Relays.
func (f *forwarding) Finished(peer string, ok bool, latency time.Duration) {
	f.d.planning.finishRelay(peer, ok, latency)
}

// Open implements snipeforward.Relays.
func (f *forwarding) Open(ctx context.Context, peer string, q *snipewire.RelayRequest) (snipeforward.RelayStream, error) {
	stream, err := f.d.node.OpenRelay(ctx, peer, q)
	if err != nil {
		return nil, err //nolint:wrapcheck // names the peer already
	}
	return stream, nil
}

// NextAttempt implements snipeforward.Relays.
func (f *forwarding) NextAttempt() snipeonce.AttemptID {
	return snipeonce.AttemptID{Sender: f.d.self.incarnation, N: f.attempts.Add(1)}
}

// Revoke implements snipeforward.Relays.
func (f *forwarding) Revoke(ctx context.Context, to snipepeer.Peer, attemptID string) snipeonce.Status {
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
		result := resultFrom(&snipewire.Record{Answer: reply.GetAnswer(), Outcome: reply.GetAnswer().GetOutcome()})
		return snipeonce.Status{State: snipeonce.Finished, Result: result}
	default:
		return snipeonce.Status{}
	}
}

// answerAttemptStatus answers Revoke of another instance.
func (f *forwarding) answerAttemptStatus(_ context.Context, from snipepeer.Peer, q *snipewire.AttemptStatus) (*snipewire.AttemptStatusReply, error) {
	id, err := snipeonce.ParseAttemptID(q.GetAttemptId())
	if err != nil {
		return nil, err //nolint:wrapcheck // names the identifier already
	}
	status := f.d.records.foreign.Revoke(id, q.GetIncarnation(), from.Epoch, f.d.clock.Now())
	reply := &snipewire.AttemptStatusReply{AttemptId: q.GetAttemptId(), State: snipewire.AttemptStatusReply_UNKNOWN}
	switch status.State {
	case snipeonce.NeverStarted:
		reply.State = snipewire.AttemptStatusReply_NEVER_STARTED
	case snipeonce.Running:
		reply.State = snipewire.AttemptStatusReply_RUNNING
	case snipeonce.Finished:
		reply.State = snipewire.AttemptStatusReply_FINISHED
		reply.Answer = &snipewire.Answer{Outcome: status.Result.Outcome.String(), Reason: string(status.Result.Reason)}
		if a := status.Result.Answer; a != nil {
			reply.Answer.Status, reply.Answer.Headers, reply.Answer.Body = a.Status, headersTo(a.Headers), a.Body
		}
	case snipeonce.StateUnknown:
	}
	return reply, nil
}

// recordAdapter implements snipeforward.Records.
type recordAdapter struct{ f *forwarding }

// Issue implements snipeforward.Records.
func (a recordAdapter) Issue() snipeonce.RequestID {
	return a.f.d.records.minter.Issue(a.f.d.clock.Now())
}

// Begin implements snipeforward.Records.
func (a recordAdapter) Begin(id snipeonce.RequestID, deadline snipetime.Instant) (snipeonce.Decision, <-chan snipeonce.Result, func()) {
	return a.f.d.records.begin(id, deadline)
}

// Finish implements snipeforward.Records.
func (a recordAdapter) Finish(id snipeonce.RequestID, result snipeonce.Result) {
	a.f.d.records.finish(id, result)
}

// Revoke implements snipeforward.Records.
func (a recordAdapter) Revoke(id snipeonce.RequestID) snipeonce.Status {
	if id.Incarnation != a.f.d.self.incarnation {
		return snipeonce.Status{}
	}
	return a.f.d.records.table.Revoke(id, a.f.d.clock.Now())
}

// Claim implements snipeforward.Records.
func (a recordAdapter) Claim(ctx context.Context, team, service, key string, id snipeonce.RequestID, deadline snipetime.Instant) (snipeonce.RequestID, bool, *snipeonce.Result) {
	return a.f.d.records.claim(ctx, team, service, key, id, deadline)
}

// Peer implements snipeforward.Records.
func (a recordAdapter) Peer(incarnation string) (string, bool) {
	return a.f.d.records.peerOf(incarnation)
}

// Admit implements snipeforward.Records.
func (a recordAdapter) Admit(id snipeonce.AttemptID, q *snipewire.RelayRequest, from snipepeer.Peer) snipeonce.Admission {
	if id.Sender != from.Incarnation {
		return snipeonce.WrongIncarnation
	}
	return a.f.d.records.foreign.Admit(id, q.GetIncarnation(), q.GetSessionEpoch(), a.f.d.clock.Now())
}

// Finished implements snipeforward.Records.
func (a recordAdapter) Finished(id snipeonce.AttemptID, result snipeonce.Result) {
	a.f.d.records.foreign.Finish(id, result, a.f.d.clock.Now())
}

// lockedPolicy makes a retry policy safe for concurrent use.
type lockedPolicy struct {
	mu     sync.Mutex
	policy *sniperetry.Policy
}

// FirstAttempt implements snipeforward.Policy.
func (p *lockedPolicy) FirstAttempt(now snipetime.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.policy.FirstAttempt(now)
}

// Observe implements snipeforward.Policy.
func (p *lockedPolicy) Observe(now snipetime.Instant, latency time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.policy.Observe(now, latency)
}

// HedgeDelay implements snipeforward.Policy.
func (p *lockedPolicy) HedgeDelay(class sniperetry.Class) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.policy.HedgeDelay(class)
}

// Decide implements snipeforward.Policy.
func (p *lockedPolicy) Decide(now snipetime.Instant, e sniperetry.Event) sniperetry.Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.policy.Decide(now, e)
}

// Refund implements snipeforward.Policy.
func (p *lockedPolicy) Refund() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.policy.Refund()
}

// Policy implements snipeforward.Policies.
func (f *forwarding) Policy(s snipeforward.Service) snipeforward.Policy {
	key := serviceKey{s.Team, s.Name}
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.policies[key]
	if !ok {
		random := rand.New(rand.NewPCG(f.d.self.seed, uint64(len(f.policies))))
		p = &lockedPolicy{policy: sniperetry.NewPolicy(sniperetry.Settings{}, random, f.d.clock.Now())}
		f.policies[key] = p
	}
	return p
}

// Entries implements snipeforward.Lookups.
func (f *forwarding) Entries(team, service string, block netip.Prefix) (snipeforward.LookupAnswer, *snipeforward.Refusal) {
	var answer snipeforward.LookupAnswer
	if _, refusal := f.Service(team, service); refusal != nil {
		return answer, refusal
	}
	s, ok := f.d.config.current().Service(team, service)
	if !ok {
		return answer, &snipeforward.Refusal{Reason: "unknownService"}
	}
	list, generation, prefix := f.d.lookup.entries(s, block, f.d.records.minter.Issue(f.d.clock.Now()))
	if list.Len() == 0 {
		return answer, &snipeforward.Refusal{Reason: "noEntry", RetryAfter: time.Second}
	}
	answer.Generation, answer.Prefix, answer.TimeToLive = generation, prefix, snipelookup.TimeToLive
	for i := range list.Len() {
		e := list.At(i)
		answer.Entries = append(answer.Entries, snipeforward.Entry{Address: e.Address, Place: e.Place})
	}
	return answer, nil
}
