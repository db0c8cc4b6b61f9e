package snipegate

import (
	"net"
	"net/http"
	"strings"

	"github.com/snipemoor/snipemoor/snipetable"
)

// matchRoute returns the route of a request, or nil if none matches.
func matchRoute(table *snipetable.Table, r *http.Request) *snipetable.Route {
	path, _, _ := strings.Cut(requestURI(r), "?")
	return table.Match(hostName(r.Host), path)
}

// requestURI returns the path and query as the caller sent them. A caller may
// also send an absolute URI (RFC 9112, section 3.2.2).
func requestURI(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// hostName returns the host of a Host header in lower case, without the port.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}
