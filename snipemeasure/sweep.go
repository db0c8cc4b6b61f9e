package snipemeasure

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"golang.org/x/sync/errgroup"
)

// Shape is a number of targets and the number of slots of each.
type Shape struct {
	Targets, Slots int
}

// UnmarshalText parses a shape such as "16x4", 16 targets with 4 slots each. It
// returns an error unless both numbers are positive.
func (s *Shape) UnmarshalText(text []byte) error {
	var rest string
	// The last verb detects text after the shape: only two values may be read.
	n, _ := fmt.Sscanf(string(text), "%dx%d%s", &s.Targets, &s.Slots, &rest)
	if n != 2 || s.Targets <= 0 || s.Slots <= 0 {
		return fmt.Errorf("shape %q is not of the form 16x4", text)
	}
	return nil
}

// String returns the shape in the form that UnmarshalText parses.
func (s Shape) String() string { return fmt.Sprintf("%dx%d", s.Targets, s.Slots) }

// Sweep runs the same comparison for several shapes, sigmas and seeds. A list that is
// empty has the one value given in parentheses.
type Sweep struct {
	// Base holds the settings that all runs share. Its Targets, Slots, Sigma and Seed
	// are not used.
	Base Settings
	// Shapes (16x4), Sigmas (0.5) and Seeds (1) are combined with each other.
	Shapes []Shape
	Sigmas []float64
	Seeds  []uint64
	// Parallel is the highest number of concurrent runs (1).
	Parallel int
}

// Run returns one report for each combination, ordered by shape, sigma and seed. It
// returns an error on invalid settings.
func (s Sweep) Run() (Reports, error) {
	var all []Settings
	for _, shape := range valuesOrDefault(s.Shapes, Shape{16, 4}) {
		for _, sigma := range valuesOrDefault(s.Sigmas, 0.5) {
			for _, seed := range valuesOrDefault(s.Seeds, 1) {
				settings := s.Base
				settings.Targets, settings.Slots, settings.Sigma, settings.Seed = shape.Targets, shape.Slots, sigma, seed
				all = append(all, settings)
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

// valuesOrDefault returns values, or a list with the fallback if there are none.
func valuesOrDefault[T any](values []T, fallback T) []T {
	if len(values) == 0 {
		return []T{fallback}
	}
	return values
}

// Reports holds the reports of a sweep.
type Reports []Report

// Format is the name of an output format of Reports.
type Format string

// Formats.
const (
	FormatText Format = "text"
	FormatJSON Format = "json"
	FormatSVG  Format = "svg"
)

// Write writes all reports in the format. It returns an error on an unknown format or
// if a write to w fails.
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
