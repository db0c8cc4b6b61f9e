package snipeforward

import (
	"fmt"
	"net/http"
	"net/netip"

	"github.com/labstack/echo/v4"
)

// lookupWire is the response of GET /v1/entries.
type lookupWire struct {
	Entries         []entryWire `json:"entries"`
	TTLSeconds      int         `json:"ttlSeconds"`
	Generation      uint64      `json:"generation"`
	RequestIDPrefix string      `json:"requestIdPrefix"`
}

type entryWire struct {
	Address string `json:"address"`
	Place   string `json:"place"`
}

// entries answers a look-up.
func (f *Forwarder) entries(c echo.Context) error {
	w, r := c.Response(), c.Request()
	f.commonHeaders(w, "")
	s := newHTTPSink(w, r.Method)
	block, refused := clientBlock(c.QueryParam("block"), r.RemoteAddr)
	if refused != nil {
		s.Refuse(*refused)
		return nil
	}
	answer, refusal := f.deps.Lookups.Entries(c.QueryParam("team"), c.QueryParam("service"), block)
	if refusal != nil {
		s.Refuse(refusal.end())
		return nil
	}
	w.Header().Set(headerOutcome, outcomeDone)
	body := lookupWire{
		Entries: make([]entryWire, len(answer.Entries)), TTLSeconds: int(answer.TimeToLive.Seconds()),
		Generation: answer.Generation, RequestIDPrefix: answer.Prefix,
	}
	for i, e := range answer.Entries {
		body.Entries[i] = entryWire(e)
	}
	if err := c.JSON(http.StatusOK, body); err != nil {
		return fmt.Errorf("answer look-up: %w", err)
	}
	return nil
}

// clientBlock parses the block of a look-up; without one the caller's own
// address counts.
func clientBlock(block, remote string) (netip.Prefix, *end) {
	if block == "" {
		client, err := netip.ParseAddrPort(remote)
		if err != nil {
			return netip.Prefix{}, badLookup(err)
		}
		return netip.PrefixFrom(client.Addr(), client.Addr().BitLen()), nil
	}
	p, err := netip.ParsePrefix(block)
	if err != nil {
		return netip.Prefix{}, badLookup(err)
	}
	return p.Masked(), nil
}

func badLookup(err error) *end {
	return &end{outcome: outcomeNotRun, reason: reasonBadLookup, detail: err.Error()}
}
