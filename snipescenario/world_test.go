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

// worlds counts the worlds of this process; each has addresses of its own.
var worlds atomic.Uint32

// world is a reduced deployment with its stand-ins and instances.
type world struct {
	deploymentName
	directory string
	prefix    string
	clock     *snipetime.Service
	standins  *snipestandin.Deployment
	store     *snipestore.Client
	instances []*instance
	mu        sync.Mutex
	documents map[snipeconfig.Ref]*snipeconfig.Document
	results   map[string]*outcome
	holds     map[string]*hold
	loads     map[string]*load
	sent      []*outcome
	leaving   []drained
	caps      map[string]int
	base      *snipeconfig.Snapshot
}

// deploymentName is the part of an example deployment that a world has.
type deploymentName struct {
	topology
	team     string
	services []string
}

func deploymentOf(team string) (deploymentName, error) {
	switch team {
	case "society":
		return deploymentName{topology{[]place{
			{"tcr-ollur", "thrissur"}, {"tcr-kunnam", "thrissur"}, {"pkd-alathur", "palakkad"}, {"pkd-chittur", "palakkad"},
		}, 35 * time.Millisecond, 500 * time.Microsecond}, team, []string{"slotboard", "bookdesk", "soilvault", "droplog"}}, nil
	case "bakhour":
		return deploymentName{topology{[]place{
			{"shubra", "cairo"}, {"maadi", "cairo"}, {"tanta", "delta"}, {"mansoura", "delta"},
		}, 20 * time.Millisecond, 500 * time.Microsecond}, team, []string{"catalogue", "orders", "qc-upload", "samples"}}, nil
	default:
		return deploymentName{}, fmt.Errorf("no deployment %q", team)
	}
}

// instance is one child process.
type instance struct {
	name, place               string
	listen, peer, admin, ctrl string
	settings                  string
	command                   *exec.Cmd
	stdin                     io.Closer
	log                       lockedBuffer
	done                      chan struct{}
	exit                      error
	// paused is set while the process is stopped by a signal.
	paused bool
}

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

// newWorld starts the stand-ins of a deployment and writes generation 1.
func newWorld(directory, team string, seed uint64) (*world, error) {
	deployment, err := deploymentOf(team)
	if err != nil {
		return nil, err
	}
	n := worlds.Add(1)
	w := &world{
		deploymentName: deployment,
		directory:      directory,
		// The process number separates test binaries that run at the same time.
		prefix:    fmt.Sprintf("127.%d.%d.", 20+os.Getpid()%200, n%250),
		clock:     snipetime.New(),
		documents: map[snipeconfig.Ref]*snipeconfig.Document{},
		results:   map[string]*outcome{}, holds: map[string]*hold{}, loads: map[string]*load{},
		caps: map[string]int{},
	}
	if err := w.initialDocuments(); err != nil {
		return nil, err
	}
	snapshot, err := snipeconfig.Build(1, "initial", w.documentList())
	if err != nil {
		return nil, err
	}
	settings := snipestandin.DeploymentSettings{
		Store: w.address(hostPlatform, 7100), InstanceList: w.address(hostPlatform, 7101),
		InstanceListLag: listLag, Services: map[string]snipestandin.ServiceBehavior{},
	}
	for _, s := range w.services {
		settings.Services[s] = snipestandin.ServiceBehavior{
			MedianServiceTime: 10 * time.Millisecond, LoadLag: 100 * time.Millisecond, Queue: 2,
		}
	}
	for i, p := range w.Places {
		in := w.newInstance(i, p)
		w.instances = append(w.instances, in)
		settings.Instances = append(settings.Instances, snipestandin.EntryInstance{
			Address: in.listen, PeerAddress: in.peer, Place: p.Name,
		})
	}
	w.standins, err = snipestandin.NewDeployment(settings, snapshot, w.clock, seed)
	if err != nil {
		return nil, err
	}
	// The operators of a world share this client, and none may wait for its budget.
	w.store = snipestore.New(snipestore.Settings{
		Addresses: []string{settings.Store}, CallsPerSecond: 1000, CallBurst: 1000,
	})
	if err := w.commit(context.Background()); err != nil {
		return nil, fmt.Errorf("first configuration: %w", err)
	}
	return w, nil
}

