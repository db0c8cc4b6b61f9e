package snipeconn

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Request is one request to a target.
type Request struct {
	// Address is the address of the target.
	Address string
	// Method, URI and Host are sent as they are; URI is the escaped path with
	// the query.
	Method, URI, Host string
	// Header holds the headers to send. Those of one connection only are left
	// out.
	Header http.Header
	// Extra are headers that replace those of the same name in Header. The
	// names are in canonical form.
	Extra []Field
	// Body is the whole body. HasBody tells an empty body from none.
	Body    []byte
	HasBody bool
	// IDHeader names the header that an answer echoes, and ID is its value.
	IDHeader, ID string
	// Deadline ends the request, body of the answer included.
	Deadline time.Time
}

// Field is one header.
type Field struct{ Name, Value string }

// head returns the request line and the headers.
func (r *Request) head() *bytes.Buffer {
	b := bytes.NewBuffer(make([]byte, 0, 512+min(len(r.Body), largeBodyBytes)))
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.URI)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	listed := r.Header["Connection"]
	for name, values := range r.Header {
		if ConnectionHeader(name) || name == "Content-Length" || name == "Expect" || r.replaces(name) || lists(listed, name) {
			continue
		}
		for _, v := range values {
			writeField(b, name, v)
		}
	}
	for _, f := range r.Extra {
		writeField(b, f.Name, f.Value)
	}
	if r.HasBody {
		writeField(b, "Content-Length", strconv.Itoa(len(r.Body)))
	}
	b.WriteString("\r\n")
	return b
}

// lists reports whether a Connection header names another header, which then
// concerns one connection only.
func lists(connection []string, name string) bool {
	for _, line := range connection {
		for token := range strings.SplitSeq(line, ",") {
			if strings.EqualFold(strings.TrimSpace(token), name) {
				return true
			}
		}
	}
	return false
}

func (r *Request) replaces(name string) bool {
	for _, f := range r.Extra {
		if f.Name == name {
			return true
		}
	}
	return false
}

func writeField(b *bytes.Buffer, name, value string) {
	b.WriteString(name)
	b.WriteString(": ")
	b.WriteString(value)
	b.WriteString("\r\n")
}

// ConnectionHeader reports whether a header, in canonical form, concerns one
// connection only (RFC 9110, section 7.6.1).
func ConnectionHeader(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	default:
		return false
	}
}
