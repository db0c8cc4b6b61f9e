package snipedaemon

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/snipemoor/snipemoor/snipetime"
)

// adminHeaderTimeout bounds the time to read the headers of an admin request.
const adminHeaderTimeout = 5 * time.Second

// statusResponse is the body of the response to GET /v1/status.
type statusResponse struct {
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
	Members        []memberStatus   `json:"members"`
	Positions      []positionStatus `json:"positions"`
	Limits         []limitStatus    `json:"limits"`
	Groups         []groupStatus    `json:"groups"`
}

// memberStatus describes one instance of the fleet as this instance sees it.
type memberStatus struct {
	Address     string `json:"address"`
	PeerAddress string `json:"peerAddress"`
	Place       string `json:"place"`
	Incarnation string `json:"incarnation"`
	State       string `json:"state"`
	Generation  uint64 `json:"generation"`
	Ready       bool   `json:"ready"`
}

// positionStatus describes one position that this instance holds.
type positionStatus struct {
	Region         string `json:"region"`
	Index          int    `json:"index"`
	Epoch          uint64 `json:"epoch"`
	LeaseRemaining string `json:"leaseRemaining"`
}

// limitStatus describes one rate limit and this instance's share of it. Rates
// are in bits or requests per second.
type limitStatus struct {
	Limit         string  `json:"limit"`
	PerSecond     float64 `json:"perSecond"`
	Units         int     `json:"units"`
	UsedPerSecond float64 `json:"usedPerSecond"`
}

// groupStatus describes one slot group that this instance owns.
type groupStatus struct {
	Group  string `json:"group"`
	Total  int    `json:"total"`
	Free   int    `json:"free"`
	Queued int    `json:"queued"`
	Owner  string `json:"owner"`
}

// newAdminHandler returns the HTTP handler of the admin interface.
func newAdminHandler(d *Daemon, gatherer prometheus.Gatherer) http.Handler {
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

// status returns the response to GET /v1/status at the given time.
func (d *Daemon) status(now snipetime.Instant) statusResponse {
	s := statusResponse{
		Address: d.self.address, PeerAddress: d.self.peerAddress, Place: d.self.place,
		FailureDomain: d.self.domain, Region: d.region(), Incarnation: d.self.incarnation,
		Ready: d.Ready(), Stopping: d.stopping.Load(), StoreAvailable: d.store.Available(),
		Members: []memberStatus{}, Positions: []positionStatus{}, Limits: []limitStatus{}, Groups: []groupStatus{},
	}
	if snapshot := d.config.current(); snapshot != nil {
		s.Generation, s.Digest, s.Operation = snapshot.Generation(), snapshot.Digest(), snapshot.Operation()
	}
	for _, m := range d.members.view.Snapshot().Members() {
		generation := m.Generation
		if m.Address == d.self.address {
			generation = s.Generation
		}
		s.Members = append(s.Members, memberStatus{
			m.Address, m.PeerAddress, m.Place, m.Incarnation, m.State.String(), generation, m.Ready,
		})
	}
	held, _ := d.positions.snapshot()
	for _, h := range held {
		s.Positions = append(s.Positions, positionStatus{
			s.Region, h.Index, h.Epoch, h.LeaseEnd.Sub(now).Round(time.Millisecond).String(),
		})
	}
	for _, l := range d.limits.status(now) {
		s.Limits = append(s.Limits, limitStatus{l.ID, l.PerSecond, l.Units, l.UsedPerSecond})
	}
	for _, l := range d.slots.ownedLoads() {
		s.Groups = append(s.Groups, groupStatus{l.Group, l.Total, l.Free, l.Queued, d.slots.ownerOf(l.Group)})
	}
	return s
}
