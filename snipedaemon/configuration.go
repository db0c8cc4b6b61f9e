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
	// configRetry is the pause between tries to load the first configuration.
	configRetry = 200 * time.Millisecond
	// configCallTimeout bounds a request for documents to a peer.
	configCallTimeout = 2 * time.Second
	maxFetches        = 2
	// conflictPause is the least time between two reads that resolve a conflict
	// of digests, because heartbeats repeat it twice a second.
	conflictPause = 5 * time.Second
)

// configuration keeps the generation in force: it reads the store where this
// instance is a watcher, and asks peers where it is behind.
type configuration struct {
	log     *zap.Logger
	node    *snipepeer.Node
	store   *snipestore.Client
	reader  *snipestore.Reader
	tracker *snipeconfig.Tracker
	metrics *metrics

	// peers returns the peer addresses that may have a configuration.
	peers func() []string

	mu       sync.Mutex
	fetching map[string]bool
	watch    context.CancelFunc
	// conflictAt is when a conflict of digests was last resolved.
	conflictAt time.Time
	wg         sync.WaitGroup
}

func newConfiguration(log *zap.Logger, node *snipepeer.Node, store *snipestore.Client, metrics *metrics) *configuration {
	c := &configuration{
		log: log, node: node, store: store, metrics: metrics,
		reader: snipestore.NewReader(store), tracker: &snipeconfig.Tracker{},
		fetching: make(map[string]bool),
	}
	snipepeer.HandleCall(node, func(_ context.Context, _ snipepeer.Peer, q *snipewire.ConfigRequest) (*snipewire.ConfigReply, error) {
		return c.answer(q), nil
	})
	snipepeer.HandleSend(node, func(from snipepeer.Peer, m *snipewire.ConfigAnnounce) {
		c.announced(from.Address, m.GetGeneration(), m.GetDigest())
	})
	return c
}

// current returns the snapshot in force, or nil.
func (c *configuration) current() *snipeconfig.Snapshot { return c.tracker.Current() }

func (c *configuration) generation() uint64 {
	if s := c.current(); s != nil {
		return s.Generation()
	}
	return 0
}

// bootstrap loads the first configuration from the store and the peers, and
// takes whichever answers; the higher generation wins. It returns when a
// configuration is in force or ctx ends.
func (c *configuration) bootstrap(ctx context.Context) {
	for c.current() == nil && ctx.Err() == nil {
		var wg sync.WaitGroup
		wg.Go(func() { c.loadStore(ctx) })
		for _, peer := range c.peers() {
			wg.Go(func() { c.loadPeer(ctx, peer) })
		}
		done := make(chan struct{})
		go func() {
			wg.Wait()
			close(done)
		}()
		select {
		case <-done:
		case <-time.After(configRetry):
		case <-ctx.Done():
		}
		if c.current() == nil {
			sleep(ctx, configRetry)
		}
	}
}

// loadStore puts the configuration of the store in force if it is newer.
func (c *configuration) loadStore(ctx context.Context) {
	have := c.current()
	snapshot, err := c.reader.Load(ctx, have)
	switch {
	case errors.Is(err, snipestore.ErrBehind):
		c.metrics.storeBehind.Inc()
		c.log.Warn("store shows an older generation than the one in force", zap.Uint64("generation", c.generation()))
	case err != nil:
		c.log.Debug("configuration not read from the store", zap.Error(err))
	case snapshot != have:
		c.resolve(snapshot)
	}
}

// resolve offers a snapshot that was read from the store, which decides between
// two snapshots of one generation.
func (c *configuration) resolve(s *snipeconfig.Snapshot) {
	c.report(c.tracker.Resolve(s), s, "store")
}

func (c *configuration) report(v snipeconfig.Verdict, s *snipeconfig.Snapshot, source string) {
	c.log.Info("configuration offered", zap.Stringer("verdict", v), zap.Uint64("generation", s.Generation()),
		zap.String("operation", s.Operation()), zap.String("source", source))
}

// loadPeer asks a peer for what differs.
func (c *configuration) loadPeer(ctx context.Context, peer string) {
	ctx, cancel := context.WithTimeout(ctx, configCallTimeout)
	defer cancel()
	have := c.current()
	q := &snipewire.ConfigRequest{}
	if have != nil {
		q.Generation = have.Generation()
		for _, v := range have.Versions() {
			q.Have = append(q.Have, &snipewire.DocumentVersion{Kind: string(v.Ref.Kind), Name: v.Ref.Name, Digest: v.Digest})
		}
	}
	reply, err := snipepeer.Call[*snipewire.ConfigReply](ctx, c.node, peer, q)
	if err != nil {
		c.log.Debug("configuration not read from peer", zap.String("peer", peer), zap.Error(err))
		return
	}
	if reply.GetGeneration() <= c.generation() {
		return
	}
	snapshot, err := catchUpFrom(reply).Apply(have)
	if err != nil {
		c.log.Warn("configuration of peer rejected", zap.String("peer", peer), zap.Error(err))
		return
	}
	c.report(c.tracker.Offer(snapshot), snapshot, peer)
}

