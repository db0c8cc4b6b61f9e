package snipedaemon

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/snipemoor/snipemoor/snipeconfig"
	"github.com/snipemoor/snipemoor/snipepeer"
	"github.com/snipemoor/snipemoor/snipestore"
	"github.com/snipemoor/snipemoor/snipewire"
)

const (
	// bootstrapRetryInterval is the pause between attempts to load the first
	// configuration. It also bounds the wait for the sources of one attempt.
	bootstrapRetryInterval = 200 * time.Millisecond
	// configCallTimeout bounds one request for documents to a peer.
	configCallTimeout = 2 * time.Second
	// maxConcurrentFetches is the number of peers asked for documents at a
	// time.
	maxConcurrentFetches = 2
	// conflictReadInterval is the least time between two reads of the store to
	// resolve a digest conflict: heartbeats report the same conflict twice a
	// second.
	conflictReadInterval = 5 * time.Second
)

// configLoader keeps the newest configuration generation in force. It reads the
// store while this instance holds the configuration watch, and fetches
// documents from peers that announce a higher generation.
type configLoader struct {
	log     *zap.Logger
	node    *snipepeer.Node
	store   *snipestore.Client
	reader  *snipestore.Reader
	tracker *snipeconfig.Tracker
	metrics *metrics

	// peers returns the peer addresses of the instances to load the first
	// configuration from.
	peers func() []string

	mu sync.Mutex
	// fetching holds the peers with a request in flight.
	fetching map[string]bool
	// cancelWatch ends the watch of the store; it is nil while there is none.
	cancelWatch context.CancelFunc
	// conflictReadAt is when the store was last read to resolve a digest
	// conflict.
	conflictReadAt time.Time
	wg             sync.WaitGroup
}

func newConfigLoader(log *zap.Logger, node *snipepeer.Node, store *snipestore.Client, metrics *metrics) *configLoader {
	c := &configLoader{
		log: log, node: node, store: store, metrics: metrics,
		reader: snipestore.NewReader(store), tracker: &snipeconfig.Tracker{},
		fetching: make(map[string]bool),
	}
	snipepeer.HandleCall(node, func(_ context.Context, _ snipepeer.Peer, q *snipewire.ConfigRequest) (*snipewire.ConfigReply, error) {
		return c.handleRequest(q), nil
	})
	snipepeer.HandleMessage(node, func(from snipepeer.Peer, m *snipewire.ConfigAnnounce) {
		c.handleAnnouncement(from.Address, m.GetGeneration(), m.GetDigest())
	})
	return c
}

// current returns the snapshot in force, or nil if there is none.
func (c *configLoader) current() *snipeconfig.Snapshot { return c.tracker.Current() }

// generation returns the generation in force, 0 if there is none.
func (c *configLoader) generation() uint64 {
	if s := c.current(); s != nil {
		return s.Generation()
	}
	return 0
}

// bootstrap loads the first configuration from the store and all peers at once.
// The first answer is put in force, and a later one with a higher generation
// replaces it. It returns when a configuration is in force or ctx ends.
func (c *configLoader) bootstrap(ctx context.Context) {
	for c.current() == nil && ctx.Err() == nil {
		var wg sync.WaitGroup
		wg.Go(func() { c.loadFromStore(ctx) })
		for _, peer := range c.peers() {
			wg.Go(func() { c.loadFromPeer(ctx, peer) })
		}
		done := make(chan struct{})
		go func() {
			wg.Wait()
			close(done)
		}()
		select {
		case <-done:
		case <-time.After(bootstrapRetryInterval):
		case <-ctx.Done():
		}
		if c.current() == nil {
			sleep(ctx, bootstrapRetryInterval)
		}
	}
}

