package aflimit

import (
	"slices"
	"testing"
	"time"

	"arbutusfork.example/arbutusfork"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestRefillIsExact guards against drift: many small refills must add up to the same number of tokens as one refill,
// at any rate.
func TestRefillIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := Amount(rapid.Int64Range(1, int64(Tokens(5_000_000))).Draw(t, "rate"))
		b := TokenBucket{limit: Limit{Rate: rate, Burst: Tokens(maxTokens)}}
		now := time.Duration(0)
		for range 50 {
			now += time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "step"))
			b.advanceTo(now)
		}
		single, _, fits := accruedTokens(rate, now, 0)
		require.True(t, fits)
		require.Equal(t, single, b.level)
	})
}

// TestPartsNeverExceedLimit guards against rounding up when a limit is split over many VMs.
func TestPartsNeverExceedLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := limitOf(rapid.Int64Range(1, 10_000_000).Draw(t, "rate"), rapid.Int64Range(1, 1_000_000_000).Draw(t, "burst"))
		sum, remaining := Limit{}, TotalParts
		for range 380 {
			parts := rapid.Int64Range(0, remaining/8).Draw(t, "parts")
			remaining -= parts
			x := l.ForParts(EqualParts(parts))
			sum.Rate, sum.Burst = sum.Rate+x.Rate, sum.Burst+x.Burst
		}
		x := l.ForParts(EqualParts(remaining))
		require.LessOrEqual(t, sum.Rate+x.Rate, l.Rate)
		require.LessOrEqual(t, sum.Burst+x.Burst, l.Burst)
		need := Amount(rapid.Int64Range(1, int64(l.Burst)).Draw(t, "need"))
		require.GreaterOrEqual(t, l.ForParts(Parts{Burst: l.PartsForBurst(need)}).Burst, need)
	})
}

// TestShareSetIsStable guards against moving the shares of other VMs when one VM leaves the share set.
func TestShareSetIsStable(t *testing.T) {
	var vms []string
	for i := range 380 {
		vms = append(vms, arbutusfork.Incarnation{VM: "vm", StartID: int64(i)}.String())
	}
	before := ShareSet("c", vms)
	require.Len(t, before, MaxShareSetSize)
	after := ShareSet("c", slices.DeleteFunc(vms, func(vm string) bool { return vm == before[3] }))
	for i, vm := range before {
		require.Equal(t, i != 3, slices.Contains(after, vm))
	}
	require.EqualValues(t, TotalParts/MaxShareSetSize, TargetParts(before[0], before))
	require.Zero(t, TargetParts("other", before))
}
