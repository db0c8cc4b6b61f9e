package snipestore

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"golang.org/x/time/rate"
)

// MaxValueBytes is the size of the largest value that the store accepts, in bytes.
const MaxValueBytes = 1 << 20

// Defaults of the settings that are zero; see Settings.
const (
	DefaultCallTimeout      = 2 * time.Second
	DefaultWatchWait        = time.Second
	DefaultWatchGrace       = 500 * time.Millisecond
	DefaultReadAttempts     = 3
	DefaultCallsPerSecond   = 20
	DefaultCallBurst        = 40
	DefaultMaxResponseBytes = 16 << 20
	DefaultBackoff          = 100 * time.Millisecond
	DefaultMaxBackoff       = 5 * time.Second
)

// Settings are the settings of a client. Only Addresses must be set; a zero value
// of another field selects its default.
type Settings struct {
	// Addresses are the addresses of the store, as ip:port. After a failure
	// the client switches to the next one.
	Addresses []string
	// CallTimeout bounds each request, except that of a watch.
	CallTimeout time.Duration
	// WatchWait is how long the store may delay the response to a watch while
	// nothing changes. The response may take WatchGrace longer, or CallTimeout
	// longer after a failure of the watch. The sum bounds how long an
	// unresponsive connection hides a change, which must be in force within 3 s.
	WatchWait  time.Duration
	WatchGrace time.Duration
	// ReadAttempts is how often a read is sent before it fails.
	ReadAttempts uint
	// CallsPerSecond is the rate and CallBurst the size of the token bucket that
	// limits calls. A call without a token fails with ErrBudget.
	CallsPerSecond float64
	CallBurst      int
	// MaxResponseBytes is the size of the largest accepted response, in bytes.
	MaxResponseBytes int64
	// Backoff is the first delay before a retry, MaxBackoff the largest. Jitter
	// applies to both.
	Backoff    time.Duration
	MaxBackoff time.Duration
	// DialContext opens connections. If nil, a net.Dialer is used.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
	// Observer, if not nil, receives the result of each attempt of a call.
	Observer Observer
}

// withDefaults returns s with zero fields set to their defaults.
func (s Settings) withDefaults() Settings {
	if s.DialContext == nil {
		s.DialContext = (&net.Dialer{}).DialContext
	}
	setDefault(&s.CallTimeout, DefaultCallTimeout)
	setDefault(&s.WatchWait, DefaultWatchWait)
	setDefault(&s.WatchGrace, DefaultWatchGrace)
	setDefault(&s.ReadAttempts, DefaultReadAttempts)
	setDefault(&s.CallsPerSecond, DefaultCallsPerSecond)
	setDefault(&s.CallBurst, DefaultCallBurst)
	setDefault(&s.MaxResponseBytes, DefaultMaxResponseBytes)
	setDefault(&s.Backoff, DefaultBackoff)
	setDefault(&s.MaxBackoff, DefaultMaxBackoff)
	return s
}

func setDefault[T comparable](value *T, standard T) {
	var zero T
	if *value == zero {
		*value = standard
	}
}

// Client is a client of the store. It is safe for concurrent use.
type Client struct {
	settings  Settings
	transport *http.Transport
	http      *http.Client
	budget    *rate.Limiter
	// addressIndex selects the address in use, modulo the number of addresses.
	addressIndex atomic.Uint64
	available    atomic.Bool
	counts       counters
}

