package afmeasure

import (
	"fmt"
	"io"
	"time"

	"arbutusfork.example/arbutusfork/internal/afexample"
	"arbutusfork.example/arbutusfork/internal/afquota"
)

const (
	limitLength = 3 * time.Minute
	vmCount     = 6
)

// RunLimits measures requests refused although within rate, for permanent shares with loans beside a static equal split,
// with the limits of each deployment's largest and smallest customer.
func RunLimits(w io.Writer, seed uint64) error {
	for _, d := range afexample.Deployments() {
		if _, err := fmt.Fprintf(w, "\n%s, seed %d: requests refused although one bucket for the fleet admits them, after the first second\n%-18s %-28s %10s %16s %16s\n",
			d.Name, seed, "customer", "demand", "offered", "equal split", "shares + loans"); err != nil {
			return err
		}
		for _, c := range d.Customers {
			for _, x := range limitScenarios {
				sc := x.scenario
				sc.VMs, sc.Rate, sc.Burst, sc.Duration, sc.SettlingTime, sc.Seed = vmCount, c.RatePerSecond, c.Burst, limitLength, time.Second, seed
				split, loans := afquota.MeasureEqualSplit(sc), afquota.MeasureLoans(sc)
				if _, err := fmt.Fprintf(w, "%-18s %-28s %10d %16d %16d\n",
					c.Name, x.name, loans.OfferedRequests, split.RefusedWithinRate, loans.RefusedWithinRate); err != nil {
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

// limitScenarios are the demands that move between VMs, VMs that die, and a customer far above its rate.
var limitScenarios = []struct {
	name     string
	scenario afquota.Scenario
}{
	{"even", afquota.Scenario{LoadFactor: 0.8}},
	{"all on one VM, moving", afquota.Scenario{LoadFactor: 1, ShiftInterval: 20 * time.Second}},
	{"all on one VM, VMs die", afquota.Scenario{
		LoadFactor: 0.8, ShiftInterval: 20 * time.Second, DeathInterval: 25 * time.Second, DeathListingDelay: 3 * time.Second, RestartDelay: 5 * time.Second,
	}},
	{"five times the rate", afquota.Scenario{LoadFactor: overload}},
}
