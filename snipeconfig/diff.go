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

// DiffDocuments returns the differences between two sets of documents as sorted
// lines in the form of Diff.
func DiffDocuments(from, to []*Document) []string {
	before := indexByRef(from)
	after := indexByRef(to)
	var lines []string
	for ref, d := range before {
		if _, kept := after[ref]; !kept {
			lines = append(lines, documentLabel(d)+": removed")
		}
	}
	for ref, d := range after {
		old, existed := before[ref]
		switch {
		case !existed:
			lines = append(lines, documentLabel(d)+": added")
		case old.digest != d.digest:
			lines = append(lines, diffDocument(old, d)...)
		}
	}
	slices.Sort(lines)
	return lines
}

// indexByRef returns the documents by reference.
func indexByRef(documents []*Document) map[Ref]*Document {
	m := make(map[Ref]*Document, len(documents))
	for _, d := range documents {
		m[d.ref] = d
	}
	return m
}

// documentLabel returns kind and name of a document as they begin a line of Diff.
func documentLabel(d *Document) string { return string(d.ref.Kind) + " " + d.ref.Name }

// diffDocument returns the unsorted lines for two versions of one document.
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

// diffElements returns a line for each occurrence of an element in a that has no
// counterpart in b.
func diffElements(a, b map[listElement]int, verb string) []string {
	var lines []string
	for e, count := range a {
		for range count - b[e] {
			lines = append(lines, fmt.Sprintf("%s: %s %s", e.path, verb, e.value))
		}
	}
	return lines
}

// listElement is one element of a list, named by the path of the list. Lists are
// compared without regard to order.
type listElement struct{ path, value string }

// flatDocument is a document as a set of lines: values by path, and the number of
// occurrences of each list element.
type flatDocument struct {
	values   map[string]string
	elements map[listElement]int
}

// flatten converts a document. It panics if the canonical form is not JSON.
func flatten(d *Document) flatDocument {
	flat := flatDocument{values: map[string]string{}, elements: map[listElement]int{}}
	decoder := json.NewDecoder(bytes.NewReader(d.canonical))
	decoder.UseNumber()
	var tree any
	if err := decoder.Decode(&tree); err != nil {
		// The canonical form was written by this package.
		panic("snipeconfig: canonical document is not JSON: " + err.Error())
	}
	flat.add(documentLabel(d), "", tree)
	return flat
}

// add adds the value at a path. Field is the name of the field that holds it, or
// empty text at the top and in a link.
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
			f.elements[listElement{path, compactJSON(member)}]++
		}
	default:
		f.values[path] = compactJSON(v)
	}
}

// addLinks adds links under the names of their regions, because the order of links
// and of the two regions has no meaning.
func (f *flatDocument) addLinks(path string, links []any) {
	for _, link := range links {
		fields, _ := link.(map[string]any)
		regions, _ := fields["regions"].([]any)
		var names []string
		for _, region := range regions {
			names = append(names, compactJSON(region))
		}
		slices.Sort(names)
		delete(fields, "regions")
		f.add(path+"link "+strings.Join(names, " - "), "", fields)
	}
}

// memberPath returns the path of a member. It leaves out a field whose members
// are labelled by kind: "service orders" instead of "services: orders".
func memberPath(path, field, name string) string {
	if part := memberLabel(field, name); part != name {
		return strings.TrimSuffix(path, field) + part
	}
	return path + ": " + name
}

// memberLabel returns the last part of the path of a member: its kind and name if
// the field that holds it is a collection of named members, else the name.
func memberLabel(field, name string) string {
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

// compactJSON returns a value as JSON without the quotes of a string. It panics if
// the value is no decoded JSON.
func compactJSON(value any) string {
	text, err := json.Marshal(value)
	if err != nil {
		panic("snipeconfig: decoded JSON cannot be written: " + err.Error())
	}
	return strings.Trim(string(text), `"`)
}
