package snipecli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"strings"
	"time"

	"github.com/snipemoor/snipemoor/snipeload"
)

// progressInterval is the time between updates of the progress line.
const progressInterval = 200 * time.Millisecond

// newCaller checks the flags and returns a caller of the service. The error is a
// usage error.
func (f *callFlags) newCaller() (*snipeload.Caller, error) {
	for _, entry := range f.Entry {
		if err := checkAddress("--entry", entry); err != nil {
			return nil, err
		}
	}
	if f.Block != "" {
		if _, err := netip.ParsePrefix(f.Block); err != nil {
			return nil, withStatus(ExitUsage, fmt.Errorf("--block: %w", err))
		}
	}
	caller, err := snipeload.NewCaller(snipeload.CallerConfig{
		Entries: f.Entry, Team: f.Team, Service: f.Service, Block: f.Block, Timeout: f.Timeout,
	})
	if err != nil {
		return nil, withStatus(ExitUsage, fmt.Errorf("invalid flags of the caller: %w", err))
	}
	return caller, nil
}

// lookupResult is the output of lookup.
type lookupResult struct{ snipeload.Lookup }

func (r lookupResult) writeText(w io.Writer) error {
	for _, e := range r.Entries {
		if err := printf(w, "%s  %s\n", e.Address, e.Place); err != nil {
			return err
		}
	}
	return printf(w, "valid for %ds, generation %d\n", r.TTLSeconds, r.Generation)
}

// Run implements the command.
func (c *lookupCommand) Run(ctx context.Context, s *session) error {
	caller, err := c.newCaller()
	if err != nil {
		return err
	}
	defer caller.Close()
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	found, err := caller.Lookup(ctx)
	if err != nil {
		return fmt.Errorf("look up service %s of team %s: %w", c.Service, c.Team, err)
	}
	return s.print(lookupResult{found})
}

// loadResult is the output of load.
type loadResult struct{ *snipeload.Report }

func (r loadResult) writeText(w io.Writer) error {
	if err := r.WriteText(w); err != nil {
		return fmt.Errorf("write output: %w", err)
	}
	return nil
}

// check returns a usage error if an argument is out of range.
func (c *loadCommand) check() error {
	var problem string
	switch {
	case c.Rate <= 0:
		problem = "--rate must be positive"
	case c.Duration <= 0:
		problem = "--duration must be positive"
	case c.BodyBytes < 0:
		problem = "--body-bytes must not be negative"
	case c.MaxRequests < 0:
		problem = "--max-requests must not be negative"
	case !strings.HasPrefix(c.Path, "/"):
		problem = "--path must begin with a slash"
	default:
		return nil
	}
	return withStatus(ExitUsage, errors.New(problem))
}

// Run implements the command.
func (c *loadCommand) Run(ctx context.Context, s *session) error {
	if err := c.check(); err != nil {
		return err
	}
	caller, err := c.newCaller()
	if err != nil {
		return err
	}
	defer caller.Close()
	body := make([]byte, c.BodyBytes)
	random := rand.New(rand.NewPCG(c.Seed, 0))
	for i := range body {
		body[i] = byte(random.Uint32())
	}
	request := snipeload.Request{Method: c.Method, Path: c.Path, Body: body}
	generator, err := snipeload.NewGenerator(snipeload.Config{
		Rate: c.Rate, Duration: c.Duration, MaxRequests: c.MaxRequests, Seed: c.Seed,
		NewRequest: func(int) snipeload.Request { return request },
	}, caller)
	if err != nil {
		return withStatus(ExitUsage, fmt.Errorf("invalid flags of the load: %w", err))
	}
	stop := s.showProgress(ctx, generator)
	report := generator.Run(ctx)
	stop()
	if err := s.print(loadResult{report}); err != nil {
		return err
	}
	if failed := report.Outcomes()[snipeload.Failed]; failed > 0 {
		return fmt.Errorf("service %s of team %s: %d requests got no usable response", c.Service, c.Team, failed)
	}
	return nil
}

// showProgress updates a progress line on Stderr until the returned function is
// called, which erases the line. It does nothing if Stderr is not a terminal.
func (s *session) showProgress(ctx context.Context, generator *snipeload.Generator) (stop func()) {
	if !s.deps.Terminal {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for s.pause(ctx, progressInterval) == nil {
			p := generator.Progress()
			_, _ = fmt.Fprintf(s.deps.Stderr, "\r%s  sent %d  finished %d ", p.Elapsed().Round(time.Second), p.Sent(), p.Finished())
		}
		// Return to the first column and erase the line.
		_, _ = fmt.Fprint(s.deps.Stderr, "\r\x1b[K")
	}()
	return func() {
		cancel()
		<-done
	}
}
