package afmeasure

import (
	"fmt"
	"io"
	"time"

	"arbutusfork.example/arbutusfork/internal/afexample"
	"arbutusfork.example/arbutusfork/internal/afquota"
)

const (
	limitDuration = 3 * time.Minute
	limitVMCount  = 6
)

// RunLimits counts the requests of each customer that are refused although the customer stays within its rate. It
// compares permanent shares of a limit that VMs lend to each other with a static equal split of the limit among VMs.
func RunLimits(w io.Writer, seed uint64) error {
	for _, d := range afexample.Deployments() {
		if _, err := fmt.Fprintf(w, "\n%s, seed %d: requests refused although one bucket for the fleet admits them, after the first second\n%-18s %-28s %10s %16s %16s\n",
			d.Name, seed, "customer", "demand", "offered", "equal split", "shares + loans"); err != nil {
			return err
		}
		for _, c := range d.Customers {
			for _, x := range limitScenarios {
				scenario := x.scenario
				scenario.VMs, scenario.Rate, scenario.Burst, scenario.Duration, scenario.SettlingTime, scenario.Seed = limitVMCount, c.RatePerSecond, c.Burst, limitDuration, time.Second, seed
				equalSplit, loans := afquota.MeasureEqualSplit(scenario), afquota.MeasureLoans(scenario)
				if _, err := fmt.Fprintf(w, "%-18s %-28s %10d %16d %16d\n",
					c.Name, x.name, loans.OfferedRequests, equalSplit.RefusedWithinRate, loans.RefusedWithinRate); err != nil {
					return err
				}
				if loans.PeakAboveRate > c.Burst {
					return &Error{Op: fmt.Sprintf("limit of %s (%d above the rate, burst %d)", c.Name, loans.PeakAboveRate, c.Burst), Kind: LimitExceeded}
				}
			}
		}
	}
	return nil
}

// limitScenarios cover even demand, demand that moves between VMs, VMs that crash, and a customer far above its rate.
var limitScenarios = []struct {
	name     string
	scenario afquota.Scenario
}{
	{"even", afquota.Scenario{LoadFactor: 0.8}},
	{"all on one VM, moving", afquota.Scenario{LoadFactor: 1, ShiftInterval: 20 * time.Second}},
	{"all on one VM, VMs die", afquota.Scenario{
		LoadFactor: 0.8, ShiftInterval: 20 * time.Second, DeathInterval: 25 * time.Second, DeathListingDelay: 3 * time.Second, RestartDelay: 5 * time.Second,
	}},
	{"five times the rate", afquota.Scenario{LoadFactor: overloadFactor}},
}
