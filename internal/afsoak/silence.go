package afsoak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"arbutusfork.example/arbutusfork/internal/afstandin/afplatform"
)

const (
	silenceVMs, silenceEndpoints, silenceCallers = 3, 2, 20
	silenceSlots, silenceQueue                   = 12, 2
	silenceEvents, silenceEventDelay             = 40, 100 * time.Millisecond
	shortSilenceEvents                           = 12
	silenceCallTime                              = 30 * time.Second
	// minSilence and maxSilence bound how long a sound endpoint sends nothing.
	minSilence, maxSilence = time.Second, 1400 * time.Millisecond
	silenceConfigPeriod    = 1700 * time.Millisecond
	// silenceExtraRetries is the part of the retry budget that needs no requests.
	silenceExtraRetries = 52
)

// silenceSetting is what the seed draws for a whole run.
type silenceSetting struct {
	// isPlain means a service without models, whose load VMs know only from their own requests.
	isPlain bool
	// hidesLoad means that the endpoints tell neither slots nor load.
	hidesLoad bool
	// refusesInSilence means that only answers are silent, while full endpoints refuse requests and engines report.
	refusesInSilence bool
	// isMixed means that half of the requests allow one attempt. Otherwise all allow three, so that all VMs may leave a silent
	// endpoint at the same moment.
	isMixed bool
	// events is the number of events of each stream.
	events int
}

func drawSilenceSetting(seed uint64) silenceSetting {
	random := rand.New(rand.NewPCG(seed, 2))
	draw := func(n int) bool { return random.IntN(n) == 0 }
	return silenceSetting{draw(2), draw(3), draw(2), draw(4), silenceEvents}
}

// callerCount returns the number of callers.
func (p *SilencePlay) callerCount() int {
	if p.IsFull {
		return silenceEndpoints*(silenceSlots+silenceQueue) + 2
	}
	return silenceCallers
}

func (s silenceSetting) service() string {
	if s.isPlain {
		return "app"
	}
	return "llm"
}

func (s silenceSetting) path(random *rand.Rand) string {
	if s.isMixed && random.IntN(2) == 0 {
		return "/one/x"
	}
	return "/three/x"
}

// SilencePlay lets sound endpoints be silent for a moment, one after another, beside changes of the configuration and callers
// that nearly fill the endpoints. No answer may end because of it. Set the exported fields before Run.
type SilencePlay struct {
	DaemonPath, OutputDir string
	Seed                  uint64
	// Duration is the time during which callers send requests.
	Duration time.Duration
	// IsFull means that the callers fill all slots and queues, that several endpoints may be silent at once, and that VMs reload their
	// settings and, beside short streams, stop meanwhile. Requests may be refused then, if they have not run.
	IsFull bool
	Output io.Writer

	setting   silenceSetting
	fleet     *fleet
	startedAt time.Time
	logFile   *os.File // logFile gets all that happens, Output what broke.

	mu         sync.Mutex
	violations []string
	sends      map[string][]time.Time // sends holds when a request arrived at endpoints, by its ID.
	calls      []call
}

func (p *SilencePlay) reportViolation(rule, format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.violations = append(p.violations, rule)
	p.print(p.Output, rule+": "+format, args...)
	p.print(p.logFile, rule+": "+format, args...)
}

// logEvent writes a line to the log.
func (p *SilencePlay) logEvent(format string, args ...any) { p.print(p.logFile, format, args...) }

