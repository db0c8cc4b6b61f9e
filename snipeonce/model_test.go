package snipeonce

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/snipemoor/snipemoor/snipetime"
)

// fault removes one safeguard from the model, to show that the check sees it.
type fault string

const (
	noFault       fault = "none"
	noTombstones  fault = "refused identifiers are forgotten"
	noRetention   fault = "records of ended requests are forgotten"
	noMonotonic   fault = "a late call uses its own older instant"
	noAttemptLog  fault = "attempts and revocations are forgotten"
	earlyComplete fault = "a partial hand-over counts as complete"
	noAsk         fault = "a claim is replaced without a question"
	restartNotRun fault = "a request answered not-run starts again"
	earlySweep    fault = "claims are deleted before their retention"
	lateRun       fault = "a claimed request runs after its deadline"
)

type proc struct {
	name    string
	up      bool
	offset  time.Duration
	table   *Table
	foreign *ForeignAttempts
	sweep   *ClaimSweep
	minter  *Minter
	sent    uint64
	epoch   uint64
}

type stage int

const (
	claiming stage = iota
	ready
	ran
	relayed
)

// work is a request that its issuer may run.
type work struct {
	p       *proc
	id      RequestID
	key     string
	stage   stage
	claim   *Claim
	action  ClaimAction
	attempt AttemptID
	to      *proc
	// deadline is in time of the world.
	deadline time.Duration
}

// keyRetention exceeds the longest deadline and the delay of a relayed attempt.
const (
	keyRetention = 8 * time.Second
	relayDelay   = 3 * time.Second
	// longestDeadline is that of call.
	longestDeadline = 19 * time.Second
)

type stored struct {
	value   ClaimValue
	version uint64
}

// world is a set of processes whose messages are closures in a pool, from which
// they are delivered in any order, repeatedly, or not at all.
type world struct {
	r       *rand.Rand
	fault   fault
	time    time.Duration
	procs   []*proc
	pool    []func()
	works   []*work
	store   map[string]stored
	version uint64
	runs    map[RequestID]int
	// keyRuns holds the last request that ran under a key.
	keyRuns map[string]string
	// swept holds the requests whose claims were deleted.
	swept map[string]bool
	// deadlines holds the deadlines of started requests.
	deadlines map[string]time.Duration
	notRun    map[RequestID]bool
	err       error
}

func (w *world) chance(n int) bool { return w.r.IntN(n) == 0 }

func (w *world) post(f func()) { w.pool = append(w.pool, f) }

// clock returns the instant of a process, sometimes one read some time ago.
func (w *world) clock(p *proc) snipetime.Instant {
	now := snipetime.Instant(0).Add(w.time + p.offset)
	if w.fault == noMonotonic {
		p.table.now = 0
	}
	if w.chance(4) {
		now = now.Add(-time.Duration(w.r.IntN(5000)) * time.Millisecond)
	}
	return now
}

func (w *world) spoil(p *proc) {
	switch w.fault {
	case noTombstones:
		p.table.refused = newClosedSet(1000)
	case noRetention, restartNotRun:
		for id, r := range p.table.records {
			if !r.running && (w.fault == noRetention || r.result.Outcome == OutcomeNotRun) {
				delete(p.table.records, id)
			}
		}
	case noAttemptLog:
		clear(p.foreign.senders)
	case earlyComplete:
		for _, in := range p.table.inherits {
			in.complete = true
			in.asOf = 0
		}
	}
}

func (w *world) start() {
	p := &proc{name: fmt.Sprint("i", len(w.procs)), up: true, offset: time.Duration(w.r.IntN(1000)+10) * time.Second}
	p.table = NewTable(p.name, Settings{
		StartWindow: 10 * time.Second, Retention: 30 * time.Second, MaxBytes: 8 * recordOverhead, MaxClosed: 3,
	})
	p.foreign = NewForeignAttempts(p.name)
	p.minter = NewMinter(p.name)
	p.sweep = NewClaimSweep(SweepSettings{KeyRetention: keyRetention, LongestDeadline: longestDeadline})
	w.procs = append(w.procs, p)
}

