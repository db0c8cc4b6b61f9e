package snipepeer

import (
	"fmt"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
)

// metrics are the Prometheus collectors of a node.
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

// Collectors returns the Prometheus collectors of the node. The caller registers
// them.
func (n *Node) Collectors() []prometheus.Collector {
	m := n.metrics
	return []prometheus.Collector{m.dropped, m.invalid, m.sessions, m.closed}
}

// yamuxLogger writes the log lines of yamux to zap at debug level. Their level
// is low because this package logs the end of each session and its cause.
type yamuxLogger struct{ log *zap.Logger }

func (l yamuxLogger) Print(v ...any) { l.debug(fmt.Sprint(v...)) }

func (l yamuxLogger) Printf(format string, v ...any) { l.debug(fmt.Sprintf(format, v...)) }

func (l yamuxLogger) Println(v ...any) { l.debug(fmt.Sprintln(v...)) }

func (l yamuxLogger) debug(s string) { l.log.Debug("yamux", zap.String("line", strings.TrimSpace(s))) }
