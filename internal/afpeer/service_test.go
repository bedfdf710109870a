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

// fleet runs services on an in-memory network in a synctest bubble.
type fleet struct {
	*testing.T
	network  afstandin.Network
	services []*afpeer.Service
	stops    []func()
	received chan string // received holds the sender and the text of each note.
	release  chan struct{}
}

func run(t *testing.T, n int, fn func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{T: t, received: make(chan string, 100), release: make(chan struct{})}
		var list []arbutusfork.VM
		for i := range n {
			f.start(fmt.Sprint("vm", i))
			list = append(list, arbutusfork.VM{Name: fmt.Sprint("vm", i), Address: fmt.Sprint("vm", i)})
		}
		for _, s := range f.services {
			s.SetListedVMs(list)
		}
		f.pass(2 * time.Second)
		fn(f)
		for _, stop := range f.stops {
			stop()
		}
	})
}

func (f *fleet) start(name string, seeds ...string) {
	timer := new(aftimer.Service)
	s := &afpeer.Service{
		Self: arbutusfork.Incarnation{VM: name, StartID: 1}, ListenAddress: name, Seeds: seeds, Timer: timer,
		Log: slog.New(slog.DiscardHandler), Transport: f.network.Transport(name),
	}
	s.Handle("note", func(from arbutusfork.Incarnation, body []byte) (any, error) {
		f.received <- from.VM + string(body[1:]) // A short msgpack string has one byte of header.
		return true, nil
	})
	s.Handle("block", func(arbutusfork.Incarnation, []byte) (any, error) {
		<-f.release
		return true, nil
	})
	ctx, cancel := context.WithCancel(f.Context())
	var duties sync.WaitGroup
	duties.Go(func() { timer.Run(ctx) })
	duties.Go(func() { _ = s.Run(ctx) })
	f.services = append(f.services, s)
	f.stops = append(f.stops, func() { cancel(); duties.Wait() })
}

func (f *fleet) pass(d time.Duration) {
	<-time.After(d)
	synctest.Wait()
}

func (f *fleet) note(from int, to string) {
	require.NoError(f, f.services[from].Call(f.Context(), to, "note", "hi", nil))
	require.Equal(f, fmt.Sprint("vm", from, "hi"), <-f.received)
}

// TestSilentLinkIsReplaced guards against trust in an open connection: in either direction, a link that went
// silent must be replaced before the VM at its end is taken for dead.
func TestSilentLinkIsReplaced(t *testing.T) {
	for _, way := range [][2]string{{"vm0", "vm1"}, {"vm1", "vm0"}} {
		run(t, 2, func(f *fleet) {
			f.network.DropWrites(way[0], way[1])
			ctx, cancel := context.WithTimeout(f.Context(), time.Second)
			defer cancel()
			require.True(f, afpeer.IsKind(f.services[0].Call(ctx, "vm1", "note", "hi", nil), afpeer.NoAnswer))
			for range 30 {
				f.pass(100 * time.Millisecond)
				require.Len(f, f.services[0].LiveMembers(), 2)
				require.Len(f, f.services[1].LiveMembers(), 2)
			}
			for len(f.received) > 0 {
				<-f.received // The first call arrived if only its answer was lost.
			}
			f.note(0, "vm1")
			f.note(1, "vm0")
		})
	}
}

// TestDeadVM guards against a dead VM that still counts as live, one that is never taken back, and a call to it
// that does not return.
func TestDeadVM(t *testing.T) {
	run(t, 3, func(f *fleet) {
		f.network.CutLink("vm0", "vm2")
		f.network.CutLink("vm1", "vm2")
		f.pass(2500 * time.Millisecond)
		require.Len(f, f.services[0].LiveMembers(), 2)
		require.True(f, afpeer.IsKind(f.services[0].Call(f.Context(), "vm2", "note", "hi", nil), afpeer.VMUnreachable))
		f.network.RestoreLink("vm0", "vm2")
		f.pass(time.Second)
		require.Len(f, f.services[0].LiveMembers(), 3)
		require.Len(f, f.services[1].LiveMembers(), 2)
		f.note(0, "vm2")
	})
}

// TestSeed guards against VMs that do not find each other through one seed while the platform is down.
func TestSeed(t *testing.T) {
	run(t, 0, func(f *fleet) {
		for i := range 5 {
			f.start(fmt.Sprint("vm", i), "vm0")
		}
		f.pass(8 * time.Second)
		for _, s := range f.services {
			require.Len(f, s.LiveMembers(), 5)
		}
	})
}

// TestLeave guards against work for a VM that stops.
func TestLeave(t *testing.T) {
	run(t, 3, func(f *fleet) {
		f.services[1].AnnounceLeaving()
		synctest.Wait()
		for _, s := range f.services {
			require.Len(f, s.LiveMembers(), 2)
			require.Equal(f, "vm0", s.LiveMembers()[0].Name)
			require.Equal(f, "vm2", s.LiveMembers()[1].Name)
		}
	})
}

// TestBlockedHandler guards against a slow handler that makes its VM look dead or its caller fill the memory.
func TestBlockedHandler(t *testing.T) {
	run(t, 2, func(f *fleet) {
		for range 1000 {
			require.NoError(f, f.services[0].Send("vm1", "block", 1))
		}
		ctx, cancel := context.WithTimeout(f.Context(), 10*time.Second)
		defer cancel()
		require.True(f, afpeer.IsKind(f.services[0].Call(ctx, "vm1", "note", "hi", nil), afpeer.RefusedByVM))
		f.pass(10 * time.Second)
		require.Len(f, f.services[0].LiveMembers(), 2)
		close(f.release)
		synctest.Wait()
		f.note(0, "vm1")
		large := make([]byte, afframe.MaxFrameBytes)
		require.True(f, afpeer.IsKind(f.services[0].Send("vm1", "note", large), afpeer.MalformedMessage))
		f.note(0, "vm1") // The link is still there.
	})
}

// TestManyVMs guards against heartbeats that grow with the square of the number of VMs and against VMs that
// are no neighbours and cannot be reached.
func TestManyVMs(t *testing.T) {
	run(t, 20, func(f *fleet) {
		sent := func() (n int64) {
			for _, s := range f.services {
				n += s.Stats().MessagesSent
			}
			return n
		}
		f.pass(5 * time.Second) // Links from before the list was read are closed.
		before := sent()
		f.pass(10 * time.Second)
		// Each VM asks 8 neighbours twice a second and gets as many answers.
		require.EqualValues(f, 10*20*8*2*2, sent()-before)
		for i := 1; i < 20; i++ {
			require.NoError(f, f.services[0].Send(fmt.Sprint("vm", i), "note", "hi"))
		}
		f.pass(time.Second)
		require.Len(f, f.received, 19)
		require.Len(f, f.services[0].LiveMembers(), 20)
	})
}
