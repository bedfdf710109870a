// Command arbutusfork-soak injects seeded faults into a fleet of real processes and checks the system's guarantees.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"arbutusfork.example/arbutusfork/internal/afsoak"
)

func main() {
	app := kingpin.New("arbutusfork-soak", "Injects seeded faults into a fleet of real processes and checks the system's guarantees.")
	program := app.Flag("program", "Path of the arbutusfork program.").Default("bin/arbutusfork").String()
	dir := app.Flag("dir", "Folder for settings and logs.").Default(filepath.Join(os.TempDir(), "arbutusfork-soak")).String()
	seed := app.Flag("seed", "Seed of the first run.").Default("1").Uint64()
	runs := app.Flag("runs", "Number of runs, each with the next seed.").Default("1").Uint64()
	duration := app.Flag("length", "Time during which faults are injected.").Default("15s").Duration()
	soak := app.Command("faults", "Injects faults of all kinds.").Default()
	vms := soak.Flag("vms", "Number of VMs.").Default("4").Int()
	callers := soak.Flag("callers", "Number of callers.").Default("12").Int()
	lease := soak.Flag("lease", "Time within which an engine must not get orders from two VMs.").Default("1.5s").Duration()
	silence := app.Command("play", "Plays one kind of trouble.").Command("silence", "Sound endpoints are silent for a moment, one after another.")
	full := silence.Flag("full", "Fill all endpoints, reload and stop VMs, and let several endpoints be silent at once.").Bool()
	command := kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	failedRuns := 0
	for runSeed := *seed; runSeed < *seed+*runs && ctx.Err() == nil; runSeed++ {
		outputDir := filepath.Join(*dir, strconv.FormatUint(runSeed, 10))
		run := func() ([]string, error) {
			s := afsoak.Soak{
				Ctx: ctx, DaemonPath: *program, OutputDir: outputDir, Seed: runSeed, Duration: *duration, VMCount: *vms, CallerCount: *callers, LeaseDuration: *lease,
				Output: os.Stdout,
			}
			return s.Run()
		}
		if command == silence.FullCommand() {
			run = func() ([]string, error) { return playSilence(ctx, *program, outputDir, runSeed, *duration, *full) }
		}
		violations, err := run()
		if err != nil {
			app.Fatalf("seed %d: %v", runSeed, err)
		}
		fmt.Printf("seed %d: %d violations\n", runSeed, len(violations))
		if len(violations) > 0 {
			failedRuns++
		}
	}
	fmt.Printf("%d passed, %d failed\n", int(*runs)-failedRuns, failedRuns)
	if failedRuns > 0 {
		os.Exit(1)
	}
}

// playSilence runs the play. What happened is in the file play.log of the folder, and what broke is printed.
func playSilence(ctx context.Context, program, dir string, seed uint64, duration time.Duration, isFull bool) ([]string, error) {
	p := afsoak.SilencePlay{DaemonPath: program, OutputDir: dir, Seed: seed, Duration: duration, IsFull: isFull, Output: os.Stdout}
	return p.Run(ctx)
}
