package afsoak

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"arbutusfork.example/arbutusfork/internal/afstandin/afplatform"
)

const (
	modelSizeMB        = 70.0
	engineMemoryMB     = 150.0 // engineMemoryMB fits two models.
	modelLoadTime      = 300 * time.Millisecond
	gracePeriod        = 5 * time.Second
	streamEventCount   = 12
	streamEventDelay   = 40 * time.Millisecond
	plainResponseDelay = 15 * time.Millisecond
	// streamRouteTimeout is the timeout of the routes to the engine service.
	streamRouteTimeout = 6 * time.Second
	// plainRouteTimeout is the timeout of the routes to the plain service.
	plainRouteTimeout = 2 * time.Second
	// customerTokenLimit is the rate, in tokens per second, and the burst of every customer except limitedCustomer. The
	// callers never reach it.
	customerTokenLimit = 1_000_000
	// limitedTokensPerSecond is the rate of limitedCustomer, which its callers exceed.
	limitedTokensPerSecond = 4000
	limitedBurstTokens     = 4000
	// requestTokens is the size of every request: the tokens of its prompt and of its answer together.
	requestTokens = 120
	// crashPart is the part of prompts that crashes the engines that begin to answer it.
	crashPart = "dead"
	// crashDelay lets the head of an answer arrive before the engine crashes, and crashedTime is how long the engine is gone.
	crashDelay, crashedTime = 20 * time.Millisecond, time.Second
	defaultLeaseDuration    = 1500 * time.Millisecond
	// firstSubnet is the third byte of the first loopback subnet, 127.0.10.0/24. The seed selects the subnet of a run, so
	// that runs with different seeds can share a machine.
	firstSubnet = 10
	// subnetCount is the number of subnets. Seeds that differ by a multiple of subnetCount share a subnet.
	subnetCount = 200
)

// fleet is the system under test: the platform's store, the endpoints and the VMs.
type fleet struct {
	daemonPath, outputDir string
	leaseDuration         time.Duration
	extraRetries          int // extraRetries is in the settings of VMs that are added later.
	store                 *afplatform.Store
	storeAddress          string
	storeServer           *http.Server
	vms                   []*vm

	mu                 sync.Mutex
	endpoints          []*endpoint
	lastEndpointNumber int
	configVersion      int64
	customerByKey      map[string]string // customerByKey maps the API keys in force to their customers.
	executions         map[string][]afplatform.ExecutedRequest
	pauseArrivals      []pauseArrival
	arrivals           map[string][]time.Time // arrivals holds when a request arrived at endpoints, by its ID.
	endpointFaults     []endpointFault
	// crashedAt holds when engines crashed that callers could reach until then.
	crashedAt []time.Time
	// restarts counts the engines that will start again, unless closing is closed before.
	restarts        sync.WaitGroup
	closing         chan struct{}
	reportViolation func(rule, format string, args ...any)
}

// endpoint is a simulated endpoint and the proxy through which the VMs reach it.
type endpoint struct {
	*afplatform.Endpoint
	proxy     *proxy
	server    *http.Server
	isRemoved bool
	isCrashed bool
	// isExtra means that only the fault that added the endpoint chooses it, so that the other faults of a seed stay as they
	// were.
	isExtra bool
	// restarts holds when the endpoint started again, ready, after crashes.
	restarts []time.Time
	// silentUntil is when the latest silence of the endpoint ends.
	silentUntil time.Time
}

// recordExecution stores a request that an endpoint executed and checks that the API key was not forwarded.
func (f *fleet) recordExecution(r afplatform.ExecutedRequest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.executions[r.RequestID] = append(f.executions[r.RequestID], r)
	if r.HasCallerKey {
		f.reportViolation("UNASKED", "request %s: the key reached endpoint %s", r.RequestID, r.EndpointID)
	}
}

// addEndpoint starts an endpoint and writes its entry to the store. The endpoint is an engine if models is not nil.
func (f *fleet) addEndpoint(service string, models []string) error {
	e, err := f.startEndpoint(service, models, func(*endpoint) {})
	if err == nil {
		e.WriteEntry("ready")
	}
	return err
}

