// Package afsoak runs the daemons of a fleet as processes, injects faults in an order that a seed determines, and checks
// the guarantees of the system from what callers and endpoints observe.
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
	// revokedKey is an API key that is repeatedly withdrawn and issued again during a run.
	revokedKey = "key-two"
	// settleDelay gives the VMs time to discover each other and the endpoints before the first fault.
	settleDelay = 4 * time.Second
	// recoveryTimeout is the time after the last fault within which every VM must serve every route again.
	recoveryTimeout = 15 * time.Second
	// minFaultFreeTime is the time without a fault after which a VM must keep its time bounds, such as
	// configApplyTimeout.
	minFaultFreeTime = 3 * time.Second
	// configApplyTimeout is the time within which a VM must apply a new configuration.
	configApplyTimeout = 2 * time.Second
	// requestTransferTime is the time within which the last byte of a request arrives at the VM.
	requestTransferTime = 300 * time.Millisecond
)

// Soak is one run of the fault injection test. Its exported fields must be set before Run is called.
type Soak struct {
	// DaemonPath is the path of the executable of the daemon.
	DaemonPath string
	// Ctx stops the run and all of its processes when it is cancelled. With nil the run is never stopped early.
	Ctx context.Context
	// OutputDir is the directory for the settings files and the logs of the VMs.
	OutputDir string
	Seed      uint64
	// Duration is the time during which faults are injected.
	Duration    time.Duration
	VMCount     int
	CallerCount int
	// LeaseDuration is the time within which an engine must not get orders from two VMs.
	LeaseDuration time.Duration
	Output        io.Writer

	mu         sync.Mutex
	violations []string
	fleet      *fleet
	callers    *callers
	random     *rand.Rand
	// endlessRandom chooses the endpoints that send without end or drip.
	endlessRandom  *rand.Rand
	recoveries     sync.WaitGroup // recoveries counts the faults that still have to end and the VMs to restart.
	keyWithdrawals []period       // keyWithdrawals holds the periods in which revokedKey was withdrawn.
	// limitRandom chooses the endpoints that name a limit.
	limitRandom *rand.Rand
	limits      []limitPeriod
	// noticeRandom chooses the endpoints that leave or ask for a pause.
	noticeRandom *rand.Rand
	plannedStops []plannedStop
	// momentRandom chooses the faults of injectMoment.
	momentRandom *rand.Rand
	// headRandom chooses the endpoints that send malformed heads.
	headRandom *rand.Rand
	// resetRandom chooses the endpoints that reset uploads.
	resetRandom *rand.Rand
	// failureRandom chooses the endpoints that run requests and answer them with a failure.
	failureRandom *rand.Rand
	// backRandom chooses when and how the store goes back.
	backRandom  *rand.Rand
	goBacks     []goBack
	isGoingBack bool
	// keyToggles holds the times just before revokedKey was withdrawn or issued again, beginning with a withdrawal.
	keyToggles []time.Time
	drains     []drain
}

// period is a period of time. A zero endedAt means that the period has not ended.
type period struct{ startedAt, endedAt time.Time }

// plannedStop is a planned stop of one process of a VM. vmStartCount identifies the process.
type plannedStop struct {
	vm           *vm
	vmStartCount int
	stoppedAt    time.Time // stoppedAt is the time just before SIGTERM was sent.
}

// reportViolation records and prints that a guarantee of the system was violated.
func (s *Soak) reportViolation(rule, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	text := rule + ": " + fmt.Sprintf(format, args...)
	s.violations = append(s.violations, text)
	_, _ = fmt.Fprintf(s.Output, "%s %s\n", time.Now().Format("15:04:05.000"), text)
}

