package snipeforward

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/snipemoor/snipemoor/snipetarget"
)

// Class says how often a request may run.
type Class int

// Service classes.
const (
	ClassSafe Class = iota + 1
	ClassIdempotent
	ClassOnce
)

// Service is the configuration of one service of a team.
type Service struct {
	// Team and Name identify the service.
	Team, Name string
	// Class applies to methods other than GET and HEAD.
	Class Class
	// DefaultTimeout and MaxTimeout bound one request.
	DefaultTimeout, MaxTimeout time.Duration
	// MaxBody bounds a request body in bytes.
	MaxBody int64
}

// Refusal is a request that was not forwarded.
type Refusal struct {
	// Reason is the label of the refusal counter.
	Reason string
	// RetryAfter is the delay after which a later try can help, or zero.
	RetryAfter time.Duration
}

// Configuration finds services in the generation in force.
type Configuration interface {
	// Service returns the service and the generation, or a refusal.
	Service(team, name string) (Service, uint64, *Refusal)
}

// Grant is the right to use one slot of a target.
type Grant struct {
	// ID identifies the grant at its owner.
	ID uint64
	// Target is the address of the target.
	Target string
}

// Slots grants slots of targets.
type Slots interface {
	// Acquire waits for a slot until ctx ends.
	Acquire(ctx context.Context, s Service) (Grant, *Refusal)
	// Release ends the grant; err is the failure of the attempt or nil.
	Release(g Grant, latency time.Duration, err error)
}

// Attempter sends one attempt; snipetarget.Pools implements it.
type Attempter interface {
	// Attempt returns an answer or a *snipetarget.Error.
	Attempt(ctx context.Context, r snipetarget.Request) (*snipetarget.Response, error)
}

// Forwarder is the handler of /call/{team}/{service}/{path...}.
type Forwarder struct {
	config  Configuration
	slots   Slots
	targets Attempter
}

// New returns a forwarder.
func New(config Configuration, slots Slots, targets Attempter) *Forwarder {
	return &Forwarder{config: config, slots: slots, targets: targets}
}

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	team, name, uri, ok := splitURI(r.RequestURI)
	if !ok {
		refuse(w, http.StatusNotFound, "not-run", Refusal{Reason: "unknownService"})
		return
	}
	s, generation, refusal := f.config.Service(team, name)
	w.Header().Set("Snipemoor-Generation", strconv.FormatUint(generation, 10))
	w.Header().Set("Snipemoor-Request-Id", r.Header.Get("Snipemoor-Request-Id"))
	if refusal != nil {
		refuse(w, http.StatusServiceUnavailable, "not-run", *refusal)
		return
	}
	safe := r.Method == http.MethodGet || r.Method == http.MethodHead
	timeout, err := budget(r.Header.Get("Snipemoor-Timeout"), s)
	switch {
	case err != nil:
		refuse(w, http.StatusBadRequest, "not-run", Refusal{Reason: "badTimeout"})
		return
	case r.ContentLength > s.MaxBody:
		refuse(w, http.StatusRequestEntityTooLarge, "not-run", Refusal{Reason: "bodyTooLarge"})
		return
	case s.Class == ClassOnce && !safe:
		refuse(w, http.StatusServiceUnavailable, "not-run", Refusal{Reason: "recordsFull"})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	f.attempt(ctx, w, r, s, uri)
}

func (f *Forwarder) attempt(ctx context.Context, w http.ResponseWriter, r *http.Request, s Service, uri string) {
	grant, refusal := f.slots.Acquire(ctx, s)
	if refusal != nil {
		refuse(w, http.StatusServiceUnavailable, "not-run", *refusal)
		return
	}
	started := time.Now()
	resp, err := f.targets.Attempt(ctx, snipetarget.Request{
		Target: grant.Target, Method: r.Method, URI: uri, Header: requestHeader(r),
		Body: http.MaxBytesReader(nil, r.Body, s.MaxBody), ContentLength: r.ContentLength,
	})
	if err != nil {
		f.slots.Release(grant, time.Since(started), err)
		outcome, reason := "unknown", "targetFailed"
		var failure *snipetarget.Error
		if errors.As(err, &failure) && failure.Known == snipetarget.NotBegun {
			outcome, reason = "not-run", string(failure.Cause)
		}
		refuse(w, http.StatusBadGateway, outcome, Refusal{Reason: reason})
		return
	}
	defer func() { _ = resp.Body.Close() }()
	for k, v := range endToEnd(resp.Header) {
		w.Header()[k] = v
	}
	w.Header().Set("Snipemoor-Outcome", "done")
	w.WriteHeader(resp.Status)
	_, err = io.Copy(flushWriter{w, http.NewResponseController(w)}, resp.Body)
	f.slots.Release(grant, time.Since(started), err)
	if err != nil {
		// A truncated answer must not look complete to the caller.
		panic(http.ErrAbortHandler)
	}
}

// flushWriter sends each part of an answer on at once.
type flushWriter struct {
	io.Writer
	control *http.ResponseController
}

// Write implements io.Writer.
func (f flushWriter) Write(p []byte) (int, error) {
	n, err := f.Writer.Write(p)
	if err != nil {
		return n, fmt.Errorf("write to the caller: %w", err)
	}
	if err := f.control.Flush(); err != nil {
		return n, fmt.Errorf("flush to the caller: %w", err)
	}
	return n, nil
}

// splitURI takes the request target apart without decoding it.
func splitURI(target string) (team, service, uri string, ok bool) {
	rest, ok := strings.CutPrefix(target, "/call/")
	team, rest, found := strings.Cut(rest, "/")
	end := strings.IndexAny(rest, "/?")
	if end < 0 {
		end = len(rest)
	}
	service, uri = rest[:end], rest[end:]
	if !strings.HasPrefix(uri, "/") {
		uri = "/" + uri
	}
	return team, service, uri, ok && found && team != "" && service != ""
}

func budget(header string, s Service) (time.Duration, error) {
	if header == "" {
		return s.DefaultTimeout, nil
	}
	d, err := time.ParseDuration(header)
	if err != nil || d <= 0 {
		return 0, errors.New("Snipemoor-Timeout is not a positive duration")
	}
	return min(d, s.MaxTimeout), nil
}

// requestHeader returns the end-to-end headers with the caller's address
// appended to X-Forwarded-For.
func requestHeader(r *http.Request) http.Header {
	h := endToEnd(r.Header)
	if host, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		h.Add("X-Forwarded-For", host)
	}
	return h
}

// endToEnd returns a copy of h without hop-by-hop headers.
func endToEnd(h http.Header) http.Header {
	c := h.Clone()
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			c.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range []string{
		"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate",
		"Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	} {
		c.Del(name)
	}
	return c
}

func refuse(w http.ResponseWriter, status int, outcome string, r Refusal) {
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set("Snipemoor-Outcome", outcome)
	h.Set("Snipemoor-Reason", r.Reason)
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int((r.RetryAfter+time.Second-1)/time.Second)))
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(struct {
		Title  string `json:"title"`
		Status int    `json:"status"`
	}{r.Reason, status})
}
