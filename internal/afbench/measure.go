package afbench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"

	"arbutusfork.example/arbutusfork/internal/afstandin"
)

// EntryPlan configures MeasureEntry.
type EntryPlan struct {
	// SpeedProcess is the running process whose speed is measured. Its engine runs in the measuring process, at the
	// address with which the measured process was started.
	SpeedProcess EntryProcess
	// MemoryProcess is the running process whose memory is measured. Its engine runs in the measuring process too.
	MemoryProcess EntryProcess
	// SpeedDuration is the duration of each measurement of speed.
	SpeedDuration time.Duration
	// WaitingRequests is the number of requests that wait at once while memory is measured.
	WaitingRequests int
	// OpenStreams is the number of streams that are open at once while memory is measured.
	OpenStreams int
	// MemoryRounds is the number of rounds of waiting requests and open streams. Several rounds show growth of memory.
	MemoryRounds int
	// MaxProcs is the value of GOMAXPROCS with which the measured processes were started.
	MaxProcs int
	Output   io.Writer
}

// MeasureEntry measures the callers' interface with stand-ins of engines in this process. It prints each latency
// together with that of direct calls of the engine.
func MeasureEntry(ctx context.Context, p EntryPlan) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	engine := &afstandin.Engine{Address: p.SpeedProcess.EngineAddress, Slots: maxBenchConns}
	// The streams of the memory measurement stay open after their first token.
	stalledEngine := &afstandin.Engine{Address: p.MemoryProcess.EngineAddress, Slots: maxBenchConns, TokenInterval: time.Hour}
	engineErrs := make(chan error, 2)
	for _, e := range []*afstandin.Engine{engine, stalledEngine} {
		e.AddLoadedModel(warmModel)
		go func() { engineErrs <- e.Run(ctx) }()
	}
	if err := p.runMeasurements(ctx); err != nil {
		return err
	}
	select {
	case err := <-engineErrs:
		return err
	default:
		return nil
	}
}

// runMeasurements measures speed and then memory.
func (p EntryPlan) runMeasurements(ctx context.Context) error {
	if err := p.measureSpeed(ctx); err != nil {
		return errors.Wrap(err, "speed")
	}
	if err := p.measureMemory(ctx); err != nil {
		return errors.Wrap(err, "memory")
	}
	return nil
}

// process is a running process under measurement that has answered.
type process struct {
	EntryProcess
}

