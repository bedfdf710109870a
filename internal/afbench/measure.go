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

// Plan says how much EntryBench measures.
type Plan struct {
	// Speed and Memory are the running processes under measurement. The engines run in this process, at the addresses
	// that the two were started with.
	Speed  Entry
	Memory Entry
	// Length is the time of each measurement of speed.
	Length time.Duration
	// Waiting and Streams are the numbers of waiting requests and open streams.
	Waiting int
	Streams int
	// Rounds is how often both are repeated to show growth.
	Rounds int
	// Procs is the value of GOMAXPROCS of the process under measurement.
	Procs int
	Out   io.Writer
}

// EntryBench measures the callers' interface against an engine stand-in in this process. Each figure is printed
// with a direct call of the engine beside it.
func EntryBench(ctx context.Context, p Plan) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	engine := &afstandin.Engine{Address: p.Speed.Engine, Slots: benchConns}
	// The streams of the memory measurement stay open after their first token.
	still := &afstandin.Engine{Address: p.Memory.Engine, Slots: benchConns, TokenInterval: time.Hour}
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

func (p Plan) measure(ctx context.Context) error {
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
	Entry
}

// await returns the process once it answers.
func await(e Entry) (*process, error) {
	x := &process{Entry: e}
	for range 100 {
		if _, err := x.stats(); err == nil {
			if c, err := net.Dial("tcp", e.Address); err == nil {
				return x, c.Close()
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil, errors.New("the process under measurement does not answer at " + e.Stats)
}

func (x *process) stats() (EntryStats, error) {
	var s EntryStats
	resp, err := http.Get("http://" + x.Stats)
	if err != nil {
		return s, err
	}
	defer func() { _ = resp.Body.Close() }()
	return s, json.NewDecoder(resp.Body).Decode(&s)
}

// speed prints requests per second, the processor time of each, and the added time without load and at half load.
func (p Plan) speed(ctx context.Context) error {
	x, err := await(p.Speed)
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
		direct, through := newClient(chat(x.Engine, kind.body)), newClient(chat(x.Address, kind.body))
		before, err := x.stats()
		if err != nil {
			return err
		}
		_, rate, err := through.closed(ctx, conns, p.Length)
		if err != nil {
			return err
		}
		after, err := x.stats()
		if err != nil {
			return err
		}
		each := float64((after.Processor - before.Processor).Microseconds()) / (rate * p.Length.Seconds())
		_, _ = fmt.Fprintf(p.Out, "%-6s GOMAXPROCS=%d: %.0f requests/s, %.0f us of processor each, which is %.0f/s for a whole core\n",
			kind.name, p.Procs, rate, each, 1e6/each)
		for _, load := range []struct {
			name string
			rate float64
		}{{"unloaded", unloaded}, {"half load", rate / 2}} {
			d, err := direct.open(ctx, load.rate, p.Length)
			if err != nil {
				return err
			}
			t, err := through.open(ctx, load.rate, p.Length)
			if err != nil {
				return err
			}
			p.added(kind.name, load.name, load.rate, "first byte", d.First, t.First)
			p.added(kind.name, load.name, load.rate, "whole", d.Whole, t.Whole)
		}
	}
	return nil
}

func (p Plan) added(kind, load string, rate float64, what string, direct, through *hdrhistogram.Histogram) {
	line := fmt.Sprintf("%-6s %s (%.0f/s), %s:", kind, load, rate, what)
	for _, q := range []struct {
		name  string
		value float64
	}{{"median", 50}, {"p99", 99}} {
		a, b := direct.ValueAtQuantile(q.value), through.ValueAtQuantile(q.value)
		line += fmt.Sprintf(" %s +%.3f ms (%.3f direct, %.3f through)", q.name, float64(b-a)/1000, float64(a)/1000, float64(b)/1000)
	}
	_, _ = fmt.Fprintln(p.Out, line)
}

// memory prints the memory of waiting requests and open streams, and what is left after each round.
func (p Plan) memory(context.Context) error {
	x, err := await(p.Memory)
	if err != nil {
		return err
	}
	base, err := x.stats()
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(p.Out, "idle: %s\n", base)
	for round := 1; round <= p.Rounds; round++ {
		for _, kind := range []struct {
			name  string
			body  string
			n     int
			begun bool
		}{
			{"waiting requests", chatBody(coldModel, 16, false), p.Waiting, false},
			{"open streams", chatBody(warmModel, 16, true), p.Streams, true},
		} {
			conns, err := hold(x.Address, kind.body, kind.n, kind.begun)
			if err != nil {
				closeAll(conns)
				return err
			}
			s, err := x.settled(func(s EntryStats) bool { return s.Goroutines >= base.Goroutines+kind.n })
			closeAll(conns)
			if err != nil {
				return err
			}
			_, _ = fmt.Fprintf(p.Out, "round %d, %d %s: %s, %.1f KB each\n", round, kind.n, kind.name, s,
				float64(s.Resident-base.Resident)/float64(kind.n)/1024)
			if _, err := x.settled(func(s EntryStats) bool { return s.Goroutines <= base.Goroutines+8 }); err != nil {
				return err
			}
		}
		s, err := x.stats()
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(p.Out, "after round %d: %s\n", round, s)
	}
	return nil
}

// settled returns the statistics as soon as they pass the test.
func (x *process) settled(test func(EntryStats) bool) (EntryStats, error) {
	for range 200 {
		s, err := x.stats()
		if err != nil || test(s) {
			return s, err
		}
		time.Sleep(50 * time.Millisecond)
	}
	return EntryStats{}, errors.New("the process under measurement does not settle")
}

// String returns the figures in MB.
func (s EntryStats) String() string {
	const mb = 1 << 20
	return fmt.Sprintf("%.1f MB resident, %.1f MB live, %d goroutines", float64(s.Resident)/mb, float64(s.Live)/mb, s.Goroutines)
}
