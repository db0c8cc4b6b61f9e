package snipetarget

import (
	"context"
	"sync"
	"time"
)

// bound limits the connections to one target.
type bound struct {
	conns       int
	connectCost time.Duration
}

// SetBound sets the largest number of connections to a target and the least
// time between two dials of it. Below 1 conns counts as 1, because a target
// without connections could not be used at all; a connectCost of 0 selects that
// of the settings. A changed number of connections replaces those that are
// open: idle ones at once, others when their attempts end. Until then the
// connections can exceed a lowered bound, but no new one is opened. Forget
// drops the bound.
func (p *Pools) SetBound(target string, conns int, connectCost time.Duration) {
	b := bound{conns: max(conns, 1), connectCost: connectCost}
	defaultTo(&b.connectCost, p.settings.ConnectCost)
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return
	}
	p.bounds[target] = b
	tp := p.pools[target]
	p.mu.Unlock()
	if tp != nil {
		tp.setBound(b)
	}
}

// boundLocked returns the bound of a target.
func (p *Pools) boundLocked(target string) bound {
	if b, ok := p.bounds[target]; ok {
		return b
	}
	return bound{conns: p.settings.MaxConns, connectCost: p.settings.ConnectCost}
}

// permits is a semaphore whose size can change. That of golang.org/x/sync has a
// fixed size.
type permits struct {
	mu      sync.Mutex
	limit   int
	used    int
	changed chan struct{}
}

func newPermits(limit int) *permits {
	return &permits{limit: limit, changed: make(chan struct{})}
}

// acquire waits for a permit or the end of ctx.
func (p *permits) acquire(ctx context.Context) error {
	for {
		p.mu.Lock()
		if p.used < p.limit {
			p.used++
			p.mu.Unlock()
			return nil
		}
		changed := p.changed
		p.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err() //nolint:wrapcheck // the caller says what it waited for
		}
	}
}

func (p *permits) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.used--
	p.wakeLocked()
}

func (p *permits) resize(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
	p.wakeLocked()
}

func (p *permits) full() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used >= p.limit
}

func (p *permits) wakeLocked() {
	close(p.changed)
	p.changed = make(chan struct{})
}
