package snipeconfig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// Diff returns the differences from one snapshot to another as sorted lines
// such as
//
//	team green: service slotboard: shift: requestsPerSecond: 100 -> 200
//	team green: service slotboard: place tcr-ollur: removed 127.1.0.1:20000
//
// A nil snapshot counts as one without documents.
func Diff(from, to *Snapshot) []string {
	var a, b []*Document
	if from != nil {
		a = from.documents
	}
	if to != nil {
		b = to.documents
	}
	return DiffDocuments(a, b)
}

// DiffDocuments returns the differences between two sets of documents in the
// form of Diff.
func DiffDocuments(from, to []*Document) []string {
	before := byRef(from)
	after := byRef(to)
	var lines []string
	for ref, d := range before {
		if _, kept := after[ref]; !kept {
			lines = append(lines, label(d)+": removed")
		}
	}
	for ref, d := range after {
		old, existed := before[ref]
		switch {
		case !existed:
			lines = append(lines, label(d)+": added")
		case old.digest != d.digest:
			lines = append(lines, diffDocument(old, d)...)
		}
	}
	slices.Sort(lines)
	return lines
}

func byRef(documents []*Document) map[Ref]*Document {
	m := make(map[Ref]*Document, len(documents))
	for _, d := range documents {
		m[d.ref] = d
	}
	return m
}

func label(d *Document) string { return string(d.ref.Kind) + " " + d.ref.Name }

func diffDocument(from, to *Document) []string {
	before := flatten(from)
	after := flatten(to)
	var lines []string
	for path, value := range before.values {
		next, kept := after.values[path]
		switch {
		case !kept:
			lines = append(lines, fmt.Sprintf("%s: removed %s", path, value))
		case next != value:
			lines = append(lines, fmt.Sprintf("%s: %s -> %s", path, value, next))
		}
	}
	for path, value := range after.values {
		if _, existed := before.values[path]; !existed {
			lines = append(lines, fmt.Sprintf("%s: added %s", path, value))
		}
	}
	lines = append(lines, diffElements(before.elements, after.elements, "removed")...)
	lines = append(lines, diffElements(after.elements, before.elements, "added")...)
	return lines
}

// diffElements returns a line for each element of a that b has less often.
func diffElements(a, b map[element]int, verb string) []string {
	var lines []string
	for e, count := range a {
		for range count - b[e] {
			lines = append(lines, fmt.Sprintf("%s: %s %s", e.path, verb, e.value))
		}
	}
	return lines
}

// element is one element of a list. Lists are compared without regard to order.
type element struct{ path, value string }

type flatDocument struct {
	values   map[string]string
	elements map[element]int
}

func flatten(d *Document) flatDocument {
	flat := flatDocument{values: map[string]string{}, elements: map[element]int{}}
	decoder := json.NewDecoder(bytes.NewReader(d.canonical))
	decoder.UseNumber()
	var tree any
	if err := decoder.Decode(&tree); err != nil {
		// The canonical form was written by this package.
		panic("snipeconfig: canonical document is not JSON: " + err.Error())
	}
	flat.add(label(d), "", tree)
	return flat
}

func (f *flatDocument) add(path, field string, value any) {
	switch v := value.(type) {
	case map[string]any:
		if len(v) == 0 {
			f.values[path] = "{}"
		}
		for name, member := range v {
			f.add(memberPath(path, field, name), name, member)
		}
	case []any:
		if field == "links" {
			f.addLinks(strings.TrimSuffix(path, field), v)
			return
		}
		for _, member := range v {
			f.elements[element{path, compact(member)}]++
		}
	default:
		f.values[path] = compact(v)
	}
}

// addLinks names each link by its regions, whose order has no meaning.
func (f *flatDocument) addLinks(path string, links []any) {
	for _, link := range links {
		fields, _ := link.(map[string]any)
		regions, _ := fields["regions"].([]any)
		var names []string
		for _, region := range regions {
			names = append(names, compact(region))
		}
		slices.Sort(names)
		delete(fields, "regions")
		f.add(path+"link "+strings.Join(names, " - "), "", fields)
	}
}

// memberPath returns the path of a member. Fields whose members have names of
// their own are left out, because the noun of the member replaces them.
func memberPath(path, field, name string) string {
	if part := segment(field, name); part != name {
		return strings.TrimSuffix(path, field) + part
	}
	return path + ": " + name
}

// segment names a member of an object after the field that holds the object.
func segment(field, name string) string {
	switch field {
	case "services":
		return "service " + name
	case "targets":
		return "place " + name
	case "regions":
		return "region " + name
	case "failureDomains":
		return "failure domain " + name
	case "clientBlocks":
		return "client block " + name
	default:
		return name
	}
}

func compact(value any) string {
	text, err := json.Marshal(value)
	if err != nil {
		panic("snipeconfig: decoded JSON cannot be written: " + err.Error())
	}
	return strings.Trim(string(text), `"`)
}
