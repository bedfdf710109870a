// Command arbutusfork-standin runs stand-ins for the external systems: platform, model engine, service and weight store.
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

// server is a stand-in that serves until its context ends.
type server interface {
	Run(ctx context.Context) error
}

func main() {
	app := kingpin.New("arbutusfork-standin", "Runs stand-ins for the external systems.")
	app.HelpFlag.Short('h')
	servers := map[string]server{}
	addPlatformCommand(app, servers)
	addEngineCommand(app, servers)
	addServiceCommand(app, servers)
	addWeightsCommand(app, servers)
	command := kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := servers[command].Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		stop()
		os.Exit(1)
	}
}

// addPlatformCommand adds the command that runs the platform stand-in.
func addPlatformCommand(app *kingpin.Application, servers map[string]server) {
	p := &platform{}
	c := app.Command("platform", "Runs the platform's object API.")
	c.Flag("address", "Address to listen on.").Required().StringVar(&p.address)
	c.Flag("lag", "Lag of the list of VMs.").Default("2s").DurationVar(&p.standin.VMListDelay)
	c.Flag("vms", "VMs as JSON: {NAME: {address, datacentre, state}}.").Default("{}").StringVar(&p.vmsJSON)
	servers[c.FullCommand()] = p
}

// addEngineCommand adds the command that runs the model engine.
func addEngineCommand(app *kingpin.Application, servers map[string]server) {
	e := &afstandin.Engine{CheckpointTiers: make(map[string]string)}
	preloaded := &preloadedEngine{Engine: e}
	c := app.Command("engine", "Runs a model engine.")
	c.Flag("address", "Address to listen on.").Required().StringVar(&e.Address)
	c.Flag("memory", "Accelerator memory in MB.").Int64Var(&e.MemoryMB)
	c.Flag("slots", "Requests that run at once.").Default("8").IntVar(&e.Slots)
	c.Flag("fenced", "Refuse orders with an old fencing number.").BoolVar(&e.EnforcesFence)
	c.Flag("resume", "Offer to resume streams.").BoolVar(&e.SupportsResume)
	c.Flag("cache", "Tier in which a checkpoint is cached, as MODEL=memory or MODEL=disk.").StringMapVar(&e.CheckpointTiers)
	c.Flag("store", "Address of the weight store.").StringVar(&e.WeightStoreAddress)
	c.Flag("models", "Checkpoints as JSON, in the form of the weight store's flag.").SetValue((*checkpointsFlag)(&e.Checkpoints))
	c.Flag("loaded", "A model that is loaded at the start.").StringsVar(&preloaded.loadedModels)
	c.Flag("first", "Time to the first token.").Default("20ms").DurationVar(&e.FirstTokenDelay)
	c.Flag("next", "Time between tokens.").Default("5ms").DurationVar(&e.TokenInterval)
	servers[c.FullCommand()] = preloaded
}

// preloadedEngine is an engine that loads models before it serves.
type preloadedEngine struct {
	*afstandin.Engine
	loadedModels []string
}

// Run loads the models and serves until ctx ends.
func (e *preloadedEngine) Run(ctx context.Context) error {
	for _, name := range e.loadedModels {
		e.AddLoadedModel(name)
	}
	return e.Engine.Run(ctx)
}

// addServiceCommand adds the command that runs the plain service.
func addServiceCommand(app *kingpin.Application, servers map[string]server) {
	s := &afstandin.PlainService{}
	c := app.Command("service", "Runs a plain service.")
	c.Flag("address", "Address to listen on.").Required().StringVar(&s.Address)
	servers[c.FullCommand()] = s
}

// addWeightsCommand adds the command that runs the weight store.
func addWeightsCommand(app *kingpin.Application, servers map[string]server) {
	s := &afstandin.WeightStore{}
	c := app.Command("weights", "Runs a weight store.")
	c.Flag("address", "Address to listen on.").Required().StringVar(&s.Address)
	c.Flag("rate", "Loads that may start per second.").Default("2.5").Float64Var(&s.LoadsPerSecond)
	c.Flag("parallel", "Loads that run at once at full speed.").Default("4").IntVar(&s.FullSpeedLoads)
	c.Flag("config", "Configuration file whose models are the checkpoints.").SetValue((*configFileFlag)(&s.Checkpoints))
	c.Flag("models", "Checkpoints as JSON: {NAME: {memory, remote, disk, host}}, in MB and ms.").SetValue((*checkpointsFlag)(&s.Checkpoints))
	servers[c.FullCommand()] = s
}

// configFileFlag is a flag value that reads the weight store's checkpoints from a configuration file.
type configFileFlag map[string]afstandin.Checkpoint

// Set reads the configuration file with the name.
func (c *configFileFlag) Set(name string) error {
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
	*c = make(configFileFlag, len(file.Models))
	for _, m := range file.Models {
		(*c)[m.Name] = m.Checkpoint
	}
	return nil
}

// String returns an empty string, since the name of the file is not stored.
func (c *configFileFlag) String() string { return "" }

// checkpointsFlag is a flag value that parses checkpoints from JSON.
type checkpointsFlag map[string]afstandin.Checkpoint

// Set parses the JSON text.
func (c *checkpointsFlag) Set(v string) error {
	return json.Unmarshal([]byte(v), (*map[string]afstandin.Checkpoint)(c))
}

// String returns the checkpoints as JSON.
func (c *checkpointsFlag) String() string {
	b, _ := json.Marshal(*c) // Marshal cannot fail, since checkpoints contain only numbers.
	return string(b)
}
