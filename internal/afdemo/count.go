package afdemo

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const runningPoll = 10 * time.Millisecond

type engineCounts struct {
	Models      map[string]int `json:"models"`
	Overcommits int            `json:"overcommits"`
	Keys        int            `json:"keys"`
}

type engineStatus struct {
	Running int `json:"running"`
}

// get asks a stand-in.
func (d *Demo) get(ctx context.Context, target string, v any) error {
	return JSONClient{HTTPClient: d.HTTPClient}.SendRequest(ctx, http.MethodGet, target, nil, v)
}

// loads returns how often the engines have loaded the model.
func (d *Demo) loads(ctx context.Context, model string) (int, error) {
	n := 0
	for _, engine := range d.EngineURLs {
		var counts engineCounts
		if err := d.get(ctx, engine+"/counts", &counts); err != nil {
			return 0, err
		}
		if counts.Overcommits > 0 {
			return 0, fmt.Errorf("engine %s had its memory overcommitted %d times", engine, counts.Overcommits)
		}
		if counts.Keys > 0 {
			return 0, fmt.Errorf("engine %s saw %d requests with a caller's key", engine, counts.Keys)
		}
		n += counts.Models[model]
	}
	return n, nil
}

// runs returns how often the plain services have run the call with that id.
func (d *Demo) runs(ctx context.Context, id string) (int, error) {
	n := 0
	for _, service := range d.PlainServiceURLs {
		var runs map[string]int
		if err := d.get(ctx, service+"/runs", &runs); err != nil {
			return 0, err
		}
		n += runs[id]
	}
	return n, nil
}

// waitRunning returns once an engine runs a request.
func (d *Demo) waitRunning(ctx context.Context) error {
	tick := time.NewTicker(runningPoll)
	defer tick.Stop()
	for {
		for _, engine := range d.EngineURLs {
			var status engineStatus
			if err := d.get(ctx, engine+"/status", &status); err != nil {
				return err
			}
			if status.Running > 0 {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}
