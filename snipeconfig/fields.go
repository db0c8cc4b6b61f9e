package snipeconfig

import (
	"net/netip"
	"reflect"
	"slices"
	"strings"
	"time"
	"unicode"

	"github.com/tailscale/hujson"
)

// fieldInfo describes how one struct field is decoded.
type fieldInfo struct {
	index int
	rules rules
}

// fieldsOf returns the exported fields of a struct by their names in documents.
func fieldsOf(t reflect.Type) map[string]fieldInfo {
	fields := make(map[string]fieldInfo, t.NumField())
	for i := range t.NumField() {
		field := t.Field(i)
		if !field.IsExported() {
			continue
		}
		fields[fieldName(field)] = fieldInfo{index: i, rules: parseRules(field.Tag.Get("check"))}
	}
	return fields
}

// fieldName returns the name of a field in documents: that of its json tag, else
// the Go name with a lower-case first letter.
func fieldName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	if name != "" {
		return name
	}
	runes := []rune(field.Name)
	runes[0] = unicode.ToLower(runes[0])
	return string(runes)
}

// suggestion returns the end of a message that proposes the field whose name
// differs from name in case only, or empty text if there is none.
func suggestion(name string, fields map[string]fieldInfo) string {
	for known := range fields {
		if strings.EqualFold(known, name) {
			return ", did you mean \"" + known + "\"?"
		}
	}
	return ""
}

// jsonTypeName returns the JSON type of a value, with an article, for messages.
func jsonTypeName(v *hujson.Value) string {
	switch v.Value.Kind() {
	case '{':
		return "an object"
	case '[':
		return "a list"
	case '"':
		return "a string"
	case '0':
		return "a number"
	case 'n':
		return "null"
	default:
		return "a boolean"
	}
}

// textTypeName returns the name for messages of a type that is decoded from a
// string.
func textTypeName(t reflect.Type) string {
	switch t {
	case reflect.TypeFor[netip.AddrPort]():
		return "address and port"
	case reflect.TypeFor[netip.Prefix]():
		return "address block"
	case reflect.TypeFor[netip.Addr]():
		return "address"
	case reflect.TypeFor[time.Time]():
		return "RFC 3339 time"
	default:
		return t.String()
	}
}

// joinPath appends a name to the path of a value, in the form that Source.Faultf
// accepts.
func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "/" + name
}

// sortedKeys returns the keys of m in ascending order.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