// anyUp returns a process that is up, or nil.
func (w *world) anyUp() *proc {
	p := w.procs[w.r.IntN(len(w.procs))]
	if !p.up {
		return nil
	}
	return p
}

func (w *world) find(name string) *proc {
	for _, p := range w.procs {
		if p.name == name && p.up {
			return p
		}
	}
	return nil
}

func (w *world) tell(id RequestID, o Outcome) {
	if o == OutcomeNotRun {
		w.notRun[id] = true
	}
	w.check(id)
}

func (w *world) run(id RequestID, key string) {
	w.runs[id]++
	if last, ran := w.keyRuns[key]; key != "" && ran && !w.swept[last] {
		w.err = fmt.Errorf("key %s ran for %s and for %v", key, last, id)
	}
	w.keyRuns[key] = id.String()
	if w.swept[id.String()] {
		w.err = fmt.Errorf("request %v ran after its claim was deleted", id)
	}
	w.check(id)
}

func (w *world) check(id RequestID) {
	switch {
	case w.runs[id] > 1:
		w.err = fmt.Errorf("request %v ran %d times", id, w.runs[id])
	case w.runs[id] > 0 && w.notRun[id]:
		w.err = fmt.Errorf("request %v was answered not-run and ran", id)
	}
}

// issue mints an identifier that names another process, as of a heartbeat of
// any age, and sends copies of the call.
func (w *world) issue() {
	m, issuer := w.anyUp(), w.anyUp()
	if m == nil || issuer == nil {
		return
	}
	heard := snipetime.Instant(0).Add(issuer.offset + w.time - time.Duration(w.r.IntN(3000))*time.Millisecond)
	id := m.minter.IssueFor(issuer.name, Millis(heard))
	key := ""
	if w.chance(2) {
		key = fmt.Sprint("k", w.r.IntN(3))
	}
	for range 1 + w.r.IntN(3) {
		to := issuer.name
		w.post(func() { w.call(to, id, key, 0) })
		if p := w.anyUp(); p != nil {
			to = p.name
		}
	}
}

func (w *world) call(to string, id RequestID, key string, hops int) {
	p := w.find(to)
	if p == nil || hops > 2 {
		return
	}
	now := w.clock(p)
	budget := time.Duration(w.r.IntN(20)-1) * time.Second
	d := p.table.Begin(id, now, now.Add(budget), 1)
	w.spoil(p)
	switch d.Kind {
	case Start:
		k := &work{p: p, id: id, key: key, stage: ready, deadline: w.time + budget}
		w.deadlines[id.String()] = k.deadline
		if key != "" {
			k.stage = claiming
			k.claim, k.action = NewClaim(id, id.String())
		}
		w.works = append(w.works, k)
	case RelayTo:
		w.post(func() { w.call(d.Incarnation, id, key, hops+1) })
	case Stored, Refuse:
		w.tell(id, d.Result.Outcome)
	}
}

func (w *world) finish(k *work, o Outcome) {
	k.p.table.Finish(k.id, Result{Outcome: o, Reason: "test"}, w.clock(k.p))
	w.spoil(k.p)
	w.tell(k.id, o)
	k.p = nil
}

// advance takes one step of a work, unless its process is gone.
func (w *world) advance(k *work) {
	switch {
	case k.p == nil || !k.p.up:
	case (k.stage == claiming || k.stage == ready) && w.time >= k.deadline && w.fault != lateRun:
		w.finish(k, OutcomeNotRun)
	case k.stage == claiming:
		w.stepClaim(k)
	case k.stage == ready && w.chance(4):
		w.finish(k, OutcomeNotRun)
	case k.stage == ready && w.chance(2):
		w.run(k.id, k.key)
		k.stage = ran
	case k.stage == ready:
		w.relay(k)
	case k.stage == ran:
		w.finish(k, Outcome(w.r.IntN(2)))
	case k.stage == relayed:
		w.revoke(k)
	}
}

