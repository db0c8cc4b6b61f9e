package snipedaemon

import (
	"fmt"

	"github.com/snipemoor/snipemoor/snipeonce"
	"github.com/snipemoor/snipemoor/snipewire"
)

func recordTo(id snipeonce.RequestID, result snipeonce.Result) *snipewire.Record {
	record := &snipewire.Record{RequestId: id.String(), Outcome: result.Outcome.String(), Reason: string(result.Reason)}
	if a := result.Answer; a != nil {
		record.Answer = &snipewire.Answer{Status: a.Status, Headers: headersTo(a.Headers), Body: a.Body}
	}
	return record
}

func resultFrom(record *snipewire.Record) snipeonce.Result {
	result := snipeonce.Result{Outcome: outcomeFrom(record.GetOutcome()), Reason: snipeonce.Reason(record.GetReason())}
	if a := record.GetAnswer(); a != nil {
		result.Answer = &snipeonce.Answer{Status: a.GetStatus(), Headers: headersFrom(a.GetHeaders()), Body: a.GetBody()}
	}
	return result
}

// outcomeFrom returns OutcomeUnknown for a text that it does not know.
func outcomeFrom(s string) snipeonce.Outcome {
	switch s {
	case snipeonce.OutcomeDone.String():
		return snipeonce.OutcomeDone
	case snipeonce.OutcomeNotRun.String():
		return snipeonce.OutcomeNotRun
	default:
		return snipeonce.OutcomeUnknown
	}
}

func headersTo(headers []snipeonce.Header) []*snipewire.Header {
	out := make([]*snipewire.Header, len(headers))
	for i, h := range headers {
		out[i] = &snipewire.Header{Name: h.Name, Values: h.Values}
	}
	return out
}

func headersFrom(headers []*snipewire.Header) []snipeonce.Header {
	out := make([]snipeonce.Header, len(headers))
	for i, h := range headers {
		out[i] = snipeonce.Header{Name: h.GetName(), Values: h.GetValues()}
	}
	return out
}

func handoverTo(h snipeonce.Handover) *snipewire.RecordsHandover {
	m := &snipewire.RecordsHandover{
		Incarnation: h.Incarnation, AsOfMillis: h.AsOfMillis, Export: h.Export, Chunk: h.Chunk, Chunks: h.Chunks,
		Sender: h.Sender,
	}
	for _, r := range h.Records {
		m.Records = append(m.Records, recordTo(r.ID, r.Result))
	}
	return m
}

func handoverFrom(m *snipewire.RecordsHandover) (snipeonce.Handover, error) {
	h := snipeonce.Handover{
		Incarnation: m.GetIncarnation(), AsOfMillis: m.GetAsOfMillis(), Export: m.GetExport(),
		Chunk: m.GetChunk(), Chunks: m.GetChunks(), Sender: m.GetSender(),
	}
	for _, r := range m.GetRecords() {
		id, err := snipeonce.ParseRequestID(r.GetRequestId())
		if err != nil {
			return h, fmt.Errorf("record %q: %w", r.GetRequestId(), err)
		}
		h.Records = append(h.Records, snipeonce.HandoverRecord{ID: id, Result: resultFrom(r)})
	}
	return h, nil
}
