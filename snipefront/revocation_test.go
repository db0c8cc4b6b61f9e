package snipefront

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/snipemoor/snipemoor/platform"
	"github.com/snipemoor/snipemoor/snipesync"
)

// TestRevocationMonitor guards against a front that refuses requests with keys without a
// line in its log, against a line for each look, and against one before it accepts callers.
func TestRevocationMonitor(t *testing.T) {
	core, lines := observer.New(zap.InfoLevel)
	serving := false
	m := &revocationMonitor{revocation: snipesync.NewRevocation(time.Second), serving: func() bool { return serving }, log: zap.New(core)}
	m.observe(0)
	if lines.Len() != 0 {
		t.Error("a line before callers are accepted")
	}
	serving = true
	m.observe(1)
	m.observe(2)
	if all := lines.TakeAll(); len(all) != 1 || all[0].Level != zap.WarnLevel || all[0].ContextMap()["everConfirmed"] != false {
		t.Errorf("lines %v, want one about the refusal", all)
	}
	m.revocation.SetBound(0)
	m.observe(3)
	if all := lines.TakeAll(); len(all) != 1 || all[0].Level != zap.InfoLevel || m.changes.Load() != 2 {
		t.Errorf("lines %v and %d changes, want one line about the end and two changes", all, m.changes.Load())
	}
}

// TestRevocationBound guards against a bound that applies although the settings do not
// ask for strict revocation, and against one that is ignored.
func TestRevocationBound(t *testing.T) {
	for strict, want := range map[bool]time.Duration{true: time.Second, false: 0} {
		if got := revocationBound(platform.Bounds{StrictRevocation: strict, Revoke: time.Second}); got != want {
			t.Errorf("strict %v: %v, want %v", strict, got, want)
		}
	}
}

// TestReloadOfRevocation guards against a front that keeps the bound with which it
// started when its settings change.
func TestReloadOfRevocation(t *testing.T) {
	next := &platform.Settings{Bounds: platform.Bounds{StrictRevocation: true, Revoke: time.Second}}
	f := &Front{
		loadSettings: func() (*platform.Settings, error) { return next, nil },
		log:          zap.NewNop(), revocation: snipesync.NewRevocation(0),
	}
	f.settings.Store(&platform.Settings{})
	f.reload("test")
	if !f.revocation.Strict() || f.revocation.Recent(0) {
		t.Error("revocation is not strict after the settings ask for it")
	}
	next = &platform.Settings{Bounds: platform.Bounds{Revoke: time.Second}}
	f.reload("test")
	if f.revocation.Strict() || !f.revocation.Recent(0) {
		t.Error("revocation is strict although the settings no longer ask for it")
	}
}
