// Package afsoak runs the daemons of a fleet as processes, harms them from outside in a seeded order, and checks the
// promises of the project from what callers and endpoints see.
package afsoak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"arbutusfork.example/arbutusfork/internal/afstandin/afplatform"
)

const (
	// revokedKey is withdrawn and issued again during a run.
	revokedKey = "key-two"
	// settleTime lets the fleet find itself before the first harm, and recoverTime is the bound for serving again after
	// the last one.
	settleTime  = 4 * time.Second
	recoverTime = 15 * time.Second
	// contact is how long a VM must be unharmed before bounds of time hold for it, and applyTime the bound for a
	// configuration to be in force.
	contact   = 3 * time.Second
	applyTime = 2 * time.Second
	// lossSlack covers the way of a request's last byte.
	lossSlack = 300 * time.Millisecond
)

// Soak is one run. Set the fields before Run.
type Soak struct {
	// DaemonPath is the path of the daemon's program.
	DaemonPath string
	// Ctx ends the run early, with all of its processes. Nil means that nothing does.
	Ctx context.Context
	// OutputDir receives settings and logs.
	OutputDir   string
	Seed        uint64
	Duration    time.Duration
	VMCount     int
	CallerCount int
	Output      io.Writer

	mu         sync.Mutex
	violations []string
	fleet      *fleet
	callers    *callers
	random     *rand.Rand
	heal       sync.WaitGroup
	withdrawn  []span // withdrawn holds when revokedKey was out of force.
	stops      []stopped
}

// span is a time in which something held. A zero end means that it holds still.
type span struct{ from, to time.Time }

// stopped is a planned stop of a VM's life.
type stopped struct {
	vm   *vm
	life int
	at   time.Time
}

func (s *Soak) violation(rule, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	text := rule + ": " + fmt.Sprintf(format, args...)
	s.violations = append(s.violations, text)
	_, _ = fmt.Fprintf(s.Output, "%s %s\n", time.Now().Format("15:04:05.000"), text)
}

// Run plays the run and returns what broke. The error tells that the run itself failed.
func (s *Soak) Run() ([]string, error) {
	if err := os.MkdirAll(s.OutputDir, 0o755); err != nil {
		return nil, err
	}
	s.random = rand.New(rand.NewPCG(s.Seed, 1))
	f, err := newFleet(s.DaemonPath, s.OutputDir, s.Seed, s.VMCount, 3, 2, s.violation)
	if err != nil {
		return nil, err
	}
	s.fleet = f
	defer f.close()
	s.callers = &callers{fleet: f, seed: s.Seed}
	if s.Ctx == nil {
		s.Ctx = context.Background()
	}
	ctx, cancel := context.WithCancel(s.Ctx)
	defer cancel()
	time.Sleep(settleTime)
	var wg sync.WaitGroup
	for i := range s.CallerCount {
		wg.Go(func() { s.callers.run(ctx, i) })
	}
	end := time.Now().Add(s.Duration)
	for time.Now().Before(end) && ctx.Err() == nil {
		s.harm()
		time.Sleep(time.Duration(100+s.random.IntN(900)) * time.Millisecond)
	}
	s.heal.Wait()
	if ctx.Err() == nil {
		s.recover()
	}
	cancel()
	wg.Wait()
	s.judge()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.violations, nil
}

func (s *Soak) note(format string, args ...any) {
	_, _ = fmt.Fprintf(s.Output, "%s harm: %s\n", time.Now().Format("15:04:05.000"), fmt.Sprintf(format, args...))
}

// later heals a harm after a time of the seed.
func (s *Soak) later(least, most time.Duration, fn func()) {
	d := least + time.Duration(s.random.Int64N(int64(most-least)))
	s.heal.Go(func() {
		time.Sleep(d)
		fn()
	})
}

// harm begins one harm. Several overlap.
func (s *Soak) harm() {
	f := s.fleet
	v := f.vms[s.random.IntN(len(f.vms))]
	switch n := s.random.IntN(14); n {
	case 0, 1:
		s.stop(v)
	case 2:
		s.note("kill %s", v.name)
		v.harm(true)
		v.signal(syscall.SIGCONT)
		v.signal(syscall.SIGKILL)
		s.restart(v)
	case 3:
		s.note("freeze %s", v.name)
		v.harm(true)
		v.signal(syscall.SIGSTOP)
		s.later(300*time.Millisecond, 4*time.Second, func() {
			v.signal(syscall.SIGCONT)
			v.harm(false)
		})
	case 4:
		s.note("reload %s", v.name)
		v.signal(syscall.SIGHUP)
	case 5, 6:
		h := []ProxyFault{DelayData, DropAllData, DropServerData, RefuseConnections, DropOpenConnectionData}[s.random.IntN(5)]
		s.note("platform of %s: harm %d", v.name, h)
		v.harm(true)
		v.platform.set(h)
		s.later(time.Second, 5*time.Second, func() {
			v.platform.set(NoFault)
			v.harm(false)
		})
	case 7:
		e := s.pick(s.random.IntN(2) == 0)
		h := []ProxyFault{DelayData, DropAllData, RefuseConnections, DropOpenConnectionData}[s.random.IntN(4)]
		s.note("endpoint %s: harm %d", e.ID, h)
		e.proxy.set(h)
		s.later(500*time.Millisecond, 3*time.Second, func() { e.proxy.set(NoFault) })
	case 8:
		e := s.pick(s.random.IntN(2) == 0)
		s.note("endpoint %s breaks its answers", e.ID)
		e.TruncatesAnswers.Store(true)
		s.later(500*time.Millisecond, 2*time.Second, func() { e.TruncatesAnswers.Store(false) })
	case 9:
		e := s.pick(s.random.IntN(2) == 0)
		s.note("endpoint %s is full", e.ID)
		e.IsFull.Store(true)
		s.later(500*time.Millisecond, 2*time.Second, func() { e.IsFull.Store(false) })
	case 10:
		s.replace()
	case 11:
		s.storeHarm()
	case 12:
		s.note("store forgets its history")
		f.store.DropHistory()
	case 13:
		s.rekey()
	}
}

