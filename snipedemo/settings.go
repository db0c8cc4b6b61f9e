package snipedemo

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"path"
	"time"

	"go.uber.org/zap"

	"github.com/snipemoor/snipemoor/snipeconfig"
	"github.com/snipemoor/snipemoor/snipedaemon"
	"github.com/snipemoor/snipemoor/snipestandin"
)

const (
	// DefaultDuration is the default duration of the load.
	DefaultDuration = 20 * time.Second
	// DefaultLoad is the default fraction of the slot capacity that the load uses.
	// It keeps the process, with all instances and stand-ins, below two cores, and
	// leaves spare slots for cold targets, which are three times slower.
	DefaultLoad = 0.15
	// minDuration leaves time for a drain and a planned stop under load.
	minDuration = 10 * time.Second
)

// Settings are the settings of a demo.
type Settings struct {
	// Deployment is the name of the deployment's directory in Files.
	Deployment string
	// Files holds the example deployments.
	Files fs.FS
	// Duration is the duration of the load, at least 10 s; DefaultDuration if
	// zero.
	Duration time.Duration
	// Load is the fraction of the slot capacity that the load uses, in (0, 1];
	// DefaultLoad if zero.
	Load float64
	// Seed is the seed of arrivals, bodies and service times.
	Seed uint64
	// Progress receives one row of counts a second; nothing is written if it is
	// nil.
	Progress io.Writer
	// Log receives the log of the entry instances; nothing is logged if it is nil.
	Log *zap.Logger
}

// setDefaults replaces settings that are zero by their defaults.
func (s *Settings) setDefaults() {
	if s.Duration == 0 {
		s.Duration = DefaultDuration
	}
	if s.Load == 0 {
		s.Load = DefaultLoad
	}
	if s.Log == nil {
		s.Log = zap.NewNop()
	}
	if s.Progress == nil {
		s.Progress = io.Discard
	}
}

// Check returns an error if a setting is out of range or a file of the deployment
// is missing or invalid.
func (s Settings) Check() error {
	s.setDefaults()
	if s.Files == nil {
		return errors.New("settings have no Files")
	}
	if s.Duration < minDuration {
		return fmt.Errorf("duration %s is shorter than %s", s.Duration, minDuration)
	}
	if s.Load <= 0 || s.Load > 1 {
		return fmt.Errorf("load %v is not in (0, 1]", s.Load)
	}
	_, err := readDeployment(s.Files, s.Deployment)
	return err
}

// deployment holds the parsed files of an example deployment.
type deployment struct {
	config    *snipeconfig.Snapshot
	standins  snipestandin.DeploymentSettings
	instances []*snipedaemon.Settings
}

// readDeployment reads, parses and checks all files of an example deployment.
func readDeployment(files fs.FS, name string) (*deployment, error) {
	documents, err := readFiles(files, name, "fleet.json", "templates/*.json", "teams/*.json")
	if err != nil {
		return nil, err
	}
	d := &deployment{}
	if d.config, err = snipeconfig.BuildFiles(1, "demo", documents); err != nil {
		return nil, fmt.Errorf("check configuration:\n%w", err)
	}
	standins, err := readFiles(files, name, "standin.json")
	if err != nil {
		return nil, err
	}
	if d.standins, err = snipestandin.ParseDeployment(standins[0].Name, standins[0].Data); err != nil {
		return nil, fmt.Errorf("check stand-ins:\n%w", err)
	}
	instances, err := readFiles(files, name, "settings/*.json")
	if err != nil {
		return nil, err
	}
	for _, file := range instances {
		settings, err := snipedaemon.ParseSettings(file.Name, file.Data)
		if err != nil {
			return nil, fmt.Errorf("check settings:\n%w", err)
		}
		d.instances = append(d.instances, settings)
	}
	if len(d.config.Teams()) == 0 {
		return nil, errors.New("the deployment has no team")
	}
	return d, nil
}

// readFiles reads the files of a directory that match the patterns. It returns an
// error if a pattern matches no file.
func readFiles(files fs.FS, directory string, patterns ...string) ([]snipeconfig.File, error) {
	var found []snipeconfig.File
	for _, pattern := range patterns {
		names, err := fs.Glob(files, path.Join(directory, pattern))
		if err != nil {
			return nil, fmt.Errorf("find files: %w", err)
		}
		if len(names) == 0 {
			return nil, fmt.Errorf("deployment %s has no file that matches %s", directory, pattern)
		}
		for _, name := range names {
			data, err := fs.ReadFile(files, name)
			if err != nil {
				return nil, fmt.Errorf("read file: %w", err)
			}
			found = append(found, snipeconfig.File{Name: name, Data: data})
		}
	}
	return found, nil
}
