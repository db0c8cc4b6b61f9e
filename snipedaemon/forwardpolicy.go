package snipedaemon

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/snipemoor/snipemoor/snipeforward"
	"github.com/snipemoor/snipemoor/sniperetry"
	"github.com/snipemoor/snipemoor/snipetime"
)

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
func (p *lockedPolicy) Decide(now snipetime.Instant, e sniperetry.RequestState) sniperetry.Decision {
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
func (f *forwardAdapter) Policy(s snipeforward.Service) snipeforward.Policy {
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
