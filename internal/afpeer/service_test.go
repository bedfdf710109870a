package afpeer_test

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/internal/afpeer"
	"arbutusfork.example/arbutusfork/internal/afstandin"
	"arbutusfork.example/arbutusfork/pkg/afframe"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
)

// cluster runs services on an in-memory network in a synctest bubble.
type cluster struct {
	*testing.T
	network  afstandin.Network
	services []*afpeer.Service
	stops    []func()
	received chan string   // received gets the sender and the text of each note message.
	unblock  chan struct{} // unblock ends the handlers of block messages when it is closed.
}

// runCluster starts n services that list each other, lets two seconds pass and calls fn.
func runCluster(t *testing.T, n int, fn func(c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{T: t, received: make(chan string, 100), unblock: make(chan struct{})}
		var listed []arbutusfork.VM
		for i := range n {
			c.startVM(fmt.Sprint("vm", i))
			listed = append(listed, arbutusfork.VM{Name: fmt.Sprint("vm", i), Address: fmt.Sprint("vm", i)})
		}
		for _, s := range c.services {
			s.SetListedVMs(listed)
		}
		c.advance(2 * time.Second)
		fn(c)
		for _, stop := range c.stops {
			stop()
		}
	})
}

func (c *cluster) startVM(name string, seeds ...string) {
	timer := new(aftimer.Service)
	s := &afpeer.Service{
		Self: arbutusfork.Incarnation{VM: name, StartID: 1}, ListenAddress: name, Seeds: seeds, Timer: timer,
		Log: slog.New(slog.DiscardHandler), Transport: c.network.Transport(name),
	}
	s.Handle("note", func(from arbutusfork.Incarnation, body []byte) (any, error) {
		c.received <- from.VM + string(body[1:]) // The header of a short msgpack string is one byte.
		return true, nil
	})
	s.Handle("block", func(arbutusfork.Incarnation, []byte) (any, error) {
		<-c.unblock
		return true, nil
	})
	ctx, cancel := context.WithCancel(c.Context())
	var running sync.WaitGroup
	running.Go(func() { timer.Run(ctx) })
	running.Go(func() { _ = s.Run(ctx) })
	c.services = append(c.services, s)
	c.stops = append(c.stops, func() { cancel(); running.Wait() })
}

// advance lets time pass in the bubble and waits until its goroutines are blocked.
func (c *cluster) advance(d time.Duration) {
	<-time.After(d)
	synctest.Wait()
}

// callNote calls a VM with a note message and requires that its handler received it.
func (c *cluster) callNote(from int, to string) {
	require.NoError(c, c.services[from].Call(c.Context(), to, "note", "hi", nil))
	require.Equal(c, fmt.Sprint("vm", from, "hi"), <-c.received)
}

// TestUnansweredLinkIsReplaced guards against a live VM that becomes suspected because an open connection delivers
// nothing in one direction. The link must be replaced before the VM is suspected.
func TestUnansweredLinkIsReplaced(t *testing.T) {
	for _, direction := range [][2]string{{"vm0", "vm1"}, {"vm1", "vm0"}} {
		runCluster(t, 2, func(c *cluster) {
			c.network.DropWrites(direction[0], direction[1])
			ctx, cancel := context.WithTimeout(c.Context(), time.Second)
			defer cancel()
			require.True(c, afpeer.IsKind(c.services[0].Call(ctx, "vm1", "note", "hi", nil), afpeer.NoAnswer))
			for range 30 {
				c.advance(100 * time.Millisecond)
				require.Len(c, c.services[0].LiveMembers(), 2)
				require.Len(c, c.services[1].LiveMembers(), 2)
			}
			for len(c.received) > 0 {
				<-c.received // If only the answer was lost, the note of the first call was received.
			}
			c.callNote(0, "vm1")
			c.callNote(1, "vm0")
		})
	}
}

