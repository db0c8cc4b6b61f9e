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

// instanceWire is the value of an instance key in the store.
type instanceWire struct {
	Address     string `json:"address"`
	PeerAddress string `json:"peerAddress"`
	Place       string `json:"place"`
}

// keepLease registers this instance in the store and renews its lease.
func (m *membership) keepLease(ctx context.Context) {
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

func (m *membership) register(ctx context.Context) (string, error) {
	lease, err := m.store.Grant(ctx, instanceLease)
	if err != nil {
		return "", fmt.Errorf("grant lease: %w", err)
	}
	value, err := json.Marshal(instanceWire{m.self.address, m.self.peerAddress, m.self.place})
	if err != nil {
		return "", fmt.Errorf("encode instance: %w", err)
	}
	key := instancePrefix + m.self.address
	version := uint64(0)
	if item, err := m.store.Get(ctx, key); err == nil {
		version = item.Version
	}
	if _, err := m.store.Put(ctx, key, value, version, lease); err != nil {
		return "", fmt.Errorf("write %s: %w", key, err)
	}
	return lease, nil
}

// scanLeases reads the keys of all instances. Only the watchers do so, the
// others hear of the instances by heartbeats.
func (m *membership) scanLeases(ctx context.Context) {
	items, _, err := m.store.List(ctx, instancePrefix)
	if err != nil {
		m.log.Debug("instance keys not read", zap.Error(err))
		return
	}
	var entries []snipemember.LeaseEntry
	for _, item := range items {
		var w instanceWire
		if err := json.Unmarshal(item.Value, &w); err != nil || !strings.HasSuffix(item.Key, w.Address) {
			m.log.Warn("instance key ignored", zap.String("key", item.Key))
			continue
		}
		entries = append(entries, snipemember.LeaseEntry(w))
	}
	m.notify(m.view.Leases(entries, m.clock.Now()))
}

// deregister ends the store lease for a planned stop.
func (m *membership) deregister(ctx context.Context) {
	m.mu.Lock()
	lease := m.lease
	m.mu.Unlock()
	if lease != "" {
		// The lease ends by itself if this call fails.
		_ = m.store.Revoke(ctx, lease)
	}
}
