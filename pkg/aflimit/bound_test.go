package aflimit

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of the property tests, so that each run gives the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "7", "rapid.checks": "8000", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = f.Value.Set(value)
		}
	}
	os.Exit(m.Run())
}

// fleetSteps is the number of random actions in one run.
const fleetSteps = 120

// runFleet carries out random actions with the guards disabled, and returns the first violation of the bound.
func runFleet(t *rapid.T, disabledGuards guard, limits ...Limit) error {
	f := newFleet(t, disabledGuards, limits...)
	for range fleetSteps {
		f.runRandomAction()
		if err := f.checkBound(); err != nil {
			return err
		}
	}
	return nil
}

func limitOf(rate, burst int64) Limit { return Limit{Rate: Tokens(rate), Burst: Tokens(burst)} }

// TestIntervalBound guards against admitting more than burst + rate x interval over all VMs together.
func TestIntervalBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		require.NoError(t, runFleet(t, 0, limitOf(10, 30)))
	})
}

// TestIntervalBoundAcrossChanges guards against loans or refunds that exceed the highest configured limit after the
// limit has changed.
func TestIntervalBoundAcrossChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		require.NoError(t, runFleet(t, 0, limitOf(10, 30), limitOf(3, 50), limitOf(20, 7)))
	})
}

// TestIntervalBoundNeedsGuards shows that the bound is exceeded if any single guard is disabled.
func TestIntervalBoundNeedsGuards(t *testing.T) {
	for name, g := range map[string]guard{
		"lender debit": guardLenderDebit, "single credit": guardSingleCredit, "term margin": guardTermMargin, "refund cut": guardRefundCut,
		"holder gone": guardHolderGone, "loans ended": guardLoansEnded, "early release": guardEarlyRelease,
		"lost record": guardLostRecord, "settled": guardSettled,
	} {
		t.Run(name, func(t *testing.T) {
			run := rapid.Custom(func(t *rapid.T) string { return fmt.Sprint(runFleet(t, g, limitOf(10, 30))) })
			for seed := range 20_000 {
				if found := run.Example(seed); found != "<nil>" {
					t.Logf("seed %d: %s", seed, found)
					return
				}
			}
			t.Fatal("the bound holds although the guard is disabled")
		})
	}
}