// startEndpoint starts an endpoint that has no entry yet. Configure may change its fields before it serves.
func (f *fleet) startEndpoint(service string, models []string, configure func(*endpoint)) (*endpoint, error) {
	f.mu.Lock()
	f.lastEndpointNumber++
	number := f.lastEndpointNumber
	id := "i-" + strconv.Itoa(number)
	f.mu.Unlock()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p, err := newProxy("127.0.0.1:0", l.Addr().String())
	if err != nil {
		return nil, err
	}
	e := &endpoint{proxy: p, Endpoint: &afplatform.Endpoint{
		ID: id, Service: service, Centre: "z1", Address: p.address, Store: f.store, MemoryMB: engineMemoryMB, LoadTime: modelLoadTime,
		StreamEvents: streamEventCount, ResponseDelay: plainResponseDelay, OnExecute: f.recordExecution, OnArrival: f.recordArrival,
	}}
	e.OnPauseArrival = func(a afplatform.PauseArrival) { f.recordPauseArrival(e, a) }
	if models != nil {
		e.ModelSizes, e.ResponseDelay = modelSizes(), streamEventDelay
		e.CrashPart, e.OnCrash = crashPart, func() { f.crashEndpoint(e) }
	}
	// Plain endpoints would answer before a silence that also keeps requests from being read.
	e.RefusesInSilence = models == nil || number%2 == 0
	configure(e)
	e.server = &http.Server{Handler: e.Endpoint, ReadHeaderTimeout: time.Minute}
	go func() { _ = e.server.Serve(l) }()
	f.mu.Lock()
	f.endpoints = append(f.endpoints, e)
	f.mu.Unlock()
	return e, nil
}

// liveEndpoints returns the endpoints of a service that were not removed, without extra ones.
func (f *fleet) liveEndpoints(service string) []*endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	var live []*endpoint
	for _, e := range f.endpoints {
		if e.Service == service && !e.isRemoved && !e.isExtra {
			live = append(live, e)
		}
	}
	return live
}

// killEndpoint stops an endpoint immediately and removes its entry from the store, as the platform does after missed
// heartbeats.
func (f *fleet) killEndpoint(e *endpoint) {
	f.mu.Lock()
	e.isRemoved = true
	f.mu.Unlock()
	f.beginEndpointFault(e)
	e.proxy.close()
	_ = e.server.Close()
	f.store.RemoveObject(afplatform.KindEndpoints, e.ID)
}

// crashEndpoint ends an engine without notice, and starts it again without models after crashedTime.
func (f *fleet) crashEndpoint(e *endpoint) {
	time.Sleep(crashDelay)
	f.mu.Lock()
	defer f.mu.Unlock()
	if e.isRemoved || e.isCrashed {
		return
	}
	e.isCrashed = true
	f.endpointFaults = append(f.endpointFaults, endpointFault{e.ID, period{startedAt: time.Now()}})
	if e.proxy.currentFault() == NoFault {
		f.crashedAt = append(f.crashedAt, time.Now())
	}
	e.proxy.stopListening()
	f.restarts.Go(func() {
		select {
		case <-f.closing:
			return
		case <-time.After(crashedTime):
		}
		f.mu.Lock()
		e.isCrashed = false
		isRemoved := e.isRemoved
		f.mu.Unlock()
		if isRemoved {
			return
		}
		if err := e.proxy.startListening(); err != nil {
			f.reportViolation("SOAK", "endpoint %s not started again: %v", e.ID, err)
		}
		f.mu.Lock()
		e.restarts = append(e.restarts, time.Now())
		f.mu.Unlock()
		f.endEndpointFault(e)
		e.Restart()
	})
}

// writeConfig writes a configuration of a higher version, with the API keys in force, to the store.
func (f *fleet) writeConfig() {
	f.mu.Lock()
	f.configVersion += 3
	keysByCustomer := map[string][]string{}
	for key, customer := range f.customerByKey {
		keysByCustomer[customer] = append(keysByCustomer[customer], key)
	}
	c := afplatform.Config{Version: f.configVersion, PlainService: "app", EngineService: "llm", ModelSizes: modelSizes(), EngineMemoryMB: engineMemoryMB, ModelLoadTime: modelLoadTime}
	f.mu.Unlock()
	route := func(name, kind, service string, attempts int, timeout time.Duration, resumable bool) afplatform.Route {
		return afplatform.Route{
			Name: name, Host: "soak.example", PathPrefix: "/" + name + "/", Kind: kind, Service: service, MaxAttempts: attempts, Timeout: timeout,
			IsResumable: resumable,
		}
	}
	c.MaxBodyBytes = maxBodyBytes
	c.Routes = []afplatform.Route{
		route("talk", "streaming", "llm", 2, streamRouteTimeout, true), route("note", "streaming", "llm", 1, streamRouteTimeout, false),
		route("pay", "unsafe", "app", 1, plainRouteTimeout, false), route("look", "safe", "app", 2, plainRouteTimeout, false),
	}
	for name, keys := range keysByCustomer {
		customer := afplatform.Customer{Name: name, APIKeys: keys, TokensPerSecond: customerTokenLimit, BurstTokens: customerTokenLimit, PlainRequestTokens: requestTokens}
		if name == limitedCustomer {
			customer.TokensPerSecond, customer.BurstTokens = limitedTokensPerSecond, limitedBurstTokens
		}
		c.Customers = append(c.Customers, customer)
	}
	f.store.PutObject("config", "main", c.Spec())
}

