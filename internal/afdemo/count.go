package afdemo

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const runningPollInterval = 10 * time.Millisecond

type engineCounts struct {
	Models            map[string]int `json:"models"`
	MemoryOvercommits int            `json:"overcommits"`
	RequestsWithKey   int            `json:"keys"`
}

type engineStatus struct {
	RunningRequests int `json:"running"`
}

// fetchJSON decodes the answer of a stand-in to a GET request.
func (d *Demo) fetchJSON(ctx context.Context, target string, v any) error {
	return JSONClient{HTTPClient: d.HTTPClient}.SendRequest(ctx, http.MethodGet, target, nil, v)
}

// countLoads returns the number of loads of the model at all engines. It returns an error if an engine had its memory
// overcommitted or received the API key of a caller.
func (d *Demo) countLoads(ctx context.Context, model string) (int, error) {
	n := 0
	for _, engine := range d.EngineURLs {
		var counts engineCounts
		if err := d.fetchJSON(ctx, engine+"/counts", &counts); err != nil {
			return 0, err
		}
		if counts.MemoryOvercommits > 0 {
			return 0, fmt.Errorf("engine %s had its memory overcommitted %d times", engine, counts.MemoryOvercommits)
		}
		if counts.RequestsWithKey > 0 {
			return 0, fmt.Errorf("engine %s received %d requests with a caller's key", engine, counts.RequestsWithKey)
		}
		n += counts.Models[model]
	}
	return n, nil
}

// countRuns returns the number of executions of the call with the id at all plain services.
func (d *Demo) countRuns(ctx context.Context, id string) (int, error) {
	n := 0
	for _, service := range d.PlainServiceURLs {
		var runs map[string]int
		if err := d.fetchJSON(ctx, service+"/runs", &runs); err != nil {
			return 0, err
		}
		n += runs[id]
	}
	return n, nil
}

// waitForRunningRequest waits until an engine runs a request or ctx ends.
func (d *Demo) waitForRunningRequest(ctx context.Context) error {
	tick := time.NewTicker(runningPollInterval)
	defer tick.Stop()
	for {
		for _, engine := range d.EngineURLs {
			var status engineStatus
			if err := d.fetchJSON(ctx, engine+"/status", &status); err != nil {
				return err
			}
			if status.RunningRequests > 0 {
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
