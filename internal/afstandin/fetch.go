package afstandin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// fetchRetry is the delay after the weight store refused a fetch because of its rate.
const fetchRetry = 200 * time.Millisecond

// checkpoint returns memory and load times from the engine's settings or from the weight store.
func (e *Engine) checkpoint(ctx context.Context, name string) (Checkpoint, error) {
	if c, ok := e.Checkpoints[name]; ok {
		return c, nil
	}
	if e.WeightStoreAddress == "" {
		return Checkpoint{}, nil
	}
	var c Checkpoint
	status, err := storeCall(ctx, http.MethodGet, "http://"+e.WeightStoreAddress+"/checkpoints/"+name, &c)
	if err == nil && status != http.StatusOK {
		err = errors.Errorf("weight store answered %d", status)
	}
	return c, err
}

// transfer takes as long as the checkpoint's way into the accelerator's memory.
func (e *Engine) transfer(ctx context.Context, name, tier string, c Checkpoint) error {
	switch {
	case tier == tierMemory:
		return pause(ctx, c.HostLoadMillis)
	case tier == tierDisk:
		return pause(ctx, c.DiskLoadMillis)
	case e.WeightStoreAddress == "":
		return pause(ctx, c.RemoteLoadMillis)
	}
	for {
		status, err := storeCall(ctx, http.MethodPost, "http://"+e.WeightStoreAddress+"/checkpoints/"+name+"/fetch", nil)
		switch {
		case err != nil:
			return err
		case status == http.StatusOK:
			return nil
		case status != http.StatusTooManyRequests:
			return errors.Errorf("weight store answered %d", status)
		}
		if err := pause(ctx, fetchRetry.Milliseconds()); err != nil {
			return err
		}
	}
}

func storeCall(ctx context.Context, method, url string, v any) (int, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return 0, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	if v == nil || resp.StatusCode != http.StatusOK {
		_, err = io.Copy(io.Discard, resp.Body)
		return resp.StatusCode, err
	}
	return resp.StatusCode, json.NewDecoder(resp.Body).Decode(v)
}

func pause(ctx context.Context, milliseconds int64) error {
	t := time.NewTimer(time.Duration(milliseconds) * time.Millisecond)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
