package snipeconfig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"github.com/tailscale/hujson"
)

// Kind is the kind of a document, which decides its fields. Its text is the
// value of the field "kind".
type Kind string

// The kinds of documents.
const (
	KindTemplate Kind = "template"
	KindTeam     Kind = "team"
	KindFleet    Kind = "fleet"
	KindDrain    Kind = "drain"
)

// Ref identifies a document by kind and name. Two documents of one set never have
// the same Ref.
type Ref struct {
	Kind Kind
	Name string
}

// String returns the reference as kind/name, as it appears in store keys.
func (r Ref) String() string { return string(r.Kind) + "/" + r.Name }

// Document is one parsed document without faults of its own; Build finds the
// faults between documents. It is immutable and holds the fields of its kind.
type Document struct {
	ref       Ref
	canonical []byte
	digest    uint64
	source    *Source
	template  *templateWire
	team      *teamWire
	fleet     *fleetWire
	drain     *drainWire
}

// Ref returns the kind and the name of the document.
func (d *Document) Ref() Ref { return d.ref }

// Digest returns the 64-bit xxhash of the canonical form.
func (d *Document) Digest() uint64 { return d.digest }

// Canonical returns a copy of the document as JSON without comments, with
// sorted keys. Documents that differ only in comments, spacing or the order of
// keys have the same canonical form.
func (d *Document) Canonical() []byte { return bytes.Clone(d.canonical) }

// File returns the file name that was passed to ParseDocument.
func (d *Document) File() string { return d.source.file }

// ParseDocument parses one document of any kind. The error, if any, is a
// *FaultsError and lists every fault found. File is the name that faults state;
// no file is read.
func ParseDocument(file string, data []byte) (*Document, error) {
	src := newSource(file, data)
	if !src.parsed {
		return nil, src.Err()
	}
	kind, ok := src.peekKind()
	if !ok {
		return nil, src.Err()
	}
	doc := &Document{source: src}
	switch kind {
	case KindTemplate:
		doc.parseTemplate()
	case KindTeam:
		doc.parseTeam()
	case KindFleet:
		doc.parseFleet()
	case KindDrain:
		doc.parseDrain()
	}
	if err := src.Err(); err != nil {
		return nil, err
	}
	canonical, err := src.canonical()
	if err != nil {
		src.Faultf("", "%s", err)
		return nil, src.Err()
	}
	doc.canonical = canonical
	doc.digest = xxhash.Sum64(canonical)
	return doc, nil
}

// peekKind returns the kind, which it reads before the rest of the document,
// because the kind decides which fields are allowed. Without a valid kind it
// records a fault.
func (s *Source) peekKind() (Kind, bool) {
	object, ok := s.root.Value.(*hujson.Object)
	if !ok {
		s.addFault(s.root.StartOffset, "expected an object, found "+jsonTypeName(&s.root))
		return "", false
	}
	for i := range object.Members {
		m := &object.Members[i]
		if name, isLiteral := m.Name.Value.(hujson.Literal); !isLiteral || name.String() != "kind" {
			continue
		}
		return s.parseKind(&m.Value)
	}
	s.addFault(s.root.StartOffset, `field "kind" is missing`)
	return "", false
}

// parseKind returns the kind that v holds, or records a fault if it is none of the
// four kinds.
func (s *Source) parseKind(v *hujson.Value) (Kind, bool) {
	s.offsets["kind"] = v.StartOffset
	text, ok := s.stringValue(v, "kind", "a string")
	if !ok {
		return "", false
	}
	switch kind := Kind(text); kind {
	case KindTemplate, KindTeam, KindFleet, KindDrain:
		return kind, true
	default:
		s.Faultf("kind", "%q is not one of template, team, fleet, drain", text)
		return "", false
	}
}

// canonical returns the document as JSON without comments and with sorted keys.
func (s *Source) canonical() ([]byte, error) {
	minimal := s.root.Clone()
	minimal.Minimize()
	decoder := json.NewDecoder(bytes.NewReader(minimal.Pack()))
	decoder.UseNumber()
	var tree any
	if err := decoder.Decode(&tree); err != nil {
		return nil, fmt.Errorf("decode document without comments: %w", err)
	}
	canonical, err := json.Marshal(tree)
	if err != nil {
		return nil, fmt.Errorf("encode canonical form: %w", err)
	}
	return canonical, nil
}

func (d *Document) setRef(kind Kind, name string) { d.ref = Ref{Kind: kind, Name: name} }

func (d *Document) parseTemplate() {
	var w templateWire
	d.source.decodeInto(&w)
	d.setRef(KindTemplate, w.Name)
	d.template = &w
	if w.DefaultTimeout > w.MaxTimeout {
		d.source.Faultf("defaultTimeout", "defaultTimeout %s is above maxTimeout %s", w.DefaultTimeout, w.MaxTimeout)
	}
	if w.RequestBytes > w.MaxBodyBytes {
		d.source.Faultf("requestBytes", "requestBytes %d is above maxBodyBytes %d", w.RequestBytes, w.MaxBodyBytes)
	}
}

