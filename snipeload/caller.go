package snipeload

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxLookupBytes limits the part of a look-up response that is read.
	maxLookupBytes = 64 << 10
	// maxTries limits how often one request is sent to entry instances.
	maxTries = 3
	// reasonStopping is the reason with which an entry instance in a planned stop
	// refuses requests.
	reasonStopping = "stopping"
)

// Outcome is what the caller can conclude about a request.
type Outcome string

// Outcomes of a request. Done, NotRun and Unknown are the values of the header
// Snipemoor-Outcome: the response is that of the target, the request was not run,
// or it may have been run. Failed means that the request was not sent or that no
// entry instance gave a usable response.
const (
	Done    Outcome = "done"
	NotRun  Outcome = "not-run"
	Unknown Outcome = "unknown"
	Failed  Outcome = "failed"
)

// Dialer opens connections to entry instances. *net.Dialer satisfies it.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// CallerConfig is the configuration of a Caller.
type CallerConfig struct {
	// Entries are the addresses (ip:port) of entry instances for look-ups.
	Entries []string
	// Team and Service are the names of the team and of its service to call.
	Team, Service string
	// Block is the client block in CIDR notation sent with look-ups.
	Block string
	// Timeout limits one request with its look-up and all tries; 5 s if it is not
	// positive.
	Timeout time.Duration
	// Dialer opens connections; a net.Dialer with a timeout of 2 s if nil.
	Dialer Dialer
}

// Request is one request of a caller.
type Request struct {
	// Method is the HTTP method; GET if empty.
	Method string
	// Path is the path and query after the service name, with a leading slash.
	Path string
	// Body is the request body.
	Body []byte
	// IdempotencyKey is sent in the header Idempotency-Key unless it is empty.
	IdempotencyKey string
}

// Result is the result of one request.
type Result struct {
	outcome         Outcome
	reason          string
	status          int
	requestID       string
	body            []byte
	tries           int
	lostConnections int
	err             error
}

// Outcome returns the outcome of the request.
func (r Result) Outcome() Outcome { return r.outcome }

// Reason returns the value of the header Snipemoor-Reason. For a Failed result it
// is "lookup", "connection", "timeout" or, if a Generator did not send the request,
// "outstanding".
func (r Result) Reason() string { return r.reason }

// Status returns the HTTP status code, or 0 if there was no response.
func (r Result) Status() int { return r.status }

// RequestID returns the request identifier that was sent, or "" if the request was
// not sent.
func (r Result) RequestID() string { return r.requestID }

// Body returns the response body.
func (r Result) Body() []byte { return r.body }

// Tries returns how often the request was sent to an entry instance.
func (r Result) Tries() int { return r.tries }

// LostConnections returns how many tries failed after a connection was opened,
// usually because it was lost before the response was complete. Tries that exceed
// the timeout are not counted.
func (r Result) LostConnections() int { return r.lostConnections }

// Err returns the error of the look-up or of the last try, or nil if there was
// none.
func (r Result) Err() error { return r.err }

// Entry is an entry instance in a look-up response.
type Entry struct {
	// Address is the address (ip:port) to which callers send requests.
	Address string `json:"address"`
	// Place is the name of the place of the instance.
	Place string `json:"place"`
}

// Lookup is the response of a look-up.
type Lookup struct {
	// Entries are at most three instances in order of preference.
	Entries []Entry `json:"entries"`
	// TTLSeconds is how long the response may be cached, in seconds.
	TTLSeconds int `json:"ttlSeconds"`
	// Generation is the configuration generation of the answering instance.
	Generation uint64 `json:"generation"`
	// RequestIDPrefix is the prefix of all request identifiers of this caller.
	RequestIDPrefix string `json:"requestIdPrefix"`
}

// Caller sends the requests of one client to one service. It is safe for
// concurrent use.
type Caller struct {
	cfg          CallerConfig
	client       *http.Client
	requestCount atomic.Uint64
	nextEntry    atomic.Uint64

	mu            sync.Mutex
	cachedLookup  Lookup
	lookupExpires time.Time
}

// NewCaller returns a caller. It returns an error if cfg names no entry
// instance, team or service.
func NewCaller(cfg CallerConfig) (*Caller, error) {
	if len(cfg.Entries) == 0 {
		return nil, errors.New("caller configuration names no entry instance")
	}
	if cfg.Team == "" || cfg.Service == "" {
		return nil, errors.New("caller configuration lacks the team or the service")
	}
	if cfg.Timeout <= 0 {
		cfg.Timeout = 5 * time.Second
	}
	if cfg.Dialer == nil {
		cfg.Dialer = &net.Dialer{Timeout: 2 * time.Second}
	}
	transport := &http.Transport{
		DialContext:           cfg.Dialer.DialContext,
		MaxIdleConnsPerHost:   256,
		IdleConnTimeout:       10 * time.Second,
		DisableCompression:    true,
		ResponseHeaderTimeout: cfg.Timeout + time.Second,
	}
	return &Caller{cfg: cfg, client: &http.Client{Transport: transport}}, nil
}

