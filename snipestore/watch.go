package snipestore

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Event is what a watch has seen. Either something changed, or Backwards is
// set.
type Event struct {
	// Items are the keys that were written, and Deleted those removed.
	Items   []Item
	Deleted []string
	// Revision is the revision of the store that the event shows.
	Revision uint64
	// Backwards means that the store shows a revision below the highest one
	// seen. Its data is old; it may have lost changes for good.
	Backwards bool
}

// Watch reports changes under a prefix after a revision on the returned
// channel until ctx ends, which closes the channel. It goes on through outages,
// with backoff. A revision that goes backwards is reported once for each fall.
// The receiver must read the channel.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64) <-chan Event {
	w := &watcher{client: c, prefix: prefix, seen: after, events: make(chan Event), backoff: c.newBackoff()}
	go w.run(ctx)
	return w.events
}

type watcher struct {
	client *Client
	prefix string
	// seen is the highest revision seen.
	seen uint64
	// behind is the last revision reported as going backwards, if fallen.
	behind uint64
	fallen bool
	// failed means that the last call had no answer.
	failed  bool
	events  chan Event
	backoff *backoff.ExponentialBackOff
}

func (w *watcher) run(ctx context.Context) {
	defer close(w.events)
	for ctx.Err() == nil {
		var answer listWire
		err := w.poll(ctx, &answer)
		w.failed = err != nil
		if err != nil {
			w.pause(ctx)
			continue
		}
		if answer.Revision < w.seen {
			w.fall(ctx, answer.Revision)
			// A store that is behind answers at once, so the next call waits.
			w.pause(ctx)
			continue
		}
		w.fallen = false
		w.backoff.Reset()
		w.seen = answer.Revision
		if len(answer.Items) > 0 || len(answer.Deleted) > 0 {
			w.send(ctx, Event{Items: answer.items(), Deleted: answer.Deleted, Revision: answer.Revision})
		}
	}
}

func (w *watcher) poll(ctx context.Context, answer *listWire) error {
	query := url.Values{
		"prefix": {w.prefix},
		"after":  {strconv.FormatUint(w.seen, 10)},
		"wait":   {w.client.settings.WatchWait.String()},
	}
	grace := w.client.settings.WatchGrace
	if w.failed {
		grace = w.client.settings.CallTimeout
	}
	return w.client.attempt(ctx, attempt{
		call:   CallWatch,
		name:   w.prefix,
		method: http.MethodGet,
		path:   "/v1/watch?" + query.Encode(),
		answer: answer,
		limit:  w.client.settings.WatchWait + grace,
	})
}

// fall reports a revision below the highest one seen, unless the store has
// only recovered a part of the way since the last report.
func (w *watcher) fall(ctx context.Context, revision uint64) {
	if !w.fallen || revision < w.behind {
		w.send(ctx, Event{Revision: revision, Backwards: true})
	}
	w.fallen = true
	w.behind = revision
}

func (w *watcher) send(ctx context.Context, event Event) {
	select {
	case w.events <- event:
	case <-ctx.Done():
	}
}

func (w *watcher) pause(ctx context.Context) {
	timer := time.NewTimer(w.backoff.NextBackOff())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
