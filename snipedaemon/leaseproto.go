package snipedaemon

import (
	"time"

	"github.com/snipemoor/snipemoor/snipelease"
	"github.com/snipemoor/snipemoor/snipewire"
)

func positionStateToProto(region string, n snipelease.PositionNotice) *snipewire.PositionState {
	return &snipewire.PositionState{
		Region: region, Index: uint32(n.Index), Epoch: n.Epoch,
		HolderAddress: n.Address, HolderIncarnation: n.Incarnation,
	}
}

func vouchRequestToProto(region string, m snipelease.VouchRequest) *snipewire.VouchRequest {
	return &snipewire.VouchRequest{Region: region, Index: uint32(m.Index), Epoch: m.Epoch, RequestId: m.RequestID}
}

func vouchRequestFromProto(m *snipewire.VouchRequest) snipelease.VouchRequest {
	return snipelease.VouchRequest{Index: int(m.GetIndex()), Epoch: m.GetEpoch(), RequestID: m.GetRequestId()}
}

func vouchReplyToProto(region string, m snipelease.VouchReply) *snipewire.VouchReply {
	return &snipewire.VouchReply{
		Region: region, Index: uint32(m.Index), Epoch: m.Epoch, RequestId: m.RequestID,
		Granted: m.Granted, VoucherPositions: indexesToProto(m.Positions), NewestEpoch: m.NewestEpoch,
	}
}

func vouchReplyFromProto(m *snipewire.VouchReply) snipelease.VouchReply {
	return snipelease.VouchReply{
		Index: int(m.GetIndex()), Epoch: m.GetEpoch(), RequestID: m.GetRequestId(),
		Granted: m.GetGranted(), Positions: indexesFromProto(m.GetVoucherPositions()), NewestEpoch: m.GetNewestEpoch(),
	}
}

func consentRequestToProto(region string, m snipelease.ConsentRequest) *snipewire.ConsentRequest {
	return &snipewire.ConsentRequest{
		Region: region, Index: uint32(m.Index), OldEpoch: m.OldEpoch, NewEpoch: m.NewEpoch, RequestId: m.RequestID,
	}
}

func consentRequestFromProto(m *snipewire.ConsentRequest) snipelease.ConsentRequest {
	return snipelease.ConsentRequest{
		Index: int(m.GetIndex()), OldEpoch: m.GetOldEpoch(), NewEpoch: m.GetNewEpoch(), RequestID: m.GetRequestId(),
	}
}

func consentReplyToProto(region string, m snipelease.ConsentReply) *snipewire.ConsentReply {
	// Rounded up, because the claimant must not wait for less than Remaining.
	remaining := (m.Remaining + time.Millisecond - 1) / time.Millisecond
	return &snipewire.ConsentReply{
		Region: region, Index: uint32(m.Index), NewEpoch: m.NewEpoch, RequestId: m.RequestID,
		Granted: m.Granted, RemainingMillis: uint32(remaining), VoucherPositions: indexesToProto(m.Positions),
	}
}

func consentReplyFromProto(m *snipewire.ConsentReply) snipelease.ConsentReply {
	return snipelease.ConsentReply{
		Index: int(m.GetIndex()), NewEpoch: m.GetNewEpoch(), RequestID: m.GetRequestId(), Granted: m.GetGranted(),
		Remaining: time.Duration(m.GetRemainingMillis()) * time.Millisecond, Positions: indexesFromProto(m.GetVoucherPositions()),
	}
}

func indexesToProto(indexes []int) []uint32 {
	out := make([]uint32, len(indexes))
	for i, v := range indexes {
		out[i] = uint32(v)
	}
	return out
}

func indexesFromProto(indexes []uint32) []int {
	out := make([]int, len(indexes))
	for i, v := range indexes {
		out[i] = int(v)
	}
	return out
}
