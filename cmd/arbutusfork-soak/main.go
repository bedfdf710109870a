// Command arbutusfork-soak harms a fleet of real processes in a seeded order and checks the project's promises.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"arbutusfork.example/arbutusfork/internal/afsoak"
)

func main() {
	app := kingpin.New("arbutusfork-soak", "Harms a fleet of real processes in a seeded order and checks the project's promises.")
	program := app.Flag("program", "Path of the arbutusfork program.").Default("bin/arbutusfork").String()
	dir := app.Flag("dir", "Folder for settings and logs.").Default(filepath.Join(os.TempDir(), "arbutusfork-soak")).String()
	seed := app.Flag("seed", "Seed of the first run.").Default("1").Uint64()
	runs := app.Flag("runs", "Number of runs, each with the next seed.").Default("1").Uint64()
	length := app.Flag("length", "Time during which harm is done.").Default("15s").Duration()
	vms := app.Flag("vms", "Number of VMs.").Default("4").Int()
	callers := app.Flag("callers", "Number of callers.").Default("12").Int()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	failed := 0
	for s := *seed; s < *seed+*runs && ctx.Err() == nil; s++ {
		run := afsoak.Soak{
			Ctx: ctx, DaemonPath: *program, OutputDir: filepath.Join(*dir, strconv.FormatUint(s, 10)), Seed: s, Duration: *length, VMCount: *vms, CallerCount: *callers,
			Output: os.Stdout,
		}
		violations, err := run.Run()
		if err != nil {
			app.Fatalf("seed %d: %v", s, err)
		}
		fmt.Printf("seed %d: %d violations\n", s, len(violations))
		if len(violations) > 0 {
			failed++
		}
	}
	fmt.Printf("%d passed, %d failed\n", int(*runs)-failed, failed)
	if failed > 0 {
		os.Exit(1)
	}
}