func (w *world) address(host, port int) string { return fmt.Sprintf("%s%d:%d", w.prefix, host, port) }

func (w *world) newInstance(i int, p place) *instance {
	return &instance{
		name: p.Name, place: p.Name,
		listen: w.address(hostInstance+i, 7000), peer: w.address(hostInstance+i, 7001),
		admin: w.address(hostInstance+i, 7002), ctrl: w.address(hostInstance+i, 7003),
		settings: fmt.Sprintf(`{"listen":%q,"peerListen":%q,"adminListen":%q,"place":%q,"failureDomain":%q,"region":%q,
			"storeAddresses":[%q],"storeTimeout":"1s","instanceListAddress":%q,"instanceListInterval":"200ms","seed":%d}`,
			w.address(hostInstance+i, 7000), w.address(hostInstance+i, 7001), w.address(hostInstance+i, 7002),
			p.Name, p.Name, p.Region, w.address(hostPlatform, 7100), w.address(hostPlatform, 7101), i+1),
	}
}

// initialDocuments reads the templates of the example and writes a reduced
// fleet and team: four places with one instance and two targets per service.
func (w *world) initialDocuments() error {
	files, err := filepath.Glob("../examples/" + w.team + "/templates/*.json")
	if err != nil {
		return err
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		if err := w.setDocument(file, data); err != nil {
			return err
		}
	}
	p := w.Places
	fleet := fmt.Sprintf(`{"kind":"fleet","name":%q,"regions":{
		%q:{"failureDomains":{%q:{"places":[%q]},%q:{"places":[%q]}}},
		%q:{"failureDomains":{%q:{"places":[%q]},%q:{"places":[%q]}}}},
		"links":[{"regions":[%q,%q],"mbitPerSecond":280,"oneWayDelay":%q}],
		"reservePercent":5,"positionsPerRegion":%d,"domainDelay":"0.5ms","clientDelay":"1ms"}`,
		w.team, p[0].Region, p[0].Name, p[0].Name, p[1].Name, p[1].Name,
		p[2].Region, p[2].Name, p[2].Name, p[3].Name, p[3].Name,
		p[0].Region, p[2].Region, w.RegionDelay, positionsPerRegion)
	if err := w.setDocument("fleet.json", []byte(fleet)); err != nil {
		return err
	}
	return w.setTeam()
}

// positionsPerRegion is that of the example deployments.
const positionsPerRegion = 4

// listLag is the age of the platform's list.
const listLag = 200 * time.Millisecond

// defaultCap is the shift cap of each service in requests/s.
const defaultCap = 200

// setTeam writes the team document with the shift caps of the world.
func (w *world) setTeam() error {
	var services, blocks []string
	for k, s := range w.services {
		var targets []string
		for i, p := range w.Places {
			targets = append(targets, fmt.Sprintf("%q:[%q,%q]", p.Name, w.target(k, i, 0), w.target(k, i, 1)))
		}
		limit := w.cap(s)
		services = append(services, fmt.Sprintf(`%q:{"template":%q,"homePlace":%q,"targets":{%s},
			"shift":{"requestsPerSecond":%d,"mbitPerSecond":100,"growthPerSecond":%d}}`,
			s, s, w.Places[0].Name, strings.Join(targets, ","), limit, limit))
	}
	for i, p := range w.Places {
		blocks = append(blocks, fmt.Sprintf(`"%s%d/32":%q`, w.prefix, hostCaller+i, p.Name))
	}
	team := fmt.Sprintf(`{"kind":"team","name":%q,"services":{%s},"drainWindows":[],"clientBlocks":{%s}}`,
		w.team, strings.Join(services, ","), strings.Join(blocks, ","))
	return w.setDocument("team.json", []byte(team))
}

