package afkeeper

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afroute"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
)

// Guards against a customer that gets more than its rate and burst from all VMs together, for any mix of units spent from
// grants and units from spend requests.
func TestLedgerKeepsTheLimit(t *testing.T) {
	const rate, burst = 1000, 1000
	rapid.Check(t, func(t *rapid.T) {
		table := afroute.NewTable(1, afroute.Limits{}, nil, nil, []afroute.Customer{{Name: "c", RatePerSecond: rate, Burst: burst, CountsTokens: true}}, nil)
		timer := &aftimer.Service{}
		now := time.Unix(100, 0)
		timer.AdvanceTo(now)
		s := &Service{
			Timer: timer, Log: slog.New(slog.DiscardHandler), Table: func() *afroute.Table { return table }, ListedVMCount: func() int { return 3 },
			buckets: map[string]*customerBucket{},
		}
		members := []arbutusfork.VM{{Name: "a"}, {Name: "b"}, {Name: "c"}}
		starts := map[string]int64{"a": 1, "b": 1, "c": 1}
		spentUnits, availableUnits := map[string]int64{}, map[string]float64{}
		totalUnits := 0.0
		startedAt := now
		for range rapid.IntRange(20, 60).Draw(t, "views") {
			reports := map[string]vmReport{}
			for _, vm := range members {
				reports[vm.Name] = vmReport{CustomerUsage: map[string]customerUsageMessage{"c": {SpentUnits: spentUnits[vm.Name], RequestedUnitRate: int64(rapid.IntRange(0, 500).Draw(t, "asked"))}}}
			}
			grants := s.computeGrants(reports, starts, members, now)
			for _, vm := range members {
				g := grants[vm.Name]["c"]
				availableUnits[vm.Name] = float64(g.AvailableUnits - (spentUnits[vm.Name] - g.ReportedSpentUnits))
			}
			for range rapid.IntRange(4, 16).Draw(t, "requests") {
				vm := rapid.SampledFrom(members).Draw(t, "vm").Name
				cost := int64(rapid.IntRange(20, 400).Draw(t, "cost"))
				if availableUnits[vm] >= float64(cost) {
					availableUnits[vm] -= float64(cost)
					spentUnits[vm] += cost
					totalUnits += float64(cost)
				} else if _, ok := s.spendAsHolder(spendRequest{Customer: "c", Cost: cost}).decode(); ok {
					totalUnits += float64(cost)
				}
			}
			require.LessOrEqual(t, totalUnits, burst+rate*now.Sub(startedAt).Seconds()+1, "units spent after %v", now.Sub(startedAt))
			now = now.Add(time.Duration(rapid.IntRange(10, 400).Draw(t, "ms")) * time.Millisecond)
			timer.AdvanceTo(now)
		}
	})
}

// Guards against dividing a silent VM's share of a limit among the other VMs, although the silent VM may still serve requests.
func TestSilentVMKeepsItsLimitShare(t *testing.T) {
	for _, listed := range []int{2, 4} {
		grants := map[string]map[string]limitGrantMessage{"a": {}, "b": {}}
		bucket := &customerBucket{availableUnits: 1000, reportedSpentUnits: map[arbutusfork.Incarnation]int64{}}
		members := []arbutusfork.VM{{Name: "a"}, {Name: "b"}}
		bucket.divideGrants(afroute.Customer{Name: "c", RatePerSecond: 1000, Burst: 1000}, 2/float64(listed), nil, members, grants)
		totalFraction := grants["a"]["c"].RateFractionMillionths + grants["b"]["c"].RateFractionMillionths
		require.InDelta(t, grantedFraction*2/float64(listed), float64(totalFraction)/millionthsPerUnit, 0.01, fmt.Sprint(listed))
	}
}
