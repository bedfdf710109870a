package affact

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afengine"
	"arbutusfork.example/arbutusfork/pkg/afmember"
	"arbutusfork.example/arbutusfork/pkg/afnotice"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
)

// fleet is a set of services that exchange messages without a network.
type fleet struct {
	timer    *aftimer.Service
	now      time.Time
	vms      []arbutusfork.VM
	services map[string]*Service
	isDown   map[string]bool
	// messages and bytes count what all VMs sent.
	messages, bytes int
}

func newFleet(n int) *fleet {
	f := &fleet{timer: &aftimer.Service{}, now: time.Unix(1000, 0), services: map[string]*Service{}, isDown: map[string]bool{}}
	f.timer.AdvanceTo(f.now)
	for i := range n {
		f.vms = append(f.vms, arbutusfork.VM{Name: fmt.Sprintf("front-z1-%03d", i)})
	}
	for i := range n {
		f.restart(i)
	}
	return f
}

// restart begins another run of a VM's service.
func (f *fleet) restart(i int) {
	vm := f.vms[i]
	peers := afmember.NewView(vm).WithList(f.vms).HeartbeatPeers()
	s := &Service{
		Self: vm.Name, Timer: f.timer, Log: slog.New(slog.DiscardHandler), HeartbeatPeers: func() []arbutusfork.VM { return peers },
		SendToVM: func(to, kind string, message any) error { return f.send(vm.Name, to, kind, message) },
	}
	f.services[vm.Name] = s
	f.timer.CallEvery(compareInterval, func(now time.Time) {
		if f.services[vm.Name] == s {
			s.compareWithPeer(now)
		}
	})
}

// send delivers a message after some milliseconds, unless one of both VMs is down.
func (f *fleet) send(from, to, kind string, message any) error {
	body, err := msgpack.Marshal(message)
	if err != nil {
		return err
	}
	f.messages++
	f.bytes += len(body)
	if f.isDown[from] || f.isDown[to] {
		return nil
	}
	f.timer.CallAfter(3*time.Millisecond, func(time.Time) {
		handle := f.services[to].HandleNotices
		if kind == KindDigest {
			handle = f.services[to].HandleDigest
		}
		_, _ = handle(arbutusfork.Incarnation{VM: from}, body) // The messages are well formed.
	})
	return nil
}

func (f *fleet) advance(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(10 * time.Millisecond)
		f.timer.AdvanceTo(f.now)
	}
}

// countKnowing returns the number of VMs that know that an endpoint leaves and is in a pause.
func (f *fleet) countKnowing(e afengine.EndpointStart) int {
	n := 0
	for _, s := range f.services {
		if _, isPaused := s.PausedUntil(e); isPaused && s.IsLeaving(e) {
			n++
		}
	}
	return n
}

// Guards against VMs that learn a notice late, also after they have restarted or were cut off, and against messages without end.
func TestNoticesReachAllVMs(t *testing.T) {
	for _, vms := range []int{6, 380} {
		f := newFleet(vms)
		e := afengine.EndpointStart{Endpoint: "i-1", StartUnixMs: 1}
		f.isDown[f.vms[3].Name] = true
		f.services[f.vms[0].Name].Record(e, afnotice.Statement{IsLeaving: true, Pause: 25 * time.Second})
		f.advance(time.Second)
		require.Equal(t, vms-1, f.countKnowing(e))
		f.isDown[f.vms[3].Name] = false
		f.advance(time.Second)
		require.Equal(t, vms, f.countKnowing(e), "a VM was cut off")
		for i := range 6 {
			f.restart(i)
			f.advance(time.Second)
			require.Equal(t, vms, f.countKnowing(e), "%s has restarted", f.vms[i].Name)
		}
		f.messages = 0
		f.advance(10 * time.Second)
		require.LessOrEqual(t, f.messages, vms*int(10*time.Second/compareInterval), "messages of VMs that know the same")
	}
}

