package snipegate

import (
	"fmt"

	"go.uber.org/zap/zapcore"

	"github.com/snipemoor/snipemoor/snipeplacement"
)

// looks writes the targets that a refusal considered to the log.
type looks []snipeplacement.Look

// MarshalLogArray implements zapcore.ArrayMarshaler.
func (l looks) MarshalLogArray(e zapcore.ArrayEncoder) error {
	for _, look := range l {
		e.AppendString(fmt.Sprintf("%s:%s:load=%.1f/%d:age=%dms",
			look.Target.ID, look.Skipped, look.Load, look.Target.Slots, look.Age.Milliseconds()))
	}
	return nil
}