// print prints a line with the time since the start of the run.
func (p *SilencePlay) print(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, "seed %d %7.3f %s\n", p.Seed, time.Since(p.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// Run performs the play and returns the rules that were broken, one for each time. It returns an error if it could not start.
func (p *SilencePlay) Run(ctx context.Context) ([]string, error) {
	p.startedAt, p.sends, p.setting = time.Now(), map[string][]time.Time{}, drawSilenceSetting(p.Seed)
	if p.IsFull && p.Seed%2 == 0 {
		p.setting.events = shortSilenceEvents
	}
	if err := os.MkdirAll(p.OutputDir, 0o755); err != nil {
		return nil, err
	}
	var err error
	if p.logFile, err = os.Create(filepath.Join(p.OutputDir, "play.log")); err != nil {
		return nil, err
	}
	defer func() { _ = p.logFile.Close() }()
	f, err := newBareFleet(p.DaemonPath, p.OutputDir, p.reportViolation)
	if err != nil {
		return nil, err
	}
	p.fleet = f
	defer f.close()
	p.writeConfig(1)
	for range silenceEndpoints {
		if err := p.addEndpoint(); err != nil {
			return nil, err
		}
	}
	// Each process has loopback addresses of its own, so that plays can run side by side.
	f.extraRetries = silenceExtraRetries
	for i := range silenceVMs {
		ip := fmt.Sprintf("127.%d.%d.%d", 2+os.Getpid()%200, os.Getpid()/200%250, i+1)
		if err := f.addVM(fmt.Sprintf("vm%d", i+1), ip); err != nil {
			return nil, err
		}
	}
	time.Sleep(settleDelay)
	p.play(ctx)
	p.checkRetryBudget()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.printCounts()
	return p.violations, nil
}

// play runs the callers and the trouble until the duration is over and the callers have their answers.
func (p *SilencePlay) play(ctx context.Context) {
	end := time.Now().Add(p.Duration)
	ctx, cancel := context.WithCancel(ctx)
	var trouble, callers sync.WaitGroup
	trouble.Go(func() { p.silenceEndpoints(ctx) })
	trouble.Go(func() {
		for version := int64(2); waitFor(ctx, silenceConfigPeriod); version++ {
			p.writeConfig(version)
		}
	})
	if p.IsFull {
		trouble.Go(func() { p.disturbVMs(ctx) })
	}
	for i := range p.callerCount() {
		callers.Go(func() { p.sendStreams(ctx, i, end) })
	}
	callers.Wait()
	cancel()
	trouble.Wait()
}

// waitFor waits and reports whether ctx has not ended meanwhile.
func waitFor(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// addEndpoint starts an engine that holds the model.
func (p *SilencePlay) addEndpoint() error {
	models := modelNames[:1]
	if p.setting.isPlain {
		models = nil
	}
	e, err := p.fleet.startEndpoint(p.setting.service(), models, func(e *endpoint) {
		e.Slots, e.QueueLength, e.StreamEvents, e.ResponseDelay, e.CrashPart = silenceSlots, silenceQueue, p.setting.events, silenceEventDelay, ""
		e.StreamsWithoutModel, e.HidesLoad, e.RefusesInSilence = p.setting.isPlain, p.setting.hidesLoad, p.setting.refusesInSilence
		e.OnArrival = func(id string) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.sends[id] = append(p.sends[id], time.Now())
			p.logEvent("%s arrives at %s", id, e.ID)
		}
	})
	if err != nil {
		return err
	}
	if models != nil {
		e.AddModel(modelNames[0])
	}
	e.WriteEntry("ready")
	return nil
}

// writeConfig writes a configuration with the version. Its routes stay as they are.
func (p *SilencePlay) writeConfig(version int64) {
	c := afplatform.Config{
		Version: version, PlainService: "app", EngineService: "llm", ModelSizes: map[string]float64{modelNames[0]: modelSizeMB}, EngineMemoryMB: engineMemoryMB,
		ModelLoadTime: modelLoadTime, EngineSlots: silenceSlots,
		Customers: []afplatform.Customer{{Name: "one", APIKeys: []string{"key-one"}, TokensPerSecond: customerTokenLimit, BurstTokens: customerTokenLimit, PlainRequestTokens: requestTokens}},
	}
	if p.setting.hidesLoad {
		c.EngineSlots = 0
	}
	for name, attempts := range map[string]int{"one": 1, "three": 3} {
		c.Routes = append(c.Routes, afplatform.Route{
			Name: name, Host: "soak.example", PathPrefix: "/" + name + "/", Kind: "streaming", Service: p.setting.service(), MaxAttempts: attempts, Timeout: silenceCallTime, IsResumable: true,
		})
	}
	p.fleet.store.PutObject("config", "main", c.Spec())
	p.logEvent("configuration %d", version)
}

// silenceEndpoints lets one endpoint after the other be silent.
func (p *SilencePlay) silenceEndpoints(ctx context.Context) {
	random := rand.New(rand.NewPCG(p.Seed, 1))
	for i := random.IntN(silenceEndpoints); waitFor(ctx, 1800*time.Millisecond+time.Duration(random.IntN(400))*time.Millisecond); i++ {
		e := p.fleet.endpoints[i%silenceEndpoints]
		d := minSilence + time.Duration(random.Int64N(int64(maxSilence-minSilence)))
		p.logEvent("%s is silent for %v", e.ID, d.Round(time.Millisecond))
		e.BeginSilence(d)
		if p.IsFull && random.IntN(3) == 0 && waitFor(ctx, time.Duration(random.Int64N(int64(d)))) {
			other := p.fleet.endpoints[(i+1)%silenceEndpoints]
			p.logEvent("%s is silent too for %v", other.ID, d.Round(time.Millisecond))
			other.BeginSilence(d)
		}
	}
}

// disturbVMs lets VMs reload their settings, and stop and start again, one after the other.
func (p *SilencePlay) disturbVMs(ctx context.Context) {
	random := rand.New(rand.NewPCG(p.Seed, 3))
	for waitFor(ctx, 500*time.Millisecond+time.Duration(random.IntN(1500))*time.Millisecond) {
		v := p.fleet.vms[random.IntN(len(p.fleet.vms))]
		if p.setting.events == silenceEvents || random.IntN(4) > 0 {
			p.logEvent("reload %s", v.name)
			v.signalProcess(syscall.SIGHUP)
			continue
		}
		p.logEvent("stop %s", v.name)
		v.mu.Lock()
		v.isStopping = true
		exited := v.exited
		v.mu.Unlock()
		v.signalProcess(syscall.SIGTERM)
		<-exited
		if err := v.startProcess(p.fleet.daemonPath); err != nil {
			p.reportViolation("SOAK", "%s not started: %v", v.name, err)
		}
	}
}

// sendStreams sends the requests of one caller, one after another, until end.
func (p *SilencePlay) sendStreams(ctx context.Context, callerIndex int, end time.Time) {
	random := rand.New(rand.NewPCG(p.Seed, uint64(callerIndex)+100))
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}, Timeout: silenceCallTime + 2*time.Second}
	defer client.CloseIdleConnections()
	waitFor(ctx, time.Duration(random.IntN(4000))*time.Millisecond)
	for n := 1; time.Now().Before(end) && ctx.Err() == nil; n++ {
		v := p.fleet.vms[random.IntN(len(p.fleet.vms))]
		p.sendStream(client, v, fmt.Sprintf("r%02d-%d", callerIndex, n), p.setting.path(random))
		waitFor(ctx, time.Duration(random.IntN(100))*time.Millisecond)
	}
}

