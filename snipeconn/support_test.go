package snipeconn

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

const idHeader = "X-Id"

// startTarget starts a server that handles each connection with serve, and returns
// its address.
func startTarget(t *testing.T, serve func(c net.Conn, r *bufio.Reader)) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				serve(c, bufio.NewReader(c))
			}()
		}
	}()
	return l.Addr().String()
}

// readRequest reads a request with its body, and returns its identifier.
func readRequest(r *bufio.Reader) (string, error) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return "", err
	}
	_, err = io.Copy(io.Discard, req.Body)
	return req.Header.Get(idHeader), err
}

// newRequest returns a GET request that times out after wait.
func newRequest(address, id string, wait time.Duration) *Request {
	return &Request{
		Address: address, Method: http.MethodGet, URI: "/x", Host: "h",
		Header:   http.Header{idHeader: {id}},
		IDHeader: idHeader, ID: id, Deadline: time.Now().Add(wait),
	}
}

// okResponse returns the text of a response with status 200.
func okResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", idHeader, id, len(body), body)
}

// serveOK responds to each request of a connection with status 200.
func serveOK(c net.Conn, r *bufio.Reader) {
	for {
		id, err := readRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, okResponse(id, "ok"))
	}
}