// loadFromStore reads the configuration from the store and puts it in force if
// its generation is higher, or equal with another digest.
func (c *configLoader) loadFromStore(ctx context.Context) {
	have := c.current()
	snapshot, err := c.reader.Load(ctx, have)
	switch {
	case errors.Is(err, snipestore.ErrStoreBehind):
		c.metrics.storeBehind.Inc()
		c.log.Warn("store shows an older generation than the one in force", zap.Uint64("generation", c.generation()))
	case err != nil:
		c.log.Debug("configuration not read from the store", zap.Error(err))
	case snapshot != have:
		c.resolve(snapshot)
	}
}

// resolve offers a snapshot that was read from the store. Between two snapshots
// of the same generation the one from the store wins.
func (c *configLoader) resolve(s *snipeconfig.Snapshot) {
	c.logOffer(c.tracker.Resolve(s), s, "store")
}

// logOffer logs what the tracker did with an offered snapshot.
func (c *configLoader) logOffer(verdict snipeconfig.OfferResult, s *snipeconfig.Snapshot, source string) {
	c.log.Info("configuration offered", zap.Stringer("verdict", verdict), zap.Uint64("generation", s.Generation()),
		zap.String("operation", s.Operation()), zap.String("source", source))
}

// loadFromPeer requests from a peer the documents that differ from the
// configuration in force, and offers the resulting snapshot.
func (c *configLoader) loadFromPeer(ctx context.Context, peer string) {
	ctx, cancel := context.WithTimeout(ctx, configCallTimeout)
	defer cancel()
	have := c.current()
	request := &snipewire.ConfigRequest{}
	if have != nil {
		request.Generation = have.Generation()
		for _, v := range have.Versions() {
			request.Have = append(request.Have, &snipewire.DocumentVersion{Kind: string(v.Ref.Kind), Name: v.Ref.Name, Digest: v.Digest})
		}
	}
	reply, err := snipepeer.Call[*snipewire.ConfigReply](ctx, c.node, peer, request)
	if err != nil {
		c.log.Debug("configuration not read from peer", zap.String("peer", peer), zap.Error(err))
		return
	}
	if reply.GetGeneration() <= c.generation() {
		return
	}
	snapshot, err := catchUpFromProto(reply).Apply(have)
	if err != nil {
		c.log.Warn("configuration of peer rejected", zap.String("peer", peer), zap.Error(err))
		return
	}
	c.logOffer(c.tracker.Offer(snapshot), snapshot, peer)
}

// handleRequest returns the documents that a peer lacks, or only the generation
// if the peer has the same or a higher one.
func (c *configLoader) handleRequest(request *snipewire.ConfigRequest) *snipewire.ConfigReply {
	snapshot := c.current()
	if snapshot == nil || snapshot.Generation() <= request.GetGeneration() {
		return &snipewire.ConfigReply{Generation: c.generation()}
	}
	have := make([]snipeconfig.Version, 0, len(request.GetHave()))
	for _, v := range request.GetHave() {
		ref := snipeconfig.Ref{Kind: snipeconfig.Kind(v.GetKind()), Name: v.GetName()}
		have = append(have, snipeconfig.Version{Ref: ref, Digest: v.GetDigest()})
	}
	catchUp := snapshot.DeltaFrom(have)
	reply := &snipewire.ConfigReply{Generation: catchUp.Generation, Digest: catchUp.Digest, Operation: catchUp.Operation}
	for _, d := range catchUp.Documents {
		reply.Documents = append(reply.Documents, &snipewire.ConfigDocument{
			Kind: string(d.Version.Ref.Kind), Name: d.Version.Ref.Name, Digest: d.Version.Digest,
			Body: d.Body, Deleted: d.Deleted,
		})
	}
	return reply
}

