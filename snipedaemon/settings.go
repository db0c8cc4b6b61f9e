package snipedaemon

import (
	"cmp"
	"fmt"
	"net/netip"
	"time"

	"github.com/snipemoor/snipemoor/snipeconfig"
)

// Defaults of optional settings.
const (
	defaultStoreTimeout        = 2 * time.Second
	defaultListInterval        = time.Second
	defaultListTimeout         = 2 * time.Second
	defaultConnectTimeout      = time.Second
	defaultPingInterval        = time.Second
	defaultPingTimeout         = 2 * time.Second
	defaultStopTimeout         = 150 * time.Second
	defaultStoreCallsPerSecond = 20.0
	defaultRecordBytes         = 16 << 20
)

// Settings holds the checked settings of one entry instance.
type Settings struct {
	listen              netip.AddrPort
	peerListen          netip.AddrPort
	adminListen         netip.AddrPort
	place               string
	failureDomain       string
	region              string
	storeAddresses      []netip.AddrPort
	storeTimeout        time.Duration
	storeCallsPerSecond float64
	instanceList        netip.AddrPort
	listInterval        time.Duration
	listTimeout         time.Duration
	connectTimeout      time.Duration
	pingInterval        time.Duration
	pingTimeout         time.Duration
	stopTimeout         time.Duration
	recordBytes         int
	logLevel            string
	seed                uint64
}

// Listen returns the address at which callers reach the instance.
func (s *Settings) Listen() netip.AddrPort { return s.listen }

// PeerListen returns the address at which other instances open sessions.
func (s *Settings) PeerListen() netip.AddrPort { return s.peerListen }

// AdminListen returns the address of the admin interface.
func (s *Settings) AdminListen() netip.AddrPort { return s.adminListen }

// Place returns the name of the place that the instance is in.
func (s *Settings) Place() string { return s.place }

// FailureDomain returns the name of the failure domain that the instance is in.
func (s *Settings) FailureDomain() string { return s.failureDomain }

// LogLevel returns the lowest level that is logged: debug, info, warn or error.
func (s *Settings) LogLevel() string { return s.logLevel }

// Region returns the name of the region that the instance is in.
func (s *Settings) Region() string { return s.region }

// settingsFile is the content of the settings file. The keys are the field
// names with a small first letter. An optional setting that is 0 or empty gets
// its default.
type settingsFile struct {
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

// ParseSettings parses and checks the settings in data. file is the name for
// error messages. Absent optional settings get their defaults. The error wraps
// a *snipeconfig.FaultsError that lists every fault with its line and column.
func ParseSettings(file string, data []byte) (*Settings, error) {
	var decoded settingsFile
	source := snipeconfig.Decode(file, data, &decoded)
	checkAddresses(source, &decoded)
	if err := source.Err(); err != nil {
		return nil, fmt.Errorf("check settings: %w", err)
	}
	return &Settings{
		listen:              decoded.Listen,
		peerListen:          decoded.PeerListen,
		adminListen:         decoded.AdminListen,
		place:               decoded.Place,
		failureDomain:       decoded.FailureDomain,
		region:              decoded.Region,
		storeAddresses:      decoded.StoreAddresses,
		storeTimeout:        cmp.Or(decoded.StoreTimeout, defaultStoreTimeout),
		storeCallsPerSecond: cmp.Or(decoded.StoreCallsPerSecond, defaultStoreCallsPerSecond),
		instanceList:        decoded.InstanceListAddress,
		listInterval:        cmp.Or(decoded.InstanceListInterval, defaultListInterval),
		listTimeout:         cmp.Or(decoded.InstanceListTimeout, defaultListTimeout),
		connectTimeout:      cmp.Or(decoded.ConnectTimeout, defaultConnectTimeout),
		pingInterval:        cmp.Or(decoded.PingInterval, defaultPingInterval),
		pingTimeout:         cmp.Or(decoded.PingTimeout, defaultPingTimeout),
		stopTimeout:         cmp.Or(decoded.StopTimeout, defaultStopTimeout),
		recordBytes:         cmp.Or(decoded.RecordBytes, defaultRecordBytes),
		logLevel:            cmp.Or(decoded.LogLevel, "info"),
		seed:                uint64(decoded.Seed),
	}, nil
}

// checkAddresses reports two listeners with the same address, and addresses
// that others cannot dial.
func checkAddresses(source *snipeconfig.Source, decoded *settingsFile) {
	listeners := []struct {
		path    string
		address netip.AddrPort
	}{
		{"listen", decoded.Listen}, {"peerListen", decoded.PeerListen}, {"adminListen", decoded.AdminListen},
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
