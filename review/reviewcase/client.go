package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	clientDeadline = 3 * time.Second
	// numObjects is the number of affinity keys of a client's zone.
	numObjects = 24
	bodyBytes  = 1200
)

// client sends booking requests, which are not idempotent.
type client struct {
	name   string
	place  place
	record *record
	wire   *wire
	// directory is the address of the directory that the client asks.
	directory string
	http      *http.Client
	sent      int
	addresses []string
	renewAt   time.Time
}

// runClients runs n clients in each zone until the given time. Each sends perSecond
// requests a second.
func (d *deployment) runClients(n int, perSecond float64, until time.Time) {
	var wg sync.WaitGroup
	for i, p := range places() {
		for j := range n {
			c := &client{
				name: fmt.Sprintf("c-%s-%d", p.zone, j+1), place: p, record: d.record, wire: d.wire,
				directory: net.JoinHostPort(d.fronts[i].ip, strconv.Itoa(directoryPort)),
				http:      &http.Client{Transport: &http.Transport{DisableCompression: true}, Timeout: clientDeadline},
			}
			wg.Go(func() { c.run(perSecond, until) })
		}
	}
	wg.Wait()
}

// run sends requests until the given time.
func (c *client) run(perSecond float64, until time.Time) {
	defer c.http.CloseIdleConnections()
	for {
		time.Sleep(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
		if time.Now().After(until) {
			return
		}
		c.book()
	}
}

// book sends a request, and once more as a new attempt after a promise that it has not
// run.
func (c *client) book() {
	object := fmt.Sprintf("%s-%d", c.place.zone, rand.IntN(numObjects))
	deadline := time.Now().Add(clientDeadline)
	status, wait := c.send(object, deadline)
	if !promises(status) || wait > time.Until(deadline)/3 {
		return
	}
	time.Sleep(wait)
	c.send(object, deadline)
}

// send sends one attempt and returns the status and the Retry-After of its answer. The
// status is 0 if there is no complete answer.
func (c *client) send(object string, deadline time.Time) (status int, retryAfter time.Duration) {
	address, err := c.resolve()
	if err != nil {
		c.record.write("client", fmt.Sprintf("%s finds no front: %v", c.name, err))
		return 0, 0
	}
	c.sent++
	id := fmt.Sprintf("%s-%d", c.name, c.sent)
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/book/"+object, bytes.NewReader(make([]byte, bodyBytes)))
	if err != nil {
		c.record.write("client", fmt.Sprintf("%s cannot build its request: %v", c.name, err))
		return 0, 0
	}
	req.Host = hostName
	req.Header.Set(c.wire.RequestID, id)
	req.Header.Set(c.wire.Deadline, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	req.Header.Set("Cookie", c.wire.Object+"="+object)
	// net/http repeats no POST request.
	c.record.sent(id, "to "+address, true)
	resp, err := c.http.Do(req)
	if err != nil {
		c.record.answered(id, 0, err.Error())
		return 0, 0
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.record.answered(id, 0, err.Error())
		return 0, 0
	}
	c.record.answered(id, resp.StatusCode, fmt.Sprintf("%q", body))
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if err != nil {
		seconds = 0
	}
	return resp.StatusCode, time.Duration(seconds * float64(time.Second))
}

// errNoAddresses means that the directory named no front.
var errNoAddresses = errors.New("the directory names no front")

// resolve returns the address of a front, as the directory names it.
func (c *client) resolve() (string, error) {
	if time.Now().After(c.renewAt) {
		if err := c.renew(); err != nil && len(c.addresses) == 0 {
			return "", err
		}
	}
	return c.addresses[rand.IntN(len(c.addresses))], nil
}

// renew asks the directory.
func (c *client) renew() error {
	resp, err := c.http.Get("http://" + c.directory + "/snipemoor/resolve?name=" + hostName + "&region=" + c.place.region + "&zone=" + c.place.zone)
	if err != nil {
		return fmt.Errorf("ask the directory: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	var answer struct {
		Addresses []string `json:"addresses"`
		TTL       float64  `json:"ttl_s"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return fmt.Errorf("read the answer of the directory: %w", err)
	}
	if len(answer.Addresses) == 0 {
		return errNoAddresses
	}
	c.addresses, c.renewAt = answer.Addresses, time.Now().Add(time.Duration(answer.TTL*float64(time.Second)))
	return nil
}
