package afslope

import (
	"context"
	"fmt"
	"io"
	"time"

	"arbutusfork.example/arbutusfork/internal/afquota"
)

const (
	loanRate = 10_000
	// loanLoad is the demand as a part of the rate.
	loanLoad = 0.8
	loanSpan = time.Minute
)

// measureLoans grows the VMs over which one customer's demand is spread evenly. Time is synthetic.
func measureLoans(_ context.Context, w io.Writer, cfg Config) error {
	_, _ = fmt.Fprintln(w, "loans: messages between VMs for one customer's requests, spread evenly, by burst in seconds of the rate")
	_, _ = fmt.Fprintf(w, "%8s %8s %12s %12s %18s %14s\n", "VMs", "burst s", "requests", "messages", "messages/request", "record writes")
	for _, n := range cfg.LoanVMCounts {
		for _, burst := range []int64{2, 6, 30} {
			r := afquota.MeasureLoans(afquota.Scenario{
				VMs: n, Rate: loanRate, Burst: burst * loanRate, LoadFactor: loanLoad, Duration: loanSpan, SettlingTime: time.Second, Seed: 1,
			})
			_, _ = fmt.Fprintf(w, "%8d %8d %12d %12d %18.2f %14d\n",
				n, burst, r.OfferedRequests, r.Messages, float64(r.Messages)/float64(r.OfferedRequests), r.RecordWrites)
		}
	}
	return nil
}
