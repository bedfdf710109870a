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

// EntryPlan says how much EntryBench measures.
type EntryPlan struct {
	// SpeedProcess and Memory are the running processes under measurement. The engines run in this process, at the addresses
	// that the two were started with.
	SpeedProcess  EntryProcess
	MemoryProcess EntryProcess
	// SpeedDuration is the time of each measurement of speed.
	SpeedDuration time.Duration
	// WaitingRequests and Streams are the numbers of waiting requests and open streams.
	WaitingRequests int
	OpenStreams     int
	// MemoryRounds is how often both are repeated to show growth.
	MemoryRounds int
	// MaxProcs is the value of GOMAXPROCS of the process under measurement.
	MaxProcs int
	Output   io.Writer
}

// MeasureEntry measures the callers' interface against an engine stand-in in this process. Each figure is printed
// with a direct call of the engine beside it.
func MeasureEntry(ctx context.Context, p EntryPlan) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	engine := &afstandin.Engine{Address: p.SpeedProcess.EngineAddress, Slots: benchConns}
	// The streams of the memory measurement stay open after their first token.
	still := &afstandin.Engine{Address: p.MemoryProcess.EngineAddress, Slots: benchConns, TokenInterval: time.Hour}
	failed := make(chan error, 2)
	for _, e := range []*afstandin.Engine{engine, still} {
		e.AddLoadedModel(warmModel)
		go func() { failed <- e.Run(ctx) }()
	}
	if err := p.measure(ctx); err != nil {
		return err
	}
	select {
	case err := <-failed:
		return err
	default:
		return nil
	}
}

func (p EntryPlan) measure(ctx context.Context) error {
	if err := p.speed(ctx); err != nil {
		return errors.Wrap(err, "speed")
	}
	if err := p.memory(ctx); err != nil {
		return errors.Wrap(err, "memory")
	}
	return nil
}

// process is a running process under measurement.
type process struct {
	EntryProcess
}

// await returns the process once it answers.
func await(e EntryProcess) (*process, error) {
	x := &process{EntryProcess: e}
	for range 100 {
		if _, err := x.stats(); err == nil {
			if c, err := net.Dial("tcp", e.CallersAddress); err == nil {
				return x, c.Close()
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil, errors.New("the process under measurement does not answer at " + e.StatsAddress)
}

func (x *process) stats() (ProcessStats, error) {
	var s ProcessStats
	resp, err := http.Get("http://" + x.StatsAddress)
	if err != nil {
		return s, err
	}
	defer func() { _ = resp.Body.Close() }()
	return s, json.NewDecoder(resp.Body).Decode(&s)
}

// speed prints requests per second, the processor time of each, and the added time without load and at half load.
func (p EntryPlan) speed(ctx context.Context) error {
	x, err := await(p.SpeedProcess)
	if err != nil {
		return err
	}
	const conns, unloaded, streamTokens = 64, 100, 16
	for _, kind := range []struct {
		name string
		body string
	}{
		{"short", chatBody(warmModel, 1, false)},
		{"stream", chatBody(warmModel, streamTokens, true)},
	} {
		direct, through := newClient(chat(x.EngineAddress, kind.body)), newClient(chat(x.CallersAddress, kind.body))
		before, err := x.stats()
		if err != nil {
			return err
		}
		_, rate, err := through.closed(ctx, conns, p.SpeedDuration)
		if err != nil {
			return err
		}
		after, err := x.stats()
		if err != nil {
			return err
		}
		each := float64((after.CPUTime - before.CPUTime).Microseconds()) / (rate * p.SpeedDuration.Seconds())
		_, _ = fmt.Fprintf(p.Output, "%-6s GOMAXPROCS=%d: %.0f requests/s, %.0f us of processor each, which is %.0f/s for a whole core\n",
			kind.name, p.MaxProcs, rate, each, 1e6/each)
		for _, load := range []struct {
			name string
			rate float64
		}{{"unloaded", unloaded}, {"half load", rate / 2}} {
			d, err := direct.open(ctx, load.rate, p.SpeedDuration)
			if err != nil {
				return err
			}
			t, err := through.open(ctx, load.rate, p.SpeedDuration)
			if err != nil {
				return err
			}
			p.added(kind.name, load.name, load.rate, "first byte", d.FirstByte, t.FirstByte)
			p.added(kind.name, load.name, load.rate, "whole", d.WholeAnswer, t.WholeAnswer)
		}
	}
	return nil
}

func (p EntryPlan) added(kind, load string, rate float64, what string, direct, through *hdrhistogram.Histogram) {
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

// memory prints the memory of waiting requests and open streams, and what is left after each round.
func (p EntryPlan) memory(context.Context) error {
	x, err := await(p.MemoryProcess)
	if err != nil {
		return err
	}
	base, err := x.stats()
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(p.Output, "idle: %s\n", base)
	for round := 1; round <= p.MemoryRounds; round++ {
		for _, kind := range []struct {
			name  string
			body  string
			n     int
			begun bool
		}{
			{"waiting requests", chatBody(coldModel, 16, false), p.WaitingRequests, false},
			{"open streams", chatBody(warmModel, 16, true), p.OpenStreams, true},
		} {
			conns, err := hold(x.CallersAddress, kind.body, kind.n, kind.begun)
			if err != nil {
				closeAll(conns)
				return err
			}
			s, err := x.settled(func(s ProcessStats) bool { return s.Goroutines >= base.Goroutines+kind.n })
			closeAll(conns)
			if err != nil {
				return err
			}
			_, _ = fmt.Fprintf(p.Output, "round %d, %d %s: %s, %.1f KB each\n", round, kind.n, kind.name, s,
				float64(s.ResidentBytes-base.ResidentBytes)/float64(kind.n)/1024)
			if _, err := x.settled(func(s ProcessStats) bool { return s.Goroutines <= base.Goroutines+8 }); err != nil {
				return err
			}
		}
		s, err := x.stats()
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(p.Output, "after round %d: %s\n", round, s)
	}
	return nil
}

// settled returns the statistics as soon as they pass the test.
func (x *process) settled(test func(ProcessStats) bool) (ProcessStats, error) {
	for range 200 {
		s, err := x.stats()
		if err != nil || test(s) {
			return s, err
		}
		time.Sleep(50 * time.Millisecond)
	}
	return ProcessStats{}, errors.New("the process under measurement does not settle")
}

// String returns the figures in MB.
func (s ProcessStats) String() string {
	const mb = 1 << 20
	return fmt.Sprintf("%.1f MB resident, %.1f MB live, %d goroutines", float64(s.ResidentBytes)/mb, float64(s.LiveBytes)/mb, s.Goroutines)
}
