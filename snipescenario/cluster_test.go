package snipescenario_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/snipemoor/snipemoor/snipeconfig"
	"github.com/snipemoor/snipemoor/snipestandin"
	"github.com/snipemoor/snipemoor/snipestore"
	"github.com/snipemoor/snipemoor/snipetime"
)

// clusterCount counts the clusters of this process, so that each gets addresses of
// its own.
var clusterCount atomic.Uint32

// cluster is a test deployment: a reduced example deployment with its stand-ins
// and with instances in child processes.
type cluster struct {
	exampleDeployment
	directory string
	// subnet is the first three bytes of all addresses, with the last dot.
	subnet      string
	clock       *snipetime.Service
	standins    *snipestandin.Deployment
	storeClient *snipestore.Client
	// instances has one instance for each place, in the order of the places.
	instances []*instance
	mu        sync.Mutex
	// documents are those that the next commit writes.
	documents map[snipeconfig.Ref]*snipeconfig.Document
	// requests and loads are by name in the script, holds by service.
	requests map[string]*sentRequest
	holds    map[string]*hold
	loads    map[string]*load
	// sent holds all requests, for the check of the guarantees.
	sent    []*sentRequest
	leaving []leavingTarget
	// shiftCaps holds shift caps in requests/s by service. A service without an
	// entry has defaultCap.
	shiftCaps map[string]int
	// committed is the configuration that the next change is based on.
	committed *snipeconfig.Snapshot
}

// exampleDeployment describes the part of an example deployment that a cluster
// has.
type exampleDeployment struct {
	topology
	team     string
	services []string
}

// findExample returns the example deployment of a team.
func findExample(team string) (exampleDeployment, error) {
	switch team {
	case "society":
		return exampleDeployment{topology{[]place{
			{"tcr-ollur", "thrissur"}, {"tcr-kunnam", "thrissur"}, {"pkd-alathur", "palakkad"}, {"pkd-chittur", "palakkad"},
		}, 35 * time.Millisecond, 500 * time.Microsecond}, team, []string{"slotboard", "bookdesk", "soilvault", "droplog"}}, nil
	case "bakhour":
		return exampleDeployment{topology{[]place{
			{"shubra", "cairo"}, {"maadi", "cairo"}, {"tanta", "delta"}, {"mansoura", "delta"},
		}, 20 * time.Millisecond, 500 * time.Microsecond}, team, []string{"catalogue", "orders", "qc-upload", "samples"}}, nil
	default:
		return exampleDeployment{}, fmt.Errorf("no example deployment of team %q", team)
	}
}

// instance is one instance of the system, which runs as a child process.
type instance struct {
	name, place string
	// The addresses for callers, for other instances, for operators and for the
	// control of its simulated network.
	listen, peer, admin, control string
	settings                     string
	command                      *exec.Cmd
	stdin                        io.Closer
	log                          lockedBuffer
	// done is closed when the process has ended. exit may then be read.
	done chan struct{}
	exit error
	// paused is set while the process is suspended by SIGSTOP.
	paused bool
}

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// newCluster starts the stand-ins of a team's example deployment and commits
// generation 1. It starts no instance.
func newCluster(directory, team string, seed uint64) (*cluster, error) {
	deployment, err := findExample(team)
	if err != nil {
		return nil, err
	}
	n := clusterCount.Add(1)
	cl := &cluster{
		exampleDeployment: deployment,
		directory:         directory,
		// The process identifier keeps concurrent test binaries apart.
		subnet:    fmt.Sprintf("127.%d.%d.", 20+os.Getpid()%200, n%250),
		clock:     snipetime.New(),
		documents: map[snipeconfig.Ref]*snipeconfig.Document{},
		requests:  map[string]*sentRequest{}, holds: map[string]*hold{}, loads: map[string]*load{},
		shiftCaps: map[string]int{},
	}
	if err := cl.initialDocuments(); err != nil {
		return nil, err
	}
	snapshot, err := snipeconfig.Build(1, "initial", cl.documentList())
	if err != nil {
		return nil, err
	}
	settings := snipestandin.DeploymentSettings{
		Store: cl.addr(hostPlatform, 7100), InstanceList: cl.addr(hostPlatform, 7101),
		InstanceListLag: listLag, Services: map[string]snipestandin.ServiceBehavior{},
	}
	for _, s := range cl.services {
		settings.Services[s] = snipestandin.ServiceBehavior{
			MedianServiceTime: 10 * time.Millisecond, LoadLag: 100 * time.Millisecond, Queue: 2,
		}
	}
	for i, p := range cl.Places {
		in := cl.newInstance(i, p)
		cl.instances = append(cl.instances, in)
		settings.Instances = append(settings.Instances, snipestandin.EntryInstance{
			Address: in.listen, PeerAddress: in.peer, Place: p.Name,
		})
	}
	cl.standins, err = snipestandin.NewDeployment(settings, snapshot, cl.clock, seed)
	if err != nil {
		return nil, err
	}
	// All operators of a cluster share this client. Its call rate is so high that
	// none has to wait for another.
	cl.storeClient = snipestore.New(snipestore.Settings{
		Addresses: []string{settings.Store}, CallsPerSecond: 1000, CallBurst: 1000,
	})
	if err := cl.commit(context.Background()); err != nil {
		return nil, fmt.Errorf("commit first configuration: %w", err)
	}
	return cl, nil
}

