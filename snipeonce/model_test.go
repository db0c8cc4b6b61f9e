package snipeonce

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/snipemoor/snipemoor/snipetime"
)

// fault is a safeguard that the simulation disables, to show that its checks
// detect the resulting violation.
type fault string

const (
	noFault               fault = "none"
	forgetClosedIDs       fault = "closed identifiers are forgotten"
	forgetEndedRecords    fault = "records of ended requests are forgotten"
	useStaleInstants      fault = "a late call uses its own older instant"
	forgetAttempts        fault = "attempts and revocations are forgotten"
	acceptPartialHandover fault = "a partial hand-over counts as complete"
	skipIssuer            fault = "a claim is replaced without asking its issuer"
	restartAfterNotRun    fault = "a request answered not-run starts again"
	deleteClaimsEarly     fault = "claims are deleted before their retention"
	runAfterDeadline      fault = "a claimed request runs after its deadline"
)

// process is one simulated process incarnation.
type process struct {
	name            string
	up              bool
	clockOffset     time.Duration
	table           *Table
	relayedAttempts *RelayedAttempts
	sweep           *ClaimSweep
	minter          *IDGenerator
	sentAttempts    uint64
	epoch           uint64
}

// stage is the progress of a started request.
type stage int

const (
	claiming stage = iota
	ready
	ran
	relayed
)

// startedRequest is a request that its issuer has started. issuer becomes nil
// when it has ended.
type startedRequest struct {
	issuer   *process
	id       RequestID
	key      string
	stage    stage
	claim    *Claim
	action   ClaimAction
	attempt  AttemptID
	receiver *process
	// deadline is in simulated time.
	deadline time.Duration
}

const (
	// keyRetention exceeds relayDelay, as SweepSettings requires.
	keyRetention = 8 * time.Second
	// relayDelay is how long after the deadline of its request a relayed attempt
	// can start.
	relayDelay = 3 * time.Second
	// longestDeadline exceeds every budget that deliverCall draws.
	longestDeadline = 19 * time.Second
)

// storedClaim is a claim in the simulated store.
type storedClaim struct {
	value   ClaimValue
	version uint64
}

// simulation is a set of processes, a store and the messages in flight. A message
// is a function; messages are delivered in any order, repeatedly, or not at all.
type simulation struct {
	r        *rand.Rand
	fault    fault
	time     time.Duration
	procs    []*process
	messages []func()
	started  []*startedRequest
	store    map[string]storedClaim
	version  uint64
	runCount map[RequestID]int
	// lastRunByKey holds the last request that ran under each idempotency key.
	lastRunByKey map[string]string
	// deletedClaims holds the requests whose claims were deleted.
	deletedClaims map[string]bool
	// deadlines holds the deadlines of started requests.
	deadlines map[string]time.Duration
	// notRun holds the requests that were answered not-run.
	notRun map[RequestID]bool
	// err is the violation found, or nil.
	err error
}

// oneIn returns true with probability 1/n.
func (sim *simulation) oneIn(n int) bool { return sim.r.IntN(n) == 0 }

func (sim *simulation) enqueue(f func()) { sim.messages = append(sim.messages, f) }

// clock returns the current instant of a process, or an older one to simulate a
// call that waited after it read the clock.
func (sim *simulation) clock(p *process) snipetime.Instant {
	now := snipetime.Instant(0).Add(sim.time + p.clockOffset)
	if sim.fault == useStaleInstants {
		p.table.now = 0
	}
	if sim.oneIn(4) {
		now = now.Add(-time.Duration(sim.r.IntN(5000)) * time.Millisecond)
	}
	return now
}

// injectFault changes the state of a process as the fault of the simulation
// would.
func (sim *simulation) injectFault(p *process) {
	switch sim.fault {
	case forgetClosedIDs:
		p.table.closedIDs = newClosedSet(1000)
	case forgetEndedRecords, restartAfterNotRun:
		for id, r := range p.table.records {
			if !r.running && (sim.fault == forgetEndedRecords || r.result.Outcome == OutcomeNotRun) {
				delete(p.table.records, id)
			}
		}
	case forgetAttempts:
		clear(p.relayedAttempts.senders)
	case acceptPartialHandover:
		for _, in := range p.table.imported {
			in.complete = true
			in.asOf = 0
		}
	}
}

// startProcess adds a process with a clock offset of its own.
func (sim *simulation) startProcess() {
	p := &process{name: fmt.Sprint("i", len(sim.procs)), up: true, clockOffset: time.Duration(sim.r.IntN(1000)+10) * time.Second}
	p.table = NewTable(p.name, Settings{
		StartWindow: 10 * time.Second, Retention: 30 * time.Second, MaxBytes: 8 * recordOverhead, MaxClosedIDs: 3,
	})
	p.relayedAttempts = NewRelayedAttempts(p.name)
	p.minter = NewIDGenerator(p.name)
	p.sweep = NewClaimSweep(SweepSettings{KeyRetention: keyRetention, MaxDeadline: longestDeadline})
	sim.procs = append(sim.procs, p)
}

