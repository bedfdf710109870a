// Package afslope measures how the cost of the control parts (membership, configuration, limits and placement) grows
// with the size of the deployment. It varies one size at a time and runs all parts on one machine.
package afslope

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"syscall"
	"time"
)

// Config selects the sizes, each list in rising order, and the durations of the measurements.
type Config struct {
	// NodeCounts are the sizes of the idle fleet.
	NodeCounts []int
	// ModelCounts are the numbers of models in a configuration snapshot.
	ModelCounts []int
	// CustomerCounts are the numbers of customers whose limits one node keeps.
	CustomerCounts []int
	// EndpointCounts are the numbers of endpoints of one placement shard.
	EndpointCounts []int
	// LoanVMCounts are the numbers of VMs over which one customer's demand is spread, in simulated time.
	LoanVMCounts []int
	// TableVMCounts are the numbers of VMs that share one placement shard.
	TableVMCounts []int
	// WarmUpDuration is the time that a measurement in real time waits before the first reading of its counters.
	WarmUpDuration time.Duration
	// MeasuringDuration is the time between the two readings of the counters.
	MeasuringDuration time.Duration
}

// DefaultConfig returns the sizes whose results the documentation quotes.
func DefaultConfig() Config {
	return Config{
		NodeCounts:        []int{2, 4, 8, 16, 32},
		ModelCounts:       []int{1000, 5000, 20000},
		CustomerCounts:    []int{5, 100, 1000},
		EndpointCounts:    []int{8, 16, 32},
		LoanVMCounts:      []int{6, 24, 96},
		TableVMCounts:     []int{8, 16, 32, 64},
		WarmUpDuration:    8 * time.Second,
		MeasuringDuration: 5 * time.Second,
	}
}

// Run runs all measurements and prints a table for each.
func Run(ctx context.Context, w io.Writer, cfg Config) error {
	for _, measure := range []func(context.Context, io.Writer, Config) error{
		measureNodes, measureModels, measureCustomers, measureLoans, measureEndpoints, measureTables,
	} {
		if err := measure(ctx, w, cfg); err != nil {
			return err
		}
		_, _ = fmt.Fprintln(w)
	}
	return nil
}

// processCPUTime returns the user and system time of this process.
func processCPUTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// liveHeapBytes returns the size of the live heap and the stacks after a garbage collection.
func liveHeapBytes() int64 {
	runtime.GC()
	runtime.GC() // The second collection frees objects that finalizers kept alive.
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// meanCallDuration returns the mean duration of n calls of fn.
func meanCallDuration(n int, fn func()) time.Duration {
	start := time.Now()
	for range n {
		fn()
	}
	return time.Since(start) / time.Duration(n)
}
