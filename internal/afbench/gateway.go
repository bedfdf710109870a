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
	gatewayIP   = "127.0.9.1"
	gatewayHost = "bench.example"
	plainName   = "app"
	engineName  = "llm"
	// gatewayEvents is the number of events of a stream.
	gatewayEvents = 16
	// gatewayCallers send their requests one after another.
	gatewayCallers = 8
	// gatewayGrace is the grace period of the process, which is not measured.
	gatewayGrace = 4 * time.Second
	// gatewayStart bounds the time until the process serves.
	gatewayStart = 10 * time.Second
	// gatewayQuiet is the time between the orders of two holders, of which there is only one here.
	gatewayQuiet = time.Second
	// gatewayPoll is the pause between two looks whether the process serves.
	gatewayPoll = 20 * time.Millisecond
	// gatewayPatience is longer than any measurement, so that nothing ends by a timeout.
	gatewayPatience = time.Hour
	// headTimeout bounds the time for the headers of a request to a stand-in.
	headTimeout = time.Minute
	// gatewayFiles is enough for each stream's two connections.
	gatewayFiles = 4 * benchConns
)

// GatewayPlan says how much GatewayBench measures.
type GatewayPlan struct {
	// ProgramPath is the daemon's binary.
	ProgramPath   string
	SpeedDuration time.Duration
	OpenStreams   int
	Output        io.Writer
}

// gateway is one daemon as a process of its own, beside the stand-ins of the platform in this process.
type gateway struct {
	GatewayPlan
	cmd           *exec.Cmd
	plain, engine *afplatform.Endpoint
	// still is an engine whose streams stay open after their first event.
	still *afplatform.Endpoint
	ids   atomic.Int64
}

// MeasureGateway starts a gateway and prints its processor time for each request, with direct calls of the same endpoint
// beside it, and its memory at rest and with open streams.
func MeasureGateway(ctx context.Context, p GatewayPlan) error {
	dir, err := os.MkdirTemp("", "arbutusfork-bench")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	g := &gateway{GatewayPlan: p}
	if err := g.start(ctx, dir); err != nil {
		return errors.Wrap(err, "start the gateway")
	}
	defer func() {
		_ = g.cmd.Process.Kill()
		_ = g.cmd.Wait() // It was killed.
	}()
	rest, err := g.resident()
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(p.Output, "at rest: %.1f MB resident\n", rest)
	// The model engines come first, before the daemon unloads models that nobody asks for.
	if err := g.speed(ctx, "stream of 16", "/talk/x", warmModel, g.engine); err != nil {
		return errors.Wrap(err, "streams")
	}
	if err := g.memory(ctx); err != nil {
		return errors.Wrap(err, "memory")
	}
	if err := g.speed(ctx, "short", "/look/x", "", g.plain); err != nil {
		return errors.Wrap(err, "short requests")
	}
	return nil
}

