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

const endpointSlots = 4

// newLargeFleet returns a fleet of 12 VMs, in which VMs get filtered parts, its shard's owner, and two VMs that do not
// own the shard. The second one is not the preferred owner either.
func newLargeFleet(t *testing.T) (f *testFleet, owner, vmA, vmB string) {
	e := newFakeEndpoint(t)
	models := []arbutusfork.Model{{Name: "a", MemoryMB: 10, StoreLoadMillis: 10, DiskLoadMillis: 5, MemoryLoadMillis: 1}, {Name: "b", MemoryMB: 10, StoreLoadMillis: 10, DiskLoadMillis: 5, MemoryLoadMillis: 1}}
	endpoints := []arbutusfork.Endpoint{{Name: "r1", Address: e.server.Listener.Addr().String(), MemoryMB: 20, Slots: endpointSlots}}
	var names []string
	for i := range 12 {
		names = append(names, fmt.Sprintf("vm%d", i))
	}
	f = newTestFleet(t, newSnapshot(t, arbutusfork.Service{Name: "s"}, models, endpoints), names...)
	f.advanceTime(3 * time.Second)
	owner = f.recordedOwner("s-0")
	require.NotEmpty(t, owner)
	for _, name := range names {
		switch {
		case name == owner:
		case vmA == "":
			vmA = name
		case vmB == "" && name != afplacement.PreferredOwner("s-0", f.vms[name].LiveVMs()):
			vmB = name
		}
	}
	return f, owner, vmA, vmB
}

// addDemand makes one request wait for the model on a VM.
func (f *testFleet) addDemand(vm, model string) {
	f.vms[vm].SetWaitingRequests(model, 1, f.now.Add(time.Minute))
}

// loseMessages loses the messages of a kind to a VM, or to all VMs if vm is empty.
func (f *testFleet) loseMessages(vm, kind string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.losesMessage = func(to, k string) bool { return k == kind && (vm == "" || to == vm) }
}

// deliverAllMessages ends the loss of messages.
func (f *testFleet) deliverAllMessages() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.losesMessage = nil
}

// sentCount returns the number of messages of a kind that were sent.
func (f *testFleet) sentCount(kind string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sentCounts[kind]
}

// TestFilteredTable guards against an owner that sends a VM entries without demand, against credits that exceed the
// slots, and against filtered parts that are forwarded to other VMs.
func TestFilteredTable(t *testing.T) {
	f, owner, vmA, vmB := newLargeFleet(t)
	f.addDemand(vmA, "a")
	f.addDemand(vmB, "b")
	f.addDemand(owner, "b")
	f.advanceTime(3 * time.Second)
	require.Equal(t, []string{"a"}, f.vms[vmA].RoutingTable().Models())
	require.Equal(t, []string{"b"}, f.vms[vmB].RoutingTable().Models())
	sum := 0
	for name, s := range f.vms {
		require.Empty(t, s.TableVersions(), name)
		if name != owner && name != vmA && name != vmB {
			require.Empty(t, s.RoutingTable().Models(), name)
		}
		for _, model := range s.RoutingTable().Models() {
			r := s.RoutingTable().Replicas(model)[0]
			require.Len(t, r.Credits, 1)
			require.Positive(t, r.Credit(name))
			sum += r.Credit(name)
		}
	}
	require.Equal(t, endpointSlots, sum)
	request, err := msgpack.Marshal(fetchPartMessage{Shard: "s-0"})
	require.NoError(t, err)
	_, err = f.vms[vmA].HandleFetchPart(f.vms[vmB].Self, request)
	require.Error(t, err)
	f.vms[vmB].HandleTableVersions(f.vms[vmA].Self, map[string]afplacement.PartVersion{"s-0": {Epoch: 1 << 40}})
	f.waitUntilIdle()
	require.Zero(t, f.sentCount(KindFetchPart))
}

// TestLoadedModelAtOnce guards against a request that waits for the next summary although its model is loaded, also
// after the VM has dropped the model's entry.
func TestLoadedModelAtOnce(t *testing.T) {
	f, _, vmA, vmB := newLargeFleet(t)
	f.addDemand(vmA, "a")
	f.advanceTime(2 * time.Second)
	for range 2 {
		f.addDemand(vmB, "a")
		f.waitUntilIdle()
		require.Len(t, f.vms[vmB].RoutingTable().Replicas("a"), 1)
		f.vms[vmB].SetWaitingRequests("a", 0, f.now)
		f.advanceTime(8 * time.Second)
		require.Empty(t, f.vms[vmB].RoutingTable().Replicas("a"))
	}
	require.Len(t, f.vms[vmA].RoutingTable().Replicas("a"), 1)
}

