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

// Guards against a customer that gets more than its rate and burst over all VMs together, whatever VMs spend of their grants
// and ask for besides.
func TestLedgerKeepsTheLimit(t *testing.T) {
	const rate, burst = 1000, 1000
	rapid.Check(t, func(t *rapid.T) {
		table := afroute.NewTable(1, afroute.Limits{}, nil, nil, []afroute.Customer{{Name: "c", RatePerSecond: rate, Burst: burst, CountsTokens: true}}, nil)
		timer := &aftimer.Service{}
		now := time.Unix(100, 0)
		timer.Advance(now)
		s := &Service{
			Timer: timer, Log: slog.New(slog.DiscardHandler), Table: func() *afroute.Table { return table }, ListedVMCount: func() int { return 3 },
			ledgers: map[string]*ledger{},
		}
		members := []arbutusfork.VM{{Name: "a"}, {Name: "b"}, {Name: "c"}}
		starts := map[string]int64{"a": 1, "b": 1, "c": 1}
		spent, level := map[string]int64{}, map[string]float64{}
		total := 0.0
		begin := now
		for range rapid.IntRange(20, 60).Draw(t, "views") {
			beats := map[string]beat{}
			for _, vm := range members {
				beats[vm.Name] = beat{Usage: map[string]use{"c": {Spent: spent[vm.Name], Asked: int64(rapid.IntRange(0, 500).Draw(t, "asked"))}}}
			}
			grants := s.grant(beats, starts, members, now)
			for _, vm := range members {
				g := grants[vm.Name]["c"]
				level[vm.Name] = float64(g.Level - (spent[vm.Name] - g.Spent))
			}
			for range rapid.IntRange(4, 16).Draw(t, "requests") {
				vm := rapid.SampledFrom(members).Draw(t, "vm").Name
				cost := int64(rapid.IntRange(20, 400).Draw(t, "cost"))
				if level[vm] >= float64(cost) {
					level[vm] -= float64(cost)
					spent[vm] += cost
					total += float64(cost)
				} else if _, ok := s.spend(spendRequest{Customer: "c", Cost: cost}).decode(); ok {
					total += float64(cost)
				}
			}
			require.LessOrEqual(t, total, burst+rate*now.Sub(begin).Seconds()+1, "after %v", now.Sub(begin))
			now = now.Add(time.Duration(rapid.IntRange(10, 400).Draw(t, "ms")) * time.Millisecond)
			timer.Advance(now)
		}
	})
}

// Guards against limits that give a silent VM's part to the others, although it may still serve.
func TestSilentVMKeepsItsPart(t *testing.T) {
	for _, listed := range []int{2, 4} {
		out := map[string]map[string]grant{"a": {}, "b": {}}
		l := &ledger{level: 1000, spent: map[arbutusfork.Incarnation]int64{}}
		members := []arbutusfork.VM{{Name: "a"}, {Name: "b"}}
		l.divide(afroute.Customer{Name: "c", RatePerSecond: 1000, Burst: 1000}, 2/float64(listed), nil, members, out)
		sum := out["a"]["c"].Part + out["b"]["c"].Part
		require.InDelta(t, grantPart*2/float64(listed), float64(sum)/partUnit, 0.01, fmt.Sprint(listed))
	}
}
