package snipemeasure

import (
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// WriteText writes the report as a table with a row for each cell. It returns an
// error if a write to w fails.
func (r Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, err := fmt.Fprintln(t, "scenario\tload\tpolicy\tp50\tp90\tp99\tp99.9\theadroom\tdrain\trefused\tretries\t")
	if err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	for _, c := range r.Cells {
		_, err := fmt.Fprintf(t, "%s\t%.0f %%\t%s\t%s\t%s\t%s\t%s\t%.1f %%\t%s\t%d\t%d\t\n",
			c.Scenario, 100*c.Load, c.Policy, formatMillis(c.P50), formatMillis(c.P90), formatMillis(c.P99), formatMillis(c.P999),
			100*c.Headroom, formatMillis(c.DrainTime), c.Refused, c.Retries)
		if err != nil {
			return fmt.Errorf("write table: %w", err)
		}
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}

func formatMillis(d time.Duration) string {
	return fmt.Sprintf("%.1f ms", float64(d)/float64(time.Millisecond))
}

// WriteSVG draws the 99th percentile of the latency of each policy over the load,
// with a logarithmic latency axis, one row for each report and one column for each
// scenario. It returns an error without reports, on reports with different numbers
// of scenarios, and if a write to w fails.
func (r Reports) WriteSVG(w io.Writer) error {
	const width, height = 13 * vg.Centimeter, 9 * vg.Centimeter
	if len(r) == 0 {
		return errors.New("no reports to draw")
	}
	columns := len(r[0].Settings.Scenarios)
	plots := make([][]*plot.Plot, len(r))
	for i, report := range r {
		if len(report.Settings.Scenarios) != columns {
			return errors.New("the reports have different numbers of scenarios")
		}
		for _, scenario := range report.Settings.Scenarios {
			p, err := report.plot(scenario)
			if err != nil {
				return err
			}
			plots[i] = append(plots[i], p)
		}
	}
	canvas := vgsvg.New(width*vg.Length(columns), height*vg.Length(len(r)))
	tiles := draw.Tiles{Rows: len(r), Cols: columns, PadX: vg.Centimeter, PadY: vg.Centimeter}
	for i, row := range plot.Align(plots, tiles, draw.New(canvas)) {
		for j, c := range row {
			plots[i][j].Draw(c)
		}
	}
	if _, err := canvas.WriteTo(w); err != nil {
		return fmt.Errorf("write plot: %w", err)
	}
	return nil
}

// plot returns the plot of one scenario. It returns an error if the report has no
// results for it.
func (r Report) plot(scenario Scenario) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, %d targets with %d slots", scenario, r.Settings.Targets, r.Settings.Slots)
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
		return nil, fmt.Errorf("no results for scenario %q", scenario)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return nil, fmt.Errorf("draw plot: %w", err)
	}
	return p, nil
}
