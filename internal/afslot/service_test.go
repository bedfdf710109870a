package afslot

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afengine"
	"arbutusfork.example/arbutusfork/pkg/afmember"
	"arbutusfork.example/arbutusfork/pkg/afpace"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
)

// fleet is a set of services that exchange messages without a network. Each VM has its own view of which VMs live.
type fleet struct {
	timer    *aftimer.Service
	now      time.Time
	random   *rand.Rand
	vms      []arbutusfork.VM
	services map[string]*Service
	// isDown names VMs that answer nothing, and isKnownDown those of them that the others have noticed.
	isDown, isKnownDown map[string]bool
	// suspectedBy names, by the name of a VM, those that take it for down although it is not.
	suspectedBy map[string]map[string]bool
	// messages and bytes count what all VMs sent.
	messages, bytes int
	// sentAt holds when requests were sent to the endpoint.
	sentAt []time.Time
}

func newFleet(n int, seed uint64) *fleet {
	f := &fleet{
		timer: &aftimer.Service{}, now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 0)),
		services: map[string]*Service{}, isDown: map[string]bool{}, isKnownDown: map[string]bool{}, suspectedBy: map[string]map[string]bool{},
	}
	f.timer.AdvanceTo(f.now)
	for i := range n {
		f.vms = append(f.vms, arbutusfork.VM{Name: fmt.Sprintf("vm-%03d", i)})
	}
	for _, vm := range f.vms {
		f.restart(vm)
	}
	return f
}

func (f *fleet) restart(vm arbutusfork.VM) {
	peers := afmember.NewView(vm).WithList(f.vms).HeartbeatPeers()
	s := &Service{
		Self: vm.Name, Timer: f.timer, Log: slog.New(slog.DiscardHandler), HeartbeatPeers: func() []arbutusfork.VM { return peers },
		LiveVMs:  func() []arbutusfork.VM { return f.liveVMs(vm.Name) },
		SendToVM: func(to, kind string, message any) error { return f.send(vm.Name, to, kind, message) },
		CallVM: func(_ context.Context, to, _ string, message, answer any) error {
			f.messages++
			if f.isDown[to] {
				return errors.New("no answer")
			}
			body, err := msgpack.Marshal(message)
			if err != nil {
				return err
			}
			reply, err := f.services[to].HandleSlot(arbutusfork.Incarnation{}, body)
			if err != nil {
				return err
			}
			encoded, err := msgpack.Marshal(reply)
			if err != nil {
				return err
			}
			return msgpack.Unmarshal(encoded, answer)
		},
	}
	s.startedAt = f.now
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
		handle := f.services[to].HandleLimits
		if kind == KindDigest {
			handle = f.services[to].HandleDigest
		}
		_, _ = handle(arbutusfork.Incarnation{VM: from}, body) // The messages are well formed.
	})
	return nil
}

// advance lets time pass without requests.
func (f *fleet) advance(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(10 * time.Millisecond)
		f.timer.AdvanceTo(f.now)
	}
}

// countLimited returns the number of VMs that know a limit of the endpoint.
func (f *fleet) countLimited(e afengine.EndpointStart) int {
	n := 0
	for _, s := range f.services {
		if _, isLimited := s.Limits().Limit(e, f.now); isLimited {
			n++
		}
	}
	return n
}

// liveVMs returns the VMs that a VM takes for live.
func (f *fleet) liveVMs(self string) []arbutusfork.VM {
	live := make([]arbutusfork.VM, 0, len(f.vms))
	for _, vm := range f.vms {
		if !f.isKnownDown[vm.Name] && !f.suspectedBy[vm.Name][self] {
			live = append(live, vm)
		}
	}
	return live
}

// setKnownDown makes all VMs learn that a VM is down or is back.
func (f *fleet) setKnownDown(vm string, isDown bool) {
	f.isKnownDown[vm] = isDown
	f.announceMembership()
}

// announceMembership tells each VM which VMs it takes for live.
func (f *fleet) announceMembership() {
	for _, s := range f.services {
		s.HandleMembership(afmember.NewView(arbutusfork.VM{Name: s.Self}).WithList(f.liveVMs(s.Self)))
	}
}

// run offers requests to random VMs for a time and records when they are sent to the endpoint.
func (f *fleet) run(t *testing.T, d time.Duration, e afengine.EndpointStart, perSecond, offered float64) {
	t.Helper()
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(10 * time.Millisecond)
		f.timer.AdvanceTo(f.now)
		if f.random.Float64() > offered/100 {
			continue
		}
		vm := f.vms[f.random.IntN(len(f.vms))].Name
		if f.isDown[vm] {
			continue
		}
		s := f.services[vm]
		if wait, ok := s.TakeSlot(t.Context(), e, time.Second); ok {
			f.sentAt = append(f.sentAt, f.now.Add(wait))
			f.timer.CallAfter(wait+20*time.Millisecond, func(time.Time) { s.RecordAnswer(e, perSecond) })
		}
	}
}

