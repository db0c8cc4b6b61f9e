package snipetable

import (
	"cmp"
	"fmt"
	"slices"
)

// Object is the kind of entry that a problem concerns.
type Object string

// Kinds of entries.
const (
	ObjectRoute   Object = "route"
	ObjectService Object = "service"
	ObjectTenant  Object = "tenant"
)

// Effect is what a front does because of a problem.
type Effect string

// Effects of problems.
const (
	// EffectRefused means that the requests of the entry are refused.
	EffectRefused Effect = "refused"
	// EffectLeftOut means that the front acts as if there were no such entry.
	EffectLeftOut Effect = "leftOut"
	// EffectPreviousQuota means that the quota of the version before stays in force.
	EffectPreviousQuota Effect = "previousQuota"
	// EffectKeyLeftOut means that a key, or all keys, of the tenant identify nobody.
	EffectKeyLeftOut Effect = "keyLeftOut"
	// EffectKeyRefused means that requests with a key that several tenants hold are
	// refused.
	EffectKeyRefused Effect = "keyRefused"
)

// Problem is an entry of a configuration, or a part of one, that cannot be used as it is.
type Problem struct {
	Object Object
	// Name is the name of the entry, or empty if the problem concerns all entries of the
	// kind.
	Name   string
	Effect Effect
	// Err is the cause. It contains no key.
	Err error
}

// String returns the problem as one line of text.
func (p Problem) String() string {
	return fmt.Sprintf("%s %q: %v (%s)", p.Object, p.Name, p.Err, p.Effect)
}

// report adds a problem.
func (t *Table) report(o Object, name string, e Effect, err error) {
	t.problems = append(t.problems, Problem{o, name, e, err})
}

// sortProblems sorts problems by object, name and text.
func sortProblems(problems []Problem) {
	slices.SortFunc(problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Object, b.Object), cmp.Compare(a.Name, b.Name), cmp.Compare(a.String(), b.String()))
	})
}
