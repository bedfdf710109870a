package afcrash

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afmember"
	"arbutusfork.example/arbutusfork/pkg/afquarantine"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
)

// fleet is a set of services that exchange messages without a network.
type fleet struct {
	timer    *aftimer.Service
	now      time.Time
	random   *rand.Rand
	vms      []arbutusfork.VM
	services []*Service
	// messages and bytes count what was sent, by VM.
	messages, bytes map[string]int
	// isAway names VMs that get no messages.
	isAway map[string]bool
	// lossRate is the share of messages that are lost.
	lossRate float64
}

func newFleet(n int, seed uint64) *fleet {
	f := &fleet{
		timer: &aftimer.Service{}, now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 0)),
		messages: map[string]int{}, bytes: map[string]int{}, isAway: map[string]bool{},
	}
	f.timer.AdvanceTo(f.now)
	for i := range n {
		f.vms = append(f.vms, arbutusfork.VM{Name: fmt.Sprintf("vm-%03d", i)})
	}
	f.services = make([]*Service, n)
	for i := range n {
		f.restart(i)
	}
	return f
}

// restart replaces a service by a new one without evidence.
func (f *fleet) restart(i int) {
	self := f.vms[i]
	peers := afmember.NewView(self).WithList(f.vms).HeartbeatPeers()
	s := &Service{
		Timer: f.timer, Log: slog.New(slog.DiscardHandler), HeartbeatPeers: func() []arbutusfork.VM { return peers },
		SendToVM:  func(vm, kind string, message any) error { return f.send(self.Name, vm, kind, message) },
		WallClock: func() time.Time { return f.now },
	}
	s.startedAt = f.now
	f.services[i] = s
	f.timer.CallEvery(compareInterval, func(now time.Time) {
		if f.services[i] == s {
			s.compareWithPeers(now)
		}
	})
}

// send delivers a message after a few milliseconds.
func (f *fleet) send(from, to, kind string, message any) error {
	body, err := msgpack.Marshal(message)
	if err != nil {
		return err
	}
	f.messages[from]++
	f.bytes[from] += len(body)
	if f.isAway[from] || f.isAway[to] || f.random.Float64() < f.lossRate {
		return nil
	}
	f.timer.CallAfter(time.Duration(1+f.random.IntN(15))*time.Millisecond, func(time.Time) {
		for i, vm := range f.vms {
			if vm.Name != to {
				continue
			}
			handle := f.services[i].HandleFacts
			if kind == KindDigest {
				handle = f.services[i].HandleDigest
			}
			_, _ = handle(arbutusfork.Incarnation{VM: from}, body) // The messages are well formed.
		}
	})
	return nil
}

func (f *fleet) advance(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(5 * time.Millisecond)
		f.timer.AdvanceTo(f.now)
	}
}

// crash records the n-th crash under a request with the part dead at a random VM that is not away.
func (f *fleet) crash(n int) {
	i := f.random.IntN(len(f.services))
	for f.isAway[f.vms[i].Name] {
		i = f.random.IntN(len(f.services))
	}
	f.services[i].RecordCrash(afquarantine.Crash{
		Service: "llm", Endpoint: fmt.Sprintf("i-%d", n), StartUnixMs: int64(n), At: f.now,
		Suspects: []afquarantine.Suspect{afquarantine.NewSuspect([]string{"all", "dead", fmt.Sprintf("r%d", n)}, true)},
	})
}

// countProtected returns the number of services that quarantine the part dead.
func (f *fleet) countProtected() int {
	n := 0
	for _, s := range f.services {
		if _, found := s.FindQuarantine("llm", []string{"all", "dead", "new"}); found {
			n++
		}
	}
	return n
}

