package snipegate

import (
	"net"
	"net/http"
	"path"
	"strings"

	"github.com/snipemoor/snipemoor/snipetable"
)

// matchRoute returns the route of a request, or nil if none matches.
func matchRoute(table *snipetable.Table, r *http.Request) *snipetable.Route {
	sent, _, _ := strings.Cut(requestURI(r), "?")
	return table.Match(hostName(r.Host), sent)
}

// needsKey reports whether a request that matches route needs a key. A request of a public
// route needs one too if its path, decoded and cleaned, matches a route that is not public:
// targets receive the path as the caller sent it and can take it as that of the other route.
func needsKey(table *snipetable.Table, route *snipetable.Route, r *http.Request) bool {
	if !table.RequiresKeys() {
		return false
	}
	if !route.Public {
		return true
	}
	other := table.Match(hostName(r.Host), cleanPath(r.URL.Path))
	return other != nil && !other.Public
}

// cleanPath returns a decoded path without empty, "." and ".." elements. Like path.Clean, but
// a path that ends with one of them ends with a slash.
func cleanPath(decoded string) string {
	if strings.HasPrefix(decoded, "/") && !strings.Contains(decoded, "//") && !strings.Contains(decoded, "/.") {
		return decoded
	}
	cleaned := path.Clean("/" + decoded)
	switch decoded[strings.LastIndexByte(decoded, '/')+1:] {
	case "", ".", "..":
		if cleaned != "/" {
			cleaned += "/"
		}
	}
	return cleaned
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