// New returns a client. It panics if settings contains no address.
func New(settings Settings) *Client {
	if len(settings.Addresses) == 0 {
		panic("snipestore: no address of the store")
	}
	settings = settings.withDefaults()
	transport := &http.Transport{
		DialContext:         settings.DialContext,
		DisableCompression:  true,
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     30 * time.Second,
	}
	return &Client{
		settings:  settings,
		transport: transport,
		http: &http.Client{
			Transport: transport,
			// A redirect would send a write a second time.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		budget: rate.NewLimiter(rate.Limit(settings.CallsPerSecond), settings.CallBurst),
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Available reports whether the last request received a complete response with a
// status other than 429 and 503. It is false before the first response. Requests
// whose context ended do not count.
func (c *Client) Available() bool { return c.available.Load() }

// Item is a key with its value and version. Versions of a key are compared in a
// compare-and-swap; 0 stands for a key that does not exist.
type Item struct {
	Key     string
	Value   []byte
	Version uint64
}

// Get returns the item of a key. The error wraps ErrNotFound if the key does not
// exist.
func (c *Client) Get(ctx context.Context, key string) (Item, error) {
	var result itemJSON
	err := c.read(ctx, CallGet, key, keyPath(key), &result)
	if err != nil {
		return Item{}, err
	}
	return result.item(), nil
}

// List returns the items whose keys have the prefix, and the revision of the
// store at which they were read.
func (c *Client) List(ctx context.Context, prefix string) (items []Item, revision uint64, err error) {
	var result listJSON
	err = c.read(ctx, CallList, prefix, "/v1/list?prefix="+url.QueryEscape(prefix), &result)
	if err != nil {
		return nil, 0, err
	}
	return result.items(), result.Revision, nil
}

// Create writes a key that does not exist yet, as Put with version 0.
func (c *Client) Create(ctx context.Context, key string, value []byte, lease string) (version uint64, err error) {
	return c.Put(ctx, key, value, 0, lease)
}

// Put writes a key if its version is ifVersion, and returns the new version.
// The key is deleted when the lease, if not empty, expires. The error wraps
// ErrConflict if the key has another version, ErrLeaseExpired if there is no
// such lease, ErrTooLarge if the value exceeds MaxValueBytes, and
// ErrOutcomeUnknown if the write may have taken effect.
func (c *Client) Put(ctx context.Context, key string, value []byte, ifVersion uint64, lease string) (version uint64, err error) {
	if len(value) > MaxValueBytes {
		err := &CallError{call: CallPut, name: key, kind: ErrTooLarge}
		c.observe(CallPut, err, 0)
		return 0, err
	}
	var result versionJSON
	request := putJSON{Value: value, IfVersion: ifVersion, Lease: lease}
	err = c.write(ctx, CallPut, key, http.MethodPut, keyPath(key), request, &result)
	if err != nil {
		return 0, err
	}
	return result.Version, nil
}

// Delete removes a key if its version is ifVersion. The error wraps ErrConflict
// if the key has another version, ErrNotFound if there is no such key, and
// ErrOutcomeUnknown if the key may have been removed.
func (c *Client) Delete(ctx context.Context, key string, ifVersion uint64) error {
	path := keyPath(key) + "?ifVersion=" + strconv.FormatUint(ifVersion, 10)
	return c.write(ctx, CallDelete, key, http.MethodDelete, path, nil, nil)
}

// Grant creates a lease that expires ttl after its last renewal, and returns
// its identifier. After ErrOutcomeUnknown, the lease may exist; it then
// expires, because its identifier is not known.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (lease string, err error) {
	var result leaseJSON
	err = c.write(ctx, CallGrant, ttl.String(), http.MethodPost, "/v1/leases", grantJSON{TTL: ttl.String()}, &result)
	if err != nil {
		return "", err
	}
	return result.Lease, nil
}

// Renew renews a lease. The error wraps ErrLeaseExpired if there is no such
// lease. The new term starts at some moment between call and return.
func (c *Client) Renew(ctx context.Context, lease string) error {
	path := "/v1/leases/" + url.PathEscape(lease) + "/renew"
	return c.write(ctx, CallRenew, lease, http.MethodPost, path, nil, nil)
}

// Revoke ends a lease and deletes its keys. The error wraps ErrLeaseExpired if
// there is no such lease.
func (c *Client) Revoke(ctx context.Context, lease string) error {
	path := "/v1/leases/" + url.PathEscape(lease)
	return c.write(ctx, CallRevoke, lease, http.MethodDelete, path, nil, nil)
}

// keyPath escapes the segments of a key and keeps the slashes between them.
func keyPath(key string) string {
	segments := strings.Split(key, "/")
	for i, segment := range segments {
		segments[i] = url.PathEscape(segment)
	}
	return "/v1/kv/" + strings.Join(segments, "/")
}

// newBackoff returns an exponential backoff with jitter.
func (c *Client) newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = c.settings.Backoff
	b.MaxInterval = c.settings.MaxBackoff
	return b
}

// read sends a read until it has a response, ReadAttempts are used up or ctx ends.
// Only ErrUnavailable is retried.
func (c *Client) read(ctx context.Context, call Call, name, path string, result any) error {
	operation := func() (struct{}, error) {
		err := c.attempt(ctx, attempt{call: call, name: name, method: http.MethodGet, path: path, result: result})
		if err != nil && !errors.Is(err, ErrUnavailable) {
			return struct{}{}, backoff.Permanent(err)
		}
		return struct{}{}, err
	}
	_, err := backoff.Retry(ctx, operation, backoff.WithBackOff(c.newBackoff()), backoff.WithMaxTries(c.settings.ReadAttempts))
	if err == nil {
		return nil
	}
	var callError *CallError
	if errors.As(err, &callError) {
		return callError
	}
	return &CallError{call: call, name: name, kind: ErrUnavailable, cause: err}
}

// write sends a write once, without retries.
func (c *Client) write(ctx context.Context, call Call, name, method, path string, body, result any) error {
	return c.attempt(ctx, attempt{call: call, name: name, method: method, path: path, body: body, result: result})
}
