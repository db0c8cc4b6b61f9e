package snipecli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kong"

	"github.com/snipemoor/snipemoor/snipeconfig"
	"github.com/snipemoor/snipemoor/snipedemo"
	"github.com/snipemoor/snipemoor/snipetime"
)

// The exit statuses of the command line.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailed means that the operation failed: it was refused, based on a
	// stale generation, not in force in time, or a guarantee was broken.
	ExitFailed = 1
	// ExitUsage means that the arguments or the documents are invalid.
	ExitUsage = 2
	// ExitUnclear means that the outcome of a change is unknown: it may have been
	// committed, or may still be.
	ExitUnclear = 3
)

// Clock returns the monotonic time and starts timers. The function that After
// returns cancels the timer.
type Clock interface {
	Now() snipetime.Instant
	After(delay time.Duration, f func(snipetime.Instant)) (cancel func())
}

// Dependencies are the streams, the clock and the platform that an App uses.
type Dependencies struct {
	// Stdin is read by check-config if no file is named; nil is empty.
	Stdin io.Reader
	// Stdout receives the results of commands, Stderr errors and progress.
	Stdout, Stderr io.Writer
	// Clock measures the waits between polls, the time until a change is in force
	// and the updates of the progress line.
	Clock Clock
	// Terminal is set if Stderr is a terminal, on which a progress line can be
	// overwritten. Without it no progress is shown.
	Terminal bool
	// Configs reads configurations of the users' platform; without it, check-config fails.
	Configs ConfigReader
}

// App parses and runs command lines.
type App struct {
	deps Dependencies
}

// New returns an App. Stdout, Stderr and Clock are required.
func New(deps Dependencies) *App {
	if deps.Stdin == nil {
		deps.Stdin = strings.NewReader("")
	}
	return &App{deps: deps}
}

// Run parses and runs one command line, without the name of the program, and
// returns the exit status. Errors are written to Stderr.
func (a *App) Run(ctx context.Context, args []string) int {
	var line commandLine
	// kong calls Exit after it has printed the help.
	exited := false
	parser, err := kong.New(&line,
		kong.Name("snipemoor"),
		kong.Description("Operates a snipemoor fleet.\n\nExit status: 0 success, 1 failed operation, 2 bad input or usage, 3 unclear outcome."),
		kong.Vars{"demoLoad": strconv.FormatFloat(snipedemo.DefaultLoad, 'g', -1, 64)},
		kong.Writers(a.deps.Stdout, a.deps.Stderr),
		kong.Exit(func(int) { exited = true }),
		kong.BindTo(ctx, (*context.Context)(nil)),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true, WrapUpperBound: 100}),
	)
	if err != nil {
		return a.reportError(fmt.Errorf("build command line: %w", err))
	}
	parsed, err := parser.Parse(args)
	if exited {
		return ExitOK
	}
	if err != nil {
		return a.reportError(withStatus(ExitUsage, fmt.Errorf("%w (see snipemoor --help)", err)))
	}
	return a.reportError(parsed.Run(&session{deps: a.deps, jsonOutput: line.Output == "json"}))
}

// reportError writes an error to Stderr and returns its exit status, or ExitOK if
// err is nil.
func (a *App) reportError(err error) int {
	if err == nil {
		return ExitOK
	}
	// If Stderr cannot be written to, there is no other place for the error.
	_, _ = fmt.Fprintf(a.deps.Stderr, "snipemoor: %v\n", err)
	var status *statusError
	if errors.As(err, &status) {
		return status.status
	}
	if _, ok := snipeconfig.AsFaults(err); ok {
		return ExitUsage
	}
	return ExitFailed
}

// statusError is an error with an exit status. Other errors lead to ExitUsage if
// they wrap faults of documents, else to ExitFailed.
type statusError struct {
	status int
	err    error
}

// withStatus returns err with an exit status.
func withStatus(status int, err error) error { return &statusError{status: status, err: err} }

// Error returns the text of the wrapped error.
func (e *statusError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *statusError) Unwrap() error { return e.err }

// session holds the dependencies and the output format of a running command.
type session struct {
	deps       Dependencies
	jsonOutput bool
}

// result is the output of a command, as text or as the JSON encoding of its
// exported fields.
type result interface {
	writeText(w io.Writer) error
}

// print writes a result to Stdout in the chosen output format.
func (s *session) print(r result) error {
	if !s.jsonOutput {
		return r.writeText(s.deps.Stdout)
	}
	encoder := json.NewEncoder(s.deps.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(r); err != nil {
		return fmt.Errorf("write output: %w", err)
	}
	return nil
}

// pause waits for a delay, or returns an error if ctx ends first.
func (s *session) pause(ctx context.Context, delay time.Duration) error {
	done := make(chan struct{})
	cancel := s.deps.Clock.After(delay, func(snipetime.Instant) { close(done) })
	defer cancel()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait: %w", ctx.Err())
	}
}

// printf writes formatted text.
func printf(w io.Writer, format string, args ...any) error {
	if _, err := fmt.Fprintf(w, format, args...); err != nil {
		return fmt.Errorf("write output: %w", err)
	}
	return nil
}

// printLines writes one line for each text.
func printLines(w io.Writer, lines []string) error {
	for _, line := range lines {
		if err := printf(w, "%s\n", line); err != nil {
			return err
		}
	}
	return nil
}