// Run performs the run and returns the violations of the guarantees. It returns an error if the run could not start.
func (s *Soak) Run() ([]string, error) {
	if err := os.MkdirAll(s.OutputDir, 0o755); err != nil {
		return nil, err
	}
	s.random = rand.New(rand.NewPCG(s.Seed, 1))
	s.endlessRandom = rand.New(rand.NewPCG(s.Seed, 2))
	f, err := newFleet(s.DaemonPath, s.OutputDir, s.LeaseDuration, s.Seed, s.VMCount, 3, 2, s.reportViolation)
	if err != nil {
		return nil, err
	}
	s.fleet = f
	defer f.close()
	s.limitRandom = rand.New(rand.NewPCG(s.Seed, 4))
	s.backRandom = rand.New(rand.NewPCG(s.Seed, 5))
	s.noticeRandom = rand.New(rand.NewPCG(s.Seed, 6))
	s.momentRandom = rand.New(rand.NewPCG(s.Seed, 7))
	s.headRandom = rand.New(rand.NewPCG(s.Seed, 8))
	s.resetRandom = rand.New(rand.NewPCG(s.Seed, 9))
	s.failureRandom = rand.New(rand.NewPCG(s.Seed, 10))
	partRandom := rand.New(rand.NewPCG(s.Seed, 3))
	crashPartDelay := settleDelay + time.Duration(partRandom.Int64N(int64(s.Duration/3)+1))
	s.callers = &callers{fleet: f, running: map[string]*vm{}, seed: s.Seed, crashPartSince: time.Now().Add(crashPartDelay)}
	if s.Ctx == nil {
		s.Ctx = context.Background()
	}
	ctx, cancel := context.WithCancel(s.Ctx)
	defer cancel()
	time.Sleep(settleDelay)
	var wg sync.WaitGroup
	for i := range s.CallerCount {
		wg.Go(func() { s.callers.sendRequests(ctx, i) })
	}
	wg.Go(func() { s.watchMemory(ctx) })
	end := time.Now().Add(s.Duration)
	for time.Now().Before(end) && ctx.Err() == nil {
		s.injectFault()
		if s.limitRandom.IntN(5) == 0 {
			s.limitEndpoint()
		}
		if s.backRandom.IntN(5) == 0 {
			s.sendStoreBack()
		}
		switch s.noticeRandom.IntN(8) {
		case 0:
			s.letEndpointLeave()
		case 1:
			s.pauseEndpoint()
		}
		if s.failureRandom.IntN(3) == 0 {
			s.failEndpoint()
		}
		s.injectMoment()
		time.Sleep(time.Duration(100+s.random.IntN(900)) * time.Millisecond)
	}
	s.recoveries.Wait()
	if ctx.Err() == nil {
		s.waitForRecovery()
	}
	cancel()
	wg.Wait()
	s.checkResults()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.violations, nil
}

// logEvent prints a line about a fault or the progress of the run.
func (s *Soak) logEvent(format string, args ...any) {
	_, _ = fmt.Fprintf(s.Output, "%s harm: %s\n", time.Now().Format("15:04:05.000"), fmt.Sprintf(format, args...))
}

// scheduleRecovery calls endFault after a random delay between minDelay and maxDelay.
func (s *Soak) scheduleRecovery(minDelay, maxDelay time.Duration, endFault func()) {
	delay := minDelay + time.Duration(s.random.Int64N(int64(maxDelay-minDelay)))
	s.recoveries.Go(func() {
		time.Sleep(delay)
		endFault()
	})
}

