package snipedaemon

import (
	"fmt"

	"github.com/snipemoor/snipemoor/snipeonce"
	"github.com/snipemoor/snipemoor/snipewire"
)

func recordToProto(id snipeonce.RequestID, result snipeonce.Result) *snipewire.Record {
	record := &snipewire.Record{RequestId: id.String(), Outcome: result.Outcome.String(), Reason: string(result.Reason)}
	if a := result.Response; a != nil {
		record.Answer = &snipewire.Answer{Status: a.Status, Headers: headersToProto(a.Headers), Body: a.Body}
	}
	return record
}

func resultFromProto(record *snipewire.Record) snipeonce.Result {
	result := snipeonce.Result{Outcome: parseOutcome(record.GetOutcome()), Reason: snipeonce.Reason(record.GetReason())}
	if a := record.GetAnswer(); a != nil {
		result.Response = &snipeonce.Response{Status: a.GetStatus(), Headers: headersFromProto(a.GetHeaders()), Body: a.GetBody()}
	}
	return result
}

// parseOutcome returns OutcomeUnknown for a text that names no outcome.
func parseOutcome(s string) snipeonce.Outcome {
	switch s {
	case snipeonce.OutcomeDone.String():
		return snipeonce.OutcomeDone
	case snipeonce.OutcomeNotRun.String():
		return snipeonce.OutcomeNotRun
	default:
		return snipeonce.OutcomeUnknown
	}
}

func headersToProto(headers []snipeonce.Header) []*snipewire.Header {
	out := make([]*snipewire.Header, len(headers))
	for i, h := range headers {
		out[i] = &snipewire.Header{Name: h.Name, Values: h.Values}
	}
	return out
}

func headersFromProto(headers []*snipewire.Header) []snipeonce.Header {
	out := make([]snipeonce.Header, len(headers))
	for i, h := range headers {
		out[i] = snipeonce.Header{Name: h.GetName(), Values: h.GetValues()}
	}
	return out
}

func handoverToProto(h snipeonce.Handover) *snipewire.RecordsHandover {
	m := &snipewire.RecordsHandover{
		Incarnation: h.Incarnation, AsOfMillis: h.AsOfMillis, Export: h.Export, Chunk: h.Chunk, Chunks: h.Chunks,
		Sender: h.Sender,
	}
	for _, r := range h.Records {
		m.Records = append(m.Records, recordToProto(r.ID, r.Result))
	}
	return m
}

func handoverFromProto(m *snipewire.RecordsHandover) (snipeonce.Handover, error) {
	h := snipeonce.Handover{
		Incarnation: m.GetIncarnation(), AsOfMillis: m.GetAsOfMillis(), Export: m.GetExport(),
		Chunk: m.GetChunk(), Chunks: m.GetChunks(), Sender: m.GetSender(),
	}
	for _, r := range m.GetRecords() {
		id, err := snipeonce.ParseRequestID(r.GetRequestId())
		if err != nil {
			return h, fmt.Errorf("record %q: %w", r.GetRequestId(), err)
		}
		h.Records = append(h.Records, snipeonce.HandoverRecord{ID: id, Result: resultFromProto(r)})
	}
	return h, nil
}
