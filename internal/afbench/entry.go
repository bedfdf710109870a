// Package afbench measures the speed and memory of the callers' interface and of the gateway on this machine.
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
	// maxBenchConns exceeds the 10,000 waiting requests that one process is required to hold.
	maxBenchConns = 12_000
)

// EntryProcess is the process under measurement, which runs the callers' interface and the dispatcher. Its fields are
// set before Run.
type EntryProcess struct {
	// CallersAddress is the listen address of the callers' interface.
	CallersAddress string
	// StatsAddress is the listen address at which the measuring process reads ProcessStats.
	StatsAddress string
	// EngineAddress is the address of the engine that has the warm model loaded.
	EngineAddress string
	// MaxProcs is the value of GOMAXPROCS.
	MaxProcs int
}

// ProcessStats is the resource usage that the process under measurement reports.
type ProcessStats struct {
	// ResidentBytes is the resident memory after a garbage collection.
	ResidentBytes int64 `json:"resident"`
	// LiveBytes is the size of the live heap and the stacks after a garbage collection.
	LiveBytes int64 `json:"live"`
	// CPUTime is the user and system time since the start of the process.
	CPUTime    time.Duration `json:"processor"`
	Goroutines int           `json:"goroutines"`
}

// Run serves until ctx ends.
func (e *EntryProcess) Run(ctx context.Context) error {
	runtime.GOMAXPROCS(e.MaxProcs)
	snapshot, err := benchSnapshot()
	if err != nil {
		return err
	}
	timer := &aftimer.Service{}
	// Log lines are formatted as in production and then discarded, so that formatting is part of the measured cost.
	log := slog.New(slog.NewJSONHandler(io.Discard, nil))
	replicas := []afplacement.Replica{{Model: warmModel, Endpoint: "engine", Address: e.EngineAddress, Slots: maxBenchConns}}
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
		Address: e.CallersAddress, Timer: timer, Log: log, Dispatcher: dispatch, MaxConnections: maxBenchConns,
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
	statsServer := &http.Server{Addr: e.StatsAddress, Handler: http.HandlerFunc(handleStats)}
	stop := context.AfterFunc(ctx, func() { _ = statsServer.Close() })
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { timer.Run(ctx) })
	wg.Go(func() { _ = dispatch.Run(ctx) })
	wg.Go(func() { _ = statsServer.ListenAndServe() })
	err = server.Run(ctx)
	wg.Wait()
	return err
}

// benchSnapshot returns the configuration snapshot of the process under measurement.
func benchSnapshot() (*afconfig.Snapshot, error) {
	var objects []afobject.Object
	for _, o := range []struct {
		kind, name string
		spec       any
	}{
		{afobject.KindCustomers, "bench", arbutusfork.Customer{Name: "bench", RatePerSecond: 1}},
		{afobject.KindKeys, "bench", arbutusfork.APIKey{Name: "bench", Customer: "bench", Digest: arbutusfork.DigestSecret(benchKey)}},
		{afobject.KindModels, warmModel, arbutusfork.Model{Name: warmModel, Service: "llm"}},
		{afobject.KindModels, coldModel, arbutusfork.Model{Name: coldModel, Service: "llm"}},
		{afobject.KindRoutes, "llm", arbutusfork.Route{Name: "llm", Service: "llm", FirstByteTimeoutMillis: time.Hour.Milliseconds()}},
	} {
		b, err := json.Marshal(o.spec)
		if err != nil {
			return nil, err
		}
		objects = append(objects, afobject.Object{Kind: o.kind, Name: o.name, Version: 1, Spec: b})
	}
	return (&afconfig.Snapshot{}).WithObjects(1, objects...)
}

// handleStats answers with ProcessStats after a garbage collection.
func handleStats(w http.ResponseWriter, _ *http.Request) {
	debug.FreeOSMemory()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	_ = json.NewEncoder(w).Encode(ProcessStats{
		ResidentBytes: ownResidentBytes(), LiveBytes: int64(m.HeapAlloc + m.StackInuse), Goroutines: runtime.NumGoroutine(),
		CPUTime: time.Duration(r.Utime.Nano() + r.Stime.Nano()),
	})
}

// ownResidentBytes returns the resident memory of this process in bytes, or 0 if it cannot be read.
func ownResidentBytes() int64 {
	n, err := residentBytes("self")
	if err != nil {
		return 0 // The measuring process prints 0 MB.
	}
	return n
}

// residentBytes returns the resident memory of a process in bytes.
func residentBytes(pid string) (int64, error) {
	b, err := os.ReadFile("/proc/" + pid + "/statm")
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(b))
	if len(fields) < 2 {
		return 0, errors.New("read resident memory of process " + pid + ": too few fields in statm")
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()), err
}
