package snipeconfig

import (
	"encoding"
	"fmt"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// Decode strictly decodes a JSON document with comments into the struct that
// into points to, and returns a Source that holds all faults found. File is the
// name that faults state; no file is read. Fields with faults may be left unset.
//
// The name of a field is that of its json tag, else the Go name with a lower-case
// first letter. Unknown and repeated names, null, and values of another type are
// faults. Durations are written as Go duration strings; types with UnmarshalText,
// such as netip.AddrPort and time.Time, as strings. The check tag lists further
// rules, separated by commas:
//
//	required     the field must be present and, for text, lists and maps, not empty
//	min=V max=V  bounds of a number or a duration, both inclusive
//	name         the text is a name: lower-case letters, digits and hyphens
//	names        the keys of the map are names
//	oneof=A|B    the text is one of the alternatives
//
// In a list, min, max, name and oneof apply to each element.
//
// Decode panics if into is not a pointer to a struct, a field has a type that it
// cannot decode, or a check tag is invalid.
func Decode(file string, data []byte, into any) *Source {
	s := newSource(file, data)
	s.decodeInto(into)
	return s
}

// decodeInto decodes the document into the struct that into points to, and does
// nothing if the document is too large or not valid JSON.
func (s *Source) decodeInto(into any) {
	if !s.parsed {
		return
	}
	s.decode(&s.root, reflect.ValueOf(into).Elem(), "", rules{})
}

// rules holds the parsed check tag of a field.
type rules struct {
	required bool
	name     bool
	names    bool
	min      string
	max      string
	oneOf    []string
}

// parseRules parses a check tag. It panics if the tag has an unknown rule.
func parseRules(tag string) rules {
	var r rules
	for part := range strings.SplitSeq(tag, ",") {
		key, value, _ := strings.Cut(part, "=")
		switch key {
		case "":
		case "required":
			r.required = true
		case "name":
			r.name = true
		case "names":
			r.names = true
		case "min":
			r.min = value
		case "max":
			r.max = value
		case "oneof":
			r.oneOf = strings.Split(value, "|")
		default:
			panic("snipeconfig: unknown rule in check tag: " + strconv.Quote(key))
		}
	}
	return r
}

// decode decodes a value into out according to the type of out, and records its
// offset and its faults under path.
func (s *Source) decode(v *hujson.Value, out reflect.Value, path string, r rules) {
	s.offsets[path] = v.StartOffset
	if out.Type() == reflect.TypeFor[time.Duration]() {
		s.decodeDuration(v, out, path, r)
		return
	}
	if _, ok := out.Addr().Interface().(encoding.TextUnmarshaler); ok {
		s.decodeText(v, out, path)
		return
	}
	switch out.Kind() {
	case reflect.Struct:
		s.decodeStruct(v, out, path)
	case reflect.Map:
		s.decodeMap(v, out, path, r)
	case reflect.Slice:
		s.decodeSlice(v, out, path, r)
	case reflect.Pointer:
		out.Set(reflect.New(out.Type().Elem()))
		s.decode(v, out.Elem(), path, r)
	case reflect.String:
		s.decodeString(v, out, path, r)
	case reflect.Bool:
		s.decodeBool(v, out, path)
	case reflect.Int, reflect.Int64:
		s.decodeInt(v, out, path, r)
	case reflect.Float64:
		s.decodeFloat(v, out, path, r)
	default:
		panic("snipeconfig: cannot decode into " + out.Type().String())
	}
}

func (s *Source) decodeStruct(v *hujson.Value, out reflect.Value, path string) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		s.Faultf(path, "expected an object, found %s", jsonTypeName(v))
		return
	}
	fields := fieldsOf(out.Type())
	seen := make(map[string]bool, len(object.Members))
	for i := range object.Members {
		name, first := s.memberName(&object.Members[i], path, seen)
		if !first {
			continue
		}
		field, known := fields[name]
		if !known {
			s.Faultf(keyPath(joinPath(path, name)), "unknown field %q%s", name, suggestion(name, fields))
			continue
		}
		s.decode(&object.Members[i].Value, out.Field(field.index), joinPath(path, name), field.rules)
	}
	s.checkRequired(fields, out, seen, path)
}

