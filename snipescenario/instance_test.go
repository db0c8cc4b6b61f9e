package snipescenario_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/snipemoor/snipemoor/snipedaemon"
	"github.com/snipemoor/snipemoor/snipelog"
	"github.com/snipemoor/snipemoor/snipestandin"
)

// instanceCommand is the command name with which the test binary runs as one
// instance instead of running tests.
const instanceCommand = "scenario-instance"

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){instanceCommand: instanceMain})
}

// place is a place of a deployment. Each is a failure domain of its own.
type place struct {
	Name, Region string
}

// topology maps the addresses of a cluster to places, and gives the delays
// between these. Each instance receives it as JSON.
type topology struct {
	// Places is in the order of the host numbers of the places' addresses.
	Places []place
	// RegionDelay and DomainDelay are one-way delays.
	RegionDelay, DomainDelay time.Duration
}

// Host numbers, which are the last bytes of the addresses of a cluster. The index
// of the place is added to the first three.
const (
	hostInstance = 11
	hostTarget   = 51
	hostCaller   = 201
	hostPlatform = 100
)

// placeOf returns the place of an instance or a target by its address, or the
// empty string. The platform is in the first place.
func (t topology) placeOf(address netip.AddrPort) string {
	host := int(address.Addr().As4()[3])
	for i, p := range t.Places {
		if host == hostInstance+i || host == hostTarget+i || host == hostPlatform && i == 0 {
			return p.Name
		}
	}
	return ""
}

// delay returns the one-way delay between two places.
func (t topology) delay(from, to string) time.Duration {
	switch a, b := t.region(from), t.region(to); {
	case from == to || a == "" || b == "":
		return 0
	case a == b:
		return t.DomainDelay
	default:
		return t.RegionDelay
	}
}

// region returns the region of a place, or the empty string.
func (t topology) region(name string) string {
	for _, p := range t.Places {
		if p.Name == name {
			return p.Region
		}
	}
	return ""
}

// placesOf returns the names of the places of a region.
func (t topology) placesOf(region string) []string {
	var names []string
	for _, p := range t.Places {
		if p.Region == region {
			names = append(names, p.Name)
		}
	}
	return names
}

// networkDialer adapts a dial function to the interface of the daemon.
type networkDialer struct{ dial snipestandin.DialFunc }

func (d networkDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	return d.dial(ctx, network, address)
}

// instanceMain runs one instance. Its arguments are the settings file, the
// topology as JSON and the address of the control endpoint of its network.
func instanceMain() {
	if err := runInstance(os.Args[1], os.Args[2], os.Args[3]); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "instance:", err)
		os.Exit(1)
	}
}

// runInstance runs the daemon until SIGTERM. The process exits when its standard
// input ends, so that it does not outlive the test.
func runInstance(file, topologyText, control string) error {
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin)
		os.Exit(3)
	}()
	var topo topology
	if err := json.Unmarshal([]byte(topologyText), &topo); err != nil {
		return err
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	settings, err := snipedaemon.ParseSettings(file, data)
	if err != nil {
		return err
	}
	log, err := snipelog.New(settings.LogLevel(), os.Stderr)
	if err != nil {
		return err
	}
	network := snipestandin.NewNetwork(snipestandin.NetworkSettings{PlaceOf: topo.placeOf, Delay: topo.delay})
	listener, err := net.Listen("tcp", control)
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(listener, networkControlHandler(network)) }()
	daemon, err := snipedaemon.New(settings, snipedaemon.Dependencies{
		Log: log, Registry: prometheus.NewRegistry(), Dialer: networkDialer{network.Dialer(settings.Place())},
	})
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	return daemon.Run(ctx)
}

// networkControlHandler returns the handler that changes the network of an
// instance. /cut, /heal and /silence apply to each pair of a place of the list a
// and a place of the list b.
func networkControlHandler(network *snipestandin.Network) http.Handler {
	mux := http.NewServeMux()
	lists := func(r *http.Request) (a, b []string) {
		return strings.Split(r.FormValue("a"), ","), strings.Split(r.FormValue("b"), ",")
	}
	mux.HandleFunc("POST /cut", func(_ http.ResponseWriter, r *http.Request) { network.Cut(lists(r)) })
	mux.HandleFunc("POST /heal", func(_ http.ResponseWriter, r *http.Request) { network.Heal(lists(r)) })
	mux.HandleFunc("POST /silence", func(w http.ResponseWriter, r *http.Request) {
		a, b := lists(r)
		count := 0
		for _, x := range a {
			for _, y := range b {
				if !slices.Contains(a, y) || x <= y {
					count += network.SilenceConnections(x, y)
				}
			}
		}
		_, _ = fmt.Fprintln(w, count)
	})
	return mux
}