// randomUp picks a process at random and returns it, or nil if it is down.
func (sim *simulation) randomUp() *process {
	p := sim.procs[sim.r.IntN(len(sim.procs))]
	if !p.up {
		return nil
	}
	return p
}

// upByName returns the process with a name, or nil if it is down.
func (sim *simulation) upByName(name string) *process {
	for _, p := range sim.procs {
		if p.name == name && p.up {
			return p
		}
	}
	return nil
}

// answerCaller records the outcome that a caller receives.
func (sim *simulation) answerCaller(id RequestID, o Outcome) {
	if o == OutcomeNotRun {
		sim.notRun[id] = true
	}
	sim.checkInvariants(id)
}

// execute records the execution of a request by a target.
func (sim *simulation) execute(id RequestID, key string) {
	sim.runCount[id]++
	if last, ran := sim.lastRunByKey[key]; key != "" && ran && !sim.deletedClaims[last] {
		sim.err = fmt.Errorf("key %s ran for %s and for %v", key, last, id)
	}
	sim.lastRunByKey[key] = id.String()
	if sim.deletedClaims[id.String()] {
		sim.err = fmt.Errorf("request %v ran after its claim was deleted", id)
	}
	sim.checkInvariants(id)
}

// checkInvariants sets err if the request ran twice, or ran although it was
// answered not-run.
func (sim *simulation) checkInvariants(id RequestID) {
	switch {
	case sim.runCount[id] > 1:
		sim.err = fmt.Errorf("request %v ran %d times", id, sim.runCount[id])
	case sim.runCount[id] > 0 && sim.notRun[id]:
		sim.err = fmt.Errorf("request %v was answered not-run and ran", id)
	}
}

// issueRequest generates an identifier at one process for an issuer, with the
// instant of a heartbeat up to 3 s old, and sends up to three copies of the call.
func (sim *simulation) issueRequest() {
	minter, issuer := sim.randomUp(), sim.randomUp()
	if minter == nil || issuer == nil {
		return
	}
	heartbeat := snipetime.Instant(0).Add(issuer.clockOffset + sim.time - time.Duration(sim.r.IntN(3000))*time.Millisecond)
	id := minter.minter.IssueFor(issuer.name, Millis(heartbeat))
	key := ""
	if sim.oneIn(2) {
		key = fmt.Sprint("k", sim.r.IntN(3))
	}
	for range 1 + sim.r.IntN(3) {
		to := issuer.name
		sim.enqueue(func() { sim.deliverCall(to, id, key, 0) })
		if p := sim.randomUp(); p != nil {
			to = p.name
		}
	}
}

// deliverCall delivers a call to a process, with a random budget from -1 to 18 s.
func (sim *simulation) deliverCall(to string, id RequestID, key string, hops int) {
	p := sim.upByName(to)
	if p == nil || hops > 2 {
		return
	}
	now := sim.clock(p)
	budget := time.Duration(sim.r.IntN(20)-1) * time.Second
	d := p.table.Begin(id, now, now.Add(budget), 1)
	sim.injectFault(p)
	switch d.Action {
	case Started:
		k := &startedRequest{issuer: p, id: id, key: key, stage: ready, deadline: sim.time + budget}
		sim.deadlines[id.String()] = k.deadline
		if key != "" {
			k.stage = claiming
			k.claim, k.action = NewClaim(id, id.String())
		}
		sim.started = append(sim.started, k)
	case RelayTo:
		sim.enqueue(func() { sim.deliverCall(d.Incarnation, id, key, hops+1) })
	case Stored, Refused:
		sim.answerCaller(id, d.Result.Outcome)
	}
}

// finish ends a started request.
func (sim *simulation) finish(k *startedRequest, o Outcome) {
	k.issuer.table.Finish(k.id, Result{Outcome: o, Reason: "test"}, sim.clock(k.issuer))
	sim.injectFault(k.issuer)
	sim.answerCaller(k.id, o)
	k.issuer = nil
}

// step advances a started request, unless it has ended or its issuer is down.
func (sim *simulation) step(k *startedRequest) {
	switch {
	case k.issuer == nil || !k.issuer.up:
	case (k.stage == claiming || k.stage == ready) && sim.time >= k.deadline && sim.fault != runAfterDeadline:
		sim.finish(k, OutcomeNotRun)
	case k.stage == claiming:
		sim.stepClaim(k)
	case k.stage == ready && sim.oneIn(4):
		sim.finish(k, OutcomeNotRun)
	case k.stage == ready && sim.oneIn(2):
		sim.execute(k.id, k.key)
		k.stage = ran
	case k.stage == ready:
		sim.relay(k)
	case k.stage == ran:
		sim.finish(k, Outcome(sim.r.IntN(2)))
	case k.stage == relayed:
		sim.revoke(k)
	}
}

