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

type itemWire struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

func (w itemWire) item() Item { return Item(w) }

type listWire struct {
	Items    []itemWire `json:"items"`
	Deleted  []string   `json:"deleted"`
	Revision uint64     `json:"revision"`
}

func (w listWire) items() []Item {
	items := make([]Item, len(w.Items))
	for i, item := range w.Items {
		items[i] = item.item()
	}
	return items
}

type putWire struct {
	Value     []byte `json:"value"`
	IfVersion uint64 `json:"ifVersion"`
	Lease     string `json:"lease,omitempty"`
}

type versionWire struct {
	Version uint64 `json:"version"`
}

type grantWire struct {
	TTL string `json:"ttl"`
}

type leaseWire struct {
	Lease string `json:"lease"`
}

// attempt is one request to the store.
type attempt struct {
	call   Call
	name   string
	method string
	path   string
	body   any
	answer any
	// limit is the time limit; zero stands for the one of the settings.
	limit time.Duration
}

func (a attempt) fail(kind, cause error, status int) *CallError {
	return &CallError{call: a.call, name: a.name, kind: kind, cause: cause, status: status}
}

// attempt sends one request within the budget and the time limit.
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

// send returns a nil interface or a *CallError.
func (c *Client) send(ctx context.Context, a attempt) error {
	if !c.budget.Allow() {
		return a.fail(ErrBudget, nil, 0)
	}
	limit := a.limit
	setDefault(&limit, c.settings.CallTimeout)
	caller := ctx
	ctx, cancel := context.WithTimeout(caller, limit)
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	index := c.address.Load()
	request, err := c.request(httptrace.WithClientTrace(ctx, trace), a, index)
	if err != nil {
		return a.fail(ErrUnavailable, err, 0)
	}
	response, err := c.http.Do(request)
	if err != nil {
		c.failed(caller, index)
		return a.fail(a.lost(connected.Load()), err, 0)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := c.readBody(response)
	if err != nil {
		c.failed(caller, index)
		return a.fail(a.unread(err), err, response.StatusCode)
	}
	if response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests {
		c.failed(caller, index)
	} else {
		c.available.Store(true)
	}
	return a.finish(response.StatusCode, body)
}

// failed makes the client go on with the next address. It gives up idle
// connections, because connections can die while new ones still work. A call
// that its caller ended says nothing about the store.
func (c *Client) failed(caller context.Context, index uint64) {
	if caller.Err() != nil {
		return
	}
	c.available.Store(false)
	c.address.CompareAndSwap(index, index+1)
	c.transport.CloseIdleConnections()
}

// lost returns the kind of error for a request without an answer. A write
// without a connection cannot have been sent.
func (a attempt) lost(connected bool) error {
	if a.call.isWrite() && connected {
		return ErrUnclear
	}
	return ErrUnavailable
}

// unread returns the kind of error for an answer that could not be read.
func (a attempt) unread(err error) error {
	if errors.Is(err, ErrTooLarge) && !a.call.isWrite() {
		return ErrTooLarge
	}
	return a.lost(true)
}

func (c *Client) request(ctx context.Context, a attempt, index uint64) (*http.Request, error) {
	address := c.settings.Addresses[index%uint64(len(c.settings.Addresses))]
	var body io.Reader
	if a.body != nil {
		encoded, err := json.Marshal(a.body)
		if err != nil {
			return nil, fmt.Errorf("encode request: %w", err)
		}
		body = onceReader{bytes.NewReader(encoded)}
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

// onceReader hides the type of a reader, so that net/http cannot rewind the
// body and send it again on another connection.
type onceReader struct{ io.Reader }

// readBody reads a whole answer up to the bound. The error wraps ErrTooLarge if
// the answer is larger.
func (c *Client) readBody(response *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, c.settings.MaxAnswerBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read answer: %w", err)
	}
	if int64(len(body)) > c.settings.MaxAnswerBytes {
		return nil, fmt.Errorf("answer above %d bytes: %w", c.settings.MaxAnswerBytes, ErrTooLarge)
	}
	return body, nil
}

// finish converts status and body to the result of the call.
func (a attempt) finish(status int, body []byte) error {
	switch status {
	case http.StatusOK:
		if a.answer == nil {
			return nil
		}
		if err := json.Unmarshal(body, a.answer); err != nil {
			return a.fail(a.lost(true), err, status)
		}
		return nil
	case http.StatusNotFound:
		return a.fail(a.missing(), nil, status)
	case http.StatusConflict:
		return a.fail(ErrConflict, nil, status)
	case http.StatusRequestEntityTooLarge:
		return a.fail(ErrTooLarge, nil, status)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusBadRequest:
		return a.fail(ErrUnavailable, nil, status)
	default:
		return a.fail(a.lost(true), nil, status)
	}
}

// missing returns what status 404 means for the call. For a put it means that
// the lease is gone, because a missing key is a conflict.
func (a attempt) missing() error {
	switch a.call {
	case CallPut, CallRenew, CallRevoke:
		return ErrLeaseExpired
	default:
		return ErrNotFound
	}
}