// injectFault begins one random fault. Faults may overlap.
func (s *Soak) injectFault() {
	f := s.fleet
	v := f.vms[s.random.IntN(len(f.vms))]
	switch n := s.random.IntN(14); n {
	case 0, 1:
		s.stopVM(v)
	case 2:
		s.logEvent("kill %s", v.name)
		v.setFaulty(true)
		v.signalProcess(syscall.SIGCONT)
		v.signalProcess(syscall.SIGKILL)
		s.restartVM(v)
	case 3:
		s.logEvent("freeze %s", v.name)
		v.setFaulty(true)
		v.signalProcess(syscall.SIGSTOP)
		s.scheduleRecovery(300*time.Millisecond, 4*time.Second, func() {
			v.endDelay(func() { v.signalProcess(syscall.SIGCONT) })
		})
	case 4:
		s.logEvent("reload %s", v.name)
		v.signalProcess(syscall.SIGHUP)
	case 5, 6:
		fault := []ProxyFault{DelayData, DropAllData, DropServerData, RefuseConnections, DropOpenConnectionData}[s.random.IntN(5)]
		s.logEvent("platform of %s: harm %d", v.name, fault)
		v.setFaulty(true)
		v.platformProxy.setFault(fault)
		s.scheduleRecovery(time.Second, 5*time.Second, func() {
			v.endDelay(func() { v.platformProxy.setFault(NoFault) })
		})
	case 7:
		e := s.pickEndpoint(s.random.IntN(2) == 0)
		fault := []ProxyFault{DelayData, DropAllData, RefuseConnections, DropOpenConnectionData}[s.random.IntN(4)]
		// A random source of its own keeps the other faults of a seed as they were.
		if n := s.endlessRandom.IntN(4); n < 2 {
			fault = []ProxyFault{SendWithoutEnd, DripServerData}[n]
		}
		s.logEvent("endpoint %s: harm %d", e.ID, fault)
		s.beginProxyFault(e, fault)
		s.scheduleRecovery(500*time.Millisecond, 3*time.Second, func() { s.endProxyFault(e) })
	case 8:
		e := s.pickEndpoint(s.random.IntN(2) == 0)
		s.logEvent("endpoint %s breaks its answers", e.ID)
		f.beginEndpointFault(e)
		e.TruncatesAnswers.Store(true)
		s.scheduleRecovery(500*time.Millisecond, 2*time.Second, func() {
			e.TruncatesAnswers.Store(false)
			f.endEndpointFault(e)
		})
	case 9:
		e := s.pickEndpoint(s.random.IntN(2) == 0)
		s.logEvent("endpoint %s is full", e.ID)
		e.IsFull.Store(true)
		s.scheduleRecovery(500*time.Millisecond, 2*time.Second, func() { e.IsFull.Store(false) })
	case 10:
		s.replaceEndpoint()
	case 11:
		s.injectStoreFault()
	case 12:
		s.logEvent("store forgets its history")
		f.store.DropHistory()
	case 13:
		s.toggleKey()
	}
}

// stopVM stops a VM gracefully with SIGTERM and starts it again. It does nothing while the VM is stopping or faulty.
func (s *Soak) stopVM(v *vm) {
	v.mu.Lock()
	isUnavailable := v.isStopping || v.faultFreeSince.IsZero()
	v.isStopping = true
	vmStartCount := v.startCount
	v.mu.Unlock()
	if isUnavailable {
		return
	}
	s.logEvent("stop %s", v.name)
	s.mu.Lock()
	s.plannedStops = append(s.plannedStops, plannedStop{v, vmStartCount, time.Now()})
	s.mu.Unlock()
	v.signalProcess(syscall.SIGTERM)
	s.restartVM(v)
}

// restartVM starts the VM again once its process has ended, and kills a process that does not end in time.
func (s *Soak) restartVM(v *vm) {
	v.mu.Lock()
	exited := v.exited
	isRestartPending := v.pendingRestart == exited
	v.pendingRestart = exited
	v.mu.Unlock()
	if isRestartPending {
		return // Another fault of the same process has scheduled the restart.
	}
	s.recoveries.Go(func() {
		select {
		case <-exited:
		case <-time.After(gracePeriod + 3*time.Second):
			v.signalProcess(syscall.SIGCONT)
			v.signalProcess(syscall.SIGKILL)
			<-exited
		}
		if err := v.startProcess(s.fleet.daemonPath); err != nil {
			s.reportViolation("SOAK", "%s not started: %v", v.name, err)
		}
	})
}

