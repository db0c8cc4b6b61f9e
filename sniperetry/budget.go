package sniperetry

import (
	"github.com/snipemoor/snipemoor/snipetime"
)

// Defaults of BudgetSettings, in its units.
const (
	DefaultRatio            = 0.1
	DefaultMinimumPerSecond = 0.2
	DefaultBudgetCap        = 20.0
)

// BudgetSettings are the parameters of a Budget. Zero fields select the defaults;
// negative ones are invalid.
type BudgetSettings struct {
	// Ratio is the number of tokens that each first attempt adds.
	Ratio float64
	// MinimumPerSecond is the number of tokens added per second in addition, so that
	// a service with little traffic can still retry. Each instance adds them to its
	// own budget.
	MinimumPerSecond float64
	// Cap is the largest number of tokens that the budget holds. It bounds the burst
	// of retries after a period without retries.
	Cap float64
	// Initial is the number of tokens at the start, at most Cap; default 0.
	Initial float64
}

func (s BudgetSettings) withDefaults() BudgetSettings {
	if s.Ratio == 0 {
		s.Ratio = DefaultRatio
	}
	if s.MinimumPerSecond == 0 {
		s.MinimumPerSecond = DefaultMinimumPerSecond
	}
	if s.Cap == 0 {
		s.Cap = DefaultBudgetCap
	}
	return s
}

// validated returns the settings with defaults. It panics if one is negative.
func (s BudgetSettings) validated() BudgetSettings {
	s = s.withDefaults()
	if s.Ratio < 0 || s.MinimumPerSecond < 0 || s.Cap < 0 || s.Initial < 0 {
		panic("sniperetry: negative budget setting")
	}
	return s
}

// Budget is the token bucket of the retries and hedges of one service. Each retry
// or hedge takes one token. The package golang.org/x/time/rate does not fit, because
// first attempts add tokens too, and not only the passing of time.
type Budget struct {
	settings BudgetSettings
	tokens   float64
	refilled snipetime.Instant // time of the last refill
}

// NewBudget returns a budget that holds its initial tokens. It panics if a setting is
// negative.
func NewBudget(settings BudgetSettings, now snipetime.Instant) *Budget {
	s := settings.validated()
	return &Budget{settings: s, tokens: min(s.Initial, s.Cap), refilled: now}
}

// Configure replaces the settings. Tokens beyond the new Cap are lost. It panics if a
// setting is negative.
func (b *Budget) Configure(settings BudgetSettings, now snipetime.Instant) {
	b.refill(now)
	b.settings = settings.validated()
	b.tokens = min(b.tokens, b.settings.Cap)
}

// FirstAttempt adds Ratio tokens for a first attempt.
func (b *Budget) FirstAttempt(now snipetime.Instant) {
	b.refill(now)
	b.add(b.settings.Ratio)
}

// Spend takes one token for a retry or hedge and reports whether there was one.
func (b *Budget) Spend(now snipetime.Instant) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Refund puts back the token of a retry or hedge that was not sent.
func (b *Budget) Refund() { b.add(1) }

// Tokens returns the number of tokens, without those due since the last refill.
func (b *Budget) Tokens() float64 { return b.tokens }

// refill adds the tokens for the time since the last refill.
func (b *Budget) refill(now snipetime.Instant) {
	if !now.After(b.refilled) {
		return
	}
	b.add(b.settings.MinimumPerSecond * now.Sub(b.refilled).Seconds())
	b.refilled = now
}

// add adds tokens up to Cap.
func (b *Budget) add(tokens float64) {
	b.tokens = min(b.tokens+tokens, b.settings.Cap)
}
