package afbench

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"arbutusfork.example/arbutusfork/internal/afstandin/afplatform"
)

const (
	gatewayIP     = "127.0.9.1"
	gatewayHost   = "bench.example"
	plainService  = "app"
	engineService = "llm"
	// gatewayStreamEvents is the number of events of each stream.
	gatewayStreamEvents = 16
	// gatewayCallerCount is the number of callers, each of which sends its requests one after another.
	gatewayCallerCount = 8
	// gatewayGracePeriod is the shutdown grace period of the daemon, which is not measured.
	gatewayGracePeriod = 4 * time.Second
	// gatewayStartTimeout limits the time until the daemon serves requests.
	gatewayStartTimeout = 10 * time.Second
	// gatewayLeaseTerm is the term of the placement lease, which limits how soon another holder may send orders. This
	// measurement has only one holder.
	gatewayLeaseTerm = time.Second
	// gatewayPollInterval is the interval between checks whether the daemon serves requests.
	gatewayPollInterval = 20 * time.Millisecond
	// gatewayNoTimeout is longer than any measurement, so that no request or stream ends by a timeout.
	gatewayNoTimeout = time.Hour
	// readHeaderTimeout limits the time in which a stand-in reads the headers of a request.
	readHeaderTimeout = time.Minute
	// gatewayMaxFiles is the limit of file descriptors of the daemon. Each stream needs two connections.
	gatewayMaxFiles = 4 * maxBenchConns
)

// GatewayPlan configures MeasureGateway.
type GatewayPlan struct {
	// ProgramPath is the path of the daemon's binary.
	ProgramPath string
	// SpeedDuration is the duration of each measurement of speed.
	SpeedDuration time.Duration
	// OpenStreams is the number of streams that are open at once while memory is measured.
	OpenStreams int
	Output      io.Writer
}

// gateway is a daemon that runs as a separate process, with stand-ins of the platform and the endpoints in this process.
type gateway struct {
	GatewayPlan
	cmd           *exec.Cmd
	plainEndpoint *afplatform.Endpoint
	// engineEndpoint has room for both models, so that no placement decision changes what is measured. Streams of coldModel
	// stay open after their first event.
	engineEndpoint *afplatform.Endpoint
	lastRequestID  atomic.Int64
	// memoryLimitMB is the daemon's memory limit. Zero means none.
	memoryLimitMB int
	// wrapEngine replaces the handler of the engine. Nil means that it is not replaced.
	wrapEngine func(http.Handler) http.Handler
}

// MeasureGateway starts a gateway and prints its processor time for each request, the latency of requests compared with
// direct calls of the same endpoint, and its memory when idle and with open streams.
func MeasureGateway(ctx context.Context, p GatewayPlan) error {
	dir, err := os.MkdirTemp("", "arbutusfork-bench")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	g := &gateway{GatewayPlan: p}
	if err := g.startDaemon(ctx, dir); err != nil {
		return errors.Wrap(err, "start the gateway")
	}
	defer func() {
		_ = g.cmd.Process.Kill()
		_ = g.cmd.Wait() // Wait reports that the process was killed.
	}()
	idleMB, err := g.readResidentMB()
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(p.Output, "at rest: %.1f MB resident\n", idleMB)
	// The models are measured first, since the daemon unloads models that get no requests.
	var failures []error
	for _, m := range []struct {
		name    string
		measure func() error
	}{
		{"streams", func() error { return g.measureSpeed(ctx, "stream of 16", "/talk/x", warmModel, g.engineEndpoint) }},
		{"memory", func() error { return g.measureMemory(ctx) }},
		{"short requests", func() error { return g.measureSpeed(ctx, "short", "/look/x", "", g.plainEndpoint) }},
	} {
		if err := m.measure(); err != nil {
			failures = append(failures, errors.Wrap(err, m.name))
		}
	}
	return errors.Join(failures...)
}

