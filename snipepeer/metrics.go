package snipepeer

import (
	"fmt"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
)

type metrics struct {
	dropped  prometheus.Counter
	invalid  *prometheus.CounterVec
	sessions prometheus.Gauge
	closed   *prometheus.CounterVec
}

func newMetrics() *metrics {
	return &metrics{
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "snipemoor_peer_dropped_messages_total",
			Help: "Control messages dropped because there was no session or its queue was full.",
		}),
		invalid: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "snipemoor_peer_invalid_frames_total",
			Help: "Frames that broke the protocol, by reason.",
		}, []string{"reason"}),
		sessions: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "snipemoor_peer_sessions",
			Help: "Open sessions to peers.",
		}),
		closed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "snipemoor_peer_sessions_closed_total",
			Help: "Closed sessions, by cause.",
		}, []string{"cause"}),
	}
}

// Collectors returns the counters of the node for registration by the owner.
func (n *Node) Collectors() []prometheus.Collector {
	m := n.metrics
	return []prometheus.Collector{m.dropped, m.invalid, m.sessions, m.closed}
}

// muxLog passes log lines of yamux to zap at debug level; the causes that
// matter are logged by this package.
type muxLog struct{ log *zap.Logger }

func (l muxLog) Print(v ...any) { l.line(fmt.Sprint(v...)) }

func (l muxLog) Printf(format string, v ...any) { l.line(fmt.Sprintf(format, v...)) }

func (l muxLog) Println(v ...any) { l.line(fmt.Sprintln(v...)) }

func (l muxLog) line(s string) { l.log.Debug("yamux", zap.String("line", strings.TrimSpace(s))) }
