package snipegate

import (
	"fmt"

	"go.uber.org/zap/zapcore"

	"github.com/snipemoor/snipemoor/snipeplacement"
)

// loggedCandidates encodes the targets that were considered before a refusal for the
// log: ID, reason for skipping, load, slots, and age of the load in milliseconds.
type loggedCandidates []snipeplacement.Candidate

// MarshalLogArray implements zapcore.ArrayMarshaler.
func (l loggedCandidates) MarshalLogArray(e zapcore.ArrayEncoder) error {
	for _, candidate := range l {
		e.AppendString(fmt.Sprintf("%s:%s:load=%.1f/%d:age=%dms",
			candidate.Target.ID, candidate.SkipReason, candidate.Load, candidate.Target.Slots, candidate.LoadAge.Milliseconds()))
	}
	return nil
}
