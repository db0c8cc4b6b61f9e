package snipefront

import (
	"context"
	"maps"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/snipemoor/snipemoor/platform"
)

// settingsPollInterval is the time between two reads of the settings file, which can
// change without a signal.
const settingsPollInterval = 5 * time.Second

// SettingsLoader reads the settings of the front. It is called at the start and
// at each reload.
type SettingsLoader func() (*platform.Settings, error)

// watchSettings reloads the settings on SIGHUP and every settingsPollInterval, until
// ctx ends.
func (f *Front) watchSettings(ctx context.Context) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			f.reload("SIGHUP")
		case <-ticker.C:
			f.reload("changed file")
		}
	}
}

// reload reads the settings and applies changed bounds and regions. Changed addresses
// and names have no effect until the process is restarted. If the settings cannot be
// read or are invalid, the previous ones stay in force.
func (f *Front) reload(cause string) {
	next, err := f.loadSettings()
	if err != nil {
		f.log.Warn("settings not reloaded", zap.String("cause", cause), zap.Error(err))
		return
	}
	old := f.settings.Load()
	if reflect.DeepEqual(old, next) {
		if cause == "SIGHUP" {
			f.log.Info("settings reloaded", zap.String("cause", cause), zap.Bool("changed", false))
		}
		return
	}
	f.settings.Store(next)
	f.revocation.SetBound(revocationBound(next.Bounds))
	f.log.Info("settings reloaded", zap.String("cause", cause), zap.Bool("changed", true),
		zap.Any("bounds", next.Bounds), zap.Any("regions", next.Regions))
	if !maps.Equal(old.Regions, next.Regions) {
		f.decoder.SetRegions(next.Regions)
		f.follower.Redecode()
	}
}