// Guards against control traffic beyond its target when all endpoints of the largest deployment leave, and when they go on asking
// for pauses. What a VM sends does not depend on the number of VMs, of which the test has fewer.
func TestNoticesStayWithinControlTraffic(t *testing.T) {
	const vms, endpoints, seconds = 20, 750, 60
	const targetBytes, otherBytes = 18_000, 9_200 // Links, membership, configuration and limits send otherBytes a second.
	endpoint := func(i int) afengine.EndpointStart {
		return afengine.EndpointStart{Endpoint: fmt.Sprintf("i-%010d", i), StartUnixMs: 1_790_000_000_000 + int64(i)}
	}
	for name, said := range map[string]afnotice.Statement{"nothing": {}, "leaving": {IsLeaving: true}, "pause": {Pause: 5 * time.Second}} {
		f := newFleet(vms)
		for i := range endpoints {
			// Each endpoint says it once within the time, to some VM.
			f.services[f.vms[i*7%vms].Name].Record(endpoint(i), said)
			f.advance(seconds * time.Second / endpoints)
		}
		perSecond := f.bytes / vms / seconds
		t.Logf("%s: %d bytes and %.1f messages a second from each VM", name, perSecond, float64(f.messages)/vms/seconds)
		require.LessOrEqual(t, perSecond, targetBytes-otherBytes, name)
	}
}

// Guards against a lift that does not reach all VMs within a second, also one that was cut off with the old notice or has restarted,
// against one that ends what the endpoint says later, and against a wrong request that changes something.
func TestLiftReachesAllVMs(t *testing.T) {
	for _, vms := range []int{6, 380} {
		f := newFleet(vms)
		e := afengine.EndpointStart{Endpoint: "i-1", StartUnixMs: 1}
		said := afnotice.Statement{IsLeaving: true, Pause: time.Minute}
		vm := func(i int) *Service { return f.services[f.vms[i].Name] }
		lift := func() {
			for _, kind := range []afnotice.Kind{afnotice.Leaving, afnotice.Pause} {
				lifted, err := vm(1).Lift("i-1", kind, true)
				require.NoError(t, err)
				require.Equal(t, []afengine.EndpointStart{e}, lifted)
			}
		}
		vm(0).Record(e, said)
		f.advance(time.Second)
		f.isDown[f.vms[3].Name] = true
		f.advance(time.Second)
		lift()
		f.advance(time.Second)
		require.Equal(t, 1, f.countKnowing(e), "the VM that is cut off")
		f.isDown[f.vms[3].Name] = false
		f.advance(time.Second)
		require.Zero(t, f.countKnowing(e), "it has the old notice")
		f.restart(2)
		f.advance(time.Second)
		old := encodeNotices(map[afnotice.Key]afnotice.Notice{{EndpointStart: e, Kind: afnotice.Leaving}: {HeardBy: "front-z1-000", HeardAt: f.now}}, f.now)
		require.NoError(t, f.send(f.vms[0].Name, f.vms[2].Name, KindNotices, old))
		f.advance(10 * time.Millisecond)
		require.Zero(t, vm(2).View().LeavingCount(), "a VM that has restarted gets an old notice")

		vm(2).Record(e, said)
		f.advance(time.Second)
		require.Equal(t, vms, f.countKnowing(e), "the endpoint says it again")
		lift()
		f.advance(50 * time.Millisecond)
		vm(2).Record(e, said)
		f.advance(time.Second)
		require.Equal(t, vms, f.countKnowing(e), "the endpoint says it again before the lift arrives")
		f.advance(time.Second)
		f.messages = 0
		f.advance(10 * time.Second)
		require.LessOrEqual(t, f.messages, vms*int(10*time.Second/compareInterval), "messages of VMs that know the same")

		before := vm(1).View()
		_, err := vm(1).Lift("i-2", afnotice.Pause, true)
		require.ErrorContains(t, err, "no such notice")
		_, err = vm(1).Lift("i-2", afnotice.Pause, false)
		require.ErrorContains(t, err, "unknown endpoint")
		require.Equal(t, before, vm(1).View())
	}
}