// stop ends a VM as planned and starts it again.
func (s *Soak) stop(v *vm) {
	v.mu.Lock()
	busy := v.leaving || v.calm.IsZero()
	v.leaving = true
	life := v.lives
	v.mu.Unlock()
	if busy {
		return
	}
	s.note("stop %s", v.name)
	s.mu.Lock()
	s.stops = append(s.stops, stopped{v, life, time.Now()})
	s.mu.Unlock()
	v.signal(syscall.SIGTERM)
	s.restart(v)
}

// restart starts the VM again after its process has ended.
func (s *Soak) restart(v *vm) {
	v.mu.Lock()
	done := v.done
	again := v.reviving == done
	v.reviving = done
	v.mu.Unlock()
	if again {
		return // Another harm to the same process starts it again.
	}
	s.heal.Go(func() {
		select {
		case <-done:
		case <-time.After(graceTime + 3*time.Second):
			v.signal(syscall.SIGCONT)
			v.signal(syscall.SIGKILL)
			<-done
		}
		if err := v.start(s.fleet.program); err != nil {
			s.violation("SOAK", "%s not started: %v", v.name, err)
		}
	})
}

func (s *Soak) pick(engine bool) *endpoint {
	service := "app"
	if engine {
		service = "llm"
	}
	live := s.fleet.live(service)
	return live[s.random.IntN(len(live))]
}

// replace adds an endpoint and takes another one away, with notice or without.
func (s *Soak) replace() {
	engine := s.random.IntN(2) == 0
	old := s.pick(engine)
	var models []string
	if engine {
		models = modelNames
	}
	if err := s.fleet.addEndpoint(old.Service, models); err != nil {
		s.violation("SOAK", "endpoint not added: %v", err)
		return
	}
	s.note("replace endpoint %s", old.ID)
	if s.random.IntN(2) == 0 {
		s.fleet.kill(old)
		return
	}
	old.WriteEntry("draining")
	s.later(3*time.Second, 4*time.Second, func() { s.fleet.kill(old) })
}

func (s *Soak) storeHarm() {
	faults := afplatform.StoreFaults{LoseAnswers: true}
	if s.random.IntN(2) == 0 {
		faults = afplatform.StoreFaults{Down: true}
	}
	s.note("store: %+v", faults)
	for _, v := range s.fleet.vms {
		v.harm(true)
	}
	s.fleet.store.SetFaults(faults)
	s.later(500*time.Millisecond, 4*time.Second, func() {
		s.fleet.store.SetFaults(afplatform.StoreFaults{})
		for _, v := range s.fleet.vms {
			v.harm(false)
		}
	})
}

// rekey withdraws a key, or issues it again.
func (s *Soak) rekey() {
	f := s.fleet
	f.mu.Lock()
	_, held := f.keys[revokedKey]
	if held {
		delete(f.keys, revokedKey)
	} else {
		f.keys[revokedKey] = "two"
	}
	f.mu.Unlock()
	f.configure()
	s.note("key in force: %v", !held)
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if held {
		s.withdrawn = append(s.withdrawn, span{from: now})
	} else if n := len(s.withdrawn); n > 0 {
		s.withdrawn[n-1].to = now
	}
}

// recover waits until every VM serves every kind of request again.
func (s *Soak) recover() {
	begin := time.Now()
	for _, v := range s.fleet.vms {
		for _, path := range []string{"/talk/", "/note/", "/pay/", "/look/"} {
			for !s.served(v, path, begin) {
				if time.Since(begin) > recoverTime {
					s.violation("RECOVER", "%s does not serve %s %v after the last harm", v.name, path, recoverTime)
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		}
	}
	s.note("recovered in %v", time.Since(begin).Round(time.Millisecond))
}

func (s *Soak) served(v *vm, path string, since time.Time) bool {
	c := s.callers
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(c.calls, func(x call) bool {
		return x.vm == v && x.path == path+"x" && x.status == 200 && x.whole && x.sent.After(since)
	})
}
