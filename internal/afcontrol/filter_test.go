package afcontrol

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afplacement"
)

const slots = 4

// crowd is a fleet of 12 VMs, in which VMs get filtered parts, with an owner and two VMs that do not own the shard.
func crowd(t *testing.T) (f *fleet, owner, one, two string) {
	e := newEngine(t)
	models := []arbutusfork.Model{{Name: "a", Memory: 10, Remote: 10, Disk: 5, Host: 1}, {Name: "b", Memory: 10, Remote: 10, Disk: 5, Host: 1}}
	endpoints := []arbutusfork.Endpoint{{Name: "r1", Address: e.server.Listener.Addr().String(), Memory: 20, Slots: slots}}
	var names []string
	for i := range 12 {
		names = append(names, fmt.Sprintf("vm%d", i))
	}
	f = newFleet(t, snapshot(t, arbutusfork.Service{Name: "s"}, models, endpoints), names...)
	f.advance(3 * time.Second)
	owner = f.owner("s-0")
	require.NotEmpty(t, owner)
	for _, name := range names {
		switch {
		case name == owner:
		case one == "":
			one = name
		case two == "" && name != afplacement.PreferredOwner("s-0", f.vms[name].Members()):
			two = name
		}
	}
	return f, owner, one, two
}

func (f *fleet) demand(vm, model string) {
	f.vms[vm].SetWaitingRequests(model, 1, f.now.Add(time.Minute))
}

// losing loses the messages of a kind to a VM, or to all VMs if it is empty.
func (f *fleet) losing(vm, kind string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lose = func(to, k string) bool { return k == kind && (vm == "" || to == vm) }
}

func (f *fleet) arriving() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lose = nil
}

func (f *fleet) count(kind string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sent[kind]
}

// TestFilteredTable guards against an owner that sends a VM what it has no demand for, against credits that exceed the
// slots, and against filtered parts that reach others.
func TestFilteredTable(t *testing.T) {
	f, owner, one, two := crowd(t)
	f.demand(one, "a")
	f.demand(two, "b")
	f.demand(owner, "b")
	f.advance(3 * time.Second)
	require.Equal(t, []string{"a"}, f.vms[one].RoutingTable().Models())
	require.Equal(t, []string{"b"}, f.vms[two].RoutingTable().Models())
	sum := 0
	for name, s := range f.vms {
		require.Empty(t, s.TableDigests(), name)
		if name != owner && name != one && name != two {
			require.Empty(t, s.RoutingTable().Models(), name)
		}
		for _, model := range s.RoutingTable().Models() {
			r := s.RoutingTable().Replicas(model)[0]
			require.Len(t, r.Credits, 1)
			require.Positive(t, r.Credit(name))
			sum += r.Credit(name)
		}
	}
	require.Equal(t, slots, sum)
	request, err := msgpack.Marshal(pullMessage{Shard: "s-0"})
	require.NoError(t, err)
	_, err = f.vms[one].HandleFetchPart(f.vms[two].Self, request)
	require.Error(t, err)
	f.vms[two].HandleDigests(f.vms[one].Self, map[string]int64{"s-0": 1 << 40})
	f.settle()
	require.Zero(t, f.count(KindFetchPart))
}

// TestLoadedModelAtOnce guards against a request that waits for a summary although its model is loaded, also after
// the VM has dropped the entry.
func TestLoadedModelAtOnce(t *testing.T) {
	f, _, one, two := crowd(t)
	f.demand(one, "a")
	f.advance(2 * time.Second)
	for range 2 {
		f.demand(two, "a")
		f.settle()
		require.Len(t, f.vms[two].RoutingTable().Replicas("a"), 1)
		f.vms[two].SetWaitingRequests("a", 0, f.now)
		f.advance(8 * time.Second)
		require.Empty(t, f.vms[two].RoutingTable().Replicas("a"))
	}
	require.Len(t, f.vms[one].RoutingTable().Replicas("a"), 1)
}

