// Package afbench measures speed and memory of the daemon's parts on this machine.
package afbench

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/internal/afdispatch"
	"arbutusfork.example/arbutusfork/internal/afentry"
	"arbutusfork.example/arbutusfork/pkg/afclaim"
	"arbutusfork.example/arbutusfork/pkg/afconfig"
	"arbutusfork.example/arbutusfork/pkg/afobject"
	"arbutusfork.example/arbutusfork/pkg/afplacement"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
)

const (
	benchKey  = "af-bench"
	warmModel = "warm"
	coldModel = "cold"
	// benchConns is above the 10,000 waiting requests of the target.
	benchConns = 12_000
)

// Entry is the process under measurement: the callers' interface and dispatch with one core. Its fields are set
// before Run.
type Entry struct {
	// Address is for callers and Stats for the measuring process.
	Address string
	Stats   string
	// Engine is the address where the warm model runs.
	Engine string
	// Procs is the value of GOMAXPROCS.
	Procs int
}

// EntryStats is what the process says about itself.
type EntryStats struct {
	// Resident and Live are the resident memory and the live heap with stacks, in bytes after a collection.
	Resident int64 `json:"resident"`
	Live     int64 `json:"live"`
	// Processor is the processor time used so far.
	Processor  time.Duration `json:"processor"`
	Goroutines int           `json:"goroutines"`
}

// Run serves until ctx ends.
func (e *Entry) Run(ctx context.Context) error {
	runtime.GOMAXPROCS(e.Procs)
	snapshot, err := benchSnapshot()
	if err != nil {
		return err
	}
	timer := &aftimer.Service{}
	// Log lines are formatted as in production and then dropped.
	log := slog.New(slog.NewJSONHandler(io.Discard, nil))
	replicas := []afplacement.Replica{{Model: warmModel, Endpoint: "engine", Address: e.Engine, Slots: benchConns}}
	dispatch := &afdispatch.Service{
		Timer: timer, Log: log,
		ModelReplicas: func(model string) []afplacement.Replica {
			if model == warmModel {
				return replicas
			}
			return nil
		},
		OnWaitingChanged: func(string, int, time.Time) {},
	}
	server := &afentry.Server{
		Address: e.Address, Timer: timer, Log: log, Dispatcher: dispatch, MaxConns: benchConns,
		Snapshot:      func() *afconfig.Snapshot { return snapshot },
		IsConfigFresh: func() bool { return true },
		ReserveTokens: func(context.Context, string, int64) (func(int64), *arbutusfork.Refusal) {
			return func(int64) {}, nil
		},
		ClaimCall: func(context.Context, afclaim.Call) (afclaim.Result, *arbutusfork.Refusal) {
			return afclaim.Result{}, nil
		},
		FinishCall:  func(afclaim.Call, afclaim.Answer) {},
		CancelClaim: func(afclaim.Call) {},
	}
	stats := &http.Server{Addr: e.Stats, Handler: http.HandlerFunc(serveStats)}
	stop := context.AfterFunc(ctx, func() { _ = stats.Close() })
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { timer.Run(ctx) })
	wg.Go(func() { _ = dispatch.Run(ctx) })
	wg.Go(func() { _ = stats.ListenAndServe() })
	err = server.Run(ctx)
	wg.Wait()
	return err
}

func benchSnapshot() (*afconfig.Snapshot, error) {
	var objects []afobject.Object
	for _, o := range []struct {
		kind, name string
		spec       any
	}{
		{afobject.Customers, "bench", arbutusfork.Customer{Name: "bench", RatePerSecond: 1}},
		{afobject.Keys, "bench", arbutusfork.APIKey{Name: "bench", Customer: "bench", Digest: arbutusfork.DigestSecret(benchKey)}},
		{afobject.Models, warmModel, arbutusfork.Model{Name: warmModel, Service: "llm"}},
		{afobject.Models, coldModel, arbutusfork.Model{Name: coldModel, Service: "llm"}},
		{afobject.Routes, "llm", arbutusfork.Route{Name: "llm", Service: "llm", FirstByteTimeoutMillis: time.Hour.Milliseconds()}},
	} {
		b, err := json.Marshal(o.spec)
		if err != nil {
			return nil, err
		}
		objects = append(objects, afobject.Object{Kind: o.kind, Name: o.name, Version: 1, Spec: b})
	}
	return (&afconfig.Snapshot{}).With(1, objects...)
}

// serveStats answers with EntryStats after a garbage collection.
func serveStats(w http.ResponseWriter, _ *http.Request) {
	debug.FreeOSMemory()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	_ = json.NewEncoder(w).Encode(EntryStats{
		Resident: residentSelf(), Live: int64(m.HeapAlloc + m.StackInuse), Goroutines: runtime.NumGoroutine(),
		Processor: time.Duration(r.Utime.Nano() + r.Stime.Nano()),
	})
}

// residentSelf returns the resident memory of this process in bytes, or 0 if the kernel does not tell it.
func residentSelf() int64 {
	n, err := resident("self")
	if err != nil {
		return 0 // The measuring process prints it as 0 MB.
	}
	return n
}

// resident returns the resident memory of a process in bytes.
func resident(process string) (int64, error) {
	b, err := os.ReadFile("/proc/" + process + "/statm")
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(b))
	if len(fields) < 2 {
		return 0, errors.New("the kernel does not tell the resident memory of process " + process)
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()), err
}