// modelSizes returns the size in MB of every model.
func modelSizes() map[string]float64 {
	sizes := make(map[string]float64, len(modelNames))
	for _, m := range modelNames {
		sizes[m] = modelSizeMB
	}
	return sizes
}

// addVM writes the settings file of a VM and starts its process.
func (f *fleet) addVM(name, ip string) error {
	p, err := newProxy("127.0.0.1:0", f.storeAddress)
	if err != nil {
		return err
	}
	v := &vm{name: name, ip: ip, platformProxy: p, settingsPath: filepath.Join(f.outputDir, name+".json")}
	raw, err := afplatform.Settings{VM: name, IP: ip, Centre: "z1", StoreAddress: p.address, GracePeriod: gracePeriod, LeaseDuration: f.leaseDuration, ExtraRetries: f.extraRetries, MemoryMB: vmMemoryMB}.EncodeFile()
	if err != nil {
		return err
	}
	if err := os.WriteFile(v.settingsPath, raw, 0o600); err != nil {
		return err
	}
	if v.logFile, err = os.Create(filepath.Join(f.outputDir, name+".log")); err != nil {
		return err
	}
	f.vms = append(f.vms, v)
	v.onUnexpectedEnd = func(state string) { f.reportViolation("DIED", "%s ended by itself: %s", v.name, state) }
	return v.startProcess(f.daemonPath)
}

// close stops all processes, endpoints, proxies and the store.
func (f *fleet) close() {
	close(f.closing)
	f.restarts.Wait()
	for _, v := range f.vms {
		v.signalProcess(syscall.SIGCONT)
		v.signalProcess(syscall.SIGKILL)
		<-v.exited
		v.platformProxy.close()
		_ = v.logFile.Close()
	}
	for _, e := range f.endpoints {
		e.proxy.close()
		_ = e.server.Close()
	}
	_ = f.storeServer.Close()
}

// newBareFleet starts a store without objects.
func newBareFleet(daemonPath, outputDir string, reportViolation func(string, string, ...any)) (*fleet, error) {
	f := &fleet{
		daemonPath: daemonPath, outputDir: outputDir, leaseDuration: defaultLeaseDuration, store: afplatform.NewStore(), executions: map[string][]afplatform.ExecutedRequest{}, arrivals: map[string][]time.Time{}, extraRetries: extraRetries, reportViolation: reportViolation, configVersion: 1, closing: make(chan struct{}),
		customerByKey: map[string]string{"key-one": "one", "key-two": "two", "key-limited": limitedCustomer},
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.storeAddress = l.Addr().String()
	f.storeServer = &http.Server{Handler: f.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = f.storeServer.Serve(l) }()
	return f, nil
}

// newFleet starts a store, endpoints and VMs. The seed selects the loopback subnet of the VMs.
func newFleet(daemonPath, outputDir string, leaseDuration time.Duration, seed uint64, vmCount, engineCount, plainCount int, reportViolation func(string, string, ...any)) (*fleet, error) {
	f, err := newBareFleet(daemonPath, outputDir, reportViolation)
	if err != nil {
		return nil, err
	}
	f.leaseDuration = leaseDuration
	f.writeConfig()
	for range engineCount {
		if err := f.addEndpoint("llm", modelNames); err != nil {
			return nil, err
		}
	}
	for range plainCount {
		if err := f.addEndpoint("app", nil); err != nil {
			return nil, err
		}
	}
	for i := range vmCount {
		if err := f.addVM(fmt.Sprintf("vm%d", i+1), fmt.Sprintf("127.0.%d.%d", firstSubnet+seed%subnetCount, i+1)); err != nil {
			return nil, err
		}
	}
	return f, nil
}
