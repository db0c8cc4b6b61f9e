package snipelog

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/buffer"
	"go.uber.org/zap/zapcore"
)

// New returns a logger that writes one line of key=value pairs to w for each event of
// at least the given level. It returns an error if level is not one of the names that
// zapcore.ParseLevel accepts, such as debug, info, warn and error.
func New(level string, w io.Writer) (*zap.Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level %q: %w", level, err)
	}
	core := zapcore.NewCore(newPairEncoder(), zapcore.Lock(zapcore.AddSync(w)), l)
	return zap.New(core), nil
}

// pairEncoder encodes log entries as lines of key=value pairs: time, level and event,
// the fields of With sorted by key, and the fields of the event in the order in which
// they were given.
type pairEncoder struct {
	*zapcore.MapObjectEncoder
	pool buffer.Pool
}

func newPairEncoder() *pairEncoder {
	return &pairEncoder{MapObjectEncoder: zapcore.NewMapObjectEncoder(), pool: buffer.NewPool()}
}

// Clone implements zapcore.Encoder.
func (e *pairEncoder) Clone() zapcore.Encoder {
	c := newPairEncoder()
	maps.Copy(c.Fields, e.Fields)
	return c
}

// EncodeEntry implements zapcore.Encoder.
func (e *pairEncoder) EncodeEntry(entry zapcore.Entry, fields []zapcore.Field) (*buffer.Buffer, error) {
	line := e.pool.Get()
	appendPair(line, "time", entry.Time.UTC().Format(time.RFC3339Nano))
	appendPair(line, "level", entry.Level.String())
	appendPair(line, "event", entry.Message)
	for _, k := range slices.Sorted(maps.Keys(e.Fields)) {
		appendPair(line, k, fmt.Sprint(e.Fields[k]))
	}
	for _, f := range fields {
		m := zapcore.NewMapObjectEncoder()
		f.AddTo(m)
		for _, k := range slices.Sorted(maps.Keys(m.Fields)) {
			appendPair(line, k, fmt.Sprint(m.Fields[k]))
		}
	}
	line.AppendByte('\n')
	return line, nil
}

// appendPair appends one key=value pair. It quotes an empty value and one that
// contains white space, a quote or an equals sign.
func appendPair(line *buffer.Buffer, key, value string) {
	if line.Len() > 0 {
		line.AppendByte(' ')
	}
	line.AppendString(key)
	line.AppendByte('=')
	if value == "" || strings.ContainsAny(value, " \t\r\n\"=") {
		value = fmt.Sprintf("%q", value)
	}
	line.AppendString(value)
}
