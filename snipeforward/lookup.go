package snipeforward

import (
	"fmt"
	"net/http"
	"net/netip"

	"github.com/labstack/echo/v4"
)

// lookupResponse is the JSON body of the response to GET /v1/entries.
type lookupResponse struct {
	Entries         []lookupEntry `json:"entries"`
	TTLSeconds      int           `json:"ttlSeconds"`
	Generation      uint64        `json:"generation"`
	RequestIDPrefix string        `json:"requestIdPrefix"`
}

// lookupEntry is an Entry with its JSON names.
type lookupEntry struct {
	Address string `json:"address"`
	Place   string `json:"place"`
}

// serveLookup serves GET /v1/entries.
func (f *Forwarder) serveLookup(c echo.Context) error {
	w, r := c.Response(), c.Request()
	f.setCommonHeaders(w, "")
	s := newHTTPSink(w, r.Method)
	block, refused := clientBlock(c.QueryParam("block"), r.RemoteAddr)
	if refused != nil {
		s.Refuse(*refused)
		return nil
	}
	answer, refusal := f.deps.Lookups.Entries(c.QueryParam("team"), c.QueryParam("service"), block)
	if refusal != nil {
		s.Refuse(refusal.errorReply())
		return nil
	}
	w.Header().Set(headerOutcome, outcomeDone)
	body := lookupResponse{
		Entries: make([]lookupEntry, len(answer.Entries)), TTLSeconds: int(answer.TimeToLive.Seconds()),
		Generation: answer.Generation, RequestIDPrefix: answer.Prefix,
	}
	for i, e := range answer.Entries {
		body.Entries[i] = lookupEntry(e)
	}
	if err := c.JSON(http.StatusOK, body); err != nil {
		return fmt.Errorf("write look-up response: %w", err)
	}
	return nil
}

// clientBlock parses the address block of a look-up. If it is empty, it returns
// the address of the caller.
func clientBlock(block, remote string) (netip.Prefix, *errorReply) {
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

func badLookup(err error) *errorReply {
	return &errorReply{outcome: outcomeNotRun, reason: reasonBadLookup, detail: err.Error()}
}