func (d *Document) parseTeam() {
	var w teamWire
	d.source.decodeInto(&w)
	d.setRef(KindTeam, w.Name)
	d.team = &w
	for _, block := range sortedKeys(w.ClientBlocks) {
		d.checkClientBlock(block)
	}
	for i, window := range w.DrainWindows {
		path := fmt.Sprintf("drainWindows/%d", i)
		if window.Target.IsValid() == (window.Place != "") {
			d.source.Faultf(path, "a drain window names either a target or a place")
		}
		if !window.Start.IsZero() && !window.End.IsZero() && !window.Start.Before(window.End) {
			d.source.Faultf(path+"/end", "end is not after start")
		}
	}
	for _, name := range sortedKeys(w.Services) {
		d.checkTargets(name, w.Services[name])
	}
}

// checkClientBlock records a fault unless block is an address block in CIDR form
// without address bits after its mask.
func (d *Document) checkClientBlock(block string) {
	path := keyPath("clientBlocks/" + block)
	prefix, err := netip.ParsePrefix(block)
	if err != nil {
		d.source.Faultf(path, "%q is not an address block such as 10.1.0.0/16", block)
		return
	}
	if prefix.Masked() != prefix {
		d.source.Faultf(path, "block %s has address bits after its mask, did you mean %s?", block, prefix.Masked())
	}
}

// checkTargets records the faults of the target addresses of one service. Build
// finds targets that belong to several services.
func (d *Document) checkTargets(name string, service serviceWire) {
	seen := map[netip.AddrPort]bool{}
	for _, place := range sortedKeys(service.Targets) {
		for i, address := range service.Targets[place] {
			path := fmt.Sprintf("services/%s/targets/%s/%d", name, place, i)
			if !address.IsValid() {
				continue
			}
			if address.Port() == 0 {
				d.source.Faultf(path, "target %s has port 0", address)
			}
			if seen[address] {
				d.source.Faultf(path, "duplicate target %s", address)
			}
			seen[address] = true
		}
	}
}

func (d *Document) parseFleet() {
	var w fleetWire
	d.source.decodeInto(&w)
	d.setRef(KindFleet, w.Name)
	d.fleet = &w
	regionOfDomain := map[string]string{}
	domainOfPlace := map[string]string{}
	for _, region := range sortedKeys(w.Regions) {
		for _, domain := range sortedKeys(w.Regions[region].FailureDomains) {
			path := "regions/" + region + "/failureDomains/" + domain
			if other, taken := regionOfDomain[domain]; taken {
				d.source.Faultf(keyPath(path), "failure domain %s is already in region %s", domain, other)
			}
			regionOfDomain[domain] = region
			for i, place := range w.Regions[region].FailureDomains[domain].Places {
				if other, taken := domainOfPlace[place]; taken && place != "" {
					d.source.Faultf(fmt.Sprintf("%s/places/%d", path, i), "place %s is already in failure domain %s", place, other)
				}
				domainOfPlace[place] = domain
			}
		}
	}
	d.checkLinks(&w)
}

// checkLinks records a fault unless there is exactly one link between each pair
// of regions.
func (d *Document) checkLinks(w *fleetWire) {
	seen := map[regionPair]bool{}
	for i, link := range w.Links {
		path := fmt.Sprintf("links/%d/regions", i)
		if len(link.Regions) != 2 {
			if len(link.Regions) > 0 {
				d.source.Faultf(path, "a link names two regions, found %d", len(link.Regions))
			}
			continue
		}
		for j, region := range link.Regions {
			if _, known := w.Regions[region]; !known {
				d.source.Faultf(fmt.Sprintf("%s/%d", path, j), "region %q does not exist", region)
			}
		}
		pair := newRegionPair(link.Regions[0], link.Regions[1])
		if pair.a == pair.b {
			d.source.Faultf(path, "a link joins two different regions")
		}
		if seen[pair] {
			d.source.Faultf(path, "duplicate link between %s and %s", pair.a, pair.b)
		}
		seen[pair] = true
	}
	regions := sortedKeys(w.Regions)
	for i, a := range regions {
		for _, b := range regions[i+1:] {
			if !seen[newRegionPair(a, b)] {
				d.source.Faultf("links", "no link between %s and %s", a, b)
			}
		}
	}
}

func (d *Document) parseDrain() {
	var w drainWire
	d.source.decodeInto(&w)
	d.setRef(KindDrain, w.Name)
	d.drain = &w
	named := 0
	for _, present := range []bool{w.Target.IsValid(), w.Instance.IsValid(), w.Place != ""} {
		if present {
			named++
		}
	}
	if named != 1 {
		d.source.Faultf("", "a drain names one of target, instance and place, found %d", named)
	}
}