// startDaemon starts the stand-ins and the daemon, and waits until the daemon serves both routes.
func (g *gateway) startDaemon(ctx context.Context, dir string) error {
	store := afplatform.NewStore()
	address, err := serveLoopback(store)
	if err != nil {
		return err
	}
	config := gatewayConfig()
	for i := range config.Routes {
		// The body of a stream that can be resumed is kept until its end.
		config.Routes[i].IsResumable = g.memoryLimitMB > 0
		config.Routes[i].MaxAttempts += min(g.memoryLimitMB, 1)
	}
	store.PutObject("config", "main", config.Spec())
	g.plainEndpoint = &afplatform.Endpoint{ID: "plain", Service: plainService, Centre: "c", Store: store}
	sizes := map[string]float64{warmModel: 1, coldModel: 1}
	g.engineEndpoint = &afplatform.Endpoint{
		ID: "engine", Service: engineService, Centre: "c", Store: store, ModelSizes: sizes, MemoryMB: float64(len(sizes)),
		StreamEvents: gatewayStreamEvents, StalledModel: coldModel,
	}
	for m := range sizes {
		g.engineEndpoint.AddModel(m)
	}
	for _, e := range []*afplatform.Endpoint{g.plainEndpoint, g.engineEndpoint} {
		var handler http.Handler = e
		if e == g.engineEndpoint && g.wrapEngine != nil {
			handler = g.wrapEngine(e)
		}
		if e.Address, err = serveLoopback(handler); err != nil {
			return err
		}
		e.WriteEntry("ready")
	}
	raw, err := afplatform.Settings{
		VM: "vm", IP: gatewayIP, Centre: "c", StoreAddress: address, GracePeriod: gatewayGracePeriod, LeaseDuration: gatewayLeaseTerm, MaxOpenFiles: gatewayMaxFiles, MemoryMB: g.memoryLimitMB,
	}.EncodeFile()
	if err != nil {
		return err
	}
	file := filepath.Join(dir, "settings.json")
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		return err
	}
	g.cmd = exec.CommandContext(ctx, g.ProgramPath, "gateway")
	g.cmd.Env = append(os.Environ(), afplatform.SettingsVariable+"="+file)
	// The daemon must not outlive a killed measurement, since it would keep its ports occupied.
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.cmd.Start(); err != nil {
		return err
	}
	for end := time.Now().Add(gatewayStartTimeout); time.Now().Before(end); time.Sleep(gatewayPollInterval) {
		if g.isServing(ctx, "/look/x", "") && g.isServing(ctx, "/talk/x", warmModel) {
			return nil
		}
	}
	_ = g.cmd.Process.Kill()
	return errors.Errorf("wait for the daemon: no answer within %s; another process may use the ports of %s", gatewayStartTimeout, gatewayIP)
}

// gatewayConfig returns a configuration with a route to the plain service and one to the engines.
func gatewayConfig() afplatform.Config {
	c := afplatform.Config{
		Version: 1, PlainService: plainService, EngineService: engineService, ModelSizes: map[string]float64{warmModel: 1, coldModel: 1}, EngineMemoryMB: 2,
		EngineSlots: maxBenchConns, MaxBodyBytes: 4 << 20,
		Customers: []afplatform.Customer{{Name: "bench", APIKeys: []string{benchKey}, TokensPerSecond: 1 << 30, BurstTokens: 1 << 30, PlainRequestTokens: 1}},
	}
	for _, r := range []struct{ name, kind, service string }{{"look", "safe", plainService}, {"talk", "streaming", engineService}} {
		c.Routes = append(c.Routes, afplatform.Route{
			Name: r.name, Host: gatewayHost, PathPrefix: "/" + r.name + "/", Kind: r.kind, Service: r.service, MaxAttempts: 1, Timeout: gatewayNoTimeout,
		})
	}
	return c
}

