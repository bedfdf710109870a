// Command arbutusfork-bench measures speed and memory of the daemon's parts on this machine.
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
	app := kingpin.New("arbutusfork-bench", "Measures speed and memory of the daemon's parts.")
	app.HelpFlag.Short('h')
	plan := afbench.EntryPlan{Output: os.Stdout}
	entry := app.Command("entry", "Measures the callers' interface of two running serve processes.")
	entry.Flag("length", "Time of each measurement of speed.").Default("5s").DurationVar(&plan.SpeedDuration)
	entry.Flag("waiting", "Number of waiting requests.").Default("10000").IntVar(&plan.WaitingRequests)
	entry.Flag("streams", "Number of open streams.").Default("2000").IntVar(&plan.OpenStreams)
	entry.Flag("rounds", "Number of rounds that show growth.").Default("5").IntVar(&plan.MemoryRounds)
	entry.Flag("procs", "GOMAXPROCS of the processes under measurement.").Default("1").IntVar(&plan.MaxProcs)
	processFlags(entry, "speed", &plan.SpeedProcess)
	processFlags(entry, "memory", &plan.MemoryProcess)
	gatewayPlan := afbench.GatewayPlan{Output: os.Stdout}
	gateway := app.Command("gateway", "Measures a gateway process beside direct calls of its endpoints.")
	gateway.Flag("program", "Binary of the daemon.").Default("bin/arbutusfork").StringVar(&gatewayPlan.ProgramPath)
	gateway.Flag("length", "Time of each measurement of speed.").Default("5s").DurationVar(&gatewayPlan.SpeedDuration)
	gateway.Flag("streams", "Number of open streams.").Default("2000").IntVar(&gatewayPlan.OpenStreams)
	measure := afmeasure.PlacementConfig{}
	policy := app.Command("policy", "Measures placement on a seeded day of each deployment beside its baselines.")
	policy.Flag("seed", "Seed of the day.").Default("1").Uint64Var(&measure.Seed)
	policy.Flag("only", "Measure one deployment.").StringVar(&measure.DeploymentName)
	policy.Flag("parallel", "Days that are measured at once.").Default("2").IntVar(&measure.MaxParallelDays)
	limits := app.Command("limits", "Measures refusals within rate beside a static split.")
	limits.Flag("seed", "Seed of the demand.").Default("1").Uint64Var(&measure.Seed)
	fairness := app.Command("fairness", "Measures the worst-served customer beside other orders of service.")
	fairness.Flag("seed", "Seed of the demand.").Default("1").Uint64Var(&measure.Seed)
	slopes := app.Command("slopes", "Measures what control costs while one thing at a time grows.")
	serve := app.Command("serve", "Runs a process under measurement.")
	e := &afbench.EntryProcess{}
	processFlags(serve, "", e)
	serve.Flag("procs", "GOMAXPROCS.").Default("1").IntVar(&e.MaxProcs)
	verb := kingpin.MustParse(app.Parse(os.Args[1:]))
	aflog.RouteEngineLog(slog.New(slog.DiscardHandler))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	var err error
	switch verb {
	case entry.FullCommand():
		err = afbench.MeasureEntry(ctx, plan)
	case gateway.FullCommand():
		err = afbench.MeasureGateway(ctx, gatewayPlan)
	case policy.FullCommand():
		err = afmeasure.RunPlacement(os.Stdout, measure)
	case limits.FullCommand():
		err = afmeasure.RunLimits(os.Stdout, measure.Seed)
	case fairness.FullCommand():
		err = afmeasure.RunFairness(os.Stdout, measure.Seed)
	case slopes.FullCommand():
		err = afslope.Run(ctx, os.Stdout, afslope.DefaultConfig())
	case serve.FullCommand():
		err = e.Run(ctx)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		stop()
		os.Exit(1)
	}
}

// processFlags defines the addresses of a process under measurement and of its engine.
func processFlags(cmd *kingpin.CmdClause, prefix string, e *afbench.EntryProcess) {
	if prefix != "" {
		prefix += "-"
	}
	cmd.Flag(prefix+"address", "Address for callers.").Required().StringVar(&e.CallersAddress)
	cmd.Flag(prefix+"stats", "Address for the measuring process.").Required().StringVar(&e.StatsAddress)
	cmd.Flag(prefix+"engine", "Address of the engine.").Required().StringVar(&e.EngineAddress)
}
