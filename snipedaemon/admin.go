package snipedaemon

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/snipemoor/snipemoor/snipetime"
)

const adminHeaderTimeout = 5 * time.Second

// statusWire is the response of GET /v1/status.
type statusWire struct {
	Address        string           `json:"address"`
	PeerAddress    string           `json:"peerAddress"`
	Place          string           `json:"place"`
	FailureDomain  string           `json:"failureDomain"`
	Region         string           `json:"region"`
	Incarnation    string           `json:"incarnation"`
	Generation     uint64           `json:"generation"`
	Digest         uint64           `json:"digest"`
	Operation      string           `json:"operation"`
	Ready          bool             `json:"ready"`
	Stopping       bool             `json:"stopping"`
	StoreAvailable bool             `json:"storeAvailable"`
	Members        []memberWire     `json:"members"`
	Positions      []positionWire   `json:"positions"`
	Limits         []limitWire      `json:"limits"`
	Groups         []groupStateWire `json:"groups"`
}

type memberWire struct {
	Address     string `json:"address"`
	PeerAddress string `json:"peerAddress"`
	Place       string `json:"place"`
	Incarnation string `json:"incarnation"`
	State       string `json:"state"`
	Generation  uint64 `json:"generation"`
	Ready       bool   `json:"ready"`
}

type positionWire struct {
	Region         string `json:"region"`
	Index          int    `json:"index"`
	Epoch          uint64 `json:"epoch"`
	LeaseRemaining string `json:"leaseRemaining"`
}

type limitWire struct {
	Limit         string  `json:"limit"`
	PerSecond     float64 `json:"perSecond"`
	Units         int     `json:"units"`
	UsedPerSecond float64 `json:"usedPerSecond"`
}

type groupStateWire struct {
	Group  string `json:"group"`
	Total  int    `json:"total"`
	Free   int    `json:"free"`
	Queued int    `json:"queued"`
	Owner  string `json:"owner"`
}

// newAdmin returns the handler of the admin interface.
func newAdmin(d *Daemon, gatherer prometheus.Gatherer) http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", func(c echo.Context) error {
		if !d.Ready() {
			return c.String(http.StatusServiceUnavailable, "not ready\n")
		}
		return c.String(http.StatusOK, "ready\n")
	})
	e.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(gatherer, promhttp.HandlerOpts{})))
	e.GET("/v1/status", func(c echo.Context) error { return c.JSON(http.StatusOK, d.status(d.clock.Now())) })
	return e
}

func (d *Daemon) status(now snipetime.Instant) statusWire {
	s := statusWire{
		Address: d.self.address, PeerAddress: d.self.peerAddress, Place: d.self.place,
		FailureDomain: d.self.domain, Region: d.region(), Incarnation: d.self.incarnation,
		Ready: d.Ready(), Stopping: d.stopping.Load(), StoreAvailable: d.store.Available(),
		Members: []memberWire{}, Positions: []positionWire{}, Limits: []limitWire{}, Groups: []groupStateWire{},
	}
	if snapshot := d.config.current(); snapshot != nil {
		s.Generation, s.Digest, s.Operation = snapshot.Generation(), snapshot.Digest(), snapshot.Operation()
	}
	for _, m := range d.members.view.Snapshot().Members() {
		generation := m.Generation
		if m.Address == d.self.address {
			generation = s.Generation
		}
		s.Members = append(s.Members, memberWire{
			m.Address, m.PeerAddress, m.Place, m.Incarnation, m.State.String(), generation, m.Ready,
		})
	}
	held, _ := d.positions.view()
	for _, h := range held {
		s.Positions = append(s.Positions, positionWire{
			s.Region, h.Index, h.Epoch, h.LeaseEnd.Sub(now).Round(time.Millisecond).String(),
		})
	}
	for _, l := range d.limits.status(now) {
		s.Limits = append(s.Limits, limitWire{l.ID, l.PerSecond, l.Units, l.UsedPerSecond})
	}
	for _, l := range d.slots.loads() {
		s.Groups = append(s.Groups, groupStateWire{l.Group, l.Total, l.Free, l.Queued, d.slots.ownerOf(l.Group)})
	}
	return s
}