func (cl *cluster) addr(host, port int) string { return fmt.Sprintf("%s%d:%d", cl.subnet, host, port) }

// newInstance returns the instance of the i-th place, with its settings. It does
// not start the instance.
func (cl *cluster) newInstance(i int, p place) *instance {
	return &instance{
		name: p.Name, place: p.Name,
		listen: cl.addr(hostInstance+i, 7000), peer: cl.addr(hostInstance+i, 7001),
		admin: cl.addr(hostInstance+i, 7002), control: cl.addr(hostInstance+i, 7003),
		settings: fmt.Sprintf(`{"listen":%q,"peerListen":%q,"adminListen":%q,"place":%q,"failureDomain":%q,"region":%q,
			"storeAddresses":[%q],"storeTimeout":"1s","instanceListAddress":%q,"instanceListInterval":"200ms","seed":%d}`,
			cl.addr(hostInstance+i, 7000), cl.addr(hostInstance+i, 7001), cl.addr(hostInstance+i, 7002),
			p.Name, p.Name, p.Region, cl.addr(hostPlatform, 7100), cl.addr(hostPlatform, 7101), i+1),
	}
}

// initialDocuments reads the templates of the example deployment and sets reduced
// fleet and team documents: four places with one instance each, and two targets
// per place and service.
func (cl *cluster) initialDocuments() error {
	files, err := filepath.Glob("../examples/" + cl.team + "/templates/*.json")
	if err != nil {
		return err
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		if err := cl.setDocument(file, data); err != nil {
			return err
		}
	}
	p := cl.Places
	fleet := fmt.Sprintf(`{"kind":"fleet","name":%q,"regions":{
		%q:{"failureDomains":{%q:{"places":[%q]},%q:{"places":[%q]}}},
		%q:{"failureDomains":{%q:{"places":[%q]},%q:{"places":[%q]}}}},
		"links":[{"regions":[%q,%q],"mbitPerSecond":280,"oneWayDelay":%q}],
		"reservePercent":5,"positionsPerRegion":%d,"domainDelay":"0.5ms","clientDelay":"1ms"}`,
		cl.team, p[0].Region, p[0].Name, p[0].Name, p[1].Name, p[1].Name,
		p[2].Region, p[2].Name, p[2].Name, p[3].Name, p[3].Name,
		p[0].Region, p[2].Region, cl.RegionDelay, positionsPerRegion)
	if err := cl.setDocument("fleet.json", []byte(fleet)); err != nil {
		return err
	}
	return cl.setTeam()
}

// positionsPerRegion has the same value as in the example deployments.
const positionsPerRegion = 4

// listLag is the time until the platform's list shows a change.
const listLag = 200 * time.Millisecond

// defaultCap is the initial shift cap of each service in requests/s.
const defaultCap = 200

// setTeam sets the team document with the present shift caps. It commits nothing.
func (cl *cluster) setTeam() error {
	var services, blocks []string
	for k, s := range cl.services {
		var targets []string
		for i, p := range cl.Places {
			targets = append(targets, fmt.Sprintf("%q:[%q,%q]", p.Name, cl.target(k, i, 0), cl.target(k, i, 1)))
		}
		limit := cl.shiftCap(s)
		services = append(services, fmt.Sprintf(`%q:{"template":%q,"homePlace":%q,"targets":{%s},
			"shift":{"requestsPerSecond":%d,"mbitPerSecond":100,"growthPerSecond":%d}}`,
			s, s, cl.Places[0].Name, strings.Join(targets, ","), limit, limit))
	}
	for i, p := range cl.Places {
		blocks = append(blocks, fmt.Sprintf(`"%s%d/32":%q`, cl.subnet, hostCaller+i, p.Name))
	}
	team := fmt.Sprintf(`{"kind":"team","name":%q,"services":{%s},"drainWindows":[],"clientBlocks":{%s}}`,
		cl.team, strings.Join(services, ","), strings.Join(blocks, ","))
	return cl.setDocument("team.json", []byte(team))
}

// target returns the address of the j-th target of a service in a place. service
// and place are indexes.
func (cl *cluster) target(service, place, j int) string {
	return cl.addr(hostTarget+place, 21000+1000*service+10*place+j)
}