// maxInWindow returns the largest number of requests that were sent within 4 s, from a time on.
func (f *fleet) maxInWindow(from time.Time) int {
	most := 0
	for _, begin := range f.sentAt {
		n := 0
		for _, at := range f.sentAt {
			if !at.Before(begin) && at.Before(begin.Add(4*time.Second)) {
				n++
			}
		}
		if !begin.Before(from) {
			most = max(most, n)
		}
	}
	return most
}

// Guards against a named limit that is exceeded while VMs restart, the VM that gives out slots dies unnoticed, and a new one
// takes over.
func TestLimitHoldsWhileVMsRestart(t *testing.T) {
	for seed := range uint64(20) {
		for _, vms := range []int{6, 380} {
			if vms > 6 && seed%5 > 0 {
				continue // A large fleet takes long to play.
			}
			f := newFleet(vms, seed)
			e, perSecond := afengine.EndpointStart{Endpoint: fmt.Sprintf("i-%d", seed), StartUnixMs: 1}, 1+float64(seed)
			f.services[f.vms[0].Name].RecordAnswer(e, perSecond)
			f.run(t, 3*time.Second, e, perSecond, 60)
			from := f.now
			home := afmember.HighestRanked(f.vms, "limit/"+e.Endpoint, 1)[0]
			f.run(t, 4*time.Second, e, perSecond, 60)
			f.isDown[home.Name] = true
			f.run(t, 2*time.Second, e, perSecond, 60)
			f.setKnownDown(home.Name, true)
			f.run(t, 3*time.Second, e, perSecond, 60)
			f.isDown[home.Name] = false
			f.restart(home)
			f.setKnownDown(home.Name, false)
			f.run(t, 6*time.Second, e, perSecond, 60)
			require.LessOrEqual(t, float64(f.maxInWindow(from)), 6*perSecond+5, "seed %d, %d VMs", seed, vms)
			used := 0
			for _, at := range f.sentAt {
				if at.After(from) {
					used++
				}
			}
			require.Greater(t, float64(used), 0.6*perSecond*f.now.Sub(from).Seconds(), "seed %d, %d VMs", seed, vms)
		}
	}
}

// Guards against a limit that is used twice because some VMs take the VM that gives out its slots for dead for a long time.
func TestLimitHoldsWhileVMsDisagree(t *testing.T) {
	for seed := range uint64(20) {
		f := newFleet(40, seed)
		e, perSecond := afengine.EndpointStart{Endpoint: fmt.Sprintf("i-%d", seed), StartUnixMs: 1}, 2+float64(seed)
		f.services[f.vms[0].Name].RecordAnswer(e, perSecond)
		f.announceMembership()
		f.run(t, 5*time.Second, e, perSecond, 80)
		from := f.now
		ranked := rankVMs(f.vms, e, 2)
		suspecting := map[string]bool{}
		for _, vm := range f.vms {
			if vm != ranked[0] && vm != ranked[1] && f.random.IntN(2) == 0 {
				suspecting[vm.Name] = true
			}
		}
		f.suspectedBy[ranked[0].Name] = suspecting
		f.announceMembership()
		f.run(t, 12*time.Second, e, perSecond, 80)
		require.LessOrEqual(t, float64(f.maxInWindow(from)), 6*perSecond+5, "seed %d", seed)
	}
}

// Guards against one request of each VM at the same moment when neither the VM that gives out slots nor its substitute answers.
func TestLimitHoldsWhileNoVMGivesSlots(t *testing.T) {
	for _, vms := range []int{6, 380} {
		for _, perSecond := range []float64{1, 2, 5} {
			f := newFleet(vms, 1)
			e := afengine.EndpointStart{Endpoint: "i-1", StartUnixMs: 1}
			f.services[f.vms[0].Name].RecordAnswer(e, perSecond)
			f.announceMembership()
			f.run(t, 5*time.Second, e, perSecond, 80)
			from := f.now
			for _, vm := range rankVMs(f.vms, e, 2) {
				f.isDown[vm.Name] = true
			}
			f.run(t, 6*time.Second, e, perSecond, 80)
			require.LessOrEqual(t, float64(f.maxInWindow(from)), 6*perSecond+5, "%d VMs, limit %g", vms, perSecond)
			for _, vm := range rankVMs(f.vms, e, 2) {
				f.setKnownDown(vm.Name, true)
			}
			f.run(t, 2*time.Second, e, perSecond, 80)
			back := f.now
			f.run(t, 4*time.Second, e, perSecond, 80)
			require.Positive(t, f.maxInWindow(back), "%d VMs, limit %g: the next VM gives out slots", vms, perSecond)
		}
	}
}

