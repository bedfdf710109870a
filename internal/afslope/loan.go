package afslope

import (
	"context"
	"fmt"
	"io"
	"time"

	"arbutusfork.example/arbutusfork/internal/afquota"
)

const (
	loanRatePerSecond = 10_000
	// loanLoadFactor is the demand as a fraction of the customer's rate.
	loanLoadFactor = 0.8
	loanDuration   = time.Minute
)

// measureLoans simulates one customer whose demand is spread evenly over each number of VMs, and counts the messages
// by which the VMs lend each other shares of the customer's limit.
func measureLoans(_ context.Context, w io.Writer, cfg Config) error {
	_, _ = fmt.Fprintln(w, "loans: messages between VMs for one customer's requests, spread evenly, by burst in seconds of the rate")
	_, _ = fmt.Fprintf(w, "%8s %8s %12s %12s %18s %14s\n", "VMs", "burst s", "requests", "messages", "messages/request", "record writes")
	for _, n := range cfg.LoanVMCounts {
		for _, burstSeconds := range []int64{2, 6, 30} {
			r := afquota.MeasureLoans(afquota.Scenario{
				VMs: n, Rate: loanRatePerSecond, Burst: burstSeconds * loanRatePerSecond, LoadFactor: loanLoadFactor, Duration: loanDuration, SettlingTime: time.Second, Seed: 1,
			})
			_, _ = fmt.Fprintf(w, "%8d %8d %12d %12d %18.2f %14d\n",
				n, burstSeconds, r.OfferedRequests, r.Messages, float64(r.Messages)/float64(r.OfferedRequests), r.RecordWrites)
		}
	}
	return nil
}
