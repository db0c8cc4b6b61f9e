package snipefeed

import (
	"time"

	"github.com/snipemoor/snipemoor/snipetime"
)

// Confirmation states at which instant of this front's clock the store call began whose
// response last showed that there was nothing newer than some items. All changes that
// the store acknowledged before that instant are among the items. The zero value states
// nothing.
type Confirmation struct {
	at    snipetime.Instant
	known bool
}

// ConfirmedAt returns the confirmation by a store call that began at an instant, which
// must have been read before the call.
func ConfirmedAt(began snipetime.Instant) Confirmation { return Confirmation{at: began, known: true} }

// ConfirmedByPeer returns the confirmation that another front stated in its reply to a
// request that this front sent at sent. millis is the begin of the store call relative
// to the receipt of the request, as Confirmation.SinceReceipt returns it there. The
// request was received after it was sent, so the result is not later than the begin of
// the call. It is not later than now either, which is when the reply arrived.
func ConfirmedByPeer(sent, now snipetime.Instant, millis int64) Confirmation {
	return ConfirmedAt(min(sent.Add(time.Duration(millis)*time.Millisecond), now))
}

// At returns the instant, and false if the confirmation states none.
func (c Confirmation) At() (at snipetime.Instant, known bool) { return c.at, c.known }

// SinceReceipt returns the begin of the store call relative to the receipt of a request
// by this front, in milliseconds rounded down; it is negative for a call that began
// before. It returns false if the confirmation states no instant.
func (c Confirmation) SinceReceipt(received snipetime.Instant) (millis int64, known bool) {
	if !c.known {
		return 0, false
	}
	d := c.at.Sub(received)
	millis = d.Milliseconds()
	if time.Duration(millis)*time.Millisecond > d {
		millis--
	}
	return millis, true
}

// laterOf returns the later of two confirmations.
func laterOf(a, b Confirmation) Confirmation {
	if !a.known || b.known && b.at.After(a.at) {
		return b
	}
	return a
}
