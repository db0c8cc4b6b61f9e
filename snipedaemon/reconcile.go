package snipedaemon

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/snipemoor/snipemoor/snipeconfig"
	"github.com/snipemoor/snipemoor/snipelimit"
	"github.com/snipemoor/snipemoor/snipelookup"
	"github.com/snipemoor/snipemoor/snipemember"
	"github.com/snipemoor/snipemoor/snipepeer"
	"github.com/snipemoor/snipemoor/snipeslot"
	"github.com/snipemoor/snipemoor/snipetime"
	"github.com/snipemoor/snipemoor/snipewire"
)

// trigger asks for a reconciliation of the parts with view and configuration.
func (d *Daemon) trigger() {
	select {
	case d.reconcile <- struct{}{}:
	default:
	}
}

func (d *Daemon) reconcileLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.reconcile:
			d.reconcileNow(d.clock.Now())
		}
	}
}

// followConfiguration announces each new generation and applies it.
func (d *Daemon) followConfiguration(ctx context.Context) {
	changed, cancel := d.config.tracker.Subscribe()
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
			d.config.announce(d.peerAddresses())
			d.trigger()
			d.members.beat(d.clock.Now())
		}
	}
}

// reconcileNow passes the present view and configuration to all parts. It is
// idempotent and runs on one goroutine.
func (d *Daemon) reconcileNow(now snipetime.Instant) {
	d.config.setWatching(!d.stopping.Load() && d.members.view.Watches(now))
	snapshot := d.config.current()
	if snapshot == nil {
		return
	}
	place, ok := snapshot.Fleet().Place(d.self.place)
	if !ok {
		d.log.Error("own place is unknown", zap.String("place", d.self.place), zap.Error(errUnknownPlace))
		return
	}
	region := place.Region().Name()
	if region != d.settings.region || place.Domain().Name() != d.settings.failureDomain {
		d.log.Error("settings and fleet document disagree on the location of the place", zap.String("place", d.self.place),
			zap.String("region", region), zap.String("failureDomain", place.Domain().Name()))
	}
	d.regionMu.Lock()
	d.regionOf = region
	d.regionMu.Unlock()
	if snapshot.Generation() != d.built {
		d.applySnapshot(now, snapshot, region)
		d.built = snapshot.Generation()
	}
	d.applyMembers(now, snapshot, region)
	d.slots.refresh(now)
}

// applySnapshot puts a new generation in force in all parts.
func (d *Daemon) applySnapshot(now snipetime.Instant, snapshot *snipeconfig.Snapshot, region string) {
	d.members.configure(now, snapshot.Fleet())
	d.positions.configure(region, snapshot.Fleet().PositionsPerRegion(), now)
	d.limits.configure(now, snapshot, region)
	d.slots.configure(now, snapshot.Generation(), groupsOf(snapshot, region))
	d.forward.configure(snapshot)
	d.applyPositions(now)
	d.checkStopTimeout(snapshot)
	d.log.Info("configuration in force", zap.Uint64("generation", snapshot.Generation()),
		zap.String("operation", snapshot.Operation()))
}

// checkStopTimeout warns of services whose requests can outlast a planned stop.
func (d *Daemon) checkStopTimeout(snapshot *snipeconfig.Snapshot) {
	for _, team := range snapshot.Teams() {
		for _, s := range team.Services() {
			if longest := s.Template().MaxTimeout() + snipelookup.TimeToLive; longest > d.settings.stopTimeout {
				d.log.Warn("a planned stop can cut requests, because stopTimeout is below maxTimeout and the callers' cache time",
					zap.String("service", team.Name()+"/"+s.Name()), zap.Duration("stopTimeout", d.settings.stopTimeout),
					zap.Duration("needed", longest))
			}
		}
	}
}

// applyMembers passes the members to the parts that depend on them.
func (d *Daemon) applyMembers(now snipetime.Instant, snapshot *snipeconfig.Snapshot, region string) {
	all := d.members.view.Snapshot().Members()
	peers := d.members.regionPeers(region)
	var live []string
	var holders []snipeslot.Member
	for _, m := range peers {
		if m.State == snipemember.Live {
			live = append(live, m.PeerAddress)
		}
		if m.Incarnation != "" {
			holders = append(holders, snipeslot.Member{Address: m.PeerAddress, Incarnation: m.Incarnation})
		}
	}
	d.positions.setMembers(now, live)
	d.slots.setMembers(now, holders)
	d.limits.setPeers(d.lenders(all, region))
	d.forward.boundPools(snapshot, region, len(peers))
	d.planning.setRelays(all, region)
	if err := d.planning.configure(snapshot, region, all); err != nil {
		d.log.Error("places cannot be planned", zap.Error(err))
	}
	if err := d.lookup.publish(snapshot, all); err != nil {
		d.log.Error("look-up table cannot be built", zap.Error(err))
	}
}