// TestLostTable guards against a VM that never gets a publication that was lost, and against an owner that keeps
// sending publications to VMs that have the latest one.
func TestLostTable(t *testing.T) {
	f, _, vmA, _ := newLargeFleet(t)
	f.loseMessages(vmA, KindTablePart)
	f.addDemand(vmA, "a")
	f.advanceTime(5 * time.Second)
	require.Empty(t, f.vms[vmA].RoutingTable().Models())
	f.deliverAllMessages()
	f.advanceTime(minSummaryInterval + tickInterval)
	require.Equal(t, []string{"a"}, f.vms[vmA].RoutingTable().Models())
	f.advanceTime(2 * time.Second)
	n := f.sentCount(KindTablePart)
	f.advanceTime(10 * time.Second)
	require.Equal(t, n, f.sentCount(KindTablePart))
}

// TestLostChange guards against a VM that keeps an outdated entry after a publication was lost, or that lacks an
// endpoint after removing it from its own table. The VM does not report such an entry as missing.
func TestLostChange(t *testing.T) {
	f, _, vmA, vmB := newLargeFleet(t)
	f.addDemand(vmA, "a")
	f.advanceTime(2 * time.Second)
	f.vms[vmA].SetWaitingRequests("a", 0, f.now)
	f.vms[vmA].SetRunningRequests("a", 1)
	f.advanceTime(2 * time.Second)
	require.Equal(t, endpointSlots, f.vms[vmA].RoutingTable().Replicas("a")[0].Credit(vmA))
	f.loseMessages(vmA, KindTablePart)
	f.vms[vmB].SetRunningRequests("a", 1)
	f.advanceTime(3 * time.Second)
	require.Equal(t, endpointSlots, f.vms[vmA].RoutingTable().Replicas("a")[0].Credit(vmA))
	f.deliverAllMessages()
	f.advanceTime(minSummaryInterval + tickInterval)
	require.Equal(t, endpointSlots/2, f.vms[vmA].RoutingTable().Replicas("a")[0].Credit(vmA))
	f.vms[vmA].DropEndpoint("r1")
	require.Empty(t, f.vms[vmA].RoutingTable().Models())
	f.advanceTime(minSummaryInterval + tickInterval)
	require.Equal(t, []string{"a"}, f.vms[vmA].RoutingTable().Models())
}

// TestLostDemand guards against urgent demand that is not repeated after the message was lost.
func TestLostDemand(t *testing.T) {
	f, owner, vmA, vmB := newLargeFleet(t)
	f.addDemand(vmB, "a")
	f.advanceTime(2 * time.Second)
	f.loseMessages(owner, KindDemand)
	f.addDemand(vmA, "a")
	f.waitUntilIdle()
	f.deliverAllMessages()
	f.advanceTime(minSummaryInterval + tickInterval)
	require.Len(t, f.vms[vmA].RoutingTable().Replicas("a"), 1)
}

// TestTakeOverInLargeFleet guards against demand that is still sent to a dead owner, also if the messages that name its
// successor were lost.
func TestTakeOverInLargeFleet(t *testing.T) {
	f, owner, vmA, vmB := newLargeFleet(t)
	f.addDemand(vmA, "a")
	f.advanceTime(2 * time.Second)
	f.loseMessages("", KindOwner)
	f.isFrozen[owner] = true
	f.advanceTime(10 * time.Second)
	next := f.recordedOwner("s-0")
	require.NotEqual(t, owner, next)
	f.deliverAllMessages()
	f.addDemand(vmB, "b")
	f.advanceTime(3 * time.Second)
	require.Len(t, f.vms[vmB].RoutingTable().Replicas("b"), 1)
	p, ok := f.vms[vmA].RoutingTable().Part("s-0")
	require.True(t, ok)
	require.Equal(t, next, p.Owner.VM)
	require.Len(t, f.vms[vmA].RoutingTable().Replicas("a"), 1)
}

// TestOlderPublication guards against a delayed message that replaces a newer publication.
func TestOlderPublication(t *testing.T) {
	f, owner, vmA, _ := newLargeFleet(t)
	f.addDemand(vmA, "a")
	f.advanceTime(2 * time.Second)
	p, ok := f.vms[vmA].RoutingTable().Part("s-0")
	require.True(t, ok)
	outdated := p
	outdated.Sequence, outdated.Replicas = p.Sequence-1, nil
	require.NoError(t, f.deliverMessage(f.vms[owner].Self, vmA, KindTablePart, outdated, nil))
	outdated.Epoch, outdated.Sequence = p.Epoch-1, p.Sequence+10
	require.NoError(t, f.deliverMessage(f.vms[owner].Self, vmA, KindTablePart, outdated, nil))
	require.Len(t, f.vms[vmA].RoutingTable().Replicas("a"), 1)
}

// TestSummaryInterval guards against a rate of summaries that grows with the fleet.
func TestSummaryInterval(t *testing.T) {
	require.Equal(t, time.Second, summaryInterval(6))
	require.Equal(t, time.Second, summaryInterval(100))
	require.Equal(t, 3800*time.Millisecond, summaryInterval(380))
}