// target returns the address of the j-th target of a service in a place.
func (w *world) target(service, place, j int) string {
	return w.address(hostTarget+place, 21000+1000*service+10*place+j)
}

func (w *world) setDocument(file string, data []byte) error {
	d, err := snipeconfig.ParseDocument(file, data)
	if err != nil {
		return err
	}
	w.documents[d.Ref()] = d
	return nil
}

func (w *world) documentList() []*snipeconfig.Document {
	var list []*snipeconfig.Document
	for _, d := range w.documents {
		list = append(list, d)
	}
	return list
}

// commit writes the present documents as the next generation.
func (w *world) commit(ctx context.Context) error {
	report, err := w.tryCommit(ctx, snipestore.NewOperation(), w.base)
	if err != nil {
		return err
	}
	if report.Outcome() != snipestore.Committed {
		return fmt.Errorf("change is %s", report.Outcome())
	}
	return nil
}

func (w *world) tryCommit(ctx context.Context, operation string, base *snipeconfig.Snapshot) (snipestore.ChangeResult, error) {
	change := snipestore.Change{Operation: operation, Base: base, Set: w.documentList()}
	if base != nil {
		for _, d := range base.Documents() {
			if w.documents[d.Ref()] == nil {
				change.Delete = append(change.Delete, d.Ref())
			}
		}
	}
	report, err := snipestore.NewWriter(w.store).Apply(ctx, change)
	if err != nil {
		return report, err
	}
	if report.Outcome() == snipestore.Committed {
		w.base, err = snipeconfig.Build(report.Generation(), operation, w.documentList())
	}
	return report, err
}

func (w *world) instance(name string) (*instance, error) {
	for _, in := range w.instances {
		if in.name == name {
			return in, nil
		}
	}
	return nil, fmt.Errorf("no instance %q", name)
}

// start runs the instance as a child process.
func (w *world) start(in *instance) error {
	file := filepath.Join(w.directory, in.name+".settings.json")
	if err := os.WriteFile(file, []byte(in.settings), 0o600); err != nil {
		return err
	}
	where, err := json.Marshal(w.topology)
	if err != nil {
		return err
	}
	binary, err := os.Executable()
	if err != nil {
		return err
	}
	command := exec.Command(binary)
	command.Args = []string{instanceCommand, file, string(where), in.ctrl}
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
		return fmt.Errorf("instance %s does not run", in.name)
	}
	return in.command.Process.Signal(s)
}

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

// kill ends the instance without notice and waits for its end.
func (in *instance) kill() error {
	in.paused = false
	if err := in.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-in.done
	return nil
}

// control changes the network of all running instances.
func (w *world) control(operation string, a, b []string) error {
	form := url.Values{"a": {strings.Join(a, ",")}, "b": {strings.Join(b, ",")}}
	for _, in := range w.instances {
		if !in.running() || in.paused {
			continue
		}
		// An instance that has just started may not listen yet.
		err := until(propagation, func() error {
			response, err := http.PostForm("http://"+in.ctrl+"/"+operation, form)
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

// close ends all processes and stand-ins.
func (w *world) close() error {
	for _, h := range w.holds {
		h.release()
	}
	for _, in := range w.instances {
		if in.running() {
			_ = in.kill()
		}
	}
	w.store.Close()
	err := w.standins.Close()
	w.clock.Close()
	return err
}

// logs returns the last lines of each instance.
func (w *world) logs() string {
	var b strings.Builder
	for _, in := range w.instances {
		lines := strings.Split(strings.TrimSpace(in.log.String()), "\n")
		lines = lines[max(0, len(lines)-25):]
		fmt.Fprintf(&b, "-- %s\n%s\n", in.name, strings.Join(lines, "\n"))
	}
	return b.String()
}