// relay sends a request as an attempt to a process.
func (sim *simulation) relay(k *startedRequest) {
	if k.receiver = sim.randomUp(); k.receiver == nil {
		return
	}
	k.issuer.sentAttempts++
	k.attempt = AttemptID{Sender: k.issuer.name, Sequence: k.issuer.sentAttempts}
	k.stage = relayed
	attempt, receiver, epoch, id, key, until := k.attempt, k.receiver, k.issuer.epoch, k.id, k.key, k.deadline+relayDelay
	sim.enqueue(func() {
		if sim.time >= until || !receiver.up || receiver.relayedAttempts.Admit(attempt, receiver.name, epoch, sim.clock(receiver)) != Admitted {
			return
		}
		sim.injectFault(receiver)
		sim.execute(id, key)
		sim.enqueue(func() { receiver.relayedAttempts.Finish(attempt, Result{Outcome: OutcomeDone}, sim.clock(receiver)) })
	})
}

// revoke revokes a relayed attempt on a new session and acts on the reply.
func (sim *simulation) revoke(k *startedRequest) {
	if !k.receiver.up {
		sim.finish(k, OutcomeUnknown)
		return
	}
	k.issuer.epoch++
	st := k.receiver.relayedAttempts.Revoke(k.attempt, k.receiver.name, k.issuer.epoch, sim.clock(k.receiver))
	sim.injectFault(k.receiver)
	switch {
	case sim.oneIn(4): // The reply is lost.
	case st.State == NeverStarted && sim.oneIn(2):
		k.stage = ready
	case st.State == NeverStarted:
		sim.finish(k, OutcomeNotRun)
	case st.State == Finished:
		sim.finish(k, OutcomeDone)
	case st.State == StateUnknown || sim.oneIn(4):
		sim.finish(k, OutcomeUnknown)
	}
}

// handOver closes a process and sends its hand-over to all processes. It can be
// repeated.
func (sim *simulation) handOver(p *process) {
	p.table.Close(sim.clock(p))
	messages := append(p.table.Export(sim.clock(p), 2*recordOverhead), p.table.Updates(sim.clock(p)))
	for _, q := range sim.procs {
		for _, h := range messages {
			sim.enqueue(func() {
				q.table.Import(h, sim.clock(q))
				q.table.SetSuccessor(p.name, q.name, sim.clock(q))
				sim.injectFault(q)
			})
		}
	}
}

// simulate runs a random history of the given number of steps and returns the
// first violation of a guarantee.
func simulate(seed uint64, steps int, f fault) error {
	sim := &simulation{
		r: rand.New(rand.NewPCG(seed, 0)), fault: f, store: make(map[string]storedClaim),
		runCount: make(map[RequestID]int), lastRunByKey: make(map[string]string), notRun: make(map[RequestID]bool),
		deletedClaims: make(map[string]bool), deadlines: make(map[string]time.Duration),
	}
	for range 3 {
		sim.startProcess()
	}
	for range steps {
		switch n := sim.r.IntN(100); {
		case n < 15:
			sim.issueRequest()
		case n < 55 && len(sim.messages) > 0:
			i := sim.r.IntN(len(sim.messages))
			f := sim.messages[i]
			if !sim.oneIn(4) {
				sim.messages = append(sim.messages[:i], sim.messages[i+1:]...)
			}
			if !sim.oneIn(8) {
				f()
			}
		case n < 88 && len(sim.started) > 0:
			sim.step(sim.started[sim.r.IntN(len(sim.started))])
		case n < 92:
			sim.sweepClaims()
		case n < 95:
			sim.time += time.Duration(sim.r.IntN(6000)) * time.Millisecond
			if p := sim.randomUp(); p != nil {
				p.table.Tick(sim.clock(p))
				p.relayedAttempts.Tick(sim.clock(p))
			}
		case n < 97:
			if p := sim.randomUp(); p != nil {
				sim.handOver(p)
			}
		case n < 98:
			if p := sim.randomUp(); p != nil {
				p.up = false
				sim.startProcess()
			}
		}
		if sim.err != nil {
			return sim.err
		}
	}
	return nil
}

// Guards against a request or an idempotency key that runs twice, and against a
// request that is answered not-run although it ran or runs later. The histories
// contain lost, late, repeated and reordered messages, stale instants, crashes,
// revocations, hand-overs and store calls that fail.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		steps := rapid.IntRange(10, 1500).Draw(t, "steps")
		if err := simulate(seed, steps, noFault); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against a simulation that does not detect a missing safeguard: each
// injected fault must lead to a violation.
func TestFaultsAreSeen(t *testing.T) {
	for _, f := range []fault{
		forgetClosedIDs, forgetEndedRecords, useStaleInstants, forgetAttempts, acceptPartialHandover, skipIssuer, restartAfterNotRun, deleteClaimsEarly, runAfterDeadline,
	} {
		t.Run(string(f), func(t *testing.T) {
			const seeds = 3000
			for seed := range uint64(seeds) {
				if err := simulate(seed, 1500, f); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Errorf("no violation in %d histories", seeds)
		})
	}
}
