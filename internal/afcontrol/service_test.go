package afcontrol

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork"
)

func pair(t *testing.T) (*fleet, *engine) {
	e := newEngine(t)
	models := []arbutusfork.Model{{Name: "a", Memory: 10, Remote: 1000, Disk: 500, Host: 100}, {Name: "a:x", Memory: 1, Remote: 10, Disk: 10, Host: 10}}
	endpoints := []arbutusfork.Endpoint{{Name: "r1", Address: e.server.Listener.Addr().String(), Memory: 20, Slots: 4}}
	return newFleet(t, snapshot(t, arbutusfork.Service{Name: "s"}, models, endpoints), "vm1", "vm2"), e
}

func (f *fleet) others(name string) *Service {
	for vm, s := range f.vms {
		if vm != name {
			return s
		}
	}
	return nil
}

// TestLoadOnDemand guards against demand at a VM that does not own the shard being lost on the way to a load.
func TestLoadOnDemand(t *testing.T) {
	f, e := pair(t)
	f.advance(3 * time.Second)
	owner := f.owner("s-0")
	require.NotEmpty(t, owner)
	s := f.others(owner)
	s.SetWaitingRequests("a:x", 1, f.now.Add(time.Minute))
	f.advance(time.Second)
	require.Equal(t, []string{"load a", "load a:x"}, e.got())
	require.Len(t, s.RoutingTable().Replicas("a:x"), 1)
	require.Equal(t, f.vms[owner].TableDigests(), s.TableDigests())
}

// TestTakeOver guards against a shard that stays without an owner after a death, and against a handover that
// loses the replicas.
func TestTakeOver(t *testing.T) {
	f, e := pair(t)
	f.advance(3 * time.Second)
	owner := f.owner("s-0")
	f.vms[owner].SetWaitingRequests("a", 1, f.now.Add(time.Minute))
	f.advance(time.Second)
	f.frozen[owner] = true
	f.advance(10 * time.Second)
	next := f.owner("s-0")
	require.NotEqual(t, owner, next)
	require.Len(t, f.vms[next].RoutingTable().Replicas("a"), 1)
	require.Equal(t, []string{"load a"}, e.got())
}

// TestRelease guards against a planned stop that leaves the shard to expire.
func TestRelease(t *testing.T) {
	f, _ := pair(t)
	f.advance(3 * time.Second)
	owner := f.owner("s-0")
	done := make(chan error, 1)
	go func() { done <- f.vms[owner].ReleaseShards(context.Background()) }()
	for f.owner("s-0") == owner {
		f.advance(tick)
	}
	f.advance(2 * time.Second)
	require.NoError(t, <-done)
	require.NotEqual(t, owner, f.owner("s-0"))
	require.NotEmpty(t, f.owner("s-0"))
}

// TestPlatformFaults guards against a decision during an outage, and against a lost answer that stops the owner.
func TestPlatformFaults(t *testing.T) {
	f, e := pair(t)
	f.advance(3 * time.Second)
	owner := f.owner("s-0")
	f.platform.mu.Lock()
	f.platform.down = true
	f.platform.mu.Unlock()
	f.vms[owner].SetWaitingRequests("a", 1, f.now.Add(time.Minute))
	f.advance(20 * time.Second)
	require.Empty(t, e.got())
	f.platform.mu.Lock()
	f.platform.down, f.platform.lose = false, 1
	f.platform.mu.Unlock()
	f.vms[owner].SetWaitingRequests("a", 2, f.now.Add(time.Minute))
	f.advance(15 * time.Second)
	require.Equal(t, []string{"load a"}, e.got())
}

// TestLeavingEndpoint guards against new work for an endpoint that says that it leaves.
func TestLeavingEndpoint(t *testing.T) {
	f, e := pair(t)
	f.advance(3 * time.Second)
	owner := f.owner("s-0")
	f.vms[owner].SetWaitingRequests("a", 1, f.now.Add(time.Minute))
	f.advance(time.Second)
	require.Len(t, f.others(owner).RoutingTable().Replicas("a"), 1)
	e.mu.Lock()
	e.status.Leaving = true
	e.mu.Unlock()
	f.advance(2 * time.Second)
	require.Empty(t, f.others(owner).RoutingTable().Replicas("a"))
}

// TestPlainService guards against a plain service that cannot be reached while no VM can own its shard, and against
// an endpoint that stays in the table without answering.
func TestPlainService(t *testing.T) {
	e := newEngine(t)
	endpoints := []arbutusfork.Endpoint{
		{Name: "p1", Address: e.server.Listener.Addr().String(), Slots: 4},
		{Name: "p2", Address: "127.0.0.1:1", Slots: 4},
	}
	f := newFleet(t, snapshot(t, arbutusfork.Service{Name: "app", Kind: arbutusfork.ServicePlain}, nil, endpoints), "vm1")
	f.platform.mu.Lock()
	f.platform.down = true
	f.platform.mu.Unlock()
	f.advance(time.Second)
	require.Len(t, f.vms["vm1"].RoutingTable().Replicas("app"), 2)
	f.platform.mu.Lock()
	f.platform.down = false
	f.platform.mu.Unlock()
	f.advance(8 * time.Second)
	replicas := f.vms["vm1"].RoutingTable().Replicas("app")
	require.Len(t, replicas, 1)
	require.Equal(t, "p1", replicas[0].Endpoint)
}
