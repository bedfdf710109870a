package afkeeper

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/aflease"
	"arbutusfork.example/arbutusfork/pkg/afroute"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
)

// deputyFleet is a fleet of which a deputy answers for a holder that can be silenced.
type deputyFleet struct {
	timer *aftimer.Service
	now   time.Time
	vms   []*Service
	// cut names the VMs that no message reaches.
	cut map[string]bool
}

const deputyRate = 31_000

func newDeputyFleet(n int) *deputyFleet {
	f := &deputyFleet{timer: &aftimer.Service{}, now: time.Unix(100, 0), cut: map[string]bool{}}
	f.timer.Advance(f.now)
	table := afroute.NewTable(1, afroute.Limits{}, nil, nil, []afroute.Customer{{Name: "c", RatePerSecond: deputyRate, Burst: deputyRate, CountsTokens: true}}, nil)
	byName := map[string]*Service{}
	var members []arbutusfork.VM
	for i := range n {
		members = append(members, arbutusfork.VM{Name: fmt.Sprintf("vm-%02d", i)})
	}
	beats := map[string]beat{}
	for i, vm := range members {
		s := &Service{
			Self: arbutusfork.Incarnation{VM: vm.Name, Start: 1}, Timer: f.timer, Log: slog.New(slog.DiscardHandler),
			Table: func() *afroute.Table { return table }, ListedVMCount: func() int { return n }, LiveVMs: func() []arbutusfork.VM { return members },
			BootTime: func() time.Duration { return f.now.Sub(time.Unix(0, 0)) },
			ledgers:  map[string]*ledger{}, holder: members[0].Name, viewed: f.now,
		}
		s.lease = aflease.New(s.Self.String(), vm.Name, aflease.Timing{TTL: time.Hour, RenewInterval: time.Hour})
		s.CallVM = func(_ context.Context, vm, _ string, message, answer any) error {
			if f.cut[vm] || f.cut[s.Self.VM] {
				return context.DeadlineExceeded
			}
			body, err := msgpack.Marshal(message)
			if err != nil {
				return err
			}
			a, err := byName[vm].HandleSpendRequest(s.Self, body)
			if err != nil {
				return err
			}
			*answer.(*spendAnswer) = a.(spendAnswer)
			return nil
		}
		byName[vm.Name] = s
		f.vms = append(f.vms, s)
		beats[vm.Name] = beat{Small: i > 0 && i < 4}
	}
	holder := f.vms[0]
	holder.lease = holder.lease.WithReadRecord(aflease.Record{}, 0, 0)
	_, r := holder.lease.NextAction(0)
	holder.lease = holder.lease.WithWrittenRecord(r, 1, holder.BootTime(), holder.BootTime())
	named := holder.choose(beats, members)
	for _, s := range f.vms {
		s.heardHolder(named)
	}
	return f
}

// ask sends requests of 1,400 units at the given rate of units, in turn from every VM but the holder, and returns how many
// were asked for and given.
func (f *deputyFleet) ask(units float64, length time.Duration) (asked, given int) {
	const cost = 1400
	gap := time.Duration(cost / units * float64(time.Second))
	for end := f.now.Add(length); f.now.Before(end); {
		f.now = f.now.Add(gap)
		f.timer.Advance(f.now)
		s := f.vms[1+(asked*37)%(len(f.vms)-1)]
		asked++
		if _, ok := s.SpendUnits(context.Background(), "c", cost); ok {
			given++
		}
	}
	return asked * cost, given * cost
}

// Guards against a large fleet that refuses customers within their limit while it has no holder, because each VM's part of
// the limit is smaller than a request, and against two givers that together exceed the limit.
func TestDeputyGivesForASilentHolder(t *testing.T) {
	f := newDeputyFleet(91)
	require.Equal(t, "vm-04", f.vms[0].deputy.vm, "the first that has a full link")
	require.Equal(t, 0*time.Second, f.vms[4].rank(), "it takes the lease first")
	f.cut["vm-00"] = true
	asked, given := f.ask(0.55*deputyRate, 3*time.Second)
	require.GreaterOrEqual(t, float64(given), 0.95*float64(asked))

	f = newDeputyFleet(91)
	f.cut["vm-00"] = true
	own := 0.0
	for _, s := range f.vms {
		own += s.FractionUsableWithoutGrants() / float64(s.ListedVMCount()) * deputyRate
	}
	_, given = f.ask(4*deputyRate, 3*time.Second)
	require.LessOrEqual(t, float64(given)+3*own, 3*deputyRate+1.0, "what VMs use unasked counts too")
}

// Guards against a fleet that refuses customers within their limit while the platform is away: the holder answers, but
// its lease has ended.
func TestDeputyGivesForAFormerHolder(t *testing.T) {
	f := newDeputyFleet(91)
	holder := f.vms[0]
	holder.lease = holder.lease.WithOwnUseEnded()
	asked, given := f.ask(0.55*deputyRate, 3*time.Second)
	require.GreaterOrEqual(t, float64(given), 0.95*float64(asked))
}

// Guards against a deputy that gives besides a holder that answers.
func TestDeputyAsksTheHolder(t *testing.T) {
	f := newDeputyFleet(91)
	holder, deputy := f.vms[0], f.vms[4]
	members := holder.LiveVMs()
	holder.grant(map[string]beat{}, map[string]int64{}, members, f.now)
	level := holder.ledgers["c"].level
	holder.ledgers["c"].out = 0
	body, err := msgpack.Marshal(spendRequest{Customer: "c", Cost: 1000})
	require.NoError(t, err)
	a, err := deputy.HandleSpendRequest(f.vms[7].Self, body)
	require.NoError(t, err)
	require.True(t, a.(spendAnswer).Given)
	require.Equal(t, level-1000, holder.ledgers["c"].level, "the holder gave it")
	require.Empty(t, deputy.ledgers)

	a, err = f.vms[9].HandleSpendRequest(f.vms[7].Self, body)
	require.NoError(t, err)
	require.False(t, a.(spendAnswer).Given, "a VM that is neither holder nor deputy gives nothing")
}
