package snipesync

import (
	"go.uber.org/zap"

	"github.com/snipemoor/snipemoor/snipefeed"
	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipetime"
)

// take applies what a source answered. before is the revision known so far, full
// says that the changes are a complete listing, and fresh that the source has
// heard from the store lately.
func (f *Follower) take(before snipefeed.Revision, changes []Change, full, fresh bool) {
	if !f.away || !fresh {
		f.apply(changes, full)
		return
	}
	f.storeBack()
	anew := f.createdAnew(before, changes)
	f.apply(changes, full)
	f.judge(anew)
}

func (f *Follower) apply(changes []Change, full bool) {
	now := f.Clock.Now()
	f.Registry.Batch(func() {
		for i := range changes {
			f.applyOne(now, &changes[i])
		}
		if full {
			f.Registry.Keep(now, listedIn(changes))
		}
	})
}

// logChange logs a change of what this front believes. What it learns before it
// takes callers is summed up by markLoaded, because a large fleet would crowd other
// lines out of the log.
func (f *Follower) logChange(message string, fields ...zap.Field) {
	level := zap.DebugLevel
	if f.isLoaded() {
		level = zap.InfoLevel
	}
	f.Log.Log(level, message, fields...)
}

// listedIn returns the names that a complete listing contains.
func listedIn(changes []Change) snipefleet.Listed {
	listed := snipefleet.Listed{Targets: map[string]bool{}, Members: map[string]bool{}, Evacuated: map[string]bool{}}
	for i := range changes {
		c := &changes[i]
		if c.Unreadable != nil || c.Gone {
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

func (f *Follower) applyOne(now snipetime.Instant, c *Change) {
	if c.Unreadable != nil {
		f.Log.Warn("store item ignored", zap.String("key", c.Key), zap.Error(c.Unreadable))
	}
	switch c.Kind {
	case KindTarget:
		f.applyTarget(now, c)
	case KindMember:
		f.applyMember(now, c)
	case KindTable:
		f.applyTable(c)
	case KindEvacuation:
		if f.Registry.Evacuate(now, c.Name, !c.Gone) {
			f.logChange("evacuation", zap.String("domain", c.Name), zap.Bool("on", !c.Gone))
		}
	}
}

func (f *Follower) applyTarget(now snipetime.Instant, c *Change) {
	if c.Target == nil {
		// An entry that cannot be read names no target to use.
		if f.Registry.Remove(now, c.Name) {
			f.logChange("target gone", zap.String("target", c.Name))
		}
		return
	}
	if f.Registry.Report(now, *c.Target) {
		f.logChange("target", zap.String("target", c.Name), zap.String("service", c.Target.Service),
			zap.String("domain", c.Target.Place.Domain), zap.Bool("draining", c.Target.Draining),
			zap.Int64("born", c.Target.Born), zap.Duration("cold", c.Target.Cold))
	}
}

func (f *Follower) applyMember(now snipetime.Instant, c *Change) {
	if c.Member == nil {
		if c.Name == f.Own {
			f.announceAgain()
		}
		if f.Registry.Leave(now, c.Name) {
			f.logChange("front gone", zap.String("front", c.Name))
		}
		return
	}
	if f.Registry.Join(*c.Member) {
		f.logChange("front", zap.String("front", c.Name), zap.String("domain", c.Member.Place.Domain))
	}
}

func (f *Follower) announceAgain() {
	select {
	case f.lost <- struct{}{}:
	default:
	}
}

func (f *Follower) applyTable(c *Change) {
	if c.Table == nil {
		return
	}
	if f.Tables.Offer(c.Table) {
		f.Log.Info("configuration in force", zap.Uint64("version", c.Table.Version()))
	}
}

// createdAnew reports whether an entry of a known incarnation was created after
// a revision, which tells that it had lapsed.
func (f *Follower) createdAnew(before snipefeed.Revision, changes []Change) bool {
	for i := range changes {
		c := &changes[i]
		if c.Target != nil && c.Created > before && f.Registry.Knows(c.Name, c.Target.Born) {
			return true
		}
	}
	return false
}

// judge decides after a loss of the store whether the entries that are missing
// lapsed because the store was down, or left while it served others.
func (f *Follower) judge(createdAnew bool) {
	missing, all := f.Registry.Lapsed()
	many := missing >= minLapsed && float64(missing) > lapsedShare*float64(all)
	if !many && !createdAnew {
		f.Registry.Settle(f.Clock.Now())
		return
	}
	f.Log.Info("entries lapsed", zap.Int("missing", missing), zap.Int("known", all), zap.Bool("createdAnew", createdAnew))
}