// Guards against a VM that goes on at the full rate when it gives out slots again after another VM did.
func TestVMThatGivesSlotsAgainWaitsForItsPredecessor(t *testing.T) {
	f := newFleet(6, 1)
	e, perSecond := afengine.EndpointStart{Endpoint: "i-1", StartUnixMs: 1}, 10.0
	ranked := rankVMs(f.vms, e, 2)
	first, second := ranked[0].Name, f.services[ranked[1].Name]
	second.RecordAnswer(e, perSecond)
	f.setKnownDown(first, true)
	f.isDown[first] = true
	f.run(t, 8*time.Second, e, perSecond, 5)
	wait, isGranted := second.TakeSlot(t.Context(), e, time.Second)
	require.True(t, isGranted)
	require.Zero(t, wait)
	f.setKnownDown(first, false)
	f.setKnownDown(first, true)
	wait, isGranted = second.TakeSlot(t.Context(), e, time.Second)
	require.True(t, isGranted)
	require.Equal(t, afpace.MaxAhead, wait)
}

// Guards against a VM that does not know a limit after it has restarted or was cut off, until it has got an answer of its own.
func TestRestartedVMLearnsLimits(t *testing.T) {
	for seed := range uint64(10) {
		f := newFleet(6, seed)
		e := afengine.EndpointStart{Endpoint: "i-1", StartUnixMs: 1}
		f.isDown[f.vms[3].Name] = true
		f.services[f.vms[0].Name].RecordAnswer(e, 2)
		f.advance(2 * time.Second)
		require.Equal(t, 5, f.countLimited(e))
		f.isDown[f.vms[3].Name] = false
		f.advance(3 * time.Second)
		require.Equal(t, 6, f.countLimited(e), "a VM was cut off")
		for _, vm := range f.vms {
			f.restart(vm)
			f.advance(3 * time.Second)
			require.Equal(t, 6, f.countLimited(e), "%s has restarted", vm.Name)
		}
		f.messages = 0
		f.advance(10 * time.Second)
		require.LessOrEqual(t, f.messages, 6*10, "messages of VMs that know the same")
	}
}

// Guards against a limit that holds again, or is too high, because a message with an older answer of the endpoint is late.
func TestLateMessageChangesNoLimit(t *testing.T) {
	f := newFleet(2, 1)
	e := afengine.EndpointStart{Endpoint: "i-1", StartUnixMs: 1}
	a, b := f.services[f.vms[0].Name], f.services[f.vms[1].Name]
	a.RecordAnswer(e, 10)
	f.advance(time.Second)
	require.Equal(t, 2, f.countLimited(e))
	for _, perSecond := range []float64{0, 2} {
		a.RecordAnswer(e, perSecond+20)
		late, err := msgpack.Marshal(encodeLimits(a.Limits().ByEndpoint(), f.now))
		require.NoError(t, err)
		f.advance(time.Second)
		b.RecordAnswer(e, perSecond)
		f.advance(time.Second)
		_, err = b.HandleLimits(arbutusfork.Incarnation{VM: f.vms[0].Name}, late)
		require.NoError(t, err)
		f.advance(time.Second)
		for _, s := range f.services {
			require.InDelta(t, perSecond, s.Limits().ByEndpoint()[e].PerSecond, 0)
		}
	}
}

// Guards against limits that reach the other VMs of a large fleet late, and against messages that grow with its square.
func TestLimitsReachLargeFleet(t *testing.T) {
	const vms, endpoints = 380, 100
	f := newFleet(vms, 1)
	for i := range endpoints {
		f.services[f.vms[i].Name].RecordAnswer(afengine.EndpointStart{Endpoint: fmt.Sprint(i), StartUnixMs: 1}, 2)
	}
	for range 100 {
		f.now = f.now.Add(10 * time.Millisecond)
		f.timer.AdvanceTo(f.now)
	}
	for _, s := range f.services {
		for i := range endpoints {
			_, isLimited := s.Limits().Limit(afengine.EndpointStart{Endpoint: fmt.Sprint(i), StartUnixMs: 1}, f.now)
			require.True(t, isLimited, "endpoint %d", i)
		}
	}
	require.LessOrEqual(t, f.messages, vms*afmember.MaxHeartbeatPeers*int(time.Second/spreadInterval))
}

// Guards against control traffic beyond its target while all endpoints of the largest deployment are limited. What a VM sends
// does not depend on the number of VMs, of which the test has fewer.
func TestConfirmedLimitsStayWithinControlTraffic(t *testing.T) {
	const vms, endpoints, seconds = 80, 750, 70
	const targetBytes, otherBytes = 18_000, 7_100 // Links, membership and configuration send otherBytes a second.
	f := newFleet(vms, 1)
	answerAll := func() {
		for i := range endpoints {
			e := afengine.EndpointStart{Endpoint: fmt.Sprintf("i-%010d", i), StartUnixMs: 1_790_000_000_000 + int64(i)}
			f.services[f.vms[f.random.IntN(vms)].Name].RecordAnswer(e, 2)
		}
	}
	answerAll()
	f.advance(startInterval + time.Second)
	f.bytes = 0
	for second := range seconds {
		if second%5 == 0 {
			answerAll()
		}
		f.advance(time.Second)
	}
	require.LessOrEqual(t, f.bytes/vms/seconds, targetBytes-otherBytes, "bytes a second from each VM")
}