// catchUpFromProto converts the reply of a peer.
func catchUpFromProto(reply *snipewire.ConfigReply) snipeconfig.Delta {
	c := snipeconfig.Delta{Generation: reply.GetGeneration(), Digest: reply.GetDigest(), Operation: reply.GetOperation()}
	for _, d := range reply.GetDocuments() {
		ref := snipeconfig.Ref{Kind: snipeconfig.Kind(d.GetKind()), Name: d.GetName()}
		c.Documents = append(c.Documents, snipeconfig.DeltaDocument{
			Version: snipeconfig.Version{Ref: ref, Digest: d.GetDigest()}, Body: d.GetBody(), Deleted: d.GetDeleted(),
		})
	}
	return c
}

// handleAnnouncement compares the generation and digest of a peer with those in
// force, and fetches the peer's configuration if its generation is higher.
func (c *configLoader) handleAnnouncement(peer string, generation, digest uint64) {
	snapshot := c.current()
	if snapshot != nil && generation == snapshot.Generation() && digest != snapshot.Digest() {
		c.handleDigestConflict(peer, generation)
		return
	}
	if generation > c.generation() && c.tryBeginFetch(peer) {
		c.spawn(func() {
			c.loadFromPeer(context.Background(), peer)
			c.mu.Lock()
			delete(c.fetching, peer)
			c.mu.Unlock()
		})
	}
}

// handleDigestConflict counts a peer that has the generation in force with
// another digest. It reads the store, which decides between the two, at most
// once per conflictReadInterval.
func (c *configLoader) handleDigestConflict(peer string, generation uint64) {
	c.metrics.digestConflicts.Inc()
	c.mu.Lock()
	now := time.Now()
	due := now.Sub(c.conflictReadAt) >= conflictReadInterval
	if due {
		c.conflictReadAt = now
	}
	c.mu.Unlock()
	if !due {
		return
	}
	c.log.Error("peer has the same generation with another digest", zap.String("peer", peer),
		zap.Uint64("generation", generation))
	c.spawn(func() { c.loadFromStore(context.Background()) })
}

// tryBeginFetch reports whether a request to the peer may start now, and marks
// it as in flight. Up to maxConcurrentFetches peers are asked at a time, so
// that one that does not respond hardly delays a change.
func (c *configLoader) tryBeginFetch(peer string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fetching[peer] || len(c.fetching) >= maxConcurrentFetches {
		return false
	}
	c.fetching[peer] = true
	return true
}

// spawn runs f on a goroutine that close waits for.
func (c *configLoader) spawn(f func()) { c.wg.Go(f) }

// setWatching starts or ends the watch on the configuration index in the store.
func (c *configLoader) setWatching(watching bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case watching && c.cancelWatch == nil:
		ctx, cancel := context.WithCancel(context.Background())
		c.cancelWatch = cancel
		c.spawn(func() { c.watchHead(ctx) })
		c.log.Info("configuration watch started")
	case !watching && c.cancelWatch != nil:
		c.cancelWatch()
		c.cancelWatch = nil
		c.log.Info("configuration watch ended")
	}
}

// watching reports whether this instance watches the configuration index.
func (c *configLoader) watching() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cancelWatch != nil
}

// watchHead reads the configuration from the store after each change of the
// index until ctx ends.
func (c *configLoader) watchHead(ctx context.Context) {
	// A watch after revision 0 reports the current index first.
	for event := range c.store.Watch(ctx, snipestore.HeadKey, 0) {
		if event.RevisionDecreased {
			c.metrics.storeBehind.Inc()
			c.log.Warn("store revision went backwards", zap.Uint64("revision", event.Revision))
		}
		c.loadFromStore(ctx)
	}
}

// close ends the watch and waits for loads in progress.
func (c *configLoader) close() {
	c.setWatching(false)
	c.wg.Wait()
}

// announce sends the generation and digest in force to the peers.
func (c *configLoader) announce(peers []string) {
	snapshot := c.current()
	if snapshot == nil {
		return
	}
	for _, peer := range peers {
		// The next heartbeat carries the same data if this message is lost.
		_ = c.node.Send(peer, &snipewire.ConfigAnnounce{Generation: snapshot.Generation(), Digest: snapshot.Digest()})
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
