package afsoak

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"arbutusfork.example/arbutusfork/internal/afstandin/afplatform"
)

const (
	modelSize   = 70.0
	engineSize  = 150.0 // engineSize holds two models.
	loadTime    = 300 * time.Millisecond
	graceTime   = 5 * time.Second
	quietTime   = 1500 * time.Millisecond
	streamParts = 12
	streamPause = 40 * time.Millisecond
	plainPause  = 15 * time.Millisecond
	// streamTimeout and plainTimeout are the routes' timeouts.
	streamTimeout = 6 * time.Second
	plainTimeout  = 2 * time.Second
	// customerRate is generous but for the customer that exceeds it.
	customerRate  = 1_000_000
	limitedRate   = 4000
	limitedBurst  = 4000
	requestTokens = 120
	// Each seed has a loopback network of its own, so that several runs fit on one machine.
	firstNet = 10
	nets     = 200
)

// vm is one daemon as a process of its own.
type vm struct {
	name, ip string
	settings string
	platform *proxy
	log      *os.File

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{} // done is closed when the process has ended.
	// reviving is the done channel of the process that is to be started again.
	reviving chan struct{}
	calm     time.Time // calm is when the last harm to the VM ended. It is zero while it lasts.
	lives    int
	leaving  bool
}

// fleet is the whole scene.
type fleet struct {
	program, dir string
	store        *afplatform.Store
	storeAddress string
	server       *http.Server
	vms          []*vm

	mu        sync.Mutex
	endpoints []*endpoint
	serial    int
	version   int64
	keys      map[string]string // keys maps keys in force to customers.
	runs      map[string][]afplatform.ExecutedRequest
	violation func(rule, format string, args ...any)
}

// endpoint is a stand-in with its proxy.
type endpoint struct {
	*afplatform.Endpoint
	proxy  *proxy
	server *http.Server
	gone   bool
}

func (f *fleet) ran(r afplatform.ExecutedRequest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs[r.RequestID] = append(f.runs[r.RequestID], r)
	if r.HasCallerKey {
		f.violation("UNASKED", "request %s: the key reached endpoint %s", r.RequestID, r.EndpointID)
	}
}

// addEndpoint starts an endpoint and writes its entry.
func (f *fleet) addEndpoint(service string, models []string) error {
	f.mu.Lock()
	f.serial++
	id := "i-" + strconv.Itoa(f.serial)
	f.mu.Unlock()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	p, err := newProxy("127.0.0.1:0", l.Addr().String())
	if err != nil {
		return err
	}
	e := &endpoint{proxy: p, Endpoint: &afplatform.Endpoint{
		ID: id, Service: service, Centre: "z1", Address: p.address(), Store: f.store, MemoryMB: engineSize, LoadTime: loadTime,
		StreamEvents: streamParts, ResponseDelay: plainPause, OnExecute: f.ran,
	}}
	if models != nil {
		e.ModelSizes, e.ResponseDelay = modelSizes(), streamPause
	}
	e.server = &http.Server{Handler: e.Endpoint, ReadHeaderTimeout: time.Minute}
	go func() { _ = e.server.Serve(l) }()
	e.WriteEntry("ready")
	f.mu.Lock()
	f.endpoints = append(f.endpoints, e)
	f.mu.Unlock()
	return nil
}

// live returns the endpoints of a service that are not gone.
func (f *fleet) live(service string) []*endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*endpoint
	for _, e := range f.endpoints {
		if e.Service == service && !e.gone {
			out = append(out, e)
		}
	}
	return out
}

// kill ends an endpoint at once and removes its entry, as the platform does after missing heartbeats.
func (f *fleet) kill(e *endpoint) {
	f.mu.Lock()
	e.gone = true
	f.mu.Unlock()
	e.proxy.close()
	_ = e.server.Close()
	f.store.RemoveObject(afplatform.KindEndpoints, e.ID)
}