// sendStream sends one request and checks what its caller gets.
func (p *SilencePlay) sendStream(client *http.Client, v *vm, id, path string) {
	r, err := http.NewRequest(http.MethodPost, "http://"+v.ip+afplatform.CallersPort+path, bytes.NewReader([]byte("hello")))
	if err != nil {
		p.reportViolation("SOAK", "request not made: %v", err)
		return
	}
	r.Host = "soak.example"
	afplatform.RequestHeaders{
		RequestID: id, APIKey: "key-one", Model: modelNames[0], Timeout: silenceCallTime, PromptTokens: 300, OutputTokens: 160, PromptParts: []string{"system", id},
	}.SetOn(r.Header)
	c := call{id: id, path: path, vm: v, sentAt: time.Now()}
	p.logEvent("%s %s sent to %s", id, path, v.name)
	resp, err := client.Do(r)
	if c.err = err; err == nil {
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close() // The body was read to its end or failed with an error.
		c.status, c.body, c.isComplete, c.err = resp.StatusCode, string(body), err == nil, err
	}
	c.endedAt = time.Now()
	p.logEvent("%s answered %d after %v, %d events, %v", id, c.status, c.endedAt.Sub(c.sentAt).Round(time.Millisecond), strings.Count(c.body, "\n\n"), c.err)
	if rule, text := checkSilenceCall(c, p.setting.events); rule != "" && (!p.IsFull || !p.mayBeRefused(c)) {
		p.reportViolation(rule, "%s %s at %s, sent %v ago: %s", id, path, v.name, c.endedAt.Sub(c.sentAt).Round(time.Millisecond), text)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls = append(p.calls, c)
}

// mayBeRefused reports whether a call may get no answer: it has not run, and was refused or met the end of its VM's process.
func (p *SilencePlay) mayBeRefused(c call) bool {
	f := p.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	hasMetClose := c.status == 0 && c.endedAt.Sub(c.sentAt) <= requestTransferTime
	return len(f.executions[c.id]) == 0 && (c.status == http.StatusServiceUnavailable || hasMetClose)
}

// checkSilenceCall returns the rule that the answer to a call of a stream with so many events breaks, or nothing.
func checkSilenceCall(c call, streamEvents int) (rule, text string) {
	var want strings.Builder
	for i := 1; i <= streamEvents; i++ {
		want.WriteString(afplatform.StreamEvent(c.id, i))
	}
	events := strings.Count(c.body, "\n\n")
	switch {
	case c.status == 0:
		return "REFUSED", fmt.Sprintf("no answer: %v", c.err)
	case c.status != http.StatusOK:
		return "REFUSED", fmt.Sprintf("status %d: %.200s", c.status, c.body)
	case !strings.HasPrefix(want.String(), c.body):
		return "ORDER", fmt.Sprintf("%d events, not those of the stream in order: %q", events, c.body)
	case !c.isComplete:
		return "CUT", fmt.Sprintf("after %d events: %v", events, c.err)
	case c.body != want.String():
		return "WHOLE", fmt.Sprintf("looks complete after %d events", events)
	}
	return "", ""
}

// checkRetryBudget checks the number of further sends to endpoints in each window, over all VMs.
func (p *SilencePlay) checkRetryBudget() {
	p.mu.Lock()
	var requests, retries []time.Time
	for _, c := range p.calls {
		requests = append(requests, c.sentAt)
		if sends := p.sends[c.id]; len(sends) > 1 {
			retries = append(retries, sends[1:]...)
		}
	}
	p.mu.Unlock()
	if use := mostOfBudget(requests, retries, silenceExtraRetries); use.isOver() {
		p.reportViolation("BUDGET", "%d second sends in the %v before %.3f s, the budget allows %.0f", use.n, retryWindow, use.end.Sub(p.startedAt).Seconds(), use.allowed)
	}
}

// printCounts prints the figures of the play. The caller holds mu.
func (p *SilencePlay) printCounts() {
	count, resent, refused := map[string]int{}, 0, 0
	for _, rule := range p.violations {
		count[rule]++
	}
	for _, sends := range p.sends {
		resent += len(sends) - 1
	}
	for _, c := range p.calls {
		if c.status != http.StatusOK {
			refused++
		}
	}
	p.print(p.Output, "%d requests, %d refused, %d second sends, broken: %v; %+v, program %s, logs in %s", len(p.calls), refused, resent, count, p.setting, p.DaemonPath, p.OutputDir)
}
