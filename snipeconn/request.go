package snipeconn

import (
	"bytes"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Request is one request to a target.
type Request struct {
	// Address is the address of the target, host:port.
	Address string
	// Method, URI and Host are sent as they are; URI is the escaped path with
	// the query.
	Method, URI, Host string
	// Header holds the header fields to send. Hop-by-hop fields, Content-Length
	// and Expect are left out.
	Header http.Header
	// Overrides are header fields that replace those of the same name in
	// Header. The names are in canonical form.
	Overrides []Field
	// Omitted are the names, in canonical form, of fields of Header that are left out, also
	// if they are written with underscores. Overrides may contain them.
	Omitted []string
	// Body is the whole body. HasBody distinguishes an empty body from none.
	Body    []byte
	HasBody bool
	// IDHeader names the header field in which a response echoes the identifier
	// of its request, and ID is that identifier. No connection carries an identifier
	// twice, whichever target it names. A request without one is sent over a connection
	// of its own.
	IDHeader, ID string
	// OpenedSince excludes the kept connections that were opened before, which may lead to
	// an earlier process at the address. The zero time excludes none.
	OpenedSince time.Time
	// Deadline bounds the whole exchange, including the body of the response.
	Deadline time.Time
	// Confirm is called after a connection was opened for the request and before anything
	// is written to it. If it returns an error, the request is not sent. It may be nil.
	Confirm func() error
}

// confirm calls Confirm, if there is one.
func (r *Request) confirm() error {
	if r.Confirm == nil {
		return nil
	}
	return r.Confirm()
}

// Field is one header field. The value is sent without escaping.
type Field struct{ Name, Value string }

// head returns the request line and the header fields.
func (r *Request) head() *bytes.Buffer {
	b := bytes.NewBuffer(make([]byte, 0, 512+min(len(r.Body), concurrentWriteBytes)))
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.URI)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	options := r.Header["Connection"]
	for name, values := range r.Header {
		if IsHopByHop(name) || name == "Content-Length" || name == "Expect" || r.replaces(name) || connectionOption(options, name) {
			continue
		}
		for _, v := range values {
			writeField(b, name, v)
		}
	}
	for _, f := range r.Overrides {
		writeField(b, f.Name, f.Value)
	}
	if r.HasBody {
		writeField(b, "Content-Length", strconv.Itoa(len(r.Body)))
	}
	b.WriteString("\r\n")
	return b
}

// connectionOption reports whether the values of a Connection header list the
// field name, which makes it a hop-by-hop field.
func connectionOption(connection []string, name string) bool {
	for _, line := range connection {
		for token := range strings.SplitSeq(line, ",") {
			if strings.EqualFold(strings.TrimSpace(token), name) {
				return true
			}
		}
	}
	return false
}

// replaces reports whether Omitted or Overrides has a field of the given name.
func (r *Request) replaces(name string) bool {
	if r.omits(name) {
		return true
	}
	for _, f := range r.Overrides {
		if f.Name == name {
			return true
		}
	}
	return false
}

// omits reports whether Omitted has a field of the given name. Targets that pass fields on as
// variables (RFC 3875, section 4.1.18) do not distinguish underscores from hyphens.
func (r *Request) omits(name string) bool {
	return slices.ContainsFunc(r.Omitted, func(omitted string) bool {
		return len(name) == len(omitted) && strings.EqualFold(strings.ReplaceAll(name, "_", "-"), omitted)
	})
}

func writeField(b *bytes.Buffer, name, value string) {
	b.WriteString(name)
	b.WriteString(": ")
	b.WriteString(value)
	b.WriteString("\r\n")
}

// IsHopByHop reports whether the header field with this canonical name is a
// hop-by-hop field, which a proxy does not forward (RFC 9110, section 7.6.1).
func IsHopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	default:
		return false
	}
}