// answer returns what a peer lacks.
func (c *configuration) answer(q *snipewire.ConfigRequest) *snipewire.ConfigReply {
	snapshot := c.current()
	if snapshot == nil || snapshot.Generation() <= q.GetGeneration() {
		return &snipewire.ConfigReply{Generation: c.generation()}
	}
	have := make([]snipeconfig.Version, 0, len(q.GetHave()))
	for _, v := range q.GetHave() {
		ref := snipeconfig.Ref{Kind: snipeconfig.Kind(v.GetKind()), Name: v.GetName()}
		have = append(have, snipeconfig.Version{Ref: ref, Digest: v.GetDigest()})
	}
	catchUp := snapshot.CatchUpFor(have)
	reply := &snipewire.ConfigReply{Generation: catchUp.Generation, Digest: catchUp.Digest, Operation: catchUp.Operation}
	for _, d := range catchUp.Documents {
		reply.Documents = append(reply.Documents, &snipewire.ConfigDocument{
			Kind: string(d.Version.Ref.Kind), Name: d.Version.Ref.Name, Digest: d.Version.Digest,
			Body: d.Body, Deleted: d.Deleted,
		})
	}
	return reply
}

func catchUpFrom(reply *snipewire.ConfigReply) snipeconfig.CatchUp {
	c := snipeconfig.CatchUp{Generation: reply.GetGeneration(), Digest: reply.GetDigest(), Operation: reply.GetOperation()}
	for _, d := range reply.GetDocuments() {
		ref := snipeconfig.Ref{Kind: snipeconfig.Kind(d.GetKind()), Name: d.GetName()}
		c.Documents = append(c.Documents, snipeconfig.CatchUpDocument{
			Version: snipeconfig.Version{Ref: ref, Digest: d.GetDigest()}, Body: d.GetBody(), Deleted: d.GetDeleted(),
		})
	}
	return c
}

// announced compares a peer's generation and digest with the own ones and
// fetches what is missing.
func (c *configuration) announced(peer string, generation, digest uint64) {
	snapshot := c.current()
	if snapshot != nil && generation == snapshot.Generation() && digest != snapshot.Digest() {
		c.conflict(peer, generation)
		return
	}
	if generation > c.generation() && c.beginFetch(peer) {
		c.spawn(func() {
			c.loadPeer(context.Background(), peer)
			c.mu.Lock()
			delete(c.fetching, peer)
			c.mu.Unlock()
		})
	}
}

// conflict counts a peer with another digest and lets the store decide, at most
// once in conflictPause.
func (c *configuration) conflict(peer string, generation uint64) {
	c.metrics.digestConflicts.Inc()
	c.mu.Lock()
	now := time.Now()
	due := now.Sub(c.conflictAt) >= conflictPause
	if due {
		c.conflictAt = now
	}
	c.mu.Unlock()
	if !due {
		return
	}
	c.log.Error("peer has the same generation with another digest", zap.String("peer", peer),
		zap.Uint64("generation", generation))
	c.spawn(func() { c.loadStore(context.Background()) })
}

// beginFetch reports whether to ask peer now. Two peers are asked at a time, so
// that one that does not respond delays a change only little.
func (c *configuration) beginFetch(peer string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fetching[peer] || len(c.fetching) >= maxFetches {
		return false
	}
	c.fetching[peer] = true
	return true
}

func (c *configuration) spawn(f func()) { c.wg.Go(f) }

// setWatching starts or ends the watch on the index.
func (c *configuration) setWatching(watching bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case watching && c.watch == nil:
		ctx, cancel := context.WithCancel(context.Background())
		c.watch = cancel
		c.spawn(func() { c.watchHead(ctx) })
		c.log.Info("configuration watch started")
	case !watching && c.watch != nil:
		c.watch()
		c.watch = nil
		c.log.Info("configuration watch ended")
	}
}

func (c *configuration) watching() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.watch != nil
}

func (c *configuration) watchHead(ctx context.Context) {
	// A watch after revision 0 reports the present index first.
	for event := range c.store.Watch(ctx, snipestore.HeadKey, 0) {
		if event.Backwards {
			c.metrics.storeBehind.Inc()
			c.log.Warn("store revision went backwards", zap.Uint64("revision", event.Revision))
			continue
		}
		c.loadStore(ctx)
	}
}

// close ends the watch and waits for running loads.
func (c *configuration) close() {
	c.setWatching(false)
	c.wg.Wait()
}

// announce tells peers of the generation in force.
func (c *configuration) announce(peers []string) {
	snapshot := c.current()
	if snapshot == nil {
		return
	}
	for _, peer := range peers {
		// A lost announcement is made good by the next heartbeat.
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
