package snipemeasure

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"golang.org/x/sync/errgroup"
)

// Shape is a number of targets with equal slots.
type Shape struct {
	Targets, Slots int
}

// UnmarshalText parses a shape such as "16x4", 16 targets with 4 slots each.
func (s *Shape) UnmarshalText(text []byte) error {
	var rest string
	// The last verb detects text after the shape: only two values may be read.
	n, _ := fmt.Sscanf(string(text), "%dx%d%s", &s.Targets, &s.Slots, &rest)
	if n != 2 || s.Targets <= 0 || s.Slots <= 0 {
		return fmt.Errorf("shape %q is not of the form 16x4", text)
	}
	return nil
}

// String returns the text form of the shape.
func (s Shape) String() string { return fmt.Sprintf("%dx%d", s.Targets, s.Slots) }

// Sweep runs the same comparison for several shapes, spreads and seeds.
type Sweep struct {
	// Base holds the settings that are the same in all runs.
	Base Settings
	// Shapes (16x4), Sigmas (0.5) and Seeds (1) to combine.
	Shapes []Shape
	Sigmas []float64
	Seeds  []uint64
	// Parallel bounds the runs at the same time (1).
	Parallel int
}

// Run returns one report for each combination, ordered by shape, sigma and
// seed. It fails on invalid settings.
func (s Sweep) Run() (Reports, error) {
	var all []Settings
	for _, shape := range orOne(s.Shapes, Shape{16, 4}) {
		for _, sigma := range orOne(s.Sigmas, 0.5) {
			for _, seed := range orOne(s.Seeds, 1) {
				one := s.Base
				one.Targets, one.Slots, one.Sigma, one.Seed = shape.Targets, shape.Slots, sigma, seed
				all = append(all, one)
			}
		}
	}
	reports := make(Reports, len(all))
	var group errgroup.Group
	group.SetLimit(max(s.Parallel, 1))
	for i := range all {
		group.Go(func() error {
			var err error
			reports[i], err = Run(all[i])
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, fmt.Errorf("sweep: %w", err)
	}
	return reports, nil
}

func orOne[T any](values []T, only T) []T {
	if len(values) == 0 {
		return []T{only}
	}
	return values
}

// Reports holds the results of a sweep.
type Reports []Report

// Format names an output format of Reports.
type Format string

// Formats.
const (
	FormatText Format = "text"
	FormatJSON Format = "json"
	FormatSVG  Format = "svg"
)

// Write writes all reports in the format. It fails on an unknown format.
func (r Reports) Write(w io.Writer, f Format) error {
	switch f {
	case FormatText:
		return r.writeText(w)
	case FormatJSON:
		return r.writeJSON(w)
	case FormatSVG:
		return r.WriteSVG(w)
	default:
		return fmt.Errorf("unknown output format %q", f)
	}
}

func (r Reports) writeText(w io.Writer) error {
	for i, report := range r {
		s := report.Settings
		_, err := fmt.Fprintf(w, "%s%d targets with %d slots, seed %d, sigma %g, %d requests in each cell\n",
			strings.Repeat("\n", min(i, 1)), s.Targets, s.Slots, s.Seed, s.Sigma, s.Requests)
		if err != nil {
			return fmt.Errorf("write heading: %w", err)
		}
		if err := report.WriteText(w); err != nil {
			return err
		}
	}
	return nil
}

func (r Reports) writeJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(r); err != nil {
		return fmt.Errorf("write JSON: %w", err)
	}
	return nil
}
