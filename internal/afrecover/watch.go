package afrecover

import (
	"context"
	"fmt"
	"time"

	"arbutusfork.example/arbutusfork/pkg/afplacement"
)

const watchInterval = 250 * time.Millisecond

// watch samples the platform's counts and compares what the engines hold with the decided placement.
type watch struct {
	fleet *Deployment

	reads, writes int64
	// kinds are the calls by kind of the second with the most writes.
	kinds map[string]int64
	// undecided names loads that no record shows, each once.
	undecided map[string]bool
	compared  int
}

func (w *watch) run(ctx context.Context) {
	w.undecided = make(map[string]bool)
	tick := time.NewTicker(watchInterval)
	defer tick.Stop()
	for {
		w.sample(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (w *watch) sample(ctx context.Context) {
	var c struct {
		Reads, Writes int64
		Kinds         map[string]int64
	}
	if w.fleet.get(ctx, w.fleet.PlatformURL+"/counts", &c) == nil {
		if c.Writes > w.writes {
			w.kinds = c.Kinds
		}
		w.reads, w.writes = max(w.reads, c.Reads), max(w.writes, c.Writes)
	}
	before, ok := w.decided(ctx)
	if !ok {
		return
	}
	held := w.held(ctx)
	after, ok := w.decided(ctx)
	if !ok {
		return
	}
	w.compared++
	// A load that began or ended between the two reads is in one of them.
	for h := range held {
		if !before[h] && !after[h] {
			w.undecided[h] = true
		}
	}
}

// held returns what the engines hold in any state, as "endpoint model".
func (w *watch) held(ctx context.Context) map[string]bool {
	out := make(map[string]bool)
	for i, engine := range w.fleet.EngineURLs {
		var s struct {
			Models []struct {
				Name string `json:"name"`
			} `json:"models"`
		}
		if w.fleet.get(ctx, engine+"/status", &s) != nil {
			continue
		}
		for _, m := range s.Models {
			out[fmt.Sprintf("%s-%d %s", EngineService, i+1, m.Name)] = true
		}
	}
	return out
}

// decided returns what the committed record assigns or still may load, as "endpoint model". It reports false
// while the platform does not answer.
func (w *watch) decided(ctx context.Context) (map[string]bool, bool) {
	r, err := w.fleet.record(ctx)
	if err != nil {
		return nil, false
	}
	out := make(map[string]bool)
	for _, a := range r.Assignments {
		out[a.Endpoint+" "+a.Model] = true
	}
	for _, o := range r.Orders {
		out[o.Endpoint+" "+o.Model] = true
	}
	return out, true
}

// record returns the shard's committed record.
func (f *Deployment) record(ctx context.Context) (afplacement.Record, error) {
	var o struct {
		Spec afplacement.Record `json:"spec"`
	}
	err := f.get(ctx, f.PlatformURL+"/apis/arbutusfork.example/v1/shards/"+EngineShard, &o)
	return o.Spec, err
}

// engineCounts are the totals over the engines.
type engineCounts struct {
	loads       map[string]int
	requests    []int
	overcommits int
	keys        int
}

func (f *Deployment) counts(ctx context.Context) (engineCounts, error) {
	out := engineCounts{loads: make(map[string]int)}
	for _, engine := range f.EngineURLs {
		var c struct {
			Models      map[string]int `json:"models"`
			Requests    int            `json:"requests"`
			Overcommits int            `json:"overcommits"`
			Keys        int            `json:"keys"`
		}
		if err := f.get(ctx, engine+"/counts", &c); err != nil {
			return out, err
		}
		out.requests = append(out.requests, c.Requests)
		out.overcommits += c.Overcommits
		out.keys += c.Keys
		for name, n := range c.Models {
			out.loads[name] += n
		}
	}
	return out, nil
}

// runs returns how often each payment ran.
func (f *Deployment) runs(ctx context.Context) (map[string]int, error) {
	out := make(map[string]int)
	for _, service := range f.PlainServiceURLs {
		var runs map[string]int
		if err := f.get(ctx, service+"/runs", &runs); err != nil {
			return nil, err
		}
		for id, n := range runs {
			out[id] += n
		}
	}
	return out, nil
}
