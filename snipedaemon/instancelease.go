package snipedaemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"go.uber.org/zap"

	"github.com/snipemoor/snipemoor/snipemember"
	"github.com/snipemoor/snipemoor/snipestore"
)

// instanceRecord is the value of an instance key in the store.
type instanceRecord struct {
	Address     string `json:"address"`
	PeerAddress string `json:"peerAddress"`
	Place       string `json:"place"`
}

// renewLease renews the lease of this instance's key in the store. If the
// instance has no lease or it has expired, it registers the instance under a
// new one.
func (m *membership) renewLease(ctx context.Context) {
	m.mu.Lock()
	lease := m.lease
	m.mu.Unlock()
	if lease != "" {
		err := m.store.Renew(ctx, lease)
		if err == nil || !errors.Is(err, snipestore.ErrLeaseExpired) {
			return
		}
	}
	lease, err := m.register(ctx)
	if err != nil {
		m.log.Debug("instance not registered in the store", zap.Error(err))
	}
	m.mu.Lock()
	m.lease = lease
	m.mu.Unlock()
}

// register writes the key of this instance to the store under a new lease and
// returns the identifier of the lease.
func (m *membership) register(ctx context.Context) (string, error) {
	lease, err := m.store.Grant(ctx, instanceTTL)
	if err != nil {
		return "", fmt.Errorf("grant lease: %w", err)
	}
	value, err := json.Marshal(instanceRecord{m.self.address, m.self.peerAddress, m.self.place})
	if err != nil {
		return "", fmt.Errorf("encode instance: %w", err)
	}
	key := instanceKeyPrefix + m.self.address
	version := uint64(0)
	if item, err := m.store.Get(ctx, key); err == nil {
		version = item.Version
	}
	if _, err := m.store.Put(ctx, key, value, version, lease); err != nil {
		return "", fmt.Errorf("write %s: %w", key, err)
	}
	return lease, nil
}

// scanLeases reads the keys of all instances from the store and merges them
// into the view. Only the watchers of the configuration and an instance without
// one do so; the others receive the instances by heartbeats.
func (m *membership) scanLeases(ctx context.Context) {
	items, _, err := m.store.List(ctx, instanceKeyPrefix)
	if err != nil {
		m.log.Debug("instance keys not read", zap.Error(err))
		return
	}
	var entries []snipemember.LeaseEntry
	for _, item := range items {
		var record instanceRecord
		if err := json.Unmarshal(item.Value, &record); err != nil || !strings.HasSuffix(item.Key, record.Address) {
			m.log.Warn("instance key ignored", zap.String("key", item.Key))
			continue
		}
		entries = append(entries, snipemember.LeaseEntry(record))
	}
	m.handleEvents(m.view.MergeLeases(entries, m.clock.Now()))
}

// deregister ends the lease of this instance's key for a planned stop, which
// deletes the key.
func (m *membership) deregister(ctx context.Context) {
	m.mu.Lock()
	lease := m.lease
	m.mu.Unlock()
	if lease != "" {
		// If this call fails, the lease expires on its own.
		_ = m.store.Revoke(ctx, lease)
	}
}
