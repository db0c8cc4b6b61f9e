package snipegate

import (
	"fmt"
	"math"

	"go.uber.org/zap/zapcore"

	"github.com/snipemoor/snipemoor/snipeplacement"
)

// minLoggedSlowness is the smallest difference from the usual slowness that is logged.
const minLoggedSlowness = 0.05

// loggedCandidates encodes the targets that were considered before a refusal for the
// log: ID, reason for skipping, load, slots, age of the load in milliseconds, the slowness
// if it is not usual, and if the target states a rate limit, the limit and the share of
// this front.
type loggedCandidates []snipeplacement.Candidate

// MarshalLogArray implements zapcore.ArrayMarshaler.
func (l loggedCandidates) MarshalLogArray(e zapcore.ArrayEncoder) error {
	for _, candidate := range l {
		text := fmt.Sprintf("%s:%s:load=%.1f/%d:age=%dms",
			candidate.Target.ID, candidate.SkipReason, candidate.Load, candidate.Target.Slots, candidate.LoadAge.Milliseconds())
		if slowness := candidate.Slowness; math.Abs(slowness-1) >= minLoggedSlowness {
			text += fmt.Sprintf(":slow=%.2f", slowness)
		}
		if limit := candidate.Limit; limit.PerSecond > 0 || candidate.SkipReason == snipeplacement.ReasonLimited {
			text += fmt.Sprintf(":limit=%.1f:share=%.2f", limit.PerSecond, limit.Share)
		}
		e.AppendString(text)
	}
	return nil
}
