package snipecli

import "time"

// commandLine holds the flags and arguments of all commands. The names of commands
// and flags are those of the fields, in lower case with hyphens.
type commandLine struct {
	Output string `help:"Output format: text or json." enum:"text,json" default:"text" placeholder:"FORMAT"`

	Validate    validateCommand    `cmd:"" help:"Check the documents of a deployment."`
	CheckConfig checkConfigCommand `cmd:"" help:"Check a configuration of the users' platform."`
	Diff        diffCommand        `cmd:"" help:"Show how the documents of a directory differ from the store."`
	Apply       applyCommand       `cmd:"" help:"Put the documents of a directory in force."`
	Get         getCommand         `cmd:"" help:"Show the configuration in the store."`
	Drain       drainCommand       `cmd:"" help:"Announce the drain of a target, an instance or a place."`
	Undrain     undrainCommand     `cmd:"" help:"End an announced drain."`
	Status      statusCommand      `cmd:"" help:"Show the status of an instance: fleet members, positions, limits and slot groups."`
	Lookup      lookupCommand      `cmd:"" help:"Show which entry instances serve a client block."`
	Load        loadCommand        `cmd:"" help:"Send requests to a service at a given rate, as its callers do."`
	Trace       traceCommand       `cmd:"" help:"Find out why requests ran that were refused as not run, from logs and records."`
	Demo        demoCommand        `cmd:"" help:"Run an example deployment on loopback and check its guarantees."`
	Version     versionCommand     `cmd:"" help:"Show the version of this program."`
}

// storeFlags are the flags of commands that read the store.
type storeFlags struct {
	Store   []string      `help:"Address of the store (repeatable)." required:"" placeholder:"IP:PORT"`
	Timeout time.Duration `help:"Time limit of all calls to the store together." default:"10s"`
}

// changeFlags are the flags of commands that change the configuration.
type changeFlags struct {
	storeFlags
	Admin     string        `help:"Admin address of any instance; without it the command does not wait for the instances." placeholder:"IP:PORT"`
	Base      uint64        `help:"Generation that the change is based on; the one in the store if absent." placeholder:"N"`
	Operation string        `help:"Identifier of the change, generated if absent; repeat a change of unclear outcome with the same identifier." placeholder:"ID"`
	Wait      time.Duration `help:"How long to wait until each live instance reports the generation." default:"3s"`
}

type validateCommand struct {
	Paths []string `arg:"" name:"path" help:"Directory of a deployment, or documents."`
}

// Help returns the detailed help text.
func (validateCommand) Help() string {
	return `A directory holds fleet.json, templates/*.json, teams/*.json and drains/*.json. Files are
checked against each other if one of them is a fleet document, else one by one.

Example:
  snipemoor validate examples/society`
}

type diffCommand struct {
	storeFlags
	Directory string `arg:"" help:"Directory of the deployment."`
}

// Help returns the detailed help text.
func (diffCommand) Help() string {
	return `Example:
  snipemoor diff examples/society --store 127.1.0.100:7100`
}

type applyCommand struct {
	changeFlags
	Directory string `arg:"" help:"Directory of the deployment."`
}

// Help returns the detailed help text.
func (applyCommand) Help() string {
	return `Documents that are not in the directory are removed, except for drains.

Example:
  snipemoor apply examples/society --store 127.1.0.100:7100 --admin 127.1.0.11:7002 --base 4`
}

type getCommand struct {
	storeFlags
	Document string `arg:"" optional:"" help:"Document as kind/name; all are listed if absent."`
}

// Help returns the detailed help text.
func (getCommand) Help() string {
	return `Example:
  snipemoor get team/society --store 127.1.0.100:7100`
}

type drainCommand struct {
	changeFlags
	Name     string `arg:"" help:"Name of the drain."`
	Target   string `help:"Address of the target to drain." placeholder:"IP:PORT" xor:"what" required:""`
	Instance string `help:"Address of the entry instance to drain." placeholder:"IP:PORT" xor:"what" required:""`
	Place    string `help:"Place to drain." placeholder:"NAME" xor:"what" required:""`
}

// Help returns the detailed help text.
func (drainCommand) Help() string {
	return `Example:
  snipemoor drain repair-4 --target 127.1.0.15:21001 --store 127.1.0.100:7100 --admin 127.1.0.11:7002`
}

type undrainCommand struct {
	changeFlags
	Name string `arg:"" help:"Name of the drain."`
}

// Help returns the detailed help text.
func (undrainCommand) Help() string {
	return `Example:
  snipemoor undrain repair-4 --store 127.1.0.100:7100 --admin 127.1.0.11:7002`
}

type statusCommand struct {
	Admin   string        `help:"Admin address of the instance." required:"" placeholder:"IP:PORT"`
	Timeout time.Duration `help:"Time limit." default:"5s"`
}

// Help returns the detailed help text.
func (statusCommand) Help() string {
	return `Example:
  snipemoor status --admin 127.1.0.11:7002`
}

// callFlags are the flags of commands that use the callers' interface.
type callFlags struct {
	Entry   []string      `help:"Address of an entry instance (repeatable)." required:"" placeholder:"IP:PORT"`
	Team    string        `help:"Team that owns the service." required:"" placeholder:"NAME"`
	Service string        `help:"Service to call." required:"" placeholder:"NAME"`
	Block   string        `help:"Client block to look up." placeholder:"CIDR"`
	Timeout time.Duration `help:"Time limit of each request." default:"5s"`
}

type lookupCommand struct {
	callFlags
}

// Help returns the detailed help text.
func (lookupCommand) Help() string {
	return `Example:
  snipemoor lookup --entry 127.1.0.11:7000 --team society --service slotboard --block 127.10.3.0/24`
}

type loadCommand struct {
	callFlags
	Method      string        `help:"HTTP method." default:"GET"`
	Path        string        `help:"Path and query after the service name." default:"/"`
	BodyBytes   int           `help:"Size of each request body." default:"0"`
	Rate        float64       `help:"Mean arrivals per second." default:"10"`
	Duration    time.Duration `help:"Time during which requests are sent." default:"10s"`
	MaxRequests int           `help:"Maximum number of requests; 0 for no maximum." default:"0"`
	Seed        uint64        `help:"Seed of arrival times and request bodies." default:"1"`
}

// Help returns the detailed help text.
func (loadCommand) Help() string {
	return `Latencies count from the instant a request is due. Refusals do not change the exit status; it is
1 if a request got no usable response from any entry instance.

Example:
  snipemoor load --entry 127.1.0.11:7000 --team society --service bookdesk --method POST
    --path /book --body-bytes 200 --rate 50 --duration 10s`
}

type versionCommand struct{}

// Help returns the detailed help text.
func (versionCommand) Help() string {
	return `Example:
  snipemoor version --output json`
}