// lenders returns the live instances that can lend units of a limit.
func (d *Daemon) lenders(members []snipemember.Member, region string) []snipelimit.Peer {
	_, holders := d.positions.view()
	held := make(map[string]int)
	for _, h := range holders {
		held[h.address]++
	}
	var peers []snipelimit.Peer
	for _, m := range members {
		if m.State != snipemember.Live || m.Address == d.self.address {
			continue
		}
		peer := snipelimit.Peer{Address: m.PeerAddress, SameRegion: m.Region == region, Positions: held[m.PeerAddress]}
		if !peer.SameRegion {
			// Positions of other regions are not tracked; each holder there is
			// a possible lender.
			peer.Positions = 1
		}
		peers = append(peers, peer)
	}
	return peers
}

// applyPositions passes the held positions to limits and slots.
func (d *Daemon) applyPositions(now snipetime.Instant) {
	held, holders := d.positions.view()
	d.limits.setHoldings(now, held)
	leases := make(map[int]leaseSpan, len(held))
	for _, h := range held {
		leases[h.Index] = leaseSpan{epoch: h.Epoch, until: h.LeaseEnd}
	}
	d.slots.setHolders(now, leases, holders)
}

// peerAddresses returns the peer addresses of all known instances but this one.
func (d *Daemon) peerAddresses() []string {
	var addresses []string
	for _, m := range d.members.view.Snapshot().Members() {
		if m.Address != d.self.address && m.State != snipemember.Gone && m.PeerAddress != "" {
			addresses = append(addresses, m.PeerAddress)
		}
	}
	return addresses
}

// news returns what heartbeats say about this instance.
func (d *Daemon) news() snipemember.News {
	return snipemember.News{
		Address: d.self.address, PeerAddress: d.self.peerAddress, Incarnation: d.self.incarnation, Place: d.self.place,
		Sequence: d.members.sequence.Load(), Generation: d.config.generation(),
		ClockMillis: instantMillis(d.clock.Now()), Leaving: d.stopping.Load(), Ready: d.Ready(),
		Watching: d.config.watching(),
	}
}

// fillHeartbeat adds load reports, positions and the configuration's digest.
func (d *Daemon) fillHeartbeat(h *snipewire.Heartbeat) {
	if snapshot := d.config.current(); snapshot != nil {
		h.Digest = snapshot.Digest()
	}
	h.Positions = d.positions.states()
	for _, l := range d.slots.loads() {
		h.Groups = append(h.Groups, &snipewire.GroupLoad{
			Group: l.Group, FreeSlots: uint32(l.Free), Queued: uint32(l.Queued), TotalSlots: uint32(l.Total),
			LatencyMicros: uint32(l.Latency.Microseconds()),
		})
	}
}

// heard takes the load, positions and configuration of a full heartbeat.
func (d *Daemon) heard(from snipepeer.Peer, h *snipewire.Heartbeat) {
	now := d.clock.Now()
	for _, g := range h.GetGroups() {
		d.planning.report(now, snipeslot.Load{
			Group: g.GetGroup(), Free: int(g.GetFreeSlots()), Queued: int(g.GetQueued()), Total: int(g.GetTotalSlots()),
			Latency: time.Duration(g.GetLatencyMicros()) * time.Microsecond,
		}, fromMillis(g.GetAgeMillis()))
	}
	for _, p := range h.GetPositions() {
		d.positions.learn(from, p)
	}
	if h.GetGeneration() > 0 {
		d.config.announced(from.Address, h.GetGeneration(), h.GetDigest())
	}
	d.planning.relayRecovered(from.Address)
}

// reportLoads takes the loads of the own groups and moves the weights.
func (d *Daemon) reportLoads(now snipetime.Instant) {
	for _, l := range d.slots.loads() {
		d.planning.report(now, l, 0)
	}
	d.planning.tick(now)
}

// measure sets the gauges.
func (d *Daemon) measure(now snipetime.Instant) {
	d.metrics.generation.Set(float64(d.config.generation()))
	states := make(map[snipemember.State]int)
	for _, m := range d.members.view.Snapshot().Members() {
		states[m.State]++
	}
	for _, state := range []snipemember.State{snipemember.Live, snipemember.Suspect, snipemember.Leaving, snipemember.Gone} {
		d.metrics.members.WithLabelValues(state.String()).Set(float64(states[state]))
	}
	held, _ := d.positions.view()
	d.metrics.positions.Set(float64(len(held)))
	for _, l := range d.limits.status(now) {
		d.metrics.limitUsed.WithLabelValues(l.ID).Set(l.UsedPerSecond)
	}
}
