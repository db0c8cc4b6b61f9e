package snipegate

import (
	"fmt"

	"go.uber.org/zap/zapcore"

	"github.com/snipemoor/snipemoor/snipeplacement"
)

// loggedCandidates encodes the targets that were considered before a refusal for the
// log: ID, reason for skipping, load, slots, age of the load in milliseconds, and if the
// target states a rate limit, the limit and the share of this front.
type loggedCandidates []snipeplacement.Candidate

// MarshalLogArray implements zapcore.ArrayMarshaler.
func (l loggedCandidates) MarshalLogArray(e zapcore.ArrayEncoder) error {
	for _, candidate := range l {
		text := fmt.Sprintf("%s:%s:load=%.1f/%d:age=%dms",
			candidate.Target.ID, candidate.SkipReason, candidate.Load, candidate.Target.Slots, candidate.LoadAge.Milliseconds())
		if limit := candidate.Limit; limit.PerSecond > 0 || candidate.SkipReason == snipeplacement.ReasonLimited {
			text += fmt.Sprintf(":limit=%.1f:share=%.2f", limit.PerSecond, limit.Share)
		}
		e.AppendString(text)
	}
	return nil
}
