package snipesync

import (
	"go.uber.org/zap"

	"github.com/snipemoor/snipemoor/snipefeed"
	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipetime"
)

// applyBatch applies the changes that a source returned. before is the revision up
// to which earlier changes were complete, full means that the changes are a
// complete listing, and fresh that the store confirmed them recently. The first
// fresh batch after a loss of the store decides whether missing entries lapsed. Those
// that a restored store lacks always count as lapsed.
func (f *Follower) applyBatch(before snipefeed.Revision, changes []Change, full, fresh bool) {
	if !f.disconnected || !fresh {
		f.applyChanges(changes, full)
		return
	}
	f.storeRegained()
	lapsed := f.settling && f.Clock.Now().Before(f.settleAt) || f.anyReregistered(before, changes)
	f.applyChanges(changes, full)
	f.classifyMissing(lapsed)
}

// applyChanges applies changes to the registry, which publishes one view of them
// all, and to the table holder. If full is true, everything in the registry that
// the changes do not contain is removed.
func (f *Follower) applyChanges(changes []Change, full bool) {
	now := f.Clock.Now()
	if full {
		f.tableCurrent = false // until the listing turns out to contain the table in force
	}
	f.Registry.Batch(func() {
		for i := range changes {
			f.applyChange(now, &changes[i], full)
		}
		if full {
			f.Registry.RemoveUnlisted(now, f.listing(changes))
		}
	})
}

// logChange logs a change of the registry, at debug level before the first complete
// listing is applied. markLoaded logs a summary of that listing instead, because a
// line for each entry of a large fleet would displace other lines of the log.
func (f *Follower) logChange(message string, fields ...zap.Field) {
	level := zap.DebugLevel
	if f.isLoaded() {
		level = zap.InfoLevel
	}
	f.Log.Log(level, message, fields...)
}

// listing returns the names of the targets, fronts and evacuated failure domains that a
// complete listing contains. Undecodable items do not count, nor do the entries of
// fronts that come from before a restoration of the store. While the store is being
// written again after a restoration, a missing evacuation has not ended.
func (f *Follower) listing(changes []Change) snipefleet.Listing {
	listed := snipefleet.Listing{
		Targets: map[string]bool{}, Members: map[string]bool{}, Evacuated: map[string]bool{}, KeepEvacuated: f.settling,
	}
	for i := range changes {
		c := &changes[i]
		if c.DecodeErr != nil || c.Removed || f.isOutdated(c) {
			continue
		}
		switch c.Kind {
		case KindTarget:
			listed.Targets[c.Name] = true
		case KindMember:
			listed.Members[c.Name] = true
		case KindEvacuation:
			listed.Evacuated[c.Name] = true
		case KindTable:
		}
	}
	return listed
}

// applyChange applies one change. An undecodable item is logged; that of a target or
// of a front counts as removed, and an undecodable configuration is ignored. listed
// means that the change is a part of a complete listing.
func (f *Follower) applyChange(now snipetime.Instant, c *Change, listed bool) {
	if c.DecodeErr != nil {
		f.Log.Warn("store item ignored", zap.String("key", c.Key), zap.Error(c.DecodeErr))
	}
	switch c.Kind {
	case KindTarget:
		f.applyTarget(now, c)
	case KindMember:
		f.applyMember(now, c)
	case KindTable:
		f.applyTable(c)
	case KindEvacuation:
		if listed && f.endedBefore(c) {
			return
		}
		if f.Registry.SetEvacuated(now, c.Name, !c.Removed) {
			f.logChange("evacuation", zap.String("domain", c.Name), zap.Bool("on", !c.Removed))
		}
	}
}

// applyTarget updates or removes a target.
func (f *Follower) applyTarget(now snipetime.Instant, c *Change) {
	if c.Target == nil {
		// The entry was removed or cannot be decoded. Either way there is no target
		// to use.
		if f.Registry.RemoveTarget(now, c.Name) {
			f.logChange("target gone", zap.String("target", c.Name))
		}
		return
	}
	if f.Registry.UpdateTarget(now, *c.Target) {
		f.logChange("target", zap.String("target", c.Name), zap.String("service", c.Target.Service),
			zap.String("domain", c.Target.Place.Domain), zap.Bool("draining", c.Target.Draining),
			zap.Int64("born", c.Target.Born), zap.Duration("cold", c.Target.Cold))
	}
}

// applyMember updates or removes a front. If the entry of this front was removed,
// its announcer writes it again.
func (f *Follower) applyMember(now snipetime.Instant, c *Change) {
	if c.Member == nil {
		if c.Name == f.OwnName {
			f.signalEntryRemoved()
		}
		if f.Registry.RemoveMember(now, c.Name) {
			f.logChange("front gone", zap.String("front", c.Name))
		}
		return
	}
	if f.isOutdated(c) && f.isLoaded() {
		return
	}
	if f.Registry.UpdateMember(*c.Member) {
		f.logChange("front", zap.String("front", c.Name), zap.String("domain", c.Member.Place.Domain))
	}
}

// signalEntryRemoved makes the announcer write the entry of this front again. It
// does not block: one pending signal is enough.
func (f *Follower) signalEntryRemoved() {
	select {
	case f.entryRemoved <- struct{}{}:
	default:
	}
}

// applyTable puts a table in force if its version is higher than the one in force, or
// if that version was written again later with other content. A removed or undecodable
// configuration leaves the table in force as it is. It sets tableCurrent.
func (f *Follower) applyTable(c *Change) {
	f.tableCurrent = false
	if c.Table == nil {
		return
	}
	item := tableItem{position: snipefeed.Position{Epoch: f.Items.Position().Epoch, Revision: c.Revision}, digest: c.Digest}
	fields := []zap.Field{
		zap.Uint64("version", c.Table.Version()), zap.Uint64("epoch", uint64(item.position.Epoch)),
		zap.Uint64("revision", uint64(c.Revision)),
	}
	current := f.Tables.Current()
	switch {
	case f.Tables.UpdateIfNewer(c.Table):
		f.Log.Info("configuration in force", fields...)
		f.logProblems()
	case c.Table.Version() < current.Version():
		f.Log.Info("older configuration ignored", append(fields, zap.Uint64("inForce", current.Version()))...)
		return
	case item.position.Compare(f.tableItem.position) <= 0:
		f.tableCurrent = item.digest == f.tableItem.digest
		return
	case item.digest != f.tableItem.digest:
		f.Tables.ReplaceVersion(c.Table)
		f.Log.Warn("configuration in force has changed under its version", fields...)
		f.logProblems()
	}
	f.tableItem, f.tableCurrent = item, true
}

// maxLoggedProblems bounds the log lines for one configuration, so that they do not displace
// all others.
const maxLoggedProblems = 100

// logProblems logs the entries of the configuration in force that cannot be used.
func (f *Follower) logProblems() {
	table := f.Tables.Current()
	problems := table.Problems()
	for _, p := range problems[:min(len(problems), maxLoggedProblems)] {
		f.Log.Warn("configuration entry not usable", zap.Uint64("version", table.Version()),
			zap.String(string(p.Object), p.Name), zap.String("effect", string(p.Effect)), zap.Error(p.Err))
	}
	if n := len(problems) - maxLoggedProblems; n > 0 {
		f.Log.Warn("further configuration entries not usable", zap.Uint64("version", table.Version()), zap.Int("entries", n))
	}
}

// tableItem identifies the item of a configuration by its position in the store and
// a hash of its content.
type tableItem struct {
	position snipefeed.Position
	digest   uint64
}
