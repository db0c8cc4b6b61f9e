package snipedaemon

import (
	"sync"
	"time"

	"github.com/snipemoor/snipemoor/snipeconfig"
	"github.com/snipemoor/snipemoor/sniperoute"
	"github.com/snipemoor/snipemoor/snipetarget"
)

// probeTimeout bounds one probe of health and load.
const probeTimeout = time.Second

// probes asks the targets of owned groups for health and load. Only owners
// probe, because a probe costs a target several milliseconds.
type probes struct {
	clock  timer
	dialer Dialer

	mu     sync.Mutex
	groups map[string]*probeGroup
}

// probeGroup is the prober of one group.
type probeGroup struct {
	prober  *snipetarget.Prober
	targets map[string]bool
}

func newProbes(clock timer, dialer Dialer) *probes {
	return &probes{clock: clock, dialer: dialer, groups: make(map[string]*probeGroup)}
}

// set replaces the targets that are probed for a group. No targets end it.
func (p *probes) set(group string, addresses []string, template *snipeconfig.Template, report func(string, sniperoute.Probe)) {
	p.mu.Lock()
	g, ok := p.groups[group]
	switch {
	case len(addresses) == 0 && !ok:
		p.mu.Unlock()
		return
	case len(addresses) == 0:
		delete(p.groups, group)
		p.mu.Unlock()
		// Close waits for reports, which take the lock of the caller.
		go g.prober.Close()
		return
	case !ok:
		g = &probeGroup{
			prober: snipetarget.NewProber(template.ProbeInterval(), probeTimeout, p.clock, p.dialer, func(r snipetarget.Report) {
				report(r.Target, sniperoute.Probe{Healthy: r.Healthy, Queued: r.Load.Queued})
			}),
			targets: make(map[string]bool),
		}
		p.groups[group] = g
	}
	wanted := make(map[string]bool, len(addresses))
	for _, a := range addresses {
		wanted[a] = true
		if !g.targets[a] {
			g.prober.Start(a)
		}
	}
	for a := range g.targets {
		if !wanted[a] {
			g.prober.Stop(a)
		}
	}
	g.targets = wanted
	p.mu.Unlock()
}

func (p *probes) close() {
	p.mu.Lock()
	groups := p.groups
	p.groups = make(map[string]*probeGroup)
	p.mu.Unlock()
	for _, g := range groups {
		g.prober.Close()
	}
}
