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
// into points to, and returns its source with all faults found.
//
// A field takes its name from the json tag, else from the Go name with a lower
// case first letter. Unknown and repeated names, null, and values of another
// type are faults. Durations are written as Go duration strings; types with
// UnmarshalText, such as netip.AddrPort and time.Time, as strings. The check
// tag lists further rules, separated by commas:
//
//	required     the field must be present and, for text, lists and maps, not empty
//	min=V max=V  bounds of a number or a duration, both inclusive
//	name         the text is a name: lower-case letters, digits and hyphens
//	names        the keys of the map are names
//	oneof=A|B    the text is one of the alternatives
//
// Decode panics if into is not a pointer to a struct or a check tag is invalid.
func Decode(file string, data []byte, into any) *Source {
	s := newSource(file, data)
	s.decodeInto(into)
	return s
}

func (s *Source) decodeInto(into any) {
	if !s.valid {
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
			panic("snipeconfig: unknown check " + strconv.Quote(key))
		}
	}
	return r
}

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
		s.Faultf(path, "expected an object, found %s", kindName(v))
		return
	}
	fields := fieldsOf(out.Type())
	seen := make(map[string]bool, len(object.Members))
	for i := range object.Members {
		name, fresh := s.key(&object.Members[i], path, seen)
		if !fresh {
			continue
		}
		field, known := fields[name]
		if !known {
			s.Faultf(keyPath(join(path, name)), "unknown field %q%s", name, suggestion(name, fields))
			continue
		}
		s.decode(&object.Members[i].Value, out.Field(field.index), join(path, name), field.rules)
	}
	s.checkRequired(fields, out, seen, path)
}

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
			if value.Len() == 0 && !s.faulty[s.offset(join(path, name))] {
				s.Faultf(join(path, name), "%s is empty", name)
			}
		default:
		}
	}
}

// key records the position of a member's key and reports whether the key
// occurs for the first time in its object.
func (s *Source) key(m *hujson.ObjectMember, path string, seen map[string]bool) (name string, fresh bool) {
	literal, ok := m.Name.Value.(hujson.Literal)
	if !ok {
		s.addAt(m.Name.StartOffset, "a name must be a string")
		return "", false
	}
	name = literal.String()
	if seen[name] {
		s.addAt(m.Name.StartOffset, fmt.Sprintf("duplicate name %q", name))
		return name, false
	}
	seen[name] = true
	s.offsets[keyPath(join(path, name))] = m.Name.StartOffset
	return name, true
}

func (s *Source) decodeMap(v *hujson.Value, out reflect.Value, path string, r rules) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		s.Faultf(path, "expected an object, found %s", kindName(v))
		return
	}
	result := reflect.MakeMapWithSize(out.Type(), len(object.Members))
	seen := make(map[string]bool, len(object.Members))
	for i := range object.Members {
		name, fresh := s.key(&object.Members[i], path, seen)
		if !fresh {
			continue
		}
		if r.names && !ValidName(name) {
			s.Faultf(keyPath(join(path, name)), "%s", badName(name))
		}
		element := reflect.New(out.Type().Elem()).Elem()
		s.decode(&object.Members[i].Value, element, join(path, name), rules{})
		result.SetMapIndex(reflect.ValueOf(name), element)
	}
	out.Set(result)
}

func (s *Source) decodeSlice(v *hujson.Value, out reflect.Value, path string, r rules) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		s.Faultf(path, "expected a list, found %s", kindName(v))
		return
	}
	result := reflect.MakeSlice(out.Type(), len(array.Elements), len(array.Elements))
	elementRules := rules{name: r.name, oneOf: r.oneOf, min: r.min, max: r.max}
	for i := range array.Elements {
		s.decode(&array.Elements[i], result.Index(i), join(path, strconv.Itoa(i)), elementRules)
	}
	out.Set(result)
}

// text returns the string value of v and records a fault if v is no string.
func (s *Source) text(v *hujson.Value, path, want string) (string, bool) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		s.Faultf(path, "expected %s, found %s", want, kindName(v))
		return "", false
	}
	return literal.String(), true
}

func (s *Source) decodeString(v *hujson.Value, out reflect.Value, path string, r rules) {
	text, ok := s.text(v, path, "a string")
	if !ok {
		return
	}
	out.SetString(text)
	if r.name && text != "" && !ValidName(text) {
		s.Faultf(path, "%s", badName(text))
	}
	if len(r.oneOf) > 0 && text != "" && !slices.Contains(r.oneOf, text) {
		s.Faultf(path, "%q is not one of %s", text, strings.Join(r.oneOf, ", "))
	}
}

func (s *Source) decodeText(v *hujson.Value, out reflect.Value, path string) {
	text, ok := s.text(v, path, "a string")
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
	text, ok := s.text(v, path, `a duration such as "250ms"`)
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
		s.Faultf(path, "expected true or false, found %s", kindName(v))
		return
	}
	out.SetBool(literal.Bool())
}

func (s *Source) number(v *hujson.Value, path string) (string, bool) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '0' {
		s.Faultf(path, "expected a number, found %s", kindName(v))
		return "", false
	}
	return string(literal), true
}

func (s *Source) decodeInt(v *hujson.Value, out reflect.Value, path string, r rules) {
	text, ok := s.number(v, path)
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
	text, ok := s.number(v, path)
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

func mustDuration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		panic("snipeconfig: bad duration in check tag: " + err.Error())
	}
	return d
}

func mustFloat(text string) float64 {
	f, err := strconv.ParseFloat(text, 64)
	if err != nil {
		panic("snipeconfig: bad number in check tag: " + err.Error())
	}
	return f
}

// maxNameBytes is the length of the longest name. Names become parts of store
// keys and label values.
const maxNameBytes = 63

// ValidName reports whether text is a name: lower-case letters, digits and inner
// hyphens, at most 63 bytes.
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

func badName(name string) string {
	return fmt.Sprintf("%q is not a name of lower-case letters, digits and hyphens with at most %d bytes", name, maxNameBytes)
}