// TestDeadVMDetectedAndRecovered guards against a VM that stays live although it cannot be reached, one that stays
// suspected after it can be reached again, and a call to an unreachable VM that does not return.
func TestDeadVMDetectedAndRecovered(t *testing.T) {
	runCluster(t, 3, func(c *cluster) {
		c.network.CutLink("vm0", "vm2")
		c.network.CutLink("vm1", "vm2")
		c.advance(2500 * time.Millisecond)
		require.Len(c, c.services[0].LiveMembers(), 2)
		require.True(c, afpeer.IsKind(c.services[0].Call(c.Context(), "vm2", "note", "hi", nil), afpeer.VMUnreachable))
		c.network.RestoreLink("vm0", "vm2")
		c.advance(time.Second)
		require.Len(c, c.services[0].LiveMembers(), 3)
		require.Len(c, c.services[1].LiveMembers(), 2)
		c.callNote(0, "vm2")
	})
}

// TestDiscoveryThroughSeed guards against VMs that do not find each other through a single seed while the platform's list
// of VMs is missing.
func TestDiscoveryThroughSeed(t *testing.T) {
	runCluster(t, 0, func(c *cluster) {
		for i := range 5 {
			c.startVM(fmt.Sprint("vm", i), "vm0")
		}
		c.advance(8 * time.Second)
		for _, s := range c.services {
			require.Len(c, s.LiveMembers(), 5)
		}
	})
}

// TestLeavingVMNotLive guards against a leaving VM that still counts as live and so gets more work.
func TestLeavingVMNotLive(t *testing.T) {
	runCluster(t, 3, func(c *cluster) {
		c.services[1].AnnounceLeaving()
		synctest.Wait()
		for _, s := range c.services {
			require.Len(c, s.LiveMembers(), 2)
			require.Equal(c, "vm0", s.LiveMembers()[0].Name)
			require.Equal(c, "vm2", s.LiveMembers()[1].Name)
		}
	})
}

// TestBlockedHandlerKeepsLink guards against a slow handler that delays heartbeats, so that its VM is suspected, and
// against requests that queue without limit behind the handler.
func TestBlockedHandlerKeepsLink(t *testing.T) {
	runCluster(t, 2, func(c *cluster) {
		for range 1000 {
			require.NoError(c, c.services[0].Send("vm1", "block", 1))
		}
		ctx, cancel := context.WithTimeout(c.Context(), 10*time.Second)
		defer cancel()
		require.True(c, afpeer.IsKind(c.services[0].Call(ctx, "vm1", "note", "hi", nil), afpeer.RefusedByVM))
		c.advance(10 * time.Second)
		require.Len(c, c.services[0].LiveMembers(), 2)
		close(c.unblock)
		synctest.Wait()
		c.callNote(0, "vm1")
		large := make([]byte, afframe.MaxFrameBytes)
		require.True(c, afpeer.IsKind(c.services[0].Send("vm1", "note", large), afpeer.MalformedMessage))
		c.callNote(0, "vm1") // The link is still open after the refused message.
	})
}

// TestHeartbeatCountWithManyVMs guards against a number of heartbeats that grows with the square of the number of VMs,
// and against VMs that get no messages because they are not heartbeat peers of the sender.
func TestHeartbeatCountWithManyVMs(t *testing.T) {
	runCluster(t, 20, func(c *cluster) {
		messagesSent := func() (n int64) {
			for _, s := range c.services {
				n += s.Stats().MessagesSent
			}
			return n
		}
		c.advance(5 * time.Second) // Links opened before the list was read are closed meanwhile.
		sentBefore := messagesSent()
		c.advance(10 * time.Second)
		// Each VM requests heartbeats from 8 peers twice a second and sends as many answers.
		require.EqualValues(c, 10*20*8*2*2, messagesSent()-sentBefore)
		for i := 1; i < 20; i++ {
			require.NoError(c, c.services[0].Send(fmt.Sprint("vm", i), "note", "hi"))
		}
		c.advance(time.Second)
		require.Len(c, c.received, 19)
		require.Len(c, c.services[0].LiveMembers(), 20)
	})
}