// serveLoopback serves h on a free loopback port until this process ends, and returns the address.
func serveLoopback(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

// newRequest creates a request to the gateway or, unless direct is nil, straight to that endpoint.
func (g *gateway) newRequest(ctx context.Context, path, model string, direct *afplatform.Endpoint) (*http.Request, error) {
	address := gatewayIP + afplatform.CallersPort
	if direct != nil {
		address = direct.Address
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, err
	}
	r.Host = gatewayHost
	id := "b" + strconv.FormatInt(g.lastRequestID.Add(1), 10)
	afplatform.RequestHeaders{RequestID: id, APIKey: benchKey, Model: model, Timeout: gatewayNoTimeout, PromptTokens: 1, OutputTokens: 1}.SetOn(r.Header)
	if direct != nil {
		direct.SetDirectHeaders(r.Header)
	}
	return r, nil
}

// newClient returns a client for the requests of newRequest.
func (g *gateway) newClient(path, model string, direct *afplatform.Endpoint) *client {
	return newClient(func(ctx context.Context) (*http.Request, error) { return g.newRequest(ctx, path, model, direct) })
}

// isServing reports whether the daemon answers a request to the path with success.
func (g *gateway) isServing(ctx context.Context, path, model string) bool {
	c := g.newClient(path, model, nil)
	defer c.transport.CloseIdleConnections()
	_, _, err := c.sendRequest(ctx)
	return err == nil
}

// measureSpeed prints the daemon's processor time for each request, and the latency compared with direct calls.
func (g *gateway) measureSpeed(ctx context.Context, name, path, model string, e *afplatform.Endpoint) error {
	direct, _, err := g.newClient(path, model, e).runClosedLoop(ctx, gatewayCallerCount, g.SpeedDuration)
	if err != nil {
		return err
	}
	before, err := g.readCPUTime()
	if err != nil {
		return err
	}
	through, _, err := g.newClient(path, model, nil).runClosedLoop(ctx, gatewayCallerCount, g.SpeedDuration)
	if err != nil {
		return err
	}
	after, err := g.readCPUTime()
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(g.Output, "%s: %.0f us of processor each at %d callers; median %.3f ms (%.3f ms direct), p99 %.3f ms (%.3f ms direct)\n",
		name, float64((after-before).Microseconds())/float64(through.WholeAnswer.TotalCount()), gatewayCallerCount,
		float64(through.WholeAnswer.ValueAtQuantile(50))/1000, float64(direct.WholeAnswer.ValueAtQuantile(50))/1000,
		float64(through.WholeAnswer.ValueAtQuantile(99))/1000, float64(direct.WholeAnswer.ValueAtQuantile(99))/1000)
	return nil
}

// measureMemory opens streams that stay open and prints the memory that the daemon needs for them.
func (g *gateway) measureMemory(ctx context.Context) error {
	before, err := g.readResidentMB()
	if err != nil {
		return err
	}
	tr := &http.Transport{DisableKeepAlives: true}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for i := range g.OpenStreams {
		r, err := g.newRequest(ctx, "/talk/x", coldModel, nil)
		if err != nil {
			return err
		}
		resp, err := tr.RoundTrip(r)
		if err != nil {
			return err
		}
		if resp.StatusCode != http.StatusOK {
			return errors.Errorf("stream %d: status %d", i+1, resp.StatusCode)
		}
		if _, err := io.ReadFull(resp.Body, make([]byte, 1)); err != nil {
			return errors.Wrapf(err, "stream %d", i+1)
		}
	}
	after, err := g.readResidentMB()
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(g.Output, "%d open streams: %.1f MB resident, %.1f KB each (%.1f MB before them)\n", g.OpenStreams, after,
		(after-before)*1024/float64(g.OpenStreams), before)
	return nil
}

// readResidentMB returns the resident memory of the daemon in MB.
func (g *gateway) readResidentMB() (float64, error) {
	n, err := residentBytes(strconv.Itoa(g.cmd.Process.Pid))
	return float64(n) / (1 << 20), err
}

// ticksPerSecond is the unit of processor times in /proc, which Linux fixes at 100 per second for programs.
const ticksPerSecond = 100

// readCPUTime returns the user and system time of the daemon since its start.
func (g *gateway) readCPUTime() (time.Duration, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", g.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	// The name of the process may contain spaces. After it, the state is field 1 and the processor times are 12 and 13.
	f := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')')+1:]))
	if len(f) < 13 {
		return 0, errors.New("read processor time of the daemon: too few fields in stat")
	}
	user, err := strconv.ParseInt(f[11], 10, 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseInt(f[12], 10, 64)
	return time.Duration(user+system) * time.Second / ticksPerSecond, err
}
