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
	// maxEntriesBytes bounds a look-up response.
	maxEntriesBytes = 64 << 10
	// maxTries bounds how often one request is sent to entry instances.
	maxTries = 3
	// reasonStopping is the refusal of an entry instance in a planned stop.
	reasonStopping = "stopping"
)

// Outcome says what is known of a request after its response.
type Outcome string

// Outcomes of a request. The first three are the values of the header
// Snipemoor-Outcome; Failed means that no entry instance gave a usable response.
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

// CallerConfig describes a caller of one service.
type CallerConfig struct {
	// Entries are addresses (ip:port) of entry instances that answer look-ups.
	Entries []string
	// Team and Service name what is called.
	Team, Service string
	// Block is the client block in CIDR notation sent with look-ups.
	Block string
	// Timeout is the budget of one request; 5 s if zero.
	Timeout time.Duration
	// Dialer opens connections; a plain net.Dialer if nil.
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
	// IdempotencyKey is sent as the header of that name unless empty.
	IdempotencyKey string
}

// Result is the outcome of one request.
type Result struct {
	outcome   Outcome
	reason    string
	status    int
	requestID string
	body      []byte
	tries     int
	cuts      int
	err       error
}

// Outcome returns what is known of the request.
func (r Result) Outcome() Outcome { return r.outcome }

// Reason returns the refusal reason, or "connection" for a Failed result.
func (r Result) Reason() string { return r.reason }

// Status returns the HTTP status, or 0 if there was no response.
func (r Result) Status() int { return r.status }

// RequestID returns the request identifier that was sent.
func (r Result) RequestID() string { return r.requestID }

// Body returns the response body.
func (r Result) Body() []byte { return r.body }

// Tries returns how often the request was sent to an entry instance.
func (r Result) Tries() int { return r.tries }

// Cuts returns how many tries lost their connection after it was opened and
// before the response was complete.
func (r Result) Cuts() int { return r.cuts }

// Err returns the last transport error of a Failed result.
func (r Result) Err() error { return r.err }

// Entry is an entry instance named by a look-up.
type Entry struct {
	// Address is ip:port of the callers' interface.
	Address string `json:"address"`
	// Place is the place of the instance.
	Place string `json:"place"`
}

// Lookup is the response of a look-up.
type Lookup struct {
	// Entries are at most three instances in order of preference.
	Entries []Entry `json:"entries"`
	// TTLSeconds says how long the response may be cached.
	TTLSeconds int `json:"ttlSeconds"`
	// Generation is the configuration generation of the answering instance.
	Generation uint64 `json:"generation"`
	// RequestIDPrefix begins the request identifiers of this caller.
	RequestIDPrefix string `json:"requestIdPrefix"`
}

// Caller sends requests of one client to a service. It is safe for concurrent
// use.
type Caller struct {
	cfg     CallerConfig
	client  *http.Client
	counter atomic.Uint64
	start   atomic.Uint64

	mu      sync.Mutex
	cached  Lookup
	expires time.Time
}

// NewCaller returns a caller. It returns an error if cfg names no entry
// instance, team or service.
func NewCaller(cfg CallerConfig) (*Caller, error) {
	if len(cfg.Entries) == 0 {
		return nil, errors.New("caller has no entry instance to ask")
	}
	if cfg.Team == "" || cfg.Service == "" {
		return nil, errors.New("caller has no team or service")
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

// Lookup returns the cached look-up response, or asks the configured entry
// instances in turn for a new one.
func (c *Caller) Lookup(ctx context.Context) (Lookup, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.expires) {
		return c.cached, nil
	}
	found, err := c.ask(ctx)
	if err != nil {
		if len(c.cached.Entries) > 0 {
			// An expired list is better than none while no instance answers.
			return c.cached, nil
		}
		return Lookup{}, err
	}
	c.cached = found
	c.expires = time.Now().Add(time.Duration(found.TTLSeconds) * time.Second)
	return found, nil
}

// Forget drops the cached look-up response.
func (c *Caller) Forget() {
	c.mu.Lock()
	c.expires = time.Time{}
	c.mu.Unlock()
}

func (c *Caller) ask(ctx context.Context) (Lookup, error) {
	query := url.Values{"team": {c.cfg.Team}, "service": {c.cfg.Service}}
	if c.cfg.Block != "" {
		query.Set("block", c.cfg.Block)
	}
	var last error
	first := c.start.Load()
	for i := range c.cfg.Entries {
		address := c.cfg.Entries[(first+uint64(i))%uint64(len(c.cfg.Entries))]
		found, err := c.askOne(ctx, "http://"+address+"/v1/entries?"+query.Encode())
		if err == nil {
			return found, nil
		}
		last = fmt.Errorf("look-up at %s: %w", address, err)
		c.start.Add(1)
	}
	return Lookup{}, last
}

func (c *Caller) askOne(ctx context.Context, address string) (Lookup, error) {
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
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxEntriesBytes))
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

// Do sends one request. If a connection fails or an instance is stopping, it
// sends the request again, with the same identifier, to the next entry
// instance; the identifier makes that safe for every service class.
func (c *Caller) Do(ctx context.Context, r Request) Result {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	found, err := c.Lookup(ctx)
	if err != nil {
		return Result{outcome: Failed, reason: "lookup", err: err}
	}
	id := found.RequestIDPrefix + "." + strconv.FormatUint(c.counter.Add(1), 10)
	result := Result{outcome: Failed, reason: "connection", requestID: id}
	cuts := 0
	for try := range maxTries {
		entry := found.Entries[try%len(found.Entries)]
		got, err := c.send(ctx, entry, id, time.Until(deadline), r)
		got.tries = try + 1
		if err != nil {
			c.Forget()
			result.err = err
			result.tries = got.tries
			if ctx.Err() != nil {
				result.reason = "timeout"
				return result
			}
			if !isDialError(err) {
				cuts++
			}
			result.cuts = cuts
			continue
		}
		got.cuts = cuts
		result = got
		if got.outcome != NotRun || got.reason != reasonStopping {
			return got
		}
		c.Forget()
	}
	return result
}

// isDialError reports whether no connection was made.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

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
