// Command arbutusfork-bench measures the speed, memory and decisions of parts of the daemon on this machine.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"

	"github.com/alecthomas/kingpin/v2"

	"arbutusfork.example/arbutusfork/internal/afbench"
	"arbutusfork.example/arbutusfork/internal/aflog"
	"arbutusfork.example/arbutusfork/internal/afmeasure"
	"arbutusfork.example/arbutusfork/internal/afslope"
)

func main() {
	app := kingpin.New("arbutusfork-bench", "Measures the speed, memory and decisions of parts of the daemon.")
	app.HelpFlag.Short('h')
	entryPlan := afbench.EntryPlan{Output: os.Stdout}
	entry := app.Command("entry", "Measures the callers' interface of two running processes of the serve command.")
	entry.Flag("length", "Duration of each measurement of speed.").Default("5s").DurationVar(&entryPlan.SpeedDuration)
	entry.Flag("waiting", "Number of waiting requests.").Default("10000").IntVar(&entryPlan.WaitingRequests)
	entry.Flag("streams", "Number of open streams.").Default("2000").IntVar(&entryPlan.OpenStreams)
	entry.Flag("rounds", "Number of rounds of the memory measurement.").Default("5").IntVar(&entryPlan.MemoryRounds)
	entry.Flag("procs", "GOMAXPROCS of the processes under measurement.").Default("1").IntVar(&entryPlan.MaxProcs)
	addProcessFlags(entry, "speed", &entryPlan.SpeedProcess)
	addProcessFlags(entry, "memory", &entryPlan.MemoryProcess)
	gatewayPlan := afbench.GatewayPlan{Output: os.Stdout}
	gateway := app.Command("gateway", "Measures a gateway process compared with direct calls of its endpoints.")
	gateway.Flag("program", "Path of the daemon's binary.").Default("bin/arbutusfork").StringVar(&gatewayPlan.ProgramPath)
	gateway.Flag("length", "Duration of each measurement of speed.").Default("5s").DurationVar(&gatewayPlan.SpeedDuration)
	gateway.Flag("streams", "Number of open streams.").Default("2000").IntVar(&gatewayPlan.OpenStreams)
	memoryPlan := afbench.MemoryPlan{Output: os.Stdout}
	memory := app.Command("memory", "Measures the peak memory of a gateway process whose callers send large bodies.")
	memory.Flag("program", "Path of the daemon's binary.").Default("bin/arbutusfork").StringVar(&memoryPlan.ProgramPath)
	memory.Flag("limit", "Memory limit of the process in MB.").Default("284").IntVar(&memoryPlan.MemoryMB)
	memory.Flag("load", "How many times the usual load is sent.").Default("7.5").Float64Var(&memoryPlan.LoadFactor)
	memory.Flag("drip", "Send the large bodies at 1 KB a second.").BoolVar(&memoryPlan.IsDripped)
	placementConfig := afmeasure.PlacementConfig{}
	policy := app.Command("policy", "Measures placement policies on a simulated day of each deployment.")
	policy.Flag("seed", "Seed of the simulated day.").Default("1").Uint64Var(&placementConfig.Seed)
	policy.Flag("only", "Measure one deployment.").StringVar(&placementConfig.DeploymentName)
	policy.Flag("parallel", "Maximum number of days that are simulated at once.").Default("2").IntVar(&placementConfig.MaxParallelDays)
	limits := app.Command("limits", "Measures refusals of requests within the rate, compared with a static split of limits.")
	limits.Flag("seed", "Seed of the demand.").Default("1").Uint64Var(&placementConfig.Seed)
	fairness := app.Command("fairness", "Measures the worst-served customer with the fair queue and other orders of service.")
	fairness.Flag("seed", "Seed of the demand.").Default("1").Uint64Var(&placementConfig.Seed)
	slopes := app.Command("slopes", "Measures how the cost of control grows with the size of the deployment.")
	serve := app.Command("serve", "Runs a process under measurement.")
	entryProcess := &afbench.EntryProcess{}
	addProcessFlags(serve, "", entryProcess)
	serve.Flag("procs", "GOMAXPROCS.").Default("1").IntVar(&entryProcess.MaxProcs)
	command := kingpin.MustParse(app.Parse(os.Args[1:]))
	aflog.RouteEngineLog(slog.New(slog.DiscardHandler))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	var err error
	switch command {
	case entry.FullCommand():
		err = afbench.MeasureEntry(ctx, entryPlan)
	case gateway.FullCommand():
		err = afbench.MeasureGateway(ctx, gatewayPlan)
	case memory.FullCommand():
		err = afbench.MeasureMemory(ctx, memoryPlan)
	case policy.FullCommand():
		err = afmeasure.RunPlacement(os.Stdout, placementConfig)
	case limits.FullCommand():
		err = afmeasure.RunLimits(os.Stdout, placementConfig.Seed)
	case fairness.FullCommand():
		err = afmeasure.RunFairness(os.Stdout, placementConfig.Seed)
	case slopes.FullCommand():
		err = afslope.Run(ctx, os.Stdout, afslope.DefaultConfig())
	case serve.FullCommand():
		err = entryProcess.Run(ctx)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		stop()
		os.Exit(1)
	}
}

// addProcessFlags adds the flags for the addresses of a process under measurement and of its engine.
func addProcessFlags(cmd *kingpin.CmdClause, prefix string, process *afbench.EntryProcess) {
	if prefix != "" {
		prefix += "-"
	}
	cmd.Flag(prefix+"address", "Address of the callers' interface.").Required().StringVar(&process.CallersAddress)
	cmd.Flag(prefix+"stats", "Address of the resource statistics.").Required().StringVar(&process.StatsAddress)
	cmd.Flag(prefix+"engine", "Address of the engine.").Required().StringVar(&process.EngineAddress)
}