// checkRequired records a fault for each required field that is absent or empty.
// An empty field that has a fault already gets no second one.
func (s *Source) checkRequired(fields map[string]fieldInfo, out reflect.Value, seen map[string]bool, path string) {
	for name, field := range fields {
		if !field.rules.required {
			continue
		}
		if !seen[name] {
			s.Faultf(path, "field %q is missing", name)
			continue
		}
		value := out.Field(field.index)
		switch value.Kind() {
		case reflect.String, reflect.Slice, reflect.Map:
			if value.Len() == 0 && !s.faultyOffsets[s.offset(joinPath(path, name))] {
				s.Faultf(joinPath(path, name), "%s is empty", name)
			}
		default:
		}
	}
}

// memberName returns the key of a member of the object at path, records the
// offset of the key, and reports whether the key occurs for the first time in
// its object. Seen holds the keys so far. A repeated key is a fault.
func (s *Source) memberName(m *hujson.ObjectMember, path string, seen map[string]bool) (name string, first bool) {
	literal, ok := m.Name.Value.(hujson.Literal)
	if !ok {
		s.addFault(m.Name.StartOffset, "a name must be a string")
		return "", false
	}
	name = literal.String()
	if seen[name] {
		s.addFault(m.Name.StartOffset, fmt.Sprintf("duplicate name %q", name))
		return name, false
	}
	seen[name] = true
	s.offsets[keyPath(joinPath(path, name))] = m.Name.StartOffset
	return name, true
}

func (s *Source) decodeMap(v *hujson.Value, out reflect.Value, path string, r rules) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		s.Faultf(path, "expected an object, found %s", jsonTypeName(v))
		return
	}
	result := reflect.MakeMapWithSize(out.Type(), len(object.Members))
	seen := make(map[string]bool, len(object.Members))
	for i := range object.Members {
		name, first := s.memberName(&object.Members[i], path, seen)
		if !first {
			continue
		}
		if r.names && !ValidName(name) {
			s.Faultf(keyPath(joinPath(path, name)), "%s", invalidNameMessage(name))
		}
		element := reflect.New(out.Type().Elem()).Elem()
		s.decode(&object.Members[i].Value, element, joinPath(path, name), rules{})
		result.SetMapIndex(reflect.ValueOf(name), element)
	}
	out.Set(result)
}

func (s *Source) decodeSlice(v *hujson.Value, out reflect.Value, path string, r rules) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		s.Faultf(path, "expected a list, found %s", jsonTypeName(v))
		return
	}
	result := reflect.MakeSlice(out.Type(), len(array.Elements), len(array.Elements))
	elementRules := rules{name: r.name, oneOf: r.oneOf, min: r.min, max: r.max}
	for i := range array.Elements {
		s.decode(&array.Elements[i], result.Index(i), joinPath(path, strconv.Itoa(i)), elementRules)
	}
	out.Set(result)
}

// stringValue returns the string value of v, or records a fault if v is not a
// string. Want describes the expected value in the fault.
func (s *Source) stringValue(v *hujson.Value, path, want string) (string, bool) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		s.Faultf(path, "expected %s, found %s", want, jsonTypeName(v))
		return "", false
	}
	return literal.String(), true
}

func (s *Source) decodeString(v *hujson.Value, out reflect.Value, path string, r rules) {
	text, ok := s.stringValue(v, path, "a string")
	if !ok {
		return
	}
	out.SetString(text)
	if r.name && text != "" && !ValidName(text) {
		s.Faultf(path, "%s", invalidNameMessage(text))
	}
	if len(r.oneOf) > 0 && text != "" && !slices.Contains(r.oneOf, text) {
		s.Faultf(path, "%q is not one of %s", text, strings.Join(r.oneOf, ", "))
	}
}

