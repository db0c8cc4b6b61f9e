package snipescenario_test

import (
	"fmt"
	"strings"
)

// table returns the matrix as a page. Each entry names the guarantees that its
// cell checks.
func table(results map[string]string) string {
	var b strings.Builder
	b.WriteString("# Fault matrix\n\nWritten by TestFaultMatrix of snipescenario (-update). " +
		"Each entry names the guarantees of section 1.2 of the design that the cell checks, or after FAIL those that it violates; " +
		"0 stands for a scenario that does not recover. A known red cell is listed in KNOWN-RED.txt.\n\n## Single faults\n\n| flow, step |")
	faults := matrixFaults()
	row := func(format string, args ...any) { fmt.Fprintf(&b, format, args...) }
	for _, f := range faults {
		row(" %s |", f.name)
	}
	row("\n|%s\n", strings.Repeat(" --- |", len(faults)+1))
	for _, f := range matrixFlows() {
		for _, step := range f.steps {
			row("| %s, %s |", f.name, step)
			for _, x := range faults {
				row(" %s |", results[f.name+"/"+step+"/"+x.name])
			}
			row("\n")
		}
	}
	for _, f := range matrixFlows() {
		if f.pairStep == "" {
			continue
		}
		row("\n## Pairs of faults: %s, %s\n\n| |", f.name, f.pairStep)
		for _, x := range faults[1:] {
			row(" %s |", x.name)
		}
		row("\n|%s\n", strings.Repeat(" --- |", len(faults)))
		for i, x := range faults[:len(faults)-1] {
			row("| %s |", x.name)
			for j, y := range faults[1:] {
				switch {
				case j < i:
					row(" |")
				case exclusion(x.name, y.name) != "":
					row(" n/a: %s |", exclusion(x.name, y.name))
				default:
					row(" %s |", results[f.name+"/"+f.pairStep+"/"+x.name+"+"+y.name])
				}
			}
			row("\n")
		}
	}
	return b.String()
}
