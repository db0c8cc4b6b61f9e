package snipeconfig

import (
	"net/netip"
	"time"
)

// The types whose names end in Wire are the JSON form of documents and of their
// parts. Their check tags, which Decode describes, hold the accepted values.

// templateWire is the JSON form of a template document.
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

// teamWire is the JSON form of a team document.
type teamWire struct {
	Kind         string                 `check:"required"`
	Name         string                 `check:"required,name"`
	Services     map[string]serviceWire `check:"required,names"`
	DrainWindows []windowWire
	ClientBlocks map[string]string
}

// serviceWire is the JSON form of a service. Targets are listed by place.
type serviceWire struct {
	Template  string                      `check:"required,name"`
	HomePlace string                      `check:"required,name"`
	Targets   map[string][]netip.AddrPort `check:"required"`
	Shift     shiftWire                   `check:"required"`
}

// shiftWire is the JSON form of the caps on requests served away from their home
// place.
type shiftWire struct {
	RequestsPerSecond float64 `check:"required,min=0,max=1000000000"`
	MbitPerSecond     float64 `check:"required,min=0,max=1000000000"`
	GrowthPerSecond   float64 `check:"required,min=0,max=1000000000"`
}

// windowWire is the JSON form of a drain window. It names either a target or a
// place.
type windowWire struct {
	Target netip.AddrPort
	Place  string
	Start  time.Time `check:"required"`
	End    time.Time `check:"required"`
}

// fleetWire is the JSON form of the fleet document. Without ReservePercent,
// DefaultReservePercent applies.
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

// regionWire is the JSON form of a region.
type regionWire struct {
	FailureDomains map[string]domainWire `check:"required,names"`
}

// domainWire is the JSON form of a failure domain.
type domainWire struct {
	Places []string `check:"required,name"`
}

// linkWire is the JSON form of the link between two regions.
type linkWire struct {
	Regions       []string      `check:"required,name"`
	MbitPerSecond float64       `check:"required,min=0.001,max=1000000000"`
	OneWayDelay   time.Duration `check:"required,max=10s"`
}

// drainWire is the JSON form of a drain document. It names one of Target,
// Instance and Place.
type drainWire struct {
	Kind     string `check:"required"`
	Name     string `check:"required,name"`
	Target   netip.AddrPort
	Instance netip.AddrPort
	Place    string
}
