package snipeconfig

import (
	"net/netip"
	"time"
)

type templateWire struct {
	Kind                 string        `check:"required"`
	Name                 string        `check:"required,name"`
	Class                string        `check:"required,oneof=safe|idempotent|once"`
	SlotsPerTarget       int           `check:"required,min=1,max=10000"`
	ConnectionsPerTarget int           `check:"required,min=1,max=100000"`
	ConnectCost          time.Duration `check:"max=10s"`
	ProbeCost            time.Duration `check:"max=10s"`
	ProbeInterval        time.Duration `check:"required,min=100ms,max=10m"`
	DefaultTimeout       time.Duration `check:"required,min=1ms,max=1h"`
	MaxTimeout           time.Duration `check:"required,min=1ms,max=1h"`
	MaxBodyBytes         int64         `check:"required,min=0,max=1073741824"`
	MaxHeaderBytes       int64         `check:"required,min=1024,max=1048576"`
	RequestBytes         int64         `check:"required,min=0,max=1073741824"`
	AnswerBytes          int64         `check:"required,min=0,max=1073741824"`
	SlowStart            time.Duration `check:"max=10m"`
}

type teamWire struct {
	Kind         string                 `check:"required"`
	Name         string                 `check:"required,name"`
	Services     map[string]serviceWire `check:"required,names"`
	DrainWindows []windowWire
	ClientBlocks map[string]string
}

type serviceWire struct {
	Template  string                      `check:"required,name"`
	HomePlace string                      `check:"required,name"`
	Targets   map[string][]netip.AddrPort `check:"required"`
	Shift     shiftWire                   `check:"required"`
}

type shiftWire struct {
	RequestsPerSecond float64 `check:"required,min=0,max=1000000000"`
	MbitPerSecond     float64 `check:"required,min=0,max=1000000000"`
	GrowthPerSecond   float64 `check:"required,min=0,max=1000000000"`
}

type windowWire struct {
	Target netip.AddrPort
	Place  string
	Start  time.Time `check:"required"`
	End    time.Time `check:"required"`
}

type fleetWire struct {
	Kind               string                `check:"required"`
	Name               string                `check:"required,name"`
	Regions            map[string]regionWire `check:"required,names"`
	Links              []linkWire
	ReservePercent     *float64      `check:"min=0.1,max=50"`
	PositionsPerRegion int           `check:"required,min=1,max=64"`
	DomainDelay        time.Duration `check:"required,max=10s"`
	ClientDelay        time.Duration `check:"required,max=10s"`
}

type regionWire struct {
	FailureDomains map[string]domainWire `check:"required,names"`
}

type domainWire struct {
	Places []string `check:"required,name"`
}

type linkWire struct {
	Regions       []string      `check:"required,name"`
	MbitPerSecond float64       `check:"required,min=0.001,max=1000000000"`
	OneWayDelay   time.Duration `check:"required,max=10s"`
}

type drainWire struct {
	Kind     string `check:"required"`
	Name     string `check:"required,name"`
	Target   netip.AddrPort
	Instance netip.AddrPort
	Place    string
}
