package snipedaemon

import (
	"time"

	"github.com/snipemoor/snipemoor/snipelease"
	"github.com/snipemoor/snipemoor/snipewire"
)

func positionState(region string, n snipelease.PositionNotice) *snipewire.PositionState {
	return &snipewire.PositionState{
		Region: region, Index: uint32(n.Index), Epoch: n.Epoch,
		HolderAddress: n.Address, HolderIncarnation: n.Incarnation,
	}
}

func vouchRequestTo(region string, m snipelease.VouchRequest) *snipewire.VouchRequest {
	return &snipewire.VouchRequest{Region: region, Index: uint32(m.Index), Epoch: m.Epoch, RequestId: m.RequestID}
}

func vouchRequestFrom(m *snipewire.VouchRequest) snipelease.VouchRequest {
	return snipelease.VouchRequest{Index: int(m.GetIndex()), Epoch: m.GetEpoch(), RequestID: m.GetRequestId()}
}

func vouchReplyTo(region string, m snipelease.VouchReply) *snipewire.VouchReply {
	return &snipewire.VouchReply{
		Region: region, Index: uint32(m.Index), Epoch: m.Epoch, RequestId: m.RequestID,
		Granted: m.Granted, VoucherPositions: indexesTo(m.Positions), NewestEpoch: m.NewestEpoch,
	}
}

func vouchReplyFrom(m *snipewire.VouchReply) snipelease.VouchReply {
	return snipelease.VouchReply{
		Index: int(m.GetIndex()), Epoch: m.GetEpoch(), RequestID: m.GetRequestId(),
		Granted: m.GetGranted(), Positions: indexesFrom(m.GetVoucherPositions()), NewestEpoch: m.GetNewestEpoch(),
	}
}

func consentRequestTo(region string, m snipelease.ConsentRequest) *snipewire.ConsentRequest {
	return &snipewire.ConsentRequest{
		Region: region, Index: uint32(m.Index), OldEpoch: m.OldEpoch, NewEpoch: m.NewEpoch, RequestId: m.RequestID,
	}
}

func consentRequestFrom(m *snipewire.ConsentRequest) snipelease.ConsentRequest {
	return snipelease.ConsentRequest{
		Index: int(m.GetIndex()), OldEpoch: m.GetOldEpoch(), NewEpoch: m.GetNewEpoch(), RequestID: m.GetRequestId(),
	}
}

func consentReplyTo(region string, m snipelease.ConsentReply) *snipewire.ConsentReply {
	// Rounded up, because the claimant must not wait for less.
	remaining := (m.Remaining + time.Millisecond - 1) / time.Millisecond
	return &snipewire.ConsentReply{
		Region: region, Index: uint32(m.Index), NewEpoch: m.NewEpoch, RequestId: m.RequestID,
		Granted: m.Granted, RemainingMillis: uint32(remaining), VoucherPositions: indexesTo(m.Positions),
	}
}

func consentReplyFrom(m *snipewire.ConsentReply) snipelease.ConsentReply {
	return snipelease.ConsentReply{
		Index: int(m.GetIndex()), NewEpoch: m.GetNewEpoch(), RequestID: m.GetRequestId(), Granted: m.GetGranted(),
		Remaining: time.Duration(m.GetRemainingMillis()) * time.Millisecond, Positions: indexesFrom(m.GetVoucherPositions()),
	}
}

func indexesTo(indexes []int) []uint32 {
	out := make([]uint32, len(indexes))
	for i, v := range indexes {
		out[i] = uint32(v)
	}
	return out
}

func indexesFrom(indexes []uint32) []int {
	out := make([]int, len(indexes))
	for i, v := range indexes {
		out[i] = int(v)
	}
	return out
}
