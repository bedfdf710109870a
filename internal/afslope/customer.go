package afslope

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"runtime"
	"time"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/internal/afquota"
	"arbutusfork.example/arbutusfork/internal/afstandin"
	"arbutusfork.example/arbutusfork/pkg/afobject"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
)

// measuredReservations is the number of token reservations whose mean duration is measured.
const measuredReservations = 200_000

// measureCustomers measures the limits service of one node for each number of customers.
func measureCustomers(ctx context.Context, w io.Writer, cfg Config) error {
	_, _ = fmt.Fprintln(w, "customers: the limits slice of one node, idle but for the measured reservations")
	_, _ = fmt.Fprintf(w, "%10s %14s %12s %16s %16s\n", "customers", "memory KB", "idle core %", "reservation us", "record writes")
	for _, n := range cfg.CustomerCounts {
		if err := measureQuota(ctx, w, n, cfg); err != nil {
			return err
		}
	}
	return nil
}

// measureQuota measures the limits service of one node with n customers and prints a table line.
func measureQuota(ctx context.Context, w io.Writer, n int, cfg Config) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	platform, err := startServer(ctx, new(afstandin.Platform).Handler())
	if err != nil {
		return err
	}
	customers := make([]arbutusfork.Customer, n)
	customerByName := make(map[string]arbutusfork.Customer, n)
	for i := range customers {
		customers[i] = arbutusfork.Customer{Name: fmt.Sprintf("customer-%d", i), RatePerSecond: 1 << 30, Burst: 1 << 31}
		customerByName[customers[i].Name] = customers[i]
	}
	client := &afobject.Client{BaseURL: "http://" + platform}
	timer := &aftimer.Service{}
	heapBefore := liveHeapBytes()
	quotaService := &afquota.Service{
		Self:      arbutusfork.Incarnation{VM: "vm-0", StartID: 1},
		Timer:     timer,
		Log:       slog.New(slog.DiscardHandler),
		Customer:  func(name string) (arbutusfork.Customer, bool) { c, ok := customerByName[name]; return c, ok },
		Customers: func() []arbutusfork.Customer { return customers },
		CallVM: func(context.Context, string, string, any, any) error {
			return &Error{Op: "call", Kind: OperationFailed}
		},
		LiveVMs:   func() []arbutusfork.VM { return []arbutusfork.VM{{Name: "vm-0"}} },
		GetObject: client.Get, CreateObject: client.Create, UpdateObject: client.Update,
		IsGone: func(arbutusfork.Incarnation) bool { return false },
	}
	go timer.Run(ctx)
	go quotaService.Run(ctx)
	if err := sleepContext(ctx, cfg.WarmUpDuration); err != nil {
		return err
	}
	heapGrowth := liveHeapBytes() - heapBefore
	cpuTimeBefore, start := processCPUTime(), time.Now()
	if err := sleepContext(ctx, cfg.MeasuringDuration); err != nil {
		return err
	}
	idleCPUShare := (processCPUTime() - cpuTimeBefore).Seconds() / time.Since(start).Seconds()
	refusedReservations := 0
	meanReservationDuration := meanCallDuration(measuredReservations, func() {
		r, refusal := quotaService.ReserveTokens(ctx, "customer-0", 100)
		if refusal != nil {
			refusedReservations++
			return
		}
		r.Settle(50)
	})
	if refusedReservations > 0 {
		return &Error{Op: fmt.Sprintf("reserve (%d refused)", refusedReservations), Kind: OperationFailed}
	}
	_, _ = fmt.Fprintf(w, "%10d %14.0f %12.3f %16.3f %16d\n",
		n, float64(heapGrowth)/1000, idleCPUShare*100, float64(meanReservationDuration.Nanoseconds())/1000, client.WriteCount.Load())
	runtime.KeepAlive(quotaService)
	return nil
}