// awaitProcess waits until the process answers at both of its addresses.
func awaitProcess(e EntryProcess) (*process, error) {
	x := &process{EntryProcess: e}
	for range 100 {
		if _, err := x.fetchStats(); err == nil {
			if c, err := net.Dial("tcp", e.CallersAddress); err == nil {
				return x, c.Close()
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil, errors.New("wait for the process under measurement: no answer at " + e.StatsAddress)
}

func (x *process) fetchStats() (ProcessStats, error) {
	var s ProcessStats
	resp, err := http.Get("http://" + x.StatsAddress)
	if err != nil {
		return s, err
	}
	defer func() { _ = resp.Body.Close() }()
	return s, json.NewDecoder(resp.Body).Decode(&s)
}

// measureSpeed prints the requests per second, the processor time of each request, and the latency that the process adds
// to a direct call, without load and at half load.
func (p EntryPlan) measureSpeed(ctx context.Context) error {
	x, err := awaitProcess(p.SpeedProcess)
	if err != nil {
		return err
	}
	const conns, unloaded, streamTokens = 64, 100, 16
	for _, kind := range []struct {
		name string
		body string
	}{
		{"short", formatChatBody(warmModel, 1, false)},
		{"stream", formatChatBody(warmModel, streamTokens, true)},
	} {
		direct, through := newClient(newChatRequest(x.EngineAddress, kind.body)), newClient(newChatRequest(x.CallersAddress, kind.body))
		before, err := x.fetchStats()
		if err != nil {
			return err
		}
		_, rate, err := through.runClosedLoop(ctx, conns, p.SpeedDuration)
		if err != nil {
			return err
		}
		after, err := x.fetchStats()
		if err != nil {
			return err
		}
		cpuMicrosPerRequest := float64((after.CPUTime - before.CPUTime).Microseconds()) / (rate * p.SpeedDuration.Seconds())
		_, _ = fmt.Fprintf(p.Output, "%-6s GOMAXPROCS=%d: %.0f requests/s, %.0f us of processor each, which is %.0f/s for a whole core\n",
			kind.name, p.MaxProcs, rate, cpuMicrosPerRequest, 1e6/cpuMicrosPerRequest)
		for _, load := range []struct {
			name string
			rate float64
		}{{"unloaded", unloaded}, {"half load", rate / 2}} {
			d, err := direct.runOpenLoop(ctx, load.rate, p.SpeedDuration)
			if err != nil {
				return err
			}
			t, err := through.runOpenLoop(ctx, load.rate, p.SpeedDuration)
			if err != nil {
				return err
			}
			p.printAddedLatency(kind.name, load.name, load.rate, "first byte", d.FirstByte, t.FirstByte)
			p.printAddedLatency(kind.name, load.name, load.rate, "whole", d.WholeAnswer, t.WholeAnswer)
		}
	}
	return nil
}

// printAddedLatency prints by how much the latency through the process exceeds that of direct calls.
func (p EntryPlan) printAddedLatency(kind, load string, rate float64, what string, direct, through *hdrhistogram.Histogram) {
	line := fmt.Sprintf("%-6s %s (%.0f/s), %s:", kind, load, rate, what)
	for _, q := range []struct {
		name  string
		value float64
	}{{"median", 50}, {"p99", 99}} {
		a, b := direct.ValueAtQuantile(q.value), through.ValueAtQuantile(q.value)
		line += fmt.Sprintf(" %s +%.3f ms (%.3f direct, %.3f through)", q.name, float64(b-a)/1000, float64(a)/1000, float64(b)/1000)
	}
	_, _ = fmt.Fprintln(p.Output, line)
}

// measureMemory prints the memory of waiting requests and open streams, and the memory still in use after each round.
func (p EntryPlan) measureMemory(context.Context) error {
	x, err := awaitProcess(p.MemoryProcess)
	if err != nil {
		return err
	}
	base, err := x.fetchStats()
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(p.Output, "idle: %s\n", base)
	for round := 1; round <= p.MemoryRounds; round++ {
		for _, kind := range []struct {
			name          string
			body          string
			n             int
			waitFirstByte bool
		}{
			{"waiting requests", formatChatBody(coldModel, 16, false), p.WaitingRequests, false},
			{"open streams", formatChatBody(warmModel, 16, true), p.OpenStreams, true},
		} {
			conns, err := openRequests(x.CallersAddress, kind.body, kind.n, kind.waitFirstByte)
			if err != nil {
				closeConns(conns)
				return err
			}
			s, err := x.awaitStats(func(s ProcessStats) bool { return s.Goroutines >= base.Goroutines+kind.n })
			closeConns(conns)
			if err != nil {
				return err
			}
			_, _ = fmt.Fprintf(p.Output, "round %d, %d %s: %s, %.1f KB each\n", round, kind.n, kind.name, s,
				float64(s.ResidentBytes-base.ResidentBytes)/float64(kind.n)/1024)
			if _, err := x.awaitStats(func(s ProcessStats) bool { return s.Goroutines <= base.Goroutines+8 }); err != nil {
				return err
			}
		}
		s, err := x.fetchStats()
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(p.Output, "after round %d: %s\n", round, s)
	}
	return nil
}

// awaitStats polls the statistics until isSettled returns true for them.
func (x *process) awaitStats(isSettled func(ProcessStats) bool) (ProcessStats, error) {
	for range 200 {
		s, err := x.fetchStats()
		if err != nil || isSettled(s) {
			return s, err
		}
		time.Sleep(50 * time.Millisecond)
	}
	return ProcessStats{}, errors.New("wait for the process under measurement: goroutine count does not settle")
}

// String formats the memory in MB and the number of goroutines.
func (s ProcessStats) String() string {
	const mb = 1 << 20
	return fmt.Sprintf("%.1f MB resident, %.1f MB live, %d goroutines", float64(s.ResidentBytes)/mb, float64(s.LiveBytes)/mb, s.Goroutines)
}
