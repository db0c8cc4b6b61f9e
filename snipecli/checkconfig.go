package snipecli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/snipemoor/snipemoor/snipecheck"
	"github.com/snipemoor/snipemoor/snipetable"
)

// ConfigReader decodes configurations of the users' platform and reads its store. Errors
// contain no keys of tenants.
type ConfigReader interface {
	Decode(value []byte) (snipetable.Content, error)
	// ReadStore returns the configuration in force, or nil if there is none, and the fleet.
	ReadStore(ctx context.Context, address string) (*snipetable.Content, *snipecheck.Fleet, error)
}

type checkConfigCommand struct {
	File    string        `arg:"" optional:"" default:"-" help:"Configuration to check; - is standard input."`
	Current string        `help:"File with the configuration in force." placeholder:"FILE"`
	Store   string        `help:"Address of the store, from which the targets, the fronts and, without --current, the configuration in force are read." placeholder:"HOST:PORT"`
	Timeout time.Duration `help:"Time limit of the calls to the store together." default:"10s"`
	Format  string        `help:"Output format: text or json; by default that of --output." enum:",text,json" default:"" placeholder:"FORMAT"`
}

// Help returns the detailed help text.
func (checkConfigCommand) Help() string {
	return `Checks a configuration of the users' platform with the rules of the fronts. Keys of tenants are
never printed. Exit status: 0 nothing found, 1 something to correct was found, 2 the configuration,
the one in force or the store cannot be read. Changes and checks that were not made leave it at 0.

Example:
  snipemoor check-config new.json --current current.json --store 127.1.0.100:7100`
}

// findingWire is the JSON form of a finding.
type findingWire struct {
	Class  snipecheck.Class  `json:"class"`
	Object snipetable.Object `json:"object"`
	Name   string            `json:"name,omitempty"`
	Effect snipetable.Effect `json:"effect,omitempty"`
	Text   string            `json:"text"`
}

// checkResult is the output of check-config.
type checkResult struct{ findings snipecheck.Findings }

// MarshalJSON implements json.Marshaler.
func (r checkResult) MarshalJSON() ([]byte, error) {
	list := make([]findingWire, 0, len(r.findings))
	for _, f := range r.findings {
		list = append(list, findingWire(f))
	}
	return json.Marshal(list) //nolint:wrapcheck // The encoder of the result wraps it.
}

func (r checkResult) writeText(w io.Writer) error {
	lines := make([]string, 0, len(r.findings))
	for _, f := range r.findings {
		lines = append(lines, f.String())
	}
	return printLines(w, lines)
}

// Run implements the command.
func (c *checkConfigCommand) Run(ctx context.Context, s *session) error {
	input, err := c.read(ctx, s)
	if err != nil {
		return withStatus(ExitUsage, err)
	}
	if c.Format != "" {
		s.jsonOutput = c.Format == "json"
	}
	findings := snipecheck.Check(input)
	if err := s.print(checkResult{findings}); err != nil {
		return err
	}
	if n := findings.Defects(); n > 0 {
		return withStatus(ExitFailed, fmt.Errorf("findings to correct: %d", n))
	}
	return nil
}

// errNoConfigReader is returned if the program cannot read configurations of a platform.
var errNoConfigReader = errors.New("this program reads no configurations of a platform")

// read reads what is to be checked.
func (c *checkConfigCommand) read(ctx context.Context, s *session) (snipecheck.Input, error) {
	var input snipecheck.Input
	reader := s.deps.Configs
	if reader == nil {
		return input, errNoConfigReader
	}
	var err error
	if input.New, err = readConfiguration(s, c.File); err != nil {
		return input, err
	}
	if c.Current != "" {
		if input.Current, err = readConfiguration(s, c.Current); err != nil {
			return input, fmt.Errorf("configuration in force: %w", err)
		}
	}
	if c.Store == "" {
		return input, nil
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	current, fleet, err := reader.ReadStore(ctx, c.Store)
	if err != nil {
		return input, fmt.Errorf("read the store: %w", err)
	}
	input.Fleet = fleet
	if current != nil && input.Current == nil {
		input.Current = snipecheck.NewConfiguration(*current)
	}
	return input, nil
}

// readConfiguration reads and decodes a configuration from a file, or from standard input
// if the name is "-".
func readConfiguration(s *session, name string) (*snipecheck.Configuration, error) {
	data, err := readInput(s, name)
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	content, err := s.deps.Configs.Decode(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return snipecheck.NewConfiguration(content), nil
}

// readInput reads a file, or standard input if the name is "-".
func readInput(s *session, name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(s.deps.Stdin) //nolint:wrapcheck // The caller wraps it.
	}
	return os.ReadFile(name) //nolint:wrapcheck // The caller wraps it.
}
