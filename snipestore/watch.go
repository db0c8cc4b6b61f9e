package snipestore

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Event reports changes, or, if RevisionDecreased is set, that the store
// returned an old revision.
type Event struct {
	// Items are the items that were written, and Deleted the keys removed.
	Items   []Item
	Deleted []string
	// Revision is the revision of the store up to which the event is complete.
	Revision uint64
	// RevisionDecreased means that the revision is lower than the one received
	// before. The store serves old data; it may have lost the later changes
	// permanently, and may have given out their revisions again. The event does not
	// contain the items that were written since.
	RevisionDecreased bool
}

// Watch sends the changes of keys with a prefix after a revision to the returned
// channel until ctx ends, which closes the channel. It continues through
// outages, with backoff. After a decrease of the revision it reports the changes
// after the lower one, also those that it has reported before. The receiver must
// read the channel until it is closed.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64) <-chan Event {
	w := &watcher{client: c, prefix: prefix, seen: after, events: make(chan Event), backoff: c.newBackoff()}
	go w.run(ctx)
	return w.events
}

// watcher runs one watch by long polling.
type watcher struct {
	client *Client
	prefix string
	// seen is the last revision received.
	seen uint64
	// failed means that the last request failed.
	failed  bool
	events  chan Event
	backoff *backoff.ExponentialBackOff
}

func (w *watcher) run(ctx context.Context) {
	defer close(w.events)
	for ctx.Err() == nil {
		var response listJSON
		err := w.poll(ctx, &response)
		w.failed = err != nil
		if err != nil {
			w.waitBackoff(ctx)
			continue
		}
		if response.Revision < w.seen {
			w.seen = response.Revision
			w.send(ctx, Event{Revision: response.Revision, RevisionDecreased: true})
			// Replicas that take turns to respond could be called in a busy loop.
			w.waitBackoff(ctx)
			continue
		}
		w.backoff.Reset()
		w.seen = response.Revision
		if len(response.Items) > 0 || len(response.Deleted) > 0 {
			w.send(ctx, Event{Items: response.items(), Deleted: response.Deleted, Revision: response.Revision})
		}
	}
}

// poll requests the changes after the last revision received.
func (w *watcher) poll(ctx context.Context, response *listJSON) error {
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
		call:    CallWatch,
		name:    w.prefix,
		method:  http.MethodGet,
		path:    "/v1/watch?" + query.Encode(),
		result:  response,
		timeout: w.client.settings.WatchWait + grace,
	})
}

func (w *watcher) send(ctx context.Context, event Event) {
	select {
	case w.events <- event:
	case <-ctx.Done():
	}
}

// waitBackoff waits for the next backoff delay or the end of ctx.
func (w *watcher) waitBackoff(ctx context.Context) {
	timer := time.NewTimer(w.backoff.NextBackOff())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
