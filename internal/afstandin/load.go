package afstandin

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Checkpoint is what the weight store says about a model.
type Checkpoint struct {
	// MemoryMB is in MB; RemoteLoadMillis, DiskLoadMillis and HostLoadMillis are load times in milliseconds by where the checkpoint is.
	MemoryMB         int64 `json:"memory"`
	RemoteLoadMillis int64 `json:"remote"`
	DiskLoadMillis   int64 `json:"disk"`
	HostLoadMillis   int64 `json:"host"`
}

const (
	stateLoading   = "loading"
	stateLoaded    = "loaded"
	stateUnloading = "unloading"
	tierMemory     = "memory"
	tierDisk       = "disk"
)

type engineModel struct {
	state  string
	memory int64
	// done is closed when the change of state ends.
	done chan struct{}
}

// AddLoadedModel puts the model into the loaded state at once, as if it had been there when the engine started.
func (e *Engine) AddLoadedModel(name string) {
	e.init()
	e.mu.Lock()
	defer e.mu.Unlock()
	done := make(chan struct{})
	close(done)
	e.models[name] = &engineModel{state: stateLoaded, memory: e.Checkpoints[name].MemoryMB, done: done}
	e.account()
}

func (e *Engine) isLoaded(name string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	m := e.models[name]
	return m != nil && m.state == stateLoaded
}

// account raises the high-water marks. It is called with the lock held.
func (e *Engine) account() (used int64) {
	for _, m := range e.models {
		used += m.memory
	}
	e.counts.PeakMemoryMB = max(e.counts.PeakMemoryMB, used)
	e.counts.PeakReplicas = max(e.counts.PeakReplicas, len(e.models))
	return used
}

func (e *Engine) states() []statusModel {
	out := make([]statusModel, 0, len(e.models))
	for _, name := range slices.Sorted(maps.Keys(e.models)) {
		out = append(out, statusModel{Name: name, State: e.models[name].state, Memory: e.models[name].memory})
	}
	return out
}

// order is what load and unload orders carry besides the model.
type order struct {
	Fence int64 `json:"fence,string"`
	Order int64 `json:"order,string"`
}

// admit checks the order's fencing number. It reports false after it has refused the order.
func (e *Engine) admit(w http.ResponseWriter, o order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.EnforcesFence && o.Fence < e.fence {
		e.counts.RefusedOrders++
		replyError(w, http.StatusConflict, "fenced", "the fencing number is old")
		return false
	}
	e.fence = max(e.fence, o.Fence)
	return true
}

// repository serves load and unload. Model names may hold a colon but no slash.
func (e *Engine) repository(w http.ResponseWriter, r *http.Request) {
	name, verb, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v2/repository/models/"), "/")
	var body struct {
		Parameters order `json:"parameters"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		replyError(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	if verb != "load" && verb != "unload" {
		replyError(w, http.StatusNotFound, "not_found", "unknown verb")
		return
	}
	e.carryOut(w, r, name, body.Parameters, verb == "load")
}

// adapter serves the load and unload of adapters.
func (e *Engine) adapter(load bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var body struct {
			Name string `json:"lora_name"`
			Path string `json:"lora_path"`
			order
		}
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			replyError(w, http.StatusBadRequest, "bad_request", err.Error())
			return
		}
		e.carryOut(w, r, body.Name, body.order, load)
	}
}

func (e *Engine) carryOut(w http.ResponseWriter, r *http.Request, name string, o order, load bool) {
	faults := e.faults.get()
	if !e.faults.hear(r) {
		return
	}
	if faults.IsDown {
		hangUp(w)
		return
	}
	if !wait(r, time.Duration(faults.DelayMillis)*time.Millisecond) || !e.admit(w, o) {
		return
	}
	// A load goes on when the sender of the order is gone.
	ctx := context.WithoutCancel(r.Context())
	var err error
	if load {
		err = e.load(ctx, name)
	} else {
		err = e.unload(name)
	}
	if err != nil {
		replyError(w, http.StatusBadGateway, "load_failed", err.Error())
		return
	}
	reply(w, http.StatusOK, map[string]any{"model": name})
}

func (e *Engine) load(ctx context.Context, name string) error {
	e.mu.Lock()
	for m := e.models[name]; m != nil; m = e.models[name] {
		if m.state == stateLoaded {
			e.mu.Unlock()
			return nil
		}
		e.await(m)
	}
	m := &engineModel{state: stateLoading, done: make(chan struct{})}
	e.models[name] = m
	e.counts.Loads++
	if e.counts.LoadsByModel == nil {
		e.counts.LoadsByModel = make(map[string]int64)
	}
	e.counts.LoadsByModel[name]++
	tier := e.CheckpointTiers[name]
	e.mu.Unlock()
	defer close(m.done)
	c, err := e.checkpoint(ctx, name)
	e.mu.Lock()
	m.memory = c.MemoryMB
	if used := e.account(); e.MemoryMB > 0 && used > e.MemoryMB {
		e.counts.Overcommits++
	}
	e.mu.Unlock()
	if err == nil {
		err = e.transfer(ctx, name, tier, c)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil {
		delete(e.models, name)
		return err
	}
	m.state = stateLoaded
	if e.CheckpointTiers == nil {
		e.CheckpointTiers = make(map[string]string)
	}
	e.CheckpointTiers[name] = tierMemory
	return nil
}

// await waits for the end of the model's change of state. The lock is held before and after.
func (e *Engine) await(m *engineModel) {
	done := m.done
	e.mu.Unlock()
	<-done
	e.mu.Lock()
}

// unloadTime is short against loads: engines free memory without moving data.
const unloadTime = 20 * time.Millisecond

func (e *Engine) unload(name string) error {
	e.mu.Lock()
	m := e.models[name]
	for ; m != nil && m.state != stateLoaded; m = e.models[name] {
		e.await(m)
	}
	if m == nil {
		e.mu.Unlock()
		return nil
	}
	m.state, m.done = stateUnloading, make(chan struct{})
	e.counts.Unloads++
	e.mu.Unlock()
	defer close(m.done)
	t := time.NewTimer(unloadTime)
	defer t.Stop()
	<-t.C
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.models, name)
	return nil
}

func (e *Engine) index(w http.ResponseWriter, _ *http.Request) {
	type entry struct {
		Name  string `json:"name"`
		State string `json:"state"`
	}
	e.mu.Lock()
	out := make([]entry, 0, len(e.models))
	for _, s := range e.states() {
		state := "UNAVAILABLE"
		if s.State == stateLoaded {
			state = "READY"
		}
		out = append(out, entry{Name: s.Name, State: state})
	}
	e.mu.Unlock()
	reply(w, http.StatusOK, out)
}