// Guards against VMs of a large fleet that learn too late, or not at all, what the crashes at other VMs show, and against
// messages that grow with the square of the fleet.
func TestQuarantineReachesLargeFleet(t *testing.T) {
	const vms, contact = 380, 3 * time.Second
	f := newFleet(vms, 1)
	f.advance(startInterval + time.Second)
	clear(f.messages)
	clear(f.bytes)
	f.lossRate = 0.02
	begin := f.now
	for n := range 5 {
		f.crash(n)
		f.advance(200 * time.Millisecond)
	}
	f.advance(contact)
	require.Equal(t, vms, f.countProtected())
	seconds := f.now.Sub(begin).Seconds()
	for vm, bytes := range f.bytes {
		require.Less(t, float64(bytes)/seconds, 18_000.0, "bytes a second from %s, the target for all control traffic", vm)
		// New facts go to the heartbeat peers at most once in each spreadInterval.
		require.LessOrEqual(t, float64(f.messages[vm])/seconds, afmember.MaxHeartbeatPeers*float64(time.Second/spreadInterval), vm)
	}
	f.crash(1000) // An explained crash changes no decision.
	f.advance(time.Second)
	for _, s := range f.services {
		require.Len(t, s.State().Quarantines(), 1)
	}
}

// Guards against a VM that sends a quarantined prompt after its restart, or after it was cut off, while the platform is away.
func TestRestartedVMLearnsQuarantines(t *testing.T) {
	for seed := range uint64(20) {
		f := newFleet(6, seed)
		f.lossRate = 0.1
		f.isAway[f.vms[3].Name] = true
		for n := range 3 {
			f.crash(n)
			f.advance(300 * time.Millisecond)
		}
		f.advance(2 * time.Second)
		require.GreaterOrEqual(t, f.countProtected(), 4, "seed %d", seed)
		f.isAway[f.vms[3].Name] = false
		for i := range f.services {
			f.restart(i)
			f.advance(3 * time.Second)
			require.GreaterOrEqual(t, f.countProtected(), 5, "seed %d, VM %d", seed, i)
		}
		f.advance(2 * time.Second)
		require.Equal(t, 6, f.countProtected(), "seed %d", seed)
	}
}

// Guards against a quarantine that is lost when all VMs restart at once.
func TestNoteKeepsQuarantines(t *testing.T) {
	f := newFleet(2, 1)
	for n := range 3 {
		f.crash(n)
		f.advance(300 * time.Millisecond)
	}
	f.advance(time.Second)
	note := f.services[0].Note()
	f.restart(0)
	f.restart(1)
	require.Zero(t, f.countProtected())
	require.NoError(t, f.services[0].ApplyNote(note))
	f.advance(2 * time.Second)
	require.Equal(t, 2, f.countProtected())
	require.Error(t, f.services[0].ApplyNote("{"))
	require.Empty(t, (&Service{Timer: f.timer}).Note())
}

// Guards against sound requests that are refused because another VM has answered them where this VM saw only crashes.
func TestAnswersAtOtherVMsClearParts(t *testing.T) {
	f := newFleet(6, 1)
	for _, s := range f.services {
		s.RecordAnswer("llm", []string{"all", "doc"}, f.now)
	}
	for n := range 3 {
		f.services[0].RecordCrash(afquarantine.Crash{
			Service: "llm", Endpoint: fmt.Sprintf("i-%d", n), At: f.now, StartUnixMs: 1,
			Suspects: []afquarantine.Suspect{afquarantine.NewSuspect([]string{"all", "doc", fmt.Sprintf("r%d", n)}, true)},
		})
		f.advance(400 * time.Millisecond)
		f.services[5].RecordAnswer("llm", []string{"all", "doc"}, f.now)
		f.advance(400 * time.Millisecond)
	}
	f.advance(time.Second)
	for _, s := range f.services {
		require.Empty(t, s.State().Quarantines())
	}
}

// Guards against a stored quarantine that comes back after an answered request has cleared the part.
func TestOldNoteDoesNotBringBackClearedPart(t *testing.T) {
	f := newFleet(2, 1)
	for n := range 3 {
		f.crash(n)
		f.advance(300 * time.Millisecond)
	}
	f.advance(time.Second)
	note := f.services[0].Note()
	f.services[0].RecordAnswer("llm", []string{"all", "dead"}, f.now)
	f.advance(2 * time.Second)
	require.Zero(t, f.countProtected())
	require.NoError(t, f.services[0].ApplyNote(note))
	f.advance(2 * time.Second)
	require.Zero(t, f.countProtected())
}
