// Command arbutusfork-bench measures speed and memory of the daemon's parts on this machine.
package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"arbutusfork.example/arbutusfork/internal/afbench"
	"arbutusfork.example/arbutusfork/internal/afslope"
)

func main() {
	app := kingpin.New("arbutusfork-bench", "Measures speed and memory of the daemon's parts.")
	app.HelpFlag.Short('h')
	entry := app.Command("entry", "Measures the callers' interface.")
	length := entry.Flag("length", "Time of each measurement of speed.").Default("5s").Duration()
	waiting := entry.Flag("waiting", "Number of waiting requests.").Default("10000").Int()
	streams := entry.Flag("streams", "Number of open streams.").Default("2000").Int()
	rounds := entry.Flag("rounds", "Number of rounds that show growth.").Default("5").Int()
	procs := entry.Flag("procs", "GOMAXPROCS of the process under measurement.").Default("1").Int()
	slopes := app.Command("slopes", "Measures what control costs while one thing at a time grows.")
	serve := app.Command("serve", "Runs the process under measurement.").Hidden()
	e := &afbench.Entry{}
	serve.Flag("address", "Address for callers.").StringVar(&e.Address)
	serve.Flag("stats", "Address for the measuring process.").StringVar(&e.Stats)
	serve.Flag("engine", "Address of the engine.").StringVar(&e.Engine)
	serve.Flag("procs", "GOMAXPROCS.").IntVar(&e.Procs)
	verb := kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	var err error
	switch verb {
	case entry.FullCommand():
		err = afbench.EntryBench(ctx, plan(*length, *waiting, *streams, *rounds, *procs))
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

func plan(length time.Duration, waiting, streams, rounds, procs int) afbench.Plan {
	return afbench.Plan{
		Length: length, Waiting: waiting, Streams: streams, Rounds: rounds, Procs: procs, Out: os.Stdout,
		Command: func(ctx context.Context, e afbench.Entry) *exec.Cmd {
			c := exec.CommandContext(ctx, os.Args[0], "serve", "--address", e.Address, "--stats", e.Stats, "--engine", e.Engine, "--procs", strconv.Itoa(e.Procs))
			c.Stderr = os.Stderr
			return c
		},
	}
}
