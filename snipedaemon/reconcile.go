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

// requestReconcile makes reconcileLoop apply the current members and
// configuration to all components. It does not wait for that.
func (d *Daemon) requestReconcile() {
	select {
	case d.reconcileRequested <- struct{}{}:
	default:
	}
}

// reconcileLoop runs reconcileNow for each request until ctx ends.
func (d *Daemon) reconcileLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.reconcileRequested:
			d.reconcileNow(d.clock.Now())
		}
	}
}

// followConfiguration announces each new configuration generation to the peers
// and requests a reconciliation.
func (d *Daemon) followConfiguration(ctx context.Context) {
	changed, cancel := d.config.tracker.Subscribe()
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
			d.config.announce(d.peerAddresses())
			d.requestReconcile()
			d.members.sendHeartbeats(d.clock.Now())
		}
	}
}

// reconcileNow applies the current members and configuration to all components.
// It is idempotent. Only reconcileLoop calls it, so that calls do not overlap.
func (d *Daemon) reconcileNow(now snipetime.Instant) {
	d.config.setWatching(!d.stopping.Load() && d.members.view.ShouldWatch(now))
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
	d.currentRegion = region
	d.regionMu.Unlock()
	if snapshot.Generation() != d.appliedGeneration {
		d.applySnapshot(now, snapshot, region)
		d.appliedGeneration = snapshot.Generation()
	}
	d.applyMembers(now, snapshot, region)
	d.slots.refreshOwners(now)
}

// applySnapshot puts a new configuration generation in force in all components.
func (d *Daemon) applySnapshot(now snipetime.Instant, snapshot *snipeconfig.Snapshot, region string) {
	d.members.configure(now, snapshot.Fleet())
	d.positions.configure(region, snapshot.Fleet().PositionsPerRegion(), now)
	d.limits.configure(now, snapshot, region)
	d.slots.configure(now, snapshot.Generation(), regionGroups(snapshot, region))
	d.forward.configure(snapshot)
	d.applyPositions(now)
	d.checkStopTimeout(snapshot)
	d.log.Info("configuration in force", zap.Uint64("generation", snapshot.Generation()),
		zap.String("operation", snapshot.Operation()))
}

// checkStopTimeout logs a warning for each service whose requests can last
// longer than a planned stop.
func (d *Daemon) checkStopTimeout(snapshot *snipeconfig.Snapshot) {
	for _, team := range snapshot.Teams() {
		for _, s := range team.Services() {
			if longest := s.Template().MaxTimeout() + snipelookup.ResultTimeToLive; longest > d.settings.stopTimeout {
				d.log.Warn("a planned stop can cut requests, because stopTimeout is below maxTimeout and the callers' cache time",
					zap.String("service", team.Name()+"/"+s.Name()), zap.Duration("stopTimeout", d.settings.stopTimeout),
					zap.Duration("needed", longest))
			}
		}
	}
}

// applyMembers passes the current members to the components that depend on
// them.
func (d *Daemon) applyMembers(now snipetime.Instant, snapshot *snipeconfig.Snapshot, region string) {
	all := d.members.view.Snapshot().Members()
	regional := d.members.regionMembers(region)
	var live []string
	var grantHolders []snipeslot.Member
	for _, m := range regional {
		if m.State == snipemember.Live {
			live = append(live, m.PeerAddress)
		}
		if m.Incarnation != "" {
			grantHolders = append(grantHolders, snipeslot.Member{Address: m.PeerAddress, Incarnation: m.Incarnation})
		}
	}
	d.positions.setMembers(now, live)
	d.slots.setMembers(now, grantHolders)
	d.limits.setPeers(d.lenders(all, region))
	d.forward.setPoolBounds(snapshot, region, len(regional))
	d.planning.setRelays(all, region)
	if err := d.planning.configure(snapshot, region, all); err != nil {
		d.log.Error("places cannot be planned", zap.Error(err))
	}
	if err := d.lookup.publish(snapshot, all); err != nil {
		d.log.Error("look-up table cannot be built", zap.Error(err))
	}
}

// lenders returns the other live instances, which can lend shares of a limit,
// with the number of positions that each holds.
func (d *Daemon) lenders(members []snipemember.Member, region string) []snipelimit.Peer {
	_, holders := d.positions.snapshot()
	positionCounts := make(map[string]int)
	for _, h := range holders {
		positionCounts[h.address]++
	}
	var peers []snipelimit.Peer
	for _, m := range members {
		if m.State != snipemember.Live || m.Address == d.self.address {
			continue
		}
		peer := snipelimit.Peer{Address: m.PeerAddress, SameRegion: m.Region == region, Positions: positionCounts[m.PeerAddress]}
		if !peer.SameRegion {
			// The holders of positions in other regions are not tracked, so
			// each instance there counts as a possible lender.
			peer.Positions = 1
		}
		peers = append(peers, peer)
	}
	return peers
}