func (g *gateway) start(ctx context.Context, dir string) error {
	store := afplatform.NewStore()
	address, err := listen(store)
	if err != nil {
		return err
	}
	store.PutObject("config", "main", gatewayConfig().Spec())
	for _, e := range []struct {
		at    **afplatform.Endpoint
		model string
		pause time.Duration
	}{{&g.plain, "", 0}, {&g.engine, warmModel, 0}, {&g.still, coldModel, gatewayPatience}} {
		x := &afplatform.Endpoint{ID: "e" + e.model, Service: plainName, Centre: "c", Store: store, StreamEvents: gatewayEvents, ResponseDelay: e.pause}
		if e.model != "" {
			x.Service, x.MemoryMB, x.ModelSizes = engineName, 1, map[string]float64{warmModel: 1, coldModel: 1}
			x.AddModel(e.model)
		}
		if x.Address, err = listen(x); err != nil {
			return err
		}
		x.WriteEntry("ready")
		*e.at = x
	}
	raw, err := afplatform.Settings{
		VM: "vm", IP: gatewayIP, Centre: "c", StoreAddress: address, GracePeriod: gatewayGrace, LeaseDuration: gatewayQuiet, MaxOpenFiles: gatewayFiles,
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
	// The daemon must not outlive a measurement that is killed, since it would keep its ports.
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.cmd.Start(); err != nil {
		return err
	}
	for end := time.Now().Add(gatewayStart); time.Now().Before(end); time.Sleep(gatewayPoll) {
		if g.serves(ctx, "/look/x", "") && g.serves(ctx, "/talk/x", warmModel) {
			return nil
		}
	}
	_ = g.cmd.Process.Kill()
	return errors.Errorf("it does not serve after %s; another process may have the ports of %s", gatewayStart, gatewayIP)
}

func gatewayConfig() afplatform.Config {
	c := afplatform.Config{
		Version: 1, PlainService: plainName, EngineService: engineName, ModelSizes: map[string]float64{warmModel: 1, coldModel: 1}, EngineMemoryMB: 1,
		EngineSlots: benchConns,
		Customers:   []afplatform.Customer{{Name: "bench", APIKeys: []string{benchKey}, TokensPerSecond: 1 << 30, BurstTokens: 1 << 30, PlainRequestTokens: 1}},
	}
	for _, r := range []struct{ name, kind, service string }{{"look", "safe", plainName}, {"talk", "streaming", engineName}} {
		c.Routes = append(c.Routes, afplatform.Route{
			Name: r.name, Host: gatewayHost, PathPrefix: "/" + r.name + "/", Kind: r.kind, Service: r.service, MaxAttempts: 1, Timeout: gatewayPatience,
		})
	}
	return c
}

// listen serves on a loopback port until the process ends.
func listen(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: headTimeout}
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

// request makes a request to the gateway, or to an endpoint without the gateway in between.
func (g *gateway) request(ctx context.Context, path, model string, direct *afplatform.Endpoint) (*http.Request, error) {
	address := gatewayIP + afplatform.CallersPort
	if direct != nil {
		address = direct.Address
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, err
	}
	r.Host = gatewayHost
	id := "b" + strconv.FormatInt(g.ids.Add(1), 10)
	afplatform.RequestHeaders{RequestID: id, APIKey: benchKey, Model: model, Timeout: gatewayPatience, PromptTokens: 1, OutputTokens: 1}.SetOn(r.Header)
	if direct != nil {
		direct.SetDirectHeaders(r.Header)
	}
	return r, nil
}

// client sends such requests.
func (g *gateway) client(path, model string, direct *afplatform.Endpoint) *client {
	return newClient(func(ctx context.Context) (*http.Request, error) { return g.request(ctx, path, model, direct) })
}

func (g *gateway) serves(ctx context.Context, path, model string) bool {
	c := g.client(path, model, nil)
	defer c.transport.CloseIdleConnections()
	_, _, err := c.call(ctx)
	return err == nil
}

// speed prints the processor time of a request, and how long it takes beside a direct call.
func (g *gateway) speed(ctx context.Context, name, path, model string, e *afplatform.Endpoint) error {
	direct, _, err := g.client(path, model, e).closed(ctx, gatewayCallers, g.SpeedDuration)
	if err != nil {
		return err
	}
	before, err := g.processor()
	if err != nil {
		return err
	}
	through, _, err := g.client(path, model, nil).closed(ctx, gatewayCallers, g.SpeedDuration)
	if err != nil {
		return err
	}
	after, err := g.processor()
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(g.Output, "%s: %.0f us of processor each at %d callers; median %.3f ms (%.3f ms direct), p99 %.3f ms (%.3f ms direct)\n",
		name, float64((after-before).Microseconds())/float64(through.WholeAnswer.TotalCount()), gatewayCallers,
		float64(through.WholeAnswer.ValueAtQuantile(50))/1000, float64(direct.WholeAnswer.ValueAtQuantile(50))/1000,
		float64(through.WholeAnswer.ValueAtQuantile(99))/1000, float64(direct.WholeAnswer.ValueAtQuantile(99))/1000)
	return nil
}

// memory opens streams that stay open and prints the memory that they need.
func (g *gateway) memory(ctx context.Context) error {
	before, err := g.resident()
	if err != nil {
		return err
	}
	tr := &http.Transport{DisableKeepAlives: true}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for i := range g.OpenStreams {
		r, err := g.request(ctx, "/talk/x", coldModel, nil)
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
	after, err := g.resident()
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(g.Output, "%d open streams: %.1f MB resident, %.1f KB each (%.1f MB before them)\n", g.OpenStreams, after,
		(after-before)*1024/float64(g.OpenStreams), before)
	return nil
}

// resident returns the resident memory of the daemon in MB.
func (g *gateway) resident() (float64, error) {
	n, err := resident(strconv.Itoa(g.cmd.Process.Pid))
	return float64(n) / (1 << 20), err
}

// ticksPerSecond is the unit of the kernel's processor times, which Linux fixes for programs.
const ticksPerSecond = 100

// processor returns the processor time that the daemon has used.
func (g *gateway) processor() (time.Duration, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", g.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	// The fields after the name, which may contain spaces, begin with the state; the times are the 12th and 13th.
	f := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')')+1:]))
	if len(f) < 13 {
		return 0, errors.New("the kernel does not tell the processor time")
	}
	user, err := strconv.ParseInt(f[11], 10, 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseInt(f[12], 10, 64)
	return time.Duration(user+system) * time.Second / ticksPerSecond, err
}
