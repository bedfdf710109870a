package afcontrol

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork"
)

// newTwoVMFleet returns a fleet of two VMs with one endpoint, a base model and an adapter.
func newTwoVMFleet(t *testing.T) (*testFleet, *fakeEndpoint) {
	e := newFakeEndpoint(t)
	models := []arbutusfork.Model{{Name: "a", MemoryMB: 10, StoreLoadMillis: 1000, DiskLoadMillis: 500, MemoryLoadMillis: 100}, {Name: "a:x", MemoryMB: 1, StoreLoadMillis: 10, DiskLoadMillis: 10, MemoryLoadMillis: 10}}
	endpoints := []arbutusfork.Endpoint{{Name: "r1", Address: e.server.Listener.Addr().String(), MemoryMB: 20, Slots: 4}}
	return newTestFleet(t, newSnapshot(t, arbutusfork.Service{Name: "s"}, models, endpoints), "vm1", "vm2"), e
}

// otherVM returns a VM other than the named one.
func (f *testFleet) otherVM(name string) *Service {
	for vm, s := range f.vms {
		if vm != name {
			return s
		}
	}
	return nil
}

// TestLoadOnDemand guards against demand that is lost between a VM that does not own the shard and the owner.
func TestLoadOnDemand(t *testing.T) {
	f, e := newTwoVMFleet(t)
	f.advanceTime(3 * time.Second)
	owner := f.recordedOwner("s-0")
	require.NotEmpty(t, owner)
	s := f.otherVM(owner)
	s.SetWaitingRequests("a:x", 1, f.now.Add(time.Minute))
	f.advanceTime(time.Second)
	require.Equal(t, []string{"load a", "load a:x"}, e.receivedOrders())
	require.Len(t, s.RoutingTable().Replicas("a:x"), 1)
	require.Equal(t, f.vms[owner].TableVersions(), s.TableVersions())
}

// TestTakeOver guards against a shard that has no owner after a death, and against a take-over that loses the replicas.
func TestTakeOver(t *testing.T) {
	f, e := newTwoVMFleet(t)
	f.advanceTime(3 * time.Second)
	owner := f.recordedOwner("s-0")
	f.vms[owner].SetWaitingRequests("a", 1, f.now.Add(time.Minute))
	f.advanceTime(time.Second)
	f.isFrozen[owner] = true
	f.advanceTime(10 * time.Second)
	next := f.recordedOwner("s-0")
	require.NotEqual(t, owner, next)
	require.Len(t, f.vms[next].RoutingTable().Replicas("a"), 1)
	require.Equal(t, []string{"load a"}, e.receivedOrders())
}

// TestRelease guards against a planned stop after which the shard has no owner until the lease expires.
func TestRelease(t *testing.T) {
	f, _ := newTwoVMFleet(t)
	f.advanceTime(3 * time.Second)
	owner := f.recordedOwner("s-0")
	done := make(chan error, 1)
	go func() { done <- f.vms[owner].ReleaseShards(context.Background()) }()
	for f.recordedOwner("s-0") == owner {
		f.advanceTime(tickInterval)
	}
	f.advanceTime(2 * time.Second)
	require.NoError(t, <-done)
	require.NotEqual(t, owner, f.recordedOwner("s-0"))
	require.NotEmpty(t, f.recordedOwner("s-0"))
}

// TestPlatformFaults guards against a decision during an outage, and against an owner that stops after a lost answer.
func TestPlatformFaults(t *testing.T) {
	f, e := newTwoVMFleet(t)
	f.advanceTime(3 * time.Second)
	owner := f.recordedOwner("s-0")
	f.platform.mu.Lock()
	f.platform.isDown = true
	f.platform.mu.Unlock()
	f.vms[owner].SetWaitingRequests("a", 1, f.now.Add(time.Minute))
	f.advanceTime(20 * time.Second)
	require.Empty(t, e.receivedOrders())
	f.platform.mu.Lock()
	f.platform.isDown, f.platform.answersToLose = false, 1
	f.platform.mu.Unlock()
	f.vms[owner].SetWaitingRequests("a", 2, f.now.Add(time.Minute))
	f.advanceTime(15 * time.Second)
	require.Equal(t, []string{"load a"}, e.receivedOrders())
}

// TestLeavingEndpoint guards against new requests for an endpoint that reports that it is leaving.
func TestLeavingEndpoint(t *testing.T) {
	f, e := newTwoVMFleet(t)
	f.advanceTime(3 * time.Second)
	owner := f.recordedOwner("s-0")
	f.vms[owner].SetWaitingRequests("a", 1, f.now.Add(time.Minute))
	f.advanceTime(time.Second)
	require.Len(t, f.otherVM(owner).RoutingTable().Replicas("a"), 1)
	e.mu.Lock()
	e.status.Leaving = true
	e.mu.Unlock()
	f.advanceTime(2 * time.Second)
	require.Empty(t, f.otherVM(owner).RoutingTable().Replicas("a"))
}

// TestPlainService guards against a plain service that gets no requests while no VM can own its shard, and against an
// endpoint that stays in the table without answering.
func TestPlainService(t *testing.T) {
	e := newFakeEndpoint(t)
	endpoints := []arbutusfork.Endpoint{
		{Name: "p1", Address: e.server.Listener.Addr().String(), Slots: 4},
		{Name: "p2", Address: "127.0.0.1:1", Slots: 4},
	}
	f := newTestFleet(t, newSnapshot(t, arbutusfork.Service{Name: "app", Kind: arbutusfork.ServicePlain}, nil, endpoints), "vm1")
	f.platform.mu.Lock()
	f.platform.isDown = true
	f.platform.mu.Unlock()
	f.advanceTime(time.Second)
	require.Len(t, f.vms["vm1"].RoutingTable().Replicas("app"), 2)
	f.platform.mu.Lock()
	f.platform.isDown = false
	f.platform.mu.Unlock()
	f.advanceTime(8 * time.Second)
	replicas := f.vms["vm1"].RoutingTable().Replicas("app")
	require.Len(t, replicas, 1)
	require.Equal(t, "p1", replicas[0].Endpoint)
}
