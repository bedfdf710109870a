package afnode

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/internal/affeed"
	"arbutusfork.example/arbutusfork/internal/afpeer"
	"arbutusfork.example/arbutusfork/internal/afstandin"
	"arbutusfork.example/arbutusfork/pkg/afmember"
	"arbutusfork.example/arbutusfork/pkg/afobject"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
)

// runPeers runs a service and its timer until the test ends.
func runPeers(t *testing.T, timer *aftimer.Service, s *afpeer.Service) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { timer.Run(ctx) })
	running.Go(func() { _ = s.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
}

// newConnectedNode returns the node of VM a, which is connected to the running VMs over an in-memory network.
func newConnectedNode(t *testing.T, running ...string) *Node {
	t.Helper()
	n, _ := newOddNode(t)
	network := new(afstandin.Network)
	n.peers.ListenAddress, n.peers.Transport = "127.0.0.1:1", network.Transport("127.0.0.1:1")
	runPeers(t, n.timer, n.peers)
	for i, vm := range running {
		address, timer := fmt.Sprint("127.0.0.1:", i+2), new(aftimer.Service)
		runPeers(t, timer, &afpeer.Service{
			Self: arbutusfork.Incarnation{VM: vm, StartID: 1}, ListenAddress: address, Seeds: []string{"127.0.0.1:1"}, Timer: timer,
			Log: slog.New(slog.DiscardHandler), Transport: network.Transport(address),
		})
	}
	time.Sleep(3 * time.Second)
	synctest.Wait()
	return n
}

// Guards against a VM that stays listed for ever after it stopped during an outage, in a fleet in which not all VMs exchange heartbeats.
func TestLostVMWithoutHeartbeatsIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var others []arbutusfork.VM
		for i := range 12 {
			others = append(others, arbutusfork.VM{Name: fmt.Sprint("vm", i)})
		}
		var running []string
		for _, vm := range afmember.HighestRanked(others, "a", afmember.MaxHeartbeatPeers) {
			running = append(running, vm.Name)
		}
		n := newConnectedNode(t, running...)
		var stopped, listed []afobject.Object
		for i, vm := range others {
			port, isRunning := 100+i, false
			if at := slices.Index(running, vm.Name); at >= 0 {
				port, isRunning = at+2, true
			}
			o := object(vm.Name, 1, fmt.Sprintf(`{"address":"127.0.0.1:%d","start":1}`, port))
			if isRunning {
				listed = append(listed, o)
			} else {
				stopped = append(stopped, o)
			}
		}
		f := n.newVMFeed()
		f.OnList(slices.Concat(listed, stopped), affeed.Gap{})
		time.Sleep(5 * time.Second)
		require.Equal(t, 13, n.countListedVMs())

		f.OnList(listed[1:], affeed.Gap{WentBack: true})
		for range 30 {
			time.Sleep(unreachableCheckInterval)
			n.removeUnreachableVMs(t.Context(), n.timer.Now())
		}
		synctest.Wait()
		require.Equal(t, 9, n.countListedVMs(), "the VM that answers heartbeats stays although its entry is missing")
		require.Len(t, n.peers.LiveMembers(), 9)
	})
}

// Guards against a VM that uses the whole of the customers' limits and of the retry budget after its start, because it has no
// list of VMs yet or one that lacks VMs.
func TestConnectedVMsAreCountedWithoutTheirEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newConnectedNode(t, "b", "c")
		require.Len(t, n.peers.LiveMembers(), 3)
		require.Equal(t, 3, n.countListedVMs(), "no list yet")
		n.newVMFeed().OnList(nil, affeed.Gap{})
		synctest.Wait()
		require.Equal(t, 3, n.countListedVMs(), "an empty list")
	})
}

// Guards against an entry of an earlier start that stays after the store came back with it.
func TestOwnEntryOfEarlierStartIsReplaced(t *testing.T) {
	n, _ := newOddNode(t)
	f := n.newVMFeed()
	entry := func(start int64) []afobject.Object {
		return []afobject.Object{object("a", 1, `{"address":"127.0.0.1:7","start":`+strconv.FormatInt(start, 10)+`}`)}
	}
	f.OnList(entry(n.self.StartID-1), affeed.Gap{})
	require.Empty(t, n.vmList.writeRequests, "the entry is replaced at the start")
	f.OnList(entry(n.self.StartID), affeed.Gap{})
	require.Empty(t, n.vmList.writeRequests)
	f.OnList(entry(n.self.StartID-1), affeed.Gap{WentBack: true})
	require.Len(t, n.vmList.writeRequests, 1)
	<-n.vmList.writeRequests
	require.False(t, n.isOwnEntryListed())
	f.OnList(entry(n.self.StartID-1), affeed.Gap{WentBack: true})
	require.Len(t, n.vmList.writeRequests, 1, "the platform came back with it once more")
	<-n.vmList.writeRequests
	f.OnList(entry(n.self.StartID+1), affeed.Gap{})
	require.Empty(t, n.vmList.writeRequests, "a later process replaced this one")
}

// Guards against a list of VMs for the links that is older than the copy, because the feed and a check publish at once.
func TestLatestListIsPublished(t *testing.T) {
	n, _ := newOddNode(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go n.timer.Run(ctx)
	n.peers.ListenAddress = "127.0.0.1:0"
	go func() { _ = n.peers.Run(ctx) }()
	<-n.peers.Ready()
	odd := n.newOddObjects(vmKind)
	for round := range 1000 {
		var wg sync.WaitGroup
		for i := range 8 {
			wg.Go(func() {
				n.putVM(object(fmt.Sprintf("vm%d", i), 1, fmt.Sprintf(`{"address":"127.0.0.1:7","start":1,"centre":"%d"}`, round)), odd)
				n.publishVMs()
			})
		}
		wg.Wait()
		isLatest := func() bool {
			for i := range 8 {
				if vm, _ := n.peers.Membership().ListedVM(fmt.Sprintf("vm%d", i)); vm.Centre != fmt.Sprint(round) {
					return false
				}
			}
			return true
		}
		require.Eventually(t, isLatest, 2*time.Second, 50*time.Microsecond, "round %d", round)
	}
}