// decodeText decodes a string with the UnmarshalText method of the type of out.
func (s *Source) decodeText(v *hujson.Value, out reflect.Value, path string) {
	text, ok := s.stringValue(v, path, "a string")
	if !ok {
		return
	}
	unmarshaler := out.Addr().Interface().(encoding.TextUnmarshaler)
	if err := unmarshaler.UnmarshalText([]byte(text)); err != nil {
		s.Faultf(path, "%q is not a valid %s", text, textTypeName(out.Type()))
		return
	}
	// Some types, such as netip.Prefix, accept empty text as their zero value.
	if text == "" {
		s.Faultf(path, "%s is empty", textTypeName(out.Type()))
	}
}

func (s *Source) decodeDuration(v *hujson.Value, out reflect.Value, path string, r rules) {
	text, ok := s.stringValue(v, path, `a duration such as "250ms"`)
	if !ok {
		return
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		s.Faultf(path, "%q is not a duration such as \"250ms\"", text)
		return
	}
	if d < 0 {
		s.Faultf(path, "duration %s is negative", text)
		return
	}
	if r.min != "" && d < mustDuration(r.min) {
		s.Faultf(path, "duration %s is below %s", text, r.min)
	}
	if r.max != "" && d > mustDuration(r.max) {
		s.Faultf(path, "duration %s is above %s", text, r.max)
	}
	out.SetInt(int64(d))
}

func (s *Source) decodeBool(v *hujson.Value, out reflect.Value, path string) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || (literal.Kind() != 't' && literal.Kind() != 'f') {
		s.Faultf(path, "expected true or false, found %s", jsonTypeName(v))
		return
	}
	out.SetBool(literal.Bool())
}

// numberText returns the number v as written, or records a fault if v is not a
// number.
func (s *Source) numberText(v *hujson.Value, path string) (string, bool) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '0' {
		s.Faultf(path, "expected a number, found %s", jsonTypeName(v))
		return "", false
	}
	return string(literal), true
}

func (s *Source) decodeInt(v *hujson.Value, out reflect.Value, path string, r rules) {
	text, ok := s.numberText(v, path)
	if !ok {
		return
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		s.Faultf(path, "%s is not a whole number of at most 64 bits", text)
		return
	}
	s.checkBounds(float64(n), text, path, r)
	out.SetInt(n)
}

func (s *Source) decodeFloat(v *hujson.Value, out reflect.Value, path string, r rules) {
	text, ok := s.numberText(v, path)
	if !ok {
		return
	}
	f, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsInf(f, 0) {
		s.Faultf(path, "%s is out of range", text)
		return
	}
	s.checkBounds(f, text, path, r)
	out.SetFloat(f)
}

func (s *Source) checkBounds(f float64, text, path string, r rules) {
	if r.min != "" && f < mustFloat(r.min) {
		s.Faultf(path, "%s is below the minimum %s", text, r.min)
	}
	if r.max != "" && f > mustFloat(r.max) {
		s.Faultf(path, "%s is above the maximum %s", text, r.max)
	}
}

// mustDuration parses a bound in a check tag. It panics if the bound is invalid.
func mustDuration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		panic("snipeconfig: invalid duration in check tag: " + err.Error())
	}
	return d
}

// mustFloat parses a bound in a check tag. It panics if the bound is invalid.
func mustFloat(text string) float64 {
	f, err := strconv.ParseFloat(text, 64)
	if err != nil {
		panic("snipeconfig: invalid number in check tag: " + err.Error())
	}
	return f
}

// maxNameBytes bounds a name, because names become parts of store keys and label
// values.
const maxNameBytes = 63

// ValidName reports whether a name consists of 1 to 63 lower-case ASCII letters,
// digits and hyphens, and neither begins nor ends with a hyphen.
func ValidName(name string) bool {
	if name == "" || len(name) > maxNameBytes {
		return false
	}
	for _, c := range []byte(name) {
		lower := c >= 'a' && c <= 'z'
		digit := c >= '0' && c <= '9'
		if !lower && !digit && c != '-' {
			return false
		}
	}
	return name[0] != '-' && name[len(name)-1] != '-'
}

// invalidNameMessage returns the message of a fault for a name that ValidName
// rejects.
func invalidNameMessage(name string) string {
	return fmt.Sprintf("%q is not a name of lower-case letters, digits and hyphens with at most %d bytes", name, maxNameBytes)
}
