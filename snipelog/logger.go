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

// New returns a logger that writes one line of key=value pairs for each
// event to w. It returns an error if level is not the name of a level.
func New(level string, w io.Writer) (*zap.Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level %q: %w", level, err)
	}
	core := zapcore.NewCore(newPairEncoder(), zapcore.Lock(zapcore.AddSync(w)), l)
	return zap.New(core), nil
}

// pairEncoder writes entries as key=value pairs. Fields of With come in the
// order of their keys, those of an event in the order in which they were given.
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
	pair(line, "time", entry.Time.UTC().Format(time.RFC3339Nano))
	pair(line, "level", entry.Level.String())
	pair(line, "event", entry.Message)
	for _, k := range slices.Sorted(maps.Keys(e.Fields)) {
		pair(line, k, fmt.Sprint(e.Fields[k]))
	}
	for _, f := range fields {
		m := zapcore.NewMapObjectEncoder()
		f.AddTo(m)
		for _, k := range slices.Sorted(maps.Keys(m.Fields)) {
			pair(line, k, fmt.Sprint(m.Fields[k]))
		}
	}
	line.AppendByte('\n')
	return line, nil
}

// pair appends one key=value pair, quoted where the value has spaces or quotes.
func pair(line *buffer.Buffer, key, value string) {
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