func (w *world) relay(k *work) {
	if k.to = w.anyUp(); k.to == nil {
		return
	}
	k.p.sent++
	k.attempt = AttemptID{Sender: k.p.name, N: k.p.sent}
	k.stage = relayed
	a, to, epoch, id, key, until := k.attempt, k.to, k.p.epoch, k.id, k.key, k.deadline+relayDelay
	w.post(func() {
		if w.time >= until || !to.up || to.foreign.Admit(a, to.name, epoch, w.clock(to)) != Admitted {
			return
		}
		w.spoil(to)
		w.run(id, key)
		w.post(func() { to.foreign.Finish(a, Result{Outcome: OutcomeDone}, w.clock(to)) })
	})
}

func (w *world) revoke(k *work) {
	if !k.to.up {
		w.finish(k, OutcomeUnknown)
		return
	}
	k.p.epoch++
	st := k.to.foreign.Revoke(k.attempt, k.to.name, k.p.epoch, w.clock(k.to))
	w.spoil(k.to)
	switch {
	case w.chance(4): // The reply is lost.
	case st.State == NeverStarted && w.chance(2):
		k.stage = ready
	case st.State == NeverStarted:
		w.finish(k, OutcomeNotRun)
	case st.State == Finished:
		w.finish(k, OutcomeDone)
	case st.State == StateUnknown || w.chance(4):
		w.finish(k, OutcomeUnknown)
	}
}

// stop begins or repeats the hand-over of a process to all others.
func (w *world) stop(p *proc) {
	p.table.Close(w.clock(p))
	messages := append(p.table.Export(w.clock(p), 2*recordOverhead), p.table.Updates(w.clock(p)))
	for _, q := range w.procs {
		for _, h := range messages {
			w.post(func() {
				q.table.Import(h, w.clock(q))
				q.table.Notice(p.name, q.name, w.clock(q))
				w.spoil(q)
			})
		}
	}
}

// simulate runs a random history and returns the first broken guarantee.
func simulate(seed uint64, steps int, f fault) error {
	w := &world{
		r: rand.New(rand.NewPCG(seed, 0)), fault: f, store: make(map[string]stored),
		runs: make(map[RequestID]int), keyRuns: make(map[string]string), notRun: make(map[RequestID]bool),
		swept: make(map[string]bool), deadlines: make(map[string]time.Duration),
	}
	for range 3 {
		w.start()
	}
	for range steps {
		switch n := w.r.IntN(100); {
		case n < 15:
			w.issue()
		case n < 55 && len(w.pool) > 0:
			i := w.r.IntN(len(w.pool))
			f := w.pool[i]
			if !w.chance(4) {
				w.pool = append(w.pool[:i], w.pool[i+1:]...)
			}
			if !w.chance(8) {
				f()
			}
		case n < 88 && len(w.works) > 0:
			w.advance(w.works[w.r.IntN(len(w.works))])
		case n < 92:
			w.sweepClaims()
		case n < 95:
			w.time += time.Duration(w.r.IntN(6000)) * time.Millisecond
			if p := w.anyUp(); p != nil {
				p.table.Tick(w.clock(p))
				p.foreign.Tick(w.clock(p))
			}
		case n < 97:
			if p := w.anyUp(); p != nil {
				w.stop(p)
			}
		case n < 98:
			if p := w.anyUp(); p != nil {
				p.up = false
				w.start()
			}
		}
		if w.err != nil {
			return w.err
		}
	}
	return nil
}

// Guards against a request or a key that runs twice, and a request that was
// answered not-run and has run or runs later, under lost, late, repeated and
// crossed messages, stale instants, crashes, revocations, hand-overs and an
// unreliable store.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		steps := rapid.IntRange(10, 1500).Draw(t, "steps")
		if err := simulate(seed, steps, noFault); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against a model that cannot see a broken safeguard.
func TestFaultsAreSeen(t *testing.T) {
	for _, f := range []fault{
		noTombstones, noRetention, noMonotonic, noAttemptLog, earlyComplete, noAsk, restartNotRun, earlySweep, lateRun,
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
