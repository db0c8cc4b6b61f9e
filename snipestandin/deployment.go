package snipestandin

import (
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/snipemoor/snipemoor/snipeconfig"
)

// DeploymentSettings describe the stand-ins of a deployment. They are read by
// ParseDeployment from a file such as examples/society/standin.json.
type DeploymentSettings struct {
	// Store and InstanceList are the addresses of these stand-ins.
	Store        string `check:"required"`
	InstanceList string `check:"required"`
	// InstanceListLag is the time until the list shows a change.
	InstanceListLag time.Duration `check:"max=10m"`
	// Instances are the entry instances that the list shows as live, in addition
	// to all targets of the configuration.
	Instances []EntryInstance
	// Services describes the targets of each service, by name of the service.
	Services map[string]ServiceBehavior `check:"required,names"`
}

// EntryInstance is an entry instance of a deployment, as the instance list shows
// it.
type EntryInstance struct {
	// Address is the ip:port that callers connect to, and PeerAddress the one
	// that other instances connect to.
	Address     string `check:"required"`
	PeerAddress string `check:"required"`
	// Place is the name of the place that the instance is in.
	Place string `check:"required,name"`
}

// ServiceBehavior describes how the targets of a service behave. Each field has
// the meaning of the field of the same name in TargetSettings.
type ServiceBehavior struct {
	MedianServiceTime time.Duration `check:"required,min=1us,max=10m"`
	Sigma             float64       `check:"min=0,max=3"`
	ColdPenalty       float64       `check:"min=0,max=100"`
	ColdFade          time.Duration `check:"max=10m"`
	LoadLag           time.Duration `check:"max=10m"`
	Queue             int           `check:"min=0,max=10000"`
}

// ParseDeployment decodes the settings of a deployment's stand-ins from a JSON
// document with comments. Errors name the file and wrap a
// *snipeconfig.FaultsError.
func ParseDeployment(file string, data []byte) (DeploymentSettings, error) {
	var d DeploymentSettings
	err := snipeconfig.Decode(file, data, &d).Err()
	if err != nil {
		return DeploymentSettings{}, fmt.Errorf("read deployment: %w", err)
	}
	return d, nil
}

// Deployment is a running set of stand-ins.
type Deployment struct {
	store   *Store
	list    *InstanceList
	targets map[string]*Target
}

// NewDeployment starts a store, an instance list and every target of the
// configuration. The seed determines the service times. If a stand-in cannot
// start, NewDeployment closes the others and returns the error.
func NewDeployment(d DeploymentSettings, config *snipeconfig.Snapshot, clock Clock, seed uint64) (*Deployment, error) {
	run := &Deployment{targets: map[string]*Target{}}
	if err := run.start(d, config, clock, seed); err != nil {
		return nil, errors.Join(err, run.Close())
	}
	return run, nil
}

func (r *Deployment) start(d DeploymentSettings, config *snipeconfig.Snapshot, clock Clock, seed uint64) error {
	var err error
	r.store, err = NewStore(StoreSettings{Address: d.Store, Clock: clock, Seed: seed})
	if err != nil {
		return fmt.Errorf("start store: %w", err)
	}
	r.list, err = NewInstanceList(InstanceListSettings{
		Address: d.InstanceList, Clock: clock, Lag: d.InstanceListLag, Instances: d.initialInstances(config),
	})
	if err != nil {
		return fmt.Errorf("start instance list: %w", err)
	}
	for _, team := range config.Teams() {
		for _, service := range team.Services() {
			if err := r.startService(d, service, clock, seed); err != nil {
				return fmt.Errorf("start service %s: %w", service.Name(), err)
			}
		}
	}
	return nil
}

// initialInstances returns the entry instances and all targets, each live.
func (d DeploymentSettings) initialInstances(config *snipeconfig.Snapshot) []Instance {
	var instances []Instance
	for _, i := range d.Instances {
		instances = append(instances, Instance{
			Address: i.Address, PeerAddress: i.PeerAddress, Place: i.Place, Role: "entry", State: "live",
		})
	}
	for _, team := range config.Teams() {
		for _, service := range team.Services() {
			for _, target := range service.Targets() {
				instances = append(instances, Instance{
					Address: target.Address().String(), Place: target.Place().Name(), Role: "target", State: "live",
				})
			}
		}
	}
	return instances
}

func (r *Deployment) startService(d DeploymentSettings, service *snipeconfig.Service, clock Clock, seed uint64) error {
	behavior, ok := d.Services[service.Name()]
	if !ok {
		return errors.New("no behavior is set")
	}
	template := service.Template()
	for _, target := range service.Targets() {
		address := target.Address().String()
		t, err := NewTarget(TargetSettings{
			Address:           address,
			Clock:             clock,
			Seed:              seed ^ xxhash.Sum64String(address),
			Slots:             template.SlotsPerTarget(),
			Queue:             behavior.Queue,
			MedianServiceTime: behavior.MedianServiceTime,
			Sigma:             behavior.Sigma,
			ColdPenalty:       behavior.ColdPenalty,
			ColdFade:          behavior.ColdFade,
			ConnectCost:       template.ConnectCost(),
			ProbeCost:         template.ProbeCost(),
			MaxConnections:    template.ConnectionsPerTarget(),
			LoadLag:           behavior.LoadLag,
			AnswerBytes:       int(template.AnswerBytes()),
		})
		if err != nil {
			return fmt.Errorf("start target: %w", err)
		}
		r.targets[address] = t
	}
	return nil
}

// Store returns the store.
func (r *Deployment) Store() *Store { return r.store }

// InstanceList returns the instance list.
func (r *Deployment) InstanceList() *InstanceList { return r.list }

// Target returns the target at an address, as ip:port.
func (r *Deployment) Target(address string) (*Target, bool) {
	t, ok := r.targets[address]
	return t, ok
}

// TargetCount returns the number of targets.
func (r *Deployment) TargetCount() int { return len(r.targets) }

// RunsByRequestID returns how many times a request with the identifier began to
// run, summed over all targets.
func (r *Deployment) RunsByRequestID(requestID string) int {
	sum := 0
	for _, t := range r.targets {
		sum += t.RunsByRequestID(requestID)
	}
	return sum
}

// RunsByKey returns how many times a request with the idempotency key began to
// run, summed over all targets.
func (r *Deployment) RunsByKey(key string) int {
	sum := 0
	for _, t := range r.targets {
		sum += t.RunsByKey(key)
	}
	return sum
}

// Close stops all stand-ins. It must be called only once.
func (r *Deployment) Close() error {
	var errs []error
	for _, t := range r.targets {
		errs = append(errs, t.Close())
	}
	if r.list != nil {
		errs = append(errs, r.list.Close())
	}
	if r.store != nil {
		errs = append(errs, r.store.Close())
	}
	return errors.Join(errs...)
}