// Close releases idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Lookup returns the cached look-up response until it expires. After that it
// queries the configured entry instances in turn. If all of them fail, it returns
// the expired response, or the last error if there is none.
func (c *Caller) Lookup(ctx context.Context) (Lookup, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.lookupExpires) {
		return c.cachedLookup, nil
	}
	found, err := c.fetchLookup(ctx)
	if err != nil {
		if len(c.cachedLookup.Entries) > 0 {
			// An expired list may still name a reachable instance.
			return c.cachedLookup, nil
		}
		return Lookup{}, err
	}
	c.cachedLookup = found
	c.lookupExpires = time.Now().Add(time.Duration(found.TTLSeconds) * time.Second)
	return found, nil
}

// InvalidateLookup marks the cached look-up response as expired.
func (c *Caller) InvalidateLookup() {
	c.mu.Lock()
	c.lookupExpires = time.Time{}
	c.mu.Unlock()
}

// fetchLookup queries the entry instances in turn until one of them responds. It
// begins with the one that responded last, and returns the last error if none does.
func (c *Caller) fetchLookup(ctx context.Context) (Lookup, error) {
	query := url.Values{"team": {c.cfg.Team}, "service": {c.cfg.Service}}
	if c.cfg.Block != "" {
		query.Set("block", c.cfg.Block)
	}
	var last error
	first := c.nextEntry.Load()
	for i := range c.cfg.Entries {
		address := c.cfg.Entries[(first+uint64(i))%uint64(len(c.cfg.Entries))]
		found, err := c.fetchLookupFrom(ctx, "http://"+address+"/v1/entries?"+query.Encode())
		if err == nil {
			return found, nil
		}
		last = fmt.Errorf("look-up at %s: %w", address, err)
		c.nextEntry.Add(1)
	}
	return Lookup{}, last
}

// fetchLookupFrom sends one look-up to the URL address.
func (c *Caller) fetchLookupFrom(ctx context.Context, address string) (Lookup, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return Lookup{}, fmt.Errorf("build request: %w", err)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return Lookup{}, fmt.Errorf("send request: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxLookupBytes))
	if err != nil {
		return Lookup{}, fmt.Errorf("read response: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return Lookup{}, fmt.Errorf("status %d: %s", resp.StatusCode, bytes.TrimSpace(body))
	}
	var found Lookup
	if err := json.Unmarshal(body, &found); err != nil {
		return Lookup{}, fmt.Errorf("decode response: %w", err)
	}
	if len(found.Entries) == 0 {
		return Lookup{}, errors.New("response names no entry instance")
	}
	return found, nil
}

// Do sends one request. If a try fails without an outcome, or the entry instance is
// stopping, it sends the request again to the next entry instance, at most three
// times in all. All tries have the same identifier, by which entry instances detect
// a request that was run already, so this is safe for every service class.
func (c *Caller) Do(ctx context.Context, r Request) Result {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	found, err := c.Lookup(ctx)
	if err != nil {
		return Result{outcome: Failed, reason: "lookup", err: err}
	}
	id := found.RequestIDPrefix + "." + strconv.FormatUint(c.requestCount.Add(1), 10)
	result := Result{outcome: Failed, reason: "connection", requestID: id}
	lostConnections := 0
	for try := range maxTries {
		entry := found.Entries[try%len(found.Entries)]
		got, err := c.send(ctx, entry, id, time.Until(deadline), r)
		got.tries = try + 1
		if err != nil {
			c.InvalidateLookup()
			result.err = err
			result.tries = got.tries
			if ctx.Err() != nil {
				result.reason = "timeout"
				return result
			}
			if !isDialError(err) {
				lostConnections++
			}
			result.lostConnections = lostConnections
			continue
		}
		got.lostConnections = lostConnections
		result = got
		if got.outcome != NotRun || got.reason != reasonStopping {
			return got
		}
		c.InvalidateLookup()
	}
	return result
}

// isDialError reports whether err means that no connection could be opened.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// send sends one try to an entry instance and reads the response. It returns an
// error unless the response is complete and has an outcome.
func (c *Caller) send(ctx context.Context, entry Entry, id string, budget time.Duration, r Request) (Result, error) {
	result := Result{requestID: id}
	method := r.Method
	if method == "" {
		method = http.MethodGet
	}
	address := "http://" + entry.Address + "/call/" + c.cfg.Team + "/" + c.cfg.Service + r.Path
	req, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(r.Body))
	if err != nil {
		return result, fmt.Errorf("build request: %w", err)
	}
	req.Header.Set("Snipemoor-Request-Id", id)
	req.Header.Set("Snipemoor-Timeout", budget.String())
	if r.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", r.IdempotencyKey)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return result, fmt.Errorf("call %s: %w", entry.Address, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return result, fmt.Errorf("read response of %s: %w", entry.Address, err)
	}
	result.status = resp.StatusCode
	result.body = body
	result.outcome = Outcome(resp.Header.Get("Snipemoor-Outcome"))
	result.reason = resp.Header.Get("Snipemoor-Reason")
	if result.outcome == "" {
		return result, fmt.Errorf("response of %s has no outcome header", entry.Address)
	}
	return result, nil
}