// setDocument adds or replaces a document. It commits nothing.
func (cl *cluster) setDocument(file string, data []byte) error {
	d, err := snipeconfig.ParseDocument(file, data)
	if err != nil {
		return err
	}
	cl.documents[d.Ref()] = d
	return nil
}

// documentList returns the present documents in any order.
func (cl *cluster) documentList() []*snipeconfig.Document {
	var list []*snipeconfig.Document
	for _, d := range cl.documents {
		list = append(list, d)
	}
	return list
}

// commit commits the present documents as the next generation. An outcome other
// than committed is an error.
func (cl *cluster) commit(ctx context.Context) error {
	report, err := cl.tryCommit(ctx, snipestore.NewOperation(), cl.committed)
	if err != nil {
		return err
	}
	if report.Outcome() != snipestore.Committed {
		return fmt.Errorf("change is not committed, outcome is %s", report.Outcome())
	}
	return nil
}

// tryCommit applies the present documents as a change of base. Outcomes other than
// committed are not errors.
func (cl *cluster) tryCommit(ctx context.Context, operation string, base *snipeconfig.Snapshot) (snipestore.ChangeResult, error) {
	change := snipestore.Change{Operation: operation, Base: base, Set: cl.documentList()}
	if base != nil {
		for _, d := range base.Documents() {
			if cl.documents[d.Ref()] == nil {
				change.Delete = append(change.Delete, d.Ref())
			}
		}
	}
	report, err := snipestore.NewWriter(cl.storeClient).Apply(ctx, change)
	if err != nil {
		return report, err
	}
	if report.Outcome() == snipestore.Committed {
		cl.committed, err = snipeconfig.Build(report.Generation(), operation, cl.documentList())
	}
	return report, err
}

// instance returns the instance with a name, which is that of its place.
func (cl *cluster) instance(name string) (*instance, error) {
	for _, in := range cl.instances {
		if in.name == name {
			return in, nil
		}
	}
	return nil, fmt.Errorf("no instance %q", name)
}

// start starts the instance as a child process and does not wait until it is
// ready.
func (cl *cluster) start(in *instance) error {
	file := filepath.Join(cl.directory, in.name+".settings.json")
	if err := os.WriteFile(file, []byte(in.settings), 0o600); err != nil {
		return err
	}
	topo, err := json.Marshal(cl.topology)
	if err != nil {
		return err
	}
	binary, err := os.Executable()
	if err != nil {
		return err
	}
	command := exec.Command(binary)
	command.Args = []string{instanceCommand, file, string(topo), in.control}
	command.Stderr = &in.log
	in.stdin, err = command.StdinPipe()
	if err != nil {
		return err
	}
	if err := command.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	in.command, in.done = command, done
	go func() {
		in.exit = command.Wait()
		close(done)
	}()
	return nil
}

// signal sends a signal to a running instance.
func (in *instance) signal(s syscall.Signal) error {
	if !in.running() {
		return fmt.Errorf("instance %s is not running", in.name)
	}
	return in.command.Process.Signal(s)
}

// running reports whether the process was started and has not ended. A paused
// process counts as running.
func (in *instance) running() bool {
	if in.done == nil {
		return false
	}
	select {
	case <-in.done:
		return false
	default:
		return true
	}
}

// kill sends SIGKILL to the instance and waits until its process has ended.
func (in *instance) kill() error {
	in.paused = false
	if err := in.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-in.done
	return nil
}

// controlNetworks changes the network of all running instances, except paused
// ones. The operation is cut, heal or silence.
func (cl *cluster) controlNetworks(operation string, a, b []string) error {
	form := url.Values{"a": {strings.Join(a, ",")}, "b": {strings.Join(b, ",")}}
	for _, in := range cl.instances {
		if !in.running() || in.paused {
			continue
		}
		// Retried because an instance that has just started may not listen yet.
		err := pollUntil(propagationLimit, func() error {
			response, err := http.PostForm("http://"+in.control+"/"+operation, form)
			if err != nil {
				return err
			}
			return response.Body.Close()
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// close kills all instances and stops the stand-ins.
func (cl *cluster) close() error {
	for _, h := range cl.holds {
		h.release()
	}
	for _, in := range cl.instances {
		if in.running() {
			_ = in.kill()
		}
	}
	cl.storeClient.Close()
	err := cl.standins.Close()
	cl.clock.Close()
	return err
}

// logs returns the last 25 lines of the log of each instance.
func (cl *cluster) logs() string {
	var b strings.Builder
	for _, in := range cl.instances {
		lines := strings.Split(strings.TrimSpace(in.log.String()), "\n")
		lines = lines[max(0, len(lines)-25):]
		fmt.Fprintf(&b, "-- %s\n%s\n", in.name, strings.Join(lines, "\n"))
	}
	return b.String()
}
