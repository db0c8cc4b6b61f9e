package snipescenario_test

import (
	"fmt"
	"strings"
)

// markdownTable returns the matrix as a Markdown page. Each entry names the
// guarantees that its cell checks, or those that it violates.
func markdownTable(results map[string]string) string {
	var b strings.Builder
	b.WriteString("# Fault matrix\n\nWritten by TestFaultMatrix of snipescenario (-update). " +
		"Each entry names the guarantees of section 1.2 of the design that the cell checks, or after FAIL those that it violates; " +
		"0 stands for a scenario that does not recover. A known red cell is listed in KNOWN-RED.txt.\n\n## Single faults\n\n| flow, step |")
	faults := matrixFaults()
	printf := func(format string, args ...any) { fmt.Fprintf(&b, format, args...) }
	for _, f := range faults {
		printf(" %s |", f.name)
	}
	printf("\n|%s\n", strings.Repeat(" --- |", len(faults)+1))
	for _, f := range matrixFlows() {
		for _, step := range f.steps {
			printf("| %s, %s |", f.name, step)
			for _, x := range faults {
				printf(" %s |", results[f.name+"/"+step+"/"+x.name])
			}
			printf("\n")
		}
	}
	for _, f := range matrixFlows() {
		if f.pairStep == "" {
			continue
		}
		printf("\n## Pairs of faults: %s, %s\n\n| |", f.name, f.pairStep)
		for _, x := range faults[1:] {
			printf(" %s |", x.name)
		}
		printf("\n|%s\n", strings.Repeat(" --- |", len(faults)))
		for i, x := range faults[:len(faults)-1] {
			printf("| %s |", x.name)
			for j, y := range faults[1:] {
				switch {
				case j < i:
					printf(" |")
				case exclusionReason(x.name, y.name) != "":
					printf(" n/a: %s |", exclusionReason(x.name, y.name))
				default:
					printf(" %s |", results[f.name+"/"+f.pairStep+"/"+x.name+"+"+y.name])
				}
			}
			printf("\n")
		}
	}
	return b.String()
}
