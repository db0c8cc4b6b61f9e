package snipecheck

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/snipemoor/snipemoor/snipetable"
)

// Class says what kind of finding one is.
type Class string

// Classes of findings.
const (
	// ClassError is an entry that fronts isolate, or a version that they do not put in force.
	ClassError Class = "error"
	// ClassNoEffect is an entry that never matches or never has an effect.
	ClassNoEffect Class = "noEffect"
	// ClassContradiction is a limit that contradicts another one, or the fleet.
	ClassContradiction Class = "contradiction"
	// ClassChange is a difference from the configuration in force.
	ClassChange Class = "change"
	// ClassNotChecked is a check that was not made, because what it needs is not known.
	ClassNotChecked Class = "notChecked"
)

// Defect reports whether findings of the class ask for a correction. Changes and checks
// that were not made do not.
func (c Class) Defect() bool { return c != ClassChange && c != ClassNotChecked }

// order returns the position of the class in a list of findings.
func (c Class) order() int {
	return slices.Index([]Class{ClassError, ClassNoEffect, ClassContradiction, ClassChange, ClassNotChecked}, c)
}

// Objects of findings that concern no entry of a table.
const (
	// ObjectConfiguration is the configuration as a whole. Such findings have no name.
	ObjectConfiguration snipetable.Object = "configuration"
	// ObjectHost is a host of routes.
	ObjectHost snipetable.Object = "host"
)

// Finding is one result of a check.
type Finding struct {
	Class  Class
	Object snipetable.Object
	// Name is the name of the entry or host, or empty if the finding concerns all of them.
	Name string
	// Effect is what fronts do because of an error, or empty.
	Effect snipetable.Effect
	// Text says what was found. It contains no key.
	Text string
}

// String returns the finding as one line of text.
func (f Finding) String() string {
	line := fmt.Sprintf("%s: %s", f.Class, f.Object)
	if f.Name != "" {
		line += fmt.Sprintf(" %q", f.Name)
	}
	line += ": " + f.Text
	if f.Effect != "" {
		line += fmt.Sprintf(" (%s)", f.Effect)
	}
	return line
}

// Findings are the results of a check, sorted by class, object and name.
type Findings []Finding

// Defects returns the number of findings that ask for a correction.
func (l Findings) Defects() int {
	n := 0
	for _, f := range l {
		if f.Class.Defect() {
			n++
		}
	}
	return n
}

// addf appends a finding with a formatted text.
func (l *Findings) addf(c Class, o snipetable.Object, name, format string, args ...any) {
	*l = append(*l, Finding{Class: c, Object: o, Name: name, Text: fmt.Sprintf(format, args...)})
}

// sort sorts the findings by class, object, name and text.
func (l Findings) sort() {
	slices.SortFunc(l, func(a, b Finding) int {
		return cmp.Or(
			cmp.Compare(a.Class.order(), b.Class.order()), cmp.Compare(a.Object, b.Object),
			cmp.Compare(a.Name, b.Name), cmp.Compare(a.Text, b.Text),
		)
	})
}
