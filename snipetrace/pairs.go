package snipetrace

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// pairs are the key=value pairs of a line, by key.
type pairs map[string]string

// Errors of lines that are not in the form of package snipelog.
var (
	errNoPair  = errors.New("text without a key and an equals sign")
	errNoField = errors.New("field is missing")
)

// parsePairs parses a line as package snipelog writes it. Words before the first pair, such
// as the name of a front, are ignored. If a key occurs twice, the last value counts.
func parsePairs(line string) (pairs, error) {
	p := make(pairs)
	for rest := strings.TrimLeft(line, " "); rest != ""; rest = strings.TrimLeft(rest, " ") {
		word, _, _ := strings.Cut(rest, " ")
		key, _, found := strings.Cut(word, "=")
		if !found {
			if len(p) > 0 {
				return nil, fmt.Errorf("%q: %w", word, errNoPair)
			}
			rest = rest[len(word):]
			continue
		}
		value, after, err := cutValue(rest[len(key)+1:])
		if err != nil {
			return nil, fmt.Errorf("value of %s: %w", key, err)
		}
		p[key], rest = value, after
	}
	return p, nil
}

// cutValue cuts a value, quoted or not, from the start of a text.
func cutValue(text string) (value, rest string, err error) {
	if !strings.HasPrefix(text, `"`) {
		value, _, _ = strings.Cut(text, " ")
		return value, text[len(value):], nil
	}
	quoted, err := strconv.QuotedPrefix(text)
	if err != nil {
		return "", "", fmt.Errorf("find end of quoted text: %w", err)
	}
	if value, err = strconv.Unquote(quoted); err != nil {
		return "", "", fmt.Errorf("unquote: %w", err)
	}
	return value, text[len(quoted):], nil
}

// time returns the time in a field.
func (p pairs) time(key string) (time.Time, error) {
	t, err := time.Parse(time.RFC3339Nano, p[key])
	if err != nil {
		return time.Time{}, fmt.Errorf("field %s: %w", key, err)
	}
	return t, nil
}

// duration returns the duration in a field, or zero and false if the field is missing.
func (p pairs) duration(key string) (time.Duration, bool, error) {
	text, found := p[key]
	if !found {
		return 0, false, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0, false, fmt.Errorf("field %s: %w", key, err)
	}
	return d, true, nil
}

// integer returns the number in a field, or zero and false if the field is missing.
func (p pairs) integer(key string) (int, bool, error) {
	text, found := p[key]
	if !found {
		return 0, false, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0, false, fmt.Errorf("field %s: %w", key, err)
	}
	return n, true, nil
}
