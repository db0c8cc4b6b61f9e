// Command snipestandin runs stand-ins for the store, the instance list and all
// targets of a deployment on loopback, so that snipemoord can be tried by hand.
// It stops on SIGINT or SIGTERM.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/snipemoor/snipemoor/snipeconfig"
	"github.com/snipemoor/snipemoor/snipestandin"
	"github.com/snipemoor/snipemoor/snipestore"
	"github.com/snipemoor/snipemoor/snipetime"
)

// commandLine holds the arguments and flags.
type commandLine struct {
	Deployment string `arg:"" help:"Directory of the deployment, such as examples/society." type:"existingdir"`
	Apply      bool   `help:"Write the configuration of the deployment to the store at startup."`
	Seed       uint64 `help:"Seed of the random service times." default:"1"`
}

// applyTimeout bounds the write of the configuration to the store at startup.
const applyTimeout = 10 * time.Second

func main() {
	var arguments commandLine
	parser := kong.Parse(&arguments,
		kong.Name("snipestandin"),
		kong.Description("Runs stand-ins for the store, the instance list and all targets of a deployment on loopback."),
	)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	parser.FatalIfErrorf(run(ctx, arguments, os.Stdout))
}

// run starts the stand-ins, prints one line with their addresses and serves until
// ctx ends.
func run(ctx context.Context, arguments commandLine, out io.Writer) error {
	config, err := readConfiguration(arguments.Deployment)
	if err != nil {
		return err
	}
	file := filepath.Join(arguments.Deployment, "standin.json")
	data, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("read stand-in settings: %w", err)
	}
	settings, err := snipestandin.ParseDeployment(file, data)
	if err != nil {
		return fmt.Errorf("parse stand-in settings: %w", err)
	}
	clock := snipetime.New()
	defer clock.Close()
	deployment, err := snipestandin.NewDeployment(settings, config, clock, arguments.Seed)
	if err != nil {
		return fmt.Errorf("start stand-ins: %w", err)
	}
	if arguments.Apply {
		if err := apply(ctx, settings.Store, config); err != nil {
			return errors.Join(err, deployment.Close())
		}
	}
	_, err = fmt.Fprintf(out, "store %s, instance list %s, %d targets\n",
		settings.Store, settings.InstanceList, deployment.TargetCount())
	if err != nil {
		return errors.Join(fmt.Errorf("print addresses: %w", err), deployment.Close())
	}
	<-ctx.Done()
	if err := deployment.Close(); err != nil {
		return fmt.Errorf("stop stand-ins: %w", err)
	}
	return nil
}

// readConfiguration reads and checks the configuration documents in the directory
// of a deployment.
func readConfiguration(directory string) (*snipeconfig.Snapshot, error) {
	var files []snipeconfig.File
	for _, pattern := range []string{"fleet.json", "templates/*.json", "teams/*.json"} {
		names, err := filepath.Glob(filepath.Join(directory, pattern))
		if err != nil {
			return nil, fmt.Errorf("list configuration documents: %w", err)
		}
		for _, name := range names {
			data, err := os.ReadFile(name)
			if err != nil {
				return nil, fmt.Errorf("read configuration document: %w", err)
			}
			files = append(files, snipeconfig.File{Name: name, Data: data})
		}
	}
	config, err := snipeconfig.BuildFiles(1, "initial", files)
	if err != nil {
		return nil, fmt.Errorf("check configuration:\n%w", err)
	}
	return config, nil
}

// apply writes the configuration to the empty store as its first generation.
func apply(ctx context.Context, store string, config *snipeconfig.Snapshot) error {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	client := snipestore.New(snipestore.Settings{Addresses: []string{store}})
	defer client.Close()
	change := snipestore.Change{Operation: config.Operation(), Set: config.Documents()}
	report, err := snipestore.NewWriter(client).Apply(ctx, change)
	if err != nil {
		return fmt.Errorf("write configuration to the store: %w", err)
	}
	if report.Outcome() != snipestore.Committed {
		return fmt.Errorf("write configuration to the store: not committed, outcome is %s", report.Outcome())
	}
	return nil
}