// configure writes the next configuration.
func (f *fleet) configure() {
	f.mu.Lock()
	f.version += 3
	held := map[string][]string{}
	for key, customer := range f.keys {
		held[customer] = append(held[customer], key)
	}
	c := afplatform.Config{Version: f.version, PlainService: "app", EngineService: "llm", ModelSizes: modelSizes(), EngineMemoryMB: engineSize, ModelLoadTime: loadTime}
	f.mu.Unlock()
	route := func(name, kind, service string, attempts int, timeout time.Duration, resumable bool) afplatform.Route {
		return afplatform.Route{
			Name: name, Host: "soak.example", PathPrefix: "/" + name + "/", Kind: kind, Service: service, MaxAttempts: attempts, Timeout: timeout,
			IsResumable: resumable,
		}
	}
	c.Routes = []afplatform.Route{
		route("talk", "streaming", "llm", 2, streamTimeout, true), route("note", "streaming", "llm", 1, streamTimeout, false),
		route("pay", "unsafe", "app", 1, plainTimeout, false), route("look", "safe", "app", 2, plainTimeout, false),
	}
	for name, keys := range held {
		x := afplatform.Customer{Name: name, APIKeys: keys, TokensPerSecond: customerRate, BurstTokens: customerRate, PlainRequestTokens: requestTokens}
		if name == limitedCustomer {
			x.TokensPerSecond, x.BurstTokens = limitedRate, limitedBurst
		}
		c.Customers = append(c.Customers, x)
	}
	f.store.PutObject("config", "main", c.Spec())
}

func modelSizes() map[string]float64 {
	sizes := make(map[string]float64, len(modelNames))
	for _, m := range modelNames {
		sizes[m] = modelSize
	}
	return sizes
}

// addVM writes a VM's settings and starts it.
func (f *fleet) addVM(name, ip string) error {
	p, err := newProxy("127.0.0.1:0", f.storeAddress)
	if err != nil {
		return err
	}
	v := &vm{name: name, ip: ip, platform: p, settings: filepath.Join(f.dir, name+".json")}
	raw, err := afplatform.Settings{VM: name, IP: ip, Centre: "z1", StoreAddress: p.address(), GracePeriod: graceTime, LeaseDuration: quietTime}.EncodeFile()
	if err != nil {
		return err
	}
	if err := os.WriteFile(v.settings, raw, 0o600); err != nil {
		return err
	}
	if v.log, err = os.Create(filepath.Join(f.dir, name+".log")); err != nil {
		return err
	}
	f.vms = append(f.vms, v)
	return v.start(f.program)
}

func (v *vm) start(program string) error {
	cmd := exec.Command(program, "gateway")
	cmd.Env = append(os.Environ(), afplatform.SettingsVariable+"="+v.settings)
	cmd.Stdout, cmd.Stderr = v.log, v.log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	v.mu.Lock()
	v.cmd, v.done, v.leaving, v.calm = cmd, done, false, time.Now()
	v.lives++
	v.mu.Unlock()
	go func() {
		_ = cmd.Wait() // How it ended is known from the signal that was sent.
		close(done)
	}()
	return nil
}

// signal sends a signal to the VM's process if it runs.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	select {
	case <-v.done:
	default:
		_ = v.cmd.Process.Signal(s) // It may end meanwhile.
	}
}

// harm notes that a harm begins, or that it ends.
func (v *vm) harm(lasting bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.calm = time.Time{}
	if !lasting {
		v.calm = time.Now()
	}
}

// calmFor returns for how long no harm was done to the VM.
func (v *vm) calmFor(now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.calm.IsZero() {
		return 0
	}
	return now.Sub(v.calm)
}

func (f *fleet) close() {
	for _, v := range f.vms {
		v.signal(syscall.SIGCONT)
		v.signal(syscall.SIGKILL)
		<-v.done
		v.platform.close()
		_ = v.log.Close()
	}
	for _, e := range f.endpoints {
		e.proxy.close()
		_ = e.server.Close()
	}
	_ = f.server.Close()
}

func newFleet(program, dir string, seed uint64, vms, engines, plain int, violation func(string, string, ...any)) (*fleet, error) {
	f := &fleet{
		program: program, dir: dir, store: afplatform.NewStore(), runs: map[string][]afplatform.ExecutedRequest{}, violation: violation, version: 1,
		keys: map[string]string{"key-one": "one", "key-two": "two", "key-limited": limitedCustomer},
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.storeAddress = l.Addr().String()
	f.server = &http.Server{Handler: f.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = f.server.Serve(l) }()
	f.configure()
	for range engines {
		if err := f.addEndpoint("llm", modelNames); err != nil {
			return nil, err
		}
	}
	for range plain {
		if err := f.addEndpoint("app", nil); err != nil {
			return nil, err
		}
	}
	for i := range vms {
		if err := f.addVM(fmt.Sprintf("vm%d", i+1), fmt.Sprintf("127.0.%d.%d", firstNet+seed%nets, i+1)); err != nil {
			return nil, err
		}
	}
	return f, nil
}
