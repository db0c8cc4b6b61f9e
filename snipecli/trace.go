package snipecli

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/snipemoor/snipemoor/snipetrace"
)

type traceCommand struct {
	Records        string        `help:"File with the records of targets and callers." required:"" placeholder:"FILE"`
	Request        []string      `help:"Request to trace (repeatable); all that were refused and ran if absent." placeholder:"ID"`
	ClockTolerance time.Duration `help:"By how much the clocks of targets and fronts may differ." default:"10ms"`
	Logs           []string      `arg:"" name:"log" help:"Logs of the fronts, one file for each."`
}

// Help returns the detailed help text.
func (traceCommand) Help() string {
	return `Finds out why requests ran that were refused with the promise that they had not. Records are
lines of key=value pairs, one for each run, refusal or response:

  time=2026-12-06T08:00:00.008Z event=ran request=ID target=ID [address=IP:PORT] [peer=IP:PORT]
  time=2026-12-06T08:00:00.001Z event=refused status=503 request=ID target=ID
  event=response status=503 request=ID [names=ID]

Example:
  snipemoor trace --records records.txt front-1.log front-2.log`
}

// traceResult is the output of the trace command.
type traceResult struct {
	Verdicts []tracedRequest `json:"verdicts"`
}

// tracedRequest is the verdict on one request.
type tracedRequest struct {
	Request    string                `json:"request"`
	Hypothesis snipetrace.Hypothesis `json:"hypothesis"`
	Meaning    string                `json:"meaning"`
	Reasons    []string              `json:"reasons"`
	Attempts   []tracedAttempt       `json:"attempts"`
	text       string
}

// tracedAttempt is an attempt of a front.
type tracedAttempt struct {
	Front      string              `json:"front"`
	Number     int                 `json:"number"`
	Target     string              `json:"target"`
	Address    string              `json:"address,omitempty"`
	Evidence   snipetrace.Evidence `json:"evidence,omitempty"`
	Status     int                 `json:"status,omitempty"`
	Responder  string              `json:"responder,omitempty"`
	Connection string              `json:"connection,omitempty"`
}

// Run prints the verdict on each request.
func (c *traceCommand) Run(s *session) error {
	tracer, err := c.read()
	if err != nil {
		return withStatus(ExitUsage, err)
	}
	requests := c.Request
	if len(requests) == 0 {
		requests = tracer.RefusedAndRan()
	}
	result := traceResult{Verdicts: []tracedRequest{}}
	for _, id := range requests {
		result.Verdicts = append(result.Verdicts, newTracedRequest(tracer.Verdict(id)))
	}
	return s.print(result)
}

// read returns a Tracer that has read the records and all logs.
func (c *traceCommand) read() (*snipetrace.Tracer, error) {
	var records []snipetrace.Record
	var responses []snipetrace.Response
	err := readFile(c.Records, func(r io.Reader) (err error) {
		records, responses, err = snipetrace.ReadRecords(r)
		return err //nolint:wrapcheck // readFile wraps it
	})
	if err != nil {
		return nil, err
	}
	tracer := snipetrace.New(snipetrace.Settings{ClockTolerance: c.ClockTolerance, Requests: c.Request}, records, responses)
	for _, path := range c.Logs {
		front := strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
		if err := readFile(path, func(r io.Reader) error { return tracer.ReadLog(front, r) }); err != nil {
			return nil, err
		}
	}
	return tracer, nil
}

// readFile opens a file and reads it with read.
func readFile(path string, read func(io.Reader) error) error {
	f, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("open file: %w", err)
	}
	defer func() { _ = f.Close() }()
	if err := read(f); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

// newTracedRequest returns the output for a verdict.
func newTracedRequest(v *snipetrace.Verdict) tracedRequest {
	r := tracedRequest{
		Request: v.Request(), Hypothesis: v.Hypothesis(), Meaning: v.Hypothesis().Meaning(), Reasons: v.Reasons(),
		Attempts: []tracedAttempt{}, text: v.String(),
	}
	for _, a := range v.Attempts() {
		r.Attempts = append(r.Attempts, tracedAttempt{
			Front: a.Front, Number: a.Number, Target: a.Target, Address: a.Address,
			Evidence: a.Evidence, Status: a.Status, Responder: a.Responder, Connection: a.Connection,
		})
	}
	return r
}

// writeText writes the verdicts, and how many there are.
func (r traceResult) writeText(w io.Writer) error {
	for _, v := range r.Verdicts {
		if err := printf(w, "%s\n", v.text); err != nil {
			return err
		}
	}
	return printf(w, "%d requests traced\n", len(r.Verdicts))
}
