// Package snipewire holds the protobuf messages that entry instances exchange.
//
// Hello opens a session between two instances. Control carries all messages of
// the session's control stream, and Frame those of a stream with one relayed
// request: the request, parts of the two bodies, the answer or a refusal. The
// bodies of Control belong to these protocols:
//
//   - Heartbeat reports liveness, readiness, the generation in force and load.
//     Steady is its short form, sent while nothing else has changed.
//   - ConfigAnnounce, ConfigRequest and ConfigReply pass on a generation of the
//     configuration.
//   - ItemsRequest and ItemsReply let a front follow the store through another
//     front; both also carry recently observed loads and rate limits of targets.
//     LimitNotice tells the limits to the fronts of other groups.
//   - VouchRequest and VouchReply renew the lease of a position by a quorum of
//     its region while the store is unavailable. ConsentRequest and ConsentReply
//     obtain the consent of a quorum to the takeover of a lapsed position.
//     PositionNotice announces the holder of a position.
//   - LoanRequest, LoanReply and LoanReturn move units of a rate limit between
//     instances for a limited time.
//   - SlotAcquire, SlotReply, SlotCancel, SlotRelease, SlotRenew and
//     SlotRenewReply request, grant, give up and renew slots of targets, which
//     limit the concurrency at each target, at the owner of a slot group.
//   - AttemptStatus and AttemptStatusReply query an attempt that was relayed to an
//     instance, and keep it from starting if it has not started yet.
//   - RecordStatus and RecordStatusReply query a request of class once at the
//     issuer of its identifier; revoke keeps the request from starting if it has
//     not started yet. RecordsHandover and RecordsHandoverReply copy the records
//     of an issuer that shuts down to its successor, and SuccessorNotice announces
//     that successor.
//
// Names that end in _millis and _micros count milliseconds and microseconds.
//
// The types are generated and committed, so that a build needs no generator. To
// generate them again after a change to frames.proto, run in this directory:
//
//	go tool -modfile=../tools/buf/go.mod buf generate
package snipewire
