package snipemeasure

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// WriteText writes the report as a table.
func (r Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, err := fmt.Fprintln(t, "scenario\tload\tpolicy\tp50\tp90\tp99\tp99.9\theadroom\tdrain\trefused\tretries\t")
	if err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	for _, c := range r.Cells {
		_, err := fmt.Fprintf(t, "%s\t%.0f %%\t%s\t%s\t%s\t%s\t%s\t%.1f %%\t%s\t%d\t%d\t\n",
			c.Scenario, 100*c.Load, c.Policy, millis(c.P50), millis(c.P90), millis(c.P99), millis(c.P999),
			100*c.Headroom, millis(c.DrainTime), c.Refused, c.Retries)
		if err != nil {
			return fmt.Errorf("write table: %w", err)
		}
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}

func millis(d time.Duration) string {
	return fmt.Sprintf("%.1f ms", float64(d)/float64(time.Millisecond))
}

// WriteJSON writes the report as indented JSON; durations are in nanoseconds.
func (r Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(r); err != nil {
		return fmt.Errorf("write JSON: %w", err)
	}
	return nil
}

// WriteSVG draws the 99th percentile of each policy over the load, on a
// logarithmic axis, for one scenario.
func (r Report) WriteSVG(w io.Writer, scenario Scenario) error {
	const width, height = 16 * vg.Centimeter, 10 * vg.Centimeter
	p := plot.New()
	p.Title.Text = fmt.Sprintf("p99 latency, scenario %s", scenario)
	p.X.Label.Text = "load (% of capacity)"
	p.Y.Label.Text = "p99 (ms)"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Legend.Top, p.Legend.Left = true, true
	var lines []any
	for _, name := range r.Settings.Policies {
		var points plotter.XYs
		for _, c := range r.Cells {
			if c.Policy == name && c.Scenario == scenario {
				points = append(points, plotter.XY{X: 100 * c.Load, Y: float64(c.P99) / float64(time.Millisecond)})
			}
		}
		if len(points) > 0 {
			lines = append(lines, string(name), points)
		}
	}
	if len(lines) == 0 {
		return fmt.Errorf("no results for scenario %q", scenario)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return fmt.Errorf("draw the plot: %w", err)
	}
	canvas, err := p.WriterTo(width, height, "svg")
	if err != nil {
		return fmt.Errorf("draw the plot: %w", err)
	}
	if _, err := canvas.WriteTo(w); err != nil {
		return fmt.Errorf("write the plot: %w", err)
	}
	return nil
}
