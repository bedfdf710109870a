package aflimit

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of the property tests, so that each run gives the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "7", "rapid.checks": "8000", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = f.Value.Set(value)
		}
	}
	os.Exit(m.Run())
}

const worldSteps = 120

func runWorld(t *rapid.T, without guard, limits ...Limit) error {
	w := newWorld(t, without, limits...)
	for range worldSteps {
		w.step()
		if err := w.check(); err != nil {
			return err
		}
	}
	return nil
}

func limitOf(rate, burst int64) Limit { return Limit{Rate: Tokens(rate), Burst: Tokens(burst)} }

// TestIntervalBound guards against admitting more than burst + rate x interval over all VMs together.
func TestIntervalBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		require.NoError(t, runWorld(t, 0, limitOf(10, 30)))
	})
}

// TestIntervalBoundAcrossChanges guards against a change of rate that lets loans or refunds exceed the highest limit.
func TestIntervalBoundAcrossChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		require.NoError(t, runWorld(t, 0, limitOf(10, 30), limitOf(3, 50), limitOf(20, 7)))
	})
}

// TestIntervalBoundNeedsGuards shows that the property fails without each guard.
func TestIntervalBoundNeedsGuards(t *testing.T) {
	for name, g := range map[string]guard{
		"debit": guardDebit, "once": guardOnce, "margin": guardMargin, "refund cut": guardRefundCut,
		"proof": guardProof, "wait": guardWait, "release": guardRelease,
	} {
		t.Run(name, func(t *testing.T) {
			run := rapid.Custom(func(t *rapid.T) string { return fmt.Sprint(runWorld(t, g, limitOf(10, 30))) })
			for seed := range 20_000 {
				if found := run.Example(seed); found != "<nil>" {
					t.Logf("seed %d: %s", seed, found)
					return
				}
			}
			t.Fatal("the property holds without the guard")
		})
	}
}
