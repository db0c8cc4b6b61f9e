package snipedaemon

import (
	"cmp"
	"fmt"
	"net/netip"
	"time"

	"github.com/snipemoor/snipemoor/snipeconfig"
)

// Defaults of settings that are absent.
const (
	defaultStoreTimeout = 2 * time.Second
	defaultListInterval = time.Second
	defaultListTimeout  = 2 * time.Second
	defaultConnect      = time.Second
	defaultPingInterval = time.Second
	defaultPingTimeout  = 2 * time.Second
	defaultStopTimeout  = 150 * time.Second
	defaultStoreCalls   = 20.0
	defaultRecordBytes  = 16 << 20
)

// Settings are the settings of one entry instance.
type Settings struct {
	listen         netip.AddrPort
	peerListen     netip.AddrPort
	adminListen    netip.AddrPort
	place          string
	failureDomain  string
	region         string
	store          []netip.AddrPort
	storeTimeout   time.Duration
	storeCalls     float64
	instanceList   netip.AddrPort
	listInterval   time.Duration
	listTimeout    time.Duration
	connectTimeout time.Duration
	pingInterval   time.Duration
	pingTimeout    time.Duration
	stopTimeout    time.Duration
	recordBytes    int
	logLevel       string
	seed           uint64
}

// Listen returns the address of the callers' interface.
func (s *Settings) Listen() netip.AddrPort { return s.listen }

// PeerListen returns the address for sessions of other instances.
func (s *Settings) PeerListen() netip.AddrPort { return s.peerListen }

// AdminListen returns the address of the admin interface.
func (s *Settings) AdminListen() netip.AddrPort { return s.adminListen }

// Place returns the place of the instance.
func (s *Settings) Place() string { return s.place }

// FailureDomain returns the failure domain of the instance.
func (s *Settings) FailureDomain() string { return s.failureDomain }

// LogLevel returns the lowest level that is logged.
func (s *Settings) LogLevel() string { return s.logLevel }

// Region returns the region of the instance.
func (s *Settings) Region() string { return s.region }

// settingsWire is the settings file.
type settingsWire struct {
	Listen               netip.AddrPort   `check:"required"`
	PeerListen           netip.AddrPort   `check:"required"`
	AdminListen          netip.AddrPort   `check:"required"`
	Place                string           `check:"required,name"`
	FailureDomain        string           `check:"required,name"`
	Region               string           `check:"required,name"`
	StoreAddresses       []netip.AddrPort `check:"required"`
	StoreTimeout         time.Duration    `check:"max=1m"`
	StoreCallsPerSecond  float64          `check:"min=0,max=1000"`
	InstanceListAddress  netip.AddrPort   `check:"required"`
	InstanceListInterval time.Duration    `check:"max=1m"`
	InstanceListTimeout  time.Duration    `check:"max=1m"`
	ConnectTimeout       time.Duration    `check:"max=1m"`
	PingInterval         time.Duration    `check:"max=1m"`
	PingTimeout          time.Duration    `check:"max=1m"`
	StopTimeout          time.Duration    `check:"max=1h"`
	RecordBytes          int              `check:"min=0,max=1073741824"`
	LogLevel             string           `check:"oneof=debug|info|warn|error"`
	Seed                 int64            `check:"min=0"`
}

// ParseSettings parses and checks a settings file. The error, if any, is a
// *snipeconfig.FaultsError that lists every fault with line and column.
func ParseSettings(file string, data []byte) (*Settings, error) {
	var w settingsWire
	source := snipeconfig.Decode(file, data, &w)
	checkAddresses(source, &w)
	if err := source.Err(); err != nil {
		return nil, fmt.Errorf("check settings: %w", err)
	}
	return &Settings{
		listen:         w.Listen,
		peerListen:     w.PeerListen,
		adminListen:    w.AdminListen,
		place:          w.Place,
		failureDomain:  w.FailureDomain,
		region:         w.Region,
		store:          w.StoreAddresses,
		storeTimeout:   cmp.Or(w.StoreTimeout, defaultStoreTimeout),
		storeCalls:     cmp.Or(w.StoreCallsPerSecond, defaultStoreCalls),
		instanceList:   w.InstanceListAddress,
		listInterval:   cmp.Or(w.InstanceListInterval, defaultListInterval),
		listTimeout:    cmp.Or(w.InstanceListTimeout, defaultListTimeout),
		connectTimeout: cmp.Or(w.ConnectTimeout, defaultConnect),
		pingInterval:   cmp.Or(w.PingInterval, defaultPingInterval),
		pingTimeout:    cmp.Or(w.PingTimeout, defaultPingTimeout),
		stopTimeout:    cmp.Or(w.StopTimeout, defaultStopTimeout),
		recordBytes:    cmp.Or(w.RecordBytes, defaultRecordBytes),
		logLevel:       cmp.Or(w.LogLevel, "info"),
		seed:           uint64(w.Seed),
	}, nil
}

// checkAddresses reports listeners that collide or that peers cannot dial.
func checkAddresses(source *snipeconfig.Source, w *settingsWire) {
	listeners := []struct {
		path    string
		address netip.AddrPort
	}{
		{"listen", w.Listen}, {"peerListen", w.PeerListen}, {"adminListen", w.AdminListen},
	}
	for i, l := range listeners {
		if !l.address.IsValid() {
			continue
		}
		if l.address.Port() == 0 || l.address.Addr().IsUnspecified() {
			source.Faultf(l.path, "address %s needs an IP number and a port that others can dial", l.address)
		}
		for _, other := range listeners[:i] {
			if other.address == l.address {
				source.Faultf(l.path, "address %s is already used by %s", l.address, other.path)
			}
		}
	}
}
