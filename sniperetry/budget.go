package sniperetry

import (
	"github.com/snipemoor/snipemoor/snipetime"
)

// Defaults of BudgetSettings.
const (
	DefaultRatio            = 0.1
	DefaultMinimumPerSecond = 0.2
	DefaultBudgetCap        = 20.0
)

// BudgetSettings are the parameters of a Budget. Zero fields mean defaults.
type BudgetSettings struct {
	// Ratio is the number of tokens that one first attempt adds.
	Ratio float64
	// MinimumPerSecond is the number of tokens added per second, so that a
	// service with little traffic can still retry. Each instance adds its own.
	MinimumPerSecond float64
	// Cap is the largest number of tokens kept. It bounds the burst of retries
	// after a quiet period.
	Cap float64
	// Initial is the number of tokens at the start.
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

// Budget is the token budget of the retries and hedges of one service. The
// package golang.org/x/time/rate does not fit, because tokens arrive with
// first attempts and not only with time.
type Budget struct {
	settings BudgetSettings
	tokens   float64
	last     snipetime.Instant
}

// NewBudget returns a budget with its initial tokens. It panics if a setting is negative.
func NewBudget(settings BudgetSettings, now snipetime.Instant) *Budget {
	s := settings.withDefaults()
	if s.Ratio < 0 || s.MinimumPerSecond < 0 || s.Cap < 0 || s.Initial < 0 {
		panic("sniperetry: negative budget setting")
	}
	return &Budget{settings: s, tokens: min(s.Initial, s.Cap), last: now}
}

// FirstAttempt adds the share of one first attempt.
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

// Refund returns the token of a retry or hedge that was not sent.
func (b *Budget) Refund() { b.add(1) }

// Tokens returns the number of tokens left.
func (b *Budget) Tokens() float64 { return b.tokens }

func (b *Budget) refill(now snipetime.Instant) {
	if !now.After(b.last) {
		return
	}
	b.add(b.settings.MinimumPerSecond * now.Sub(b.last).Seconds())
	b.last = now
}

func (b *Budget) add(tokens float64) {
	b.tokens = min(b.tokens+tokens, b.settings.Cap)
}
