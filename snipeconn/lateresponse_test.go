package snipeconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// lateStep is one request and how the server responds to it.
type lateStep struct {
	id, status int
	// copies are the earlier responses over the connection, modulo their number, of which
	// late copies are sent before the response.
	copies []int
	// interim is whether an interim response follows the copies.
	interim bool
}

// lateSteps draws a sequence of requests.
func lateSteps(t *rapid.T) []lateStep {
	const maxRequests, numIDs, maxCopies, numEarlier = 12, 3, 2, 4
	step := rapid.Custom(func(t *rapid.T) lateStep {
		return lateStep{
			id:      rapid.IntRange(1, numIDs).Draw(t, "id"),
			status:  rapid.SampledFrom([]int{200, 404, 408, 421, 429, 500, 503, 504}).Draw(t, "status"),
			copies:  rapid.SliceOfN(rapid.IntRange(0, numEarlier-1), 0, maxCopies).Draw(t, "copies"),
			interim: rapid.Bool().Draw(t, "interim"),
		}
	})
	return rapid.SliceOfN(step, 1, maxRequests).Draw(t, "steps")
}

// lateServer sends late copies of the responses that it has sent before over the same
// connection, in front of the response to a request.
type lateServer struct {
	steps []lateStep
	// arrived is the number of requests that have arrived.
	arrived atomic.Int64
}

// serialHeader carries the number of the request that a response belongs to.
const serialHeader = "Serial"

func (s *lateServer) serve(c net.Conn, r *bufio.Reader) {
	var earlier []string
	for {
		id, err := readRequest(r)
		if err != nil {
			return
		}
		serial := s.arrived.Add(1)
		step := s.steps[serial-1]
		text := ""
		for _, i := range step.copies {
			if len(earlier) > 0 {
				text += earlier[i%len(earlier)]
			}
		}
		if step.interim {
			text += "HTTP/1.1 103 Early Hints\r\n\r\n"
		}
		body := "body of " + id
		response := fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s",
			step.status, http.StatusText(step.status), idHeader, id, serialHeader, serial, len(body), body)
		earlier = append(earlier, response)
		if _, err := io.WriteString(c, text+response); err != nil {
			return
		}
	}
}

// TestLateResponse guards against a late copy of a response that is taken for the response
// to another request with the same identifier, whichever status it has, however often the
// request was sent and whoever sends it.
func TestLateResponse(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		server := &lateServer{steps: lateSteps(rt)}
		address := startTarget(t, server.serve)
		pools := New(Settings{})
		defer pools.closeIdle(address)
		for i, step := range server.steps {
			id := strconv.Itoa(step.id)
			resp, err := pools.Send(context.Background(), newRequest(address, id, 5*time.Second))
			if err != nil {
				rt.Fatal(err)
			}
			want := strconv.Itoa(i + 1)
			if got := resp.Header.Get(serialHeader); got != want || resp.Header.Get(idHeader) != id {
				rt.Fatalf("request %s of ID %s got response %s of ID %s", want, id, got, resp.Header.Get(idHeader))
			}
			resp.Close()
		}
	})
}

// TestRequestsWithoutID guards against a response that is taken for that to a request
// without an identifier, although it can be a late one to another request.
func TestRequestsWithoutID(t *testing.T) {
	address := startTarget(t, serveOK)
	pools := New(Settings{})
	t.Cleanup(func() { pools.closeIdle(address) })
	for _, id := range []string{"1", "", "", "2"} {
		if _, err := pools.Send(context.Background(), newRequest(address, id, time.Second)); err != nil {
			t.Fatal(err)
		}
	}
	// The first and the last request share a connection.
	if opened, reused := pools.Counts(); opened != 3 || reused != 1 {
		t.Errorf("opened %d, reused %d; want 3, 1", opened, reused)
	}
}

// TestMaxRequestsPerConn guards against a connection whose record of identifiers grows
// without bound.
func TestMaxRequestsPerConn(t *testing.T) {
	address := startTarget(t, serveOK)
	pools := New(Settings{})
	t.Cleanup(func() { pools.closeIdle(address) })
	for i := range maxRequestsPerConn + 1 {
		resp, err := pools.Send(context.Background(), newRequest(address, fmt.Sprint(i), time.Second))
		if err != nil {
			t.Fatal(err)
		}
		if want := i % maxRequestsPerConn; resp.EarlierRequests() != want {
			t.Fatalf("request %d: %d earlier ones on its connection, want %d", i, resp.EarlierRequests(), want)
		}
	}
}

// TestSameIDRepeatedly guards against idle connections that accumulate because the caller
// sends all its requests with the same identifier.
func TestSameIDRepeatedly(t *testing.T) {
	address := startTarget(t, serveOK)
	pools := New(Settings{})
	t.Cleanup(func() { pools.closeIdle(address) })
	const requests = 3 * maxIdleBesideNew
	for range requests {
		if _, err := pools.Send(context.Background(), newRequest(address, "1", time.Second)); err != nil {
			t.Fatal(err)
		}
	}
	if n := len(pools.idle[address]); n > maxIdleBesideNew+1 {
		t.Errorf("%d idle connections after %d requests with one identifier, want at most %d", n, requests, maxIdleBesideNew+1)
	}
}

// TestLateResponseToHead guards against bytes of a body that are taken for a response: the
// late copy of a response to HEAD has a length but no body, that to GET has both, and the
// connection does not tell to which of them a copy belongs.
func TestLateResponseToHead(t *testing.T) {
	forged := "HTTP/1.1 503 Service Unavailable\r\n" + idHeader + ": 2\r\nContent-Length: 0\r\n\r\n"
	response := func(id, body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n", idHeader, id, len(body))
	}
	for _, tc := range []struct {
		name      string
		methods   []string
		responses []string
	}{
		{
			"HEAD then GET",
			[]string{http.MethodHead, http.MethodGet},
			[]string{response("1", response("2", forged)), response("2", forged) + forged},
		},
		{
			"GET then HEAD",
			[]string{http.MethodGet, http.MethodHead},
			[]string{response("1", forged) + forged, response("2", "x")},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			address := startTarget(t, func(c net.Conn, r *bufio.Reader) {
				late := ""
				for {
					id, err := readRequest(r)
					if err != nil {
						return
					}
					n, _ := strconv.Atoi(id)
					_, _ = io.WriteString(c, late+tc.responses[n-1])
					late = tc.responses[n-1]
				}
			})
			pools := New(Settings{})
			t.Cleanup(func() { pools.closeIdle(address) })
			for i, method := range tc.methods {
				r := newRequest(address, strconv.Itoa(i+1), time.Second)
				r.Method = method
				resp, err := pools.Send(context.Background(), r)
				if err != nil {
					t.Fatal(err)
				}
				if resp.Status != http.StatusOK {
					t.Errorf("%s got status %d from the body of a response", method, resp.Status)
				}
			}
		})
	}
}
