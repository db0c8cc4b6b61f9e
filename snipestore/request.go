package snipestore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// The types with the suffix JSON are the bodies of requests and responses.

type itemJSON struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

func (w itemJSON) item() Item { return Item(w) }

type listJSON struct {
	Items    []itemJSON `json:"items"`
	Deleted  []string   `json:"deleted"`
	Revision uint64     `json:"revision"`
}

func (w listJSON) items() []Item {
	items := make([]Item, len(w.Items))
	for i, item := range w.Items {
		items[i] = item.item()
	}
	return items
}

type putJSON struct {
	Value     []byte `json:"value"`
	IfVersion uint64 `json:"ifVersion"`
	Lease     string `json:"lease,omitempty"`
}

type versionJSON struct {
	Version uint64 `json:"version"`
}

type grantJSON struct {
	TTL string `json:"ttl"`
}

type leaseJSON struct {
	Lease string `json:"lease"`
}

// attempt describes one request to the store.
type attempt struct {
	call Call
	// name is the key, prefix, lease or TTL that an error names.
	name   string
	method string
	path   string
	body   any
	// result receives the decoded response, unless it is nil.
	result any
	// timeout bounds the request; zero selects Settings.CallTimeout.
	timeout time.Duration
}

// newError returns the error of the request. kind is one of the exported error
// values; cause can be nil, and status is 0 without a response.
func (a attempt) newError(kind, cause error, status int) *CallError {
	return &CallError{call: a.call, name: a.name, kind: kind, cause: cause, status: status}
}

// attempt sends one request and counts its result.
func (c *Client) attempt(ctx context.Context, a attempt) error {
	start := time.Now()
	err := c.send(ctx, a)
	if err == nil {
		c.observe(a.call, nil, time.Since(start))
		return nil
	}
	c.observe(a.call, err, time.Since(start))
	return err
}

// send sends one request within the call budget and the timeout. It returns a nil
// interface or a *CallError.
func (c *Client) send(ctx context.Context, a attempt) error {
	if !c.budget.Allow() {
		return a.newError(ErrBudget, nil, 0)
	}
	timeout := a.timeout
	setDefault(&timeout, c.settings.CallTimeout)
	parent := ctx
	ctx, cancel := context.WithTimeout(parent, timeout)
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	index := c.addressIndex.Load()
	request, err := c.request(httptrace.WithClientTrace(ctx, trace), a, index)
	if err != nil {
		return a.newError(ErrUnavailable, err, 0)
	}
	response, err := c.http.Do(request)
	if err != nil {
		c.recordFailure(parent, index)
		return a.newError(a.noResponseKind(connected.Load()), err, 0)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := c.readBody(response)
	if err != nil {
		c.recordFailure(parent, index)
		return a.newError(a.unreadableKind(err), err, response.StatusCode)
	}
	if response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests {
		c.recordFailure(parent, index)
	} else {
		c.available.Store(true)
	}
	return a.decodeResponse(response.StatusCode, body)
}

// recordFailure marks the store as unavailable and switches the client from the
// address at index to the next one. It closes idle connections, because they can
// be broken while new ones still work. It does nothing if parent, the context of
// the call, has ended: such a call does not show that the store failed.
func (c *Client) recordFailure(parent context.Context, index uint64) {
	if parent.Err() != nil {
		return
	}
	c.available.Store(false)
	c.addressIndex.CompareAndSwap(index, index+1)
	c.transport.CloseIdleConnections()
}

// noResponseKind returns the kind of error for a request without a usable
// response. A write without a connection cannot have been sent.
func (a attempt) noResponseKind(connected bool) error {
	if a.call.isWrite() && connected {
		return ErrOutcomeUnknown
	}
	return ErrUnavailable
}

// unreadableKind returns the kind of error for a response whose body could not be
// read.
func (a attempt) unreadableKind(err error) error {
	if errors.Is(err, ErrTooLarge) && !a.call.isWrite() {
		return ErrTooLarge
	}
	return a.noResponseKind(true)
}

// request returns the HTTP request of a to the address at index.
func (c *Client) request(ctx context.Context, a attempt, index uint64) (*http.Request, error) {
	address := c.settings.Addresses[index%uint64(len(c.settings.Addresses))]
	var body io.Reader
	if a.body != nil {
		encoded, err := json.Marshal(a.body)
		if err != nil {
			return nil, fmt.Errorf("encode request: %w", err)
		}
		body = nonRewindableReader{bytes.NewReader(encoded)}
	}
	request, err := http.NewRequestWithContext(ctx, a.method, "http://"+address+a.path, body)
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	if a.body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	return request, nil
}

// nonRewindableReader hides the type of a reader, so that net/http cannot rewind
// the body and send a write again on another connection.
type nonRewindableReader struct{ io.Reader }

// readBody reads a response body of at most MaxResponseBytes. The error wraps
// ErrTooLarge if the body is larger.
func (c *Client) readBody(response *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, c.settings.MaxResponseBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read response: %w", err)
	}
	if int64(len(body)) > c.settings.MaxResponseBytes {
		return nil, fmt.Errorf("response exceeds %d bytes: %w", c.settings.MaxResponseBytes, ErrTooLarge)
	}
	return body, nil
}

// decodeResponse decodes body into the result of the call, or converts status to
// an error.
func (a attempt) decodeResponse(status int, body []byte) error {
	switch status {
	case http.StatusOK:
		if a.result == nil {
			return nil
		}
		if err := json.Unmarshal(body, a.result); err != nil {
			return a.newError(a.noResponseKind(true), err, status)
		}
		return nil
	case http.StatusNotFound:
		return a.newError(a.notFoundKind(), nil, status)
	case http.StatusConflict:
		return a.newError(ErrConflict, nil, status)
	case http.StatusRequestEntityTooLarge:
		return a.newError(ErrTooLarge, nil, status)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusBadRequest:
		return a.newError(ErrUnavailable, nil, status)
	default:
		return a.newError(a.noResponseKind(true), nil, status)
	}
}

// notFoundKind returns the kind of error for status 404. For a put, the status
// means that the lease does not exist, because a missing key is a conflict.
func (a attempt) notFoundKind() error {
	switch a.call {
	case CallPut, CallRenew, CallRevoke:
		return ErrLeaseExpired
	default:
		return ErrNotFound
	}
}
