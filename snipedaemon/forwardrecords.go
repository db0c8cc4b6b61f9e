package snipedaemon

import (
	"context"

	"github.com/snipemoor/snipemoor/snipeonce"
	"github.com/snipemoor/snipemoor/snipepeer"
	"github.com/snipemoor/snipemoor/snipetime"
	"github.com/snipemoor/snipemoor/snipewire"
)

// recordAdapter implements snipeforward.Records.
type recordAdapter struct{ f *forwardAdapter }

// Issue implements snipeforward.Records.
func (a recordAdapter) Issue() snipeonce.RequestID {
	return a.f.d.records.minter.Issue(a.f.d.clock.Now())
}

// Begin implements snipeforward.Records.
func (a recordAdapter) Begin(id snipeonce.RequestID, deadline snipetime.Instant) (snipeonce.Decision, <-chan snipeonce.Result, func()) {
	return a.f.d.records.begin(id, deadline)
}

// Finish implements snipeforward.Records.
func (a recordAdapter) Finish(id snipeonce.RequestID, result snipeonce.Result) {
	a.f.d.records.finish(id, result)
}

// Revoke implements snipeforward.Records.
func (a recordAdapter) Revoke(id snipeonce.RequestID) snipeonce.Status {
	if id.Issuer != a.f.d.self.incarnation {
		return snipeonce.Status{}
	}
	return a.f.d.records.table.Revoke(id, a.f.d.clock.Now())
}

// Claim implements snipeforward.Records.
func (a recordAdapter) Claim(ctx context.Context, team, service, key string, id snipeonce.RequestID, deadline snipetime.Instant) (snipeonce.RequestID, bool, *snipeonce.Result) {
	return a.f.d.records.claimKey(ctx, team, service, key, id, deadline)
}

// Peer implements snipeforward.Records.
func (a recordAdapter) Peer(incarnation string) (string, bool) {
	return a.f.d.records.peerFor(incarnation)
}

// Admit implements snipeforward.Records.
func (a recordAdapter) Admit(id snipeonce.AttemptID, q *snipewire.RelayRequest, from snipepeer.Peer) snipeonce.Admission {
	if id.Sender != from.Incarnation {
		return snipeonce.WrongIncarnation
	}
	return a.f.d.records.relayedAttempts.Admit(id, q.GetIncarnation(), q.GetSessionEpoch(), a.f.d.clock.Now())
}

// FinishAttempt implements snipeforward.Records.
func (a recordAdapter) FinishAttempt(id snipeonce.AttemptID, result snipeonce.Result) {
	a.f.d.records.relayedAttempts.Finish(id, result, a.f.d.clock.Now())
}
