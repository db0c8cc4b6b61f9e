package snipefront

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/snipemoor/snipemoor/platform"
	"github.com/snipemoor/snipemoor/snipeconn"
	"github.com/snipemoor/snipemoor/snipefeed"
	"github.com/snipemoor/snipemoor/snipepeer"
	"github.com/snipemoor/snipemoor/snipetime"
)

const (
	// peerUnackedTimeout is how long bytes sent to another front may stay
	// unacknowledged before the connection is closed.
	peerUnackedTimeout = time.Second
	// peerPingInterval is the time between two pings of a session, and peerPingTimeout
	// bounds the wait for the reply. Calls have shorter timeouts of their own.
	peerPingInterval = 5 * time.Second
	peerPingTimeout  = 2 * time.Second
	// peerHandshakeTimeout bounds the opening of a session, dial included.
	peerHandshakeTimeout = 500 * time.Millisecond
)

const (
	// limitInterval is the time between two divisions of the limits of targets.
	limitInterval = 250 * time.Millisecond
	// limitNoticeAge is how long a limit is told to the fronts of other groups. It spans
	// several intervals, since a notice without a session is dropped.
	limitNoticeAge = 4 * limitInterval
)

// divideLimits renews the own shares of the limits of targets, and tells the limits and
// the usage of quotas to other watchers.
func (f *Front) divideLimits(now snipetime.Instant) {
	notice := f.quotas.Tick(now, limitNoticeAge)
	if f.node != nil && len(notice.Peers) > 0 {
		snipefeed.SendLimitNotice(f.node, notice.Peers, notice.Reports)
	}
	tenants := f.tenants.Tick(now)
	if f.node != nil && len(tenants.Peers) > 0 {
		snipefeed.SendTenantNotice(f.node, tenants.Peers, tenants.Fronts, tenants.Usage)
	}
}

// newNode returns the node over which fronts request items of the store from each
// other and exchange the loads and limits of targets and the usage of quotas. It listens at once and serves
// them once it is started. It returns an error if the address cannot be listened on.
func newNode(s *platform.Settings, items *snipefeed.Log, loads snipefeed.LoadExchange, limits snipefeed.LimitExchange, tenants snipefeed.TenantExchange, clock snipefeed.Clock, log *zap.Logger) (*snipepeer.Node, error) {
	l, err := net.Listen("tcp4", s.PeerListen)
	if err != nil {
		return nil, fmt.Errorf("listen for other fronts: %w", err)
	}
	const hexadecimal = 16
	settings := snipepeer.Settings{
		Address: s.PeerListen, Incarnation: strconv.FormatUint(rand.Uint64(), hexadecimal), Place: s.Place.Domain,
		PingInterval: peerPingInterval, PingTimeout: peerPingTimeout, HandshakeTimeout: peerHandshakeTimeout,
	}
	dialer := &net.Dialer{Timeout: peerHandshakeTimeout, KeepAlive: -1, Control: snipeconn.TCPUserTimeoutControl(peerUnackedTimeout)}
	node := snipepeer.New(settings, l, dialer, log)
	snipefeed.Serve(node, items, loads, limits, tenants, clock)
	snipefeed.ServeLimitNotices(node, limits, tenants, clock)
	return node, nil
}

// peersActor returns the actor that runs the node for calls between fronts.
func (f *Front) peersActor() (execute func() error, interrupt func(error)) {
	done := make(chan struct{})
	return func() error {
			f.node.Start()
			<-done
			return nil
		}, func(error) {
			close(done)
			f.node.Close()
		}
}