// applyPositions passes the held positions and the known holders to the limits
// and slots.
func (d *Daemon) applyPositions(now snipetime.Instant) {
	held, holders := d.positions.snapshot()
	d.limits.setHoldings(now, held)
	leases := make(map[int]heldLease, len(held))
	for _, h := range held {
		leases[h.Index] = heldLease{epoch: h.Epoch, end: h.LeaseEnd}
	}
	d.slots.setPositionHolders(now, leases, holders)
}

// peerAddresses returns the peer addresses of all other instances that are not
// gone.
func (d *Daemon) peerAddresses() []string {
	var addresses []string
	for _, m := range d.members.view.Snapshot().Members() {
		if m.Address != d.self.address && m.State != snipemember.Gone && m.PeerAddress != "" {
			addresses = append(addresses, m.PeerAddress)
		}
	}
	return addresses
}

// selfState returns the current state of this instance for heartbeats.
func (d *Daemon) selfState() snipemember.Report {
	return snipemember.Report{
		Address: d.self.address, PeerAddress: d.self.peerAddress, Incarnation: d.self.incarnation, Place: d.self.place,
		Sequence: d.members.sequence.Load(), Generation: d.config.generation(),
		ClockMillis: instantMillis(d.clock.Now()), Leaving: d.stopping.Load(), Ready: d.Ready(),
		Watching: d.config.watching(),
	}
}

// fillHeartbeat adds the configuration's digest, the held positions and the
// loads of the owned slot groups to a heartbeat.
func (d *Daemon) fillHeartbeat(h *snipewire.Heartbeat) {
	if snapshot := d.config.current(); snapshot != nil {
		h.Digest = snapshot.Digest()
	}
	h.Positions = d.positions.heldStates()
	for _, l := range d.slots.ownedLoads() {
		h.Groups = append(h.Groups, &snipewire.GroupLoad{
			Group: l.Group, FreeSlots: uint32(l.Free), Queued: uint32(l.Queued), TotalSlots: uint32(l.Total),
			LatencyMicros: uint32(l.Latency.Microseconds()),
		})
	}
}

// handleHeartbeat processes the loads, positions and configuration generation
// in a full heartbeat of a peer.
func (d *Daemon) handleHeartbeat(from snipepeer.Peer, h *snipewire.Heartbeat) {
	now := d.clock.Now()
	for _, g := range h.GetGroups() {
		d.planning.recordLoad(now, snipeslot.Load{
			Group: g.GetGroup(), Free: int(g.GetFreeSlots()), Queued: int(g.GetQueued()), Total: int(g.GetTotalSlots()),
			Latency: time.Duration(g.GetLatencyMicros()) * time.Microsecond,
		}, fromMillis(g.GetAgeMillis()))
	}
	for _, p := range h.GetPositions() {
		d.positions.handleNotice(from, p)
	}
	if h.GetGeneration() > 0 {
		d.config.handleAnnouncement(from.Address, h.GetGeneration(), h.GetDigest())
	}
	d.planning.relayRecovered(from.Address)
}

// updateLoads records the loads of the owned slot groups and updates the
// weights of all places.
func (d *Daemon) updateLoads(now snipetime.Instant) {
	for _, l := range d.slots.ownedLoads() {
		d.planning.recordLoad(now, l, 0)
	}
	d.planning.updateWeights(now)
}

// updateGauges sets the gauges of the metrics.
func (d *Daemon) updateGauges(now snipetime.Instant) {
	d.metrics.generation.Set(float64(d.config.generation()))
	states := make(map[snipemember.State]int)
	for _, m := range d.members.view.Snapshot().Members() {
		states[m.State]++
	}
	for _, state := range []snipemember.State{snipemember.Live, snipemember.Suspect, snipemember.Leaving, snipemember.Gone} {
		d.metrics.members.WithLabelValues(state.String()).Set(float64(states[state]))
	}
	held, _ := d.positions.snapshot()
	d.metrics.positions.Set(float64(len(held)))
	for _, l := range d.limits.status(now) {
		d.metrics.limitUsed.WithLabelValues(l.ID).Set(l.UsedPerSecond)
	}
}
