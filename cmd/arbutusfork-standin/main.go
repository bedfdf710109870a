// Command arbutusfork-standin runs stand-ins for the outside systems.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"arbutusfork.example/arbutusfork/internal/afstandin"
)

// runner is a stand-in that serves until its context ends.
type runner interface {
	Run(ctx context.Context) error
}

func main() {
	app := kingpin.New("arbutusfork-standin", "Runs stand-ins for the outside systems.")
	app.HelpFlag.Short('h')
	verbs := map[string]runner{}
	platformVerb(app, verbs)
	engineVerb(app, verbs)
	serviceVerb(app, verbs)
	weightsVerb(app, verbs)
	verb := kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := verbs[verb].Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		stop()
		os.Exit(1)
	}
}

func platformVerb(app *kingpin.Application, verbs map[string]runner) {
	p := &platform{}
	c := app.Command("platform", "Runs the platform's object API.")
	c.Flag("address", "Address to listen on.").Required().StringVar(&p.address)
	c.Flag("lag", "Lag of the list of VMs.").Default("2s").DurationVar(&p.standin.VMListDelay)
	c.Flag("vms", "VMs as JSON: {NAME: {address, datacentre, state}}.").Default("{}").StringVar(&p.vms)
	verbs[c.FullCommand()] = p
}

func engineVerb(app *kingpin.Application, verbs map[string]runner) {
	e := &afstandin.Engine{CheckpointTiers: make(map[string]string)}
	loaded := &loadedEngine{Engine: e}
	c := app.Command("engine", "Runs a model engine.")
	c.Flag("address", "Address to listen on.").Required().StringVar(&e.Address)
	c.Flag("memory", "Accelerator memory in MB.").Int64Var(&e.MemoryMB)
	c.Flag("slots", "Requests that run at once.").Default("8").IntVar(&e.Slots)
	c.Flag("fenced", "Refuse orders with an old fencing number.").BoolVar(&e.ChecksFence)
	c.Flag("resume", "Offer to resume streams.").BoolVar(&e.SupportsResume)
	c.Flag("cache", "Where a checkpoint is kept, as MODEL=memory or MODEL=disk.").StringMapVar(&e.CheckpointTiers)
	c.Flag("store", "Address of the weight store.").StringVar(&e.WeightStoreAddress)
	c.Flag("models", "Checkpoints as JSON, in the form of the weight store's flag.").SetValue((*checkpoints)(&e.Checkpoints))
	c.Flag("loaded", "A model that is loaded at the start.").StringsVar(&loaded.names)
	c.Flag("first", "Time to the first token.").Default("20ms").DurationVar(&e.FirstTokenDelay)
	c.Flag("next", "Time between tokens.").Default("5ms").DurationVar(&e.TokenInterval)
	verbs[c.FullCommand()] = loaded
}

// loadedEngine is an engine with models that are loaded at the start.
type loadedEngine struct {
	*afstandin.Engine
	names []string
}

// Run loads the models and serves until ctx ends.
func (e *loadedEngine) Run(ctx context.Context) error {
	for _, name := range e.names {
		e.AddLoadedModel(name)
	}
	return e.Engine.Run(ctx)
}

func serviceVerb(app *kingpin.Application, verbs map[string]runner) {
	s := &afstandin.PlainService{}
	c := app.Command("service", "Runs a plain service.")
	c.Flag("address", "Address to listen on.").Required().StringVar(&s.Address)
	verbs[c.FullCommand()] = s
}

func weightsVerb(app *kingpin.Application, verbs map[string]runner) {
	s := &afstandin.WeightStore{}
	c := app.Command("weights", "Runs a weight store.")
	c.Flag("address", "Address to listen on.").Required().StringVar(&s.Address)
	c.Flag("rate", "Loads that may start per second.").Default("2.5").Float64Var(&s.LoadsPerSecond)
	c.Flag("parallel", "Loads that run at once at full speed.").Default("4").IntVar(&s.FullSpeedLoads)
	c.Flag("config", "Configuration file whose models are the checkpoints.").SetValue((*catalogue)(&s.Checkpoints))
	c.Flag("models", "Checkpoints as JSON: {NAME: {memory, remote, disk, host}}, in MB and ms.").SetValue((*checkpoints)(&s.Checkpoints))
	verbs[c.FullCommand()] = s
}

// catalogue reads the weight store's models from a configuration file.
type catalogue map[string]afstandin.Checkpoint

// Set reads the file of that name.
func (c *catalogue) Set(name string) error {
	b, err := os.ReadFile(name)
	if err != nil {
		return err
	}
	var file struct {
		Models []struct {
			Name string `json:"name"`
			afstandin.Checkpoint
		} `json:"models"`
	}
	if err := json.Unmarshal(b, &file); err != nil {
		return err
	}
	*c = make(catalogue, len(file.Models))
	for _, m := range file.Models {
		(*c)[m.Name] = m.Checkpoint
	}
	return nil
}

// String returns nothing, since the file's name is not kept.
func (c *catalogue) String() string { return "" }

// checkpoints reads the weight store's models from a flag.
type checkpoints map[string]afstandin.Checkpoint

// Set parses the JSON form.
func (c *checkpoints) Set(v string) error {
	return json.Unmarshal([]byte(v), (*map[string]afstandin.Checkpoint)(c))
}

// String returns the JSON form.
func (c *checkpoints) String() string {
	b, _ := json.Marshal(*c) // Checkpoints hold only numbers.
	return string(b)
}
