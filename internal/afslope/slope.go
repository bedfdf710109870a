// Package afslope measures what control costs, by growing one thing at a time on one machine.
package afslope

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"syscall"
	"time"
)

// Config selects the sizes and times of a measurement.
type Config struct {
	// Nodes, Models, Customers, Endpoints and VMs are the sizes that are measured, each in rising order.
	NodeCounts     []int
	ModelCounts    []int
	CustomerCounts []int
	EndpointCounts []int
	// LoanVMCounts are the sizes of the fleet over which one customer's demand is spread, in synthetic time.
	LoanVMCounts  []int
	TableVMCounts []int
	// WarmUpDuration is the time before a measurement over real time, and Span its length.
	WarmUpDuration    time.Duration
	MeasuringDuration time.Duration
}

// DefaultConfig returns the sizes whose results are quoted on the capacity page.
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

// Run measures each slope and prints a table of them.
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

// processorTime returns the user and system time of this process.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heapBytes returns the live heap after a collection.
func heapBytes() int64 {
	runtime.GC()
	runtime.GC() // The second collection frees what finalizers held.
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// perCall returns the mean time of n calls.
func perCall(n int, fn func()) time.Duration {
	start := time.Now()
	for range n {
		fn()
	}
	return time.Since(start) / time.Duration(n)
}