// TestLostTable guards against a VM that stays without a publication that was lost, and against an owner that keeps
// sending to VMs that have the latest one.
func TestLostTable(t *testing.T) {
	f, _, one, _ := crowd(t)
	f.losing(one, KindTablePart)
	f.demand(one, "a")
	f.advance(5 * time.Second)
	require.Empty(t, f.vms[one].RoutingTable().Models())
	f.arriving()
	f.advance(summary + tick)
	require.Equal(t, []string{"a"}, f.vms[one].RoutingTable().Models())
	f.advance(2 * time.Second)
	n := f.count(KindTablePart)
	f.advance(10 * time.Second)
	require.Equal(t, n, f.count(KindTablePart))
}

// TestLostChange guards against a VM that keeps an outdated entry, which it does not report as missing, after a
// publication was lost or after it took an endpoint out by itself.
func TestLostChange(t *testing.T) {
	f, _, one, two := crowd(t)
	f.demand(one, "a")
	f.advance(2 * time.Second)
	f.vms[one].SetWaitingRequests("a", 0, f.now)
	f.vms[one].SetRunningRequests("a", 1)
	f.advance(2 * time.Second)
	require.Equal(t, slots, f.vms[one].RoutingTable().Replicas("a")[0].Credit(one))
	f.losing(one, KindTablePart)
	f.vms[two].SetRunningRequests("a", 1)
	f.advance(3 * time.Second)
	require.Equal(t, slots, f.vms[one].RoutingTable().Replicas("a")[0].Credit(one))
	f.arriving()
	f.advance(summary + tick)
	require.Equal(t, slots/2, f.vms[one].RoutingTable().Replicas("a")[0].Credit(one))
	f.vms[one].DropEndpoint("r1")
	require.Empty(t, f.vms[one].RoutingTable().Models())
	f.advance(summary + tick)
	require.Equal(t, []string{"a"}, f.vms[one].RoutingTable().Models())
}

// TestLostDemand guards against urgent demand that is not repeated after it was lost.
func TestLostDemand(t *testing.T) {
	f, owner, one, two := crowd(t)
	f.demand(two, "a")
	f.advance(2 * time.Second)
	f.losing(owner, KindDemand)
	f.demand(one, "a")
	f.settle()
	f.arriving()
	f.advance(summary + tick)
	require.Len(t, f.vms[one].RoutingTable().Replicas("a"), 1)
}

// TestTakeOverInLargeFleet guards against demand that goes on to a dead owner, also if the news of its successor is
// lost.
func TestTakeOverInLargeFleet(t *testing.T) {
	f, owner, one, two := crowd(t)
	f.demand(one, "a")
	f.advance(2 * time.Second)
	f.losing("", KindOwner)
	f.frozen[owner] = true
	f.advance(10 * time.Second)
	next := f.owner("s-0")
	require.NotEqual(t, owner, next)
	f.arriving()
	f.demand(two, "b")
	f.advance(3 * time.Second)
	require.Len(t, f.vms[two].RoutingTable().Replicas("b"), 1)
	p, ok := f.vms[one].RoutingTable().Part("s-0")
	require.True(t, ok)
	require.Equal(t, next, p.Owner.VM)
	require.Len(t, f.vms[one].RoutingTable().Replicas("a"), 1)
}

// TestOlderPublication guards against a late message that replaces a newer publication.
func TestOlderPublication(t *testing.T) {
	f, owner, one, _ := crowd(t)
	f.demand(one, "a")
	f.advance(2 * time.Second)
	p, ok := f.vms[one].RoutingTable().Part("s-0")
	require.True(t, ok)
	late := p
	late.Sequence, late.Replicas = p.Sequence-1, nil
	require.NoError(t, f.deliver(f.vms[owner].Self, one, KindTablePart, late, nil))
	late.Epoch, late.Sequence = p.Epoch-1, p.Sequence+10
	require.NoError(t, f.deliver(f.vms[owner].Self, one, KindTablePart, late, nil))
	require.Len(t, f.vms[one].RoutingTable().Replicas("a"), 1)
}

// TestPeriod guards against summaries that grow with the fleet.
func TestPeriod(t *testing.T) {
	require.Equal(t, time.Second, period(6))
	require.Equal(t, time.Second, period(100))
	require.Equal(t, 3800*time.Millisecond, period(380))
}