// pickEndpoint returns a random live endpoint of the engine service or of the plain service.
func (s *Soak) pickEndpoint(isEngine bool) *endpoint {
	service := "app"
	if isEngine {
		service = "llm"
	}
	endpoints := s.fleet.liveEndpoints(service)
	return endpoints[s.random.IntN(len(endpoints))]
}

// replaceEndpoint adds an endpoint and removes another of the same service, either abruptly or after draining it.
func (s *Soak) replaceEndpoint() {
	isEngine := s.random.IntN(2) == 0
	replaced := s.pickEndpoint(isEngine)
	var models []string
	if isEngine {
		models = modelNames
	}
	if err := s.fleet.addEndpoint(replaced.Service, models); err != nil {
		s.reportViolation("SOAK", "endpoint not added: %v", err)
		return
	}
	s.logEvent("replace endpoint %s", replaced.ID)
	if s.random.IntN(2) == 0 {
		s.fleet.killEndpoint(replaced)
		return
	}
	s.drainEndpoint(replaced)
	s.scheduleRecovery(3*time.Second, 4*time.Second, func() { s.fleet.killEndpoint(replaced) })
}

// injectStoreFault makes the store unavailable or makes it lose the answers to writes, which affects all VMs.
func (s *Soak) injectStoreFault() {
	faults := afplatform.StoreFaults{LoseAnswers: true}
	if s.random.IntN(2) == 0 {
		faults = afplatform.StoreFaults{Down: true}
	}
	s.logEvent("store: %+v", faults)
	for _, v := range s.fleet.vms {
		v.setFaulty(true)
	}
	s.fleet.store.SetFaults(faults)
	s.scheduleRecovery(500*time.Millisecond, 4*time.Second, func() {
		s.fleet.store.SetFaults(afplatform.StoreFaults{})
		for _, v := range s.fleet.vms {
			v.setFaulty(false)
		}
	})
}

// toggleKey withdraws revokedKey, or issues it again if it is withdrawn.
func (s *Soak) toggleKey() {
	f := s.fleet
	f.mu.Lock()
	_, wasInForce := f.customerByKey[revokedKey]
	if wasInForce {
		delete(f.customerByKey, revokedKey)
	} else {
		f.customerByKey[revokedKey] = "two"
	}
	f.mu.Unlock()
	s.mu.Lock()
	s.keyToggles = append(s.keyToggles, time.Now())
	s.mu.Unlock()
	f.writeConfig()
	s.logEvent("key in force: %v", !wasInForce)
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if wasInForce {
		s.keyWithdrawals = append(s.keyWithdrawals, period{startedAt: now})
	} else if n := len(s.keyWithdrawals); n > 0 {
		s.keyWithdrawals[n-1].endedAt = now
	}
}

// waitForRecovery waits until every VM has served a request on every route again, and reports a violation after
// recoveryTimeout.
func (s *Soak) waitForRecovery() {
	startedAt := time.Now()
	for _, v := range s.fleet.vms {
		for _, path := range []string{"/talk/", "/note/", "/pay/", "/look/"} {
			for !s.hasServed(v, path, startedAt) {
				if time.Since(startedAt) > recoveryTimeout {
					s.reportViolation("RECOVER", "%s does not serve %s %v after the last harm", v.name, path, recoveryTimeout)
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		}
	}
	s.logEvent("recovered in %v", time.Since(startedAt).Round(time.Millisecond))
}

// hasServed returns whether v has completed a request on the route of pathPrefix that was sent after since.
func (s *Soak) hasServed(v *vm, pathPrefix string, since time.Time) bool {
	c := s.callers
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(c.calls, func(req call) bool {
		return req.vm == v && req.path == pathPrefix+"x" && req.status == 200 && req.isComplete && req.sentAt.After(since)
	})
}
