package afstandin

import (
	"context"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Engine is a stand-in for a model engine. Its fields are set before Run.
type Engine struct {
	// Address is where Run listens. Listener takes its place if it is set.
	Address  string
	Listener net.Listener
	// MemoryMB is the accelerator memory in MB. Zero means unlimited.
	MemoryMB int64
	// Slots bounds the requests that run at once. Zero means 8.
	Slots int
	// EnforcesFence makes the engine refuse orders with an old fencing number.
	EnforcesFence bool
	// CheckpointTiers says where checkpoints are kept: "memory" or "disk" by model. Others are fetched.
	CheckpointTiers map[string]string
	// Checkpoints holds memory and load times by model. Others are asked for at the weight store.
	Checkpoints map[string]Checkpoint
	// WeightStoreAddress is the weight store's address. Empty means that remote loads take Checkpoint.RemoteLoadMillis.
	WeightStoreAddress string
	// FirstTokenDelay and TokenInterval are the times to the first token and between tokens.
	FirstTokenDelay time.Duration
	TokenInterval   time.Duration
	// SupportsResume makes the engine offer to resume streams.
	SupportsResume bool
	// OnRequestEnd is called when a request ends. Cancelled tells that its caller hung up. It may be nil.
	OnRequestEnd func(cancelled bool)

	faults faultSet
	once   sync.Once
	slots  chan struct{}

	mu      sync.Mutex
	models  map[string]*engineModel
	fence   int64
	running int
	waiting int
	counts  EngineCounts
}

// EngineCounts is the answer of GET /counts.
type EngineCounts struct {
	Loads int64 `json:"loads"`
	// LoadsByModel counts the loads by model.
	LoadsByModel  map[string]int64 `json:"models"`
	Unloads       int64            `json:"unloads"`
	RefusedOrders int64            `json:"refused"`
	Requests      int64            `json:"requests"`
	// PeakMemoryMB and PeakReplicas are high-water marks in MB and models.
	PeakMemoryMB int64 `json:"memory"`
	PeakReplicas int   `json:"replicas"`
	// Overcommits is the number of loads that went beyond the memory.
	Overcommits int64 `json:"overcommits"`
	// CancelledRequests is the number of requests whose caller hung up.
	CancelledRequests int64 `json:"cancelled"`
	// RequestsWhileLeaving is the number of requests that came while the engine was leaving.
	RequestsWhileLeaving int64 `json:"left"`
	// RequestsWithKey is the number of requests that carried a caller's key, which must stay zero.
	RequestsWithKey int64 `json:"keys"`
}

const defaultSlots = 8

// Run serves until ctx ends.
func (e *Engine) Run(ctx context.Context) error {
	l, err := listen(e.Listener, e.Address)
	if err != nil {
		return err
	}
	return serveHTTP(ctx, l, e.Handler(), e.faults.connect)
}

// SetFaults switches the faults.
func (e *Engine) SetFaults(f EndpointFaults) { e.faults.set(f) }

// Counts returns what the engine has counted.
func (e *Engine) Counts() EngineCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := e.counts
	counts.LoadsByModel = maps.Clone(e.counts.LoadsByModel)
	return counts
}

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	e.init()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.inference(kindChat))
	mux.HandleFunc("POST /v1/completions", e.inference(kindText))
	mux.HandleFunc("POST /v1/embeddings", e.inference(kindEmbedding))
	mux.HandleFunc("POST /v1/load_lora_adapter", e.adapter(true))
	mux.HandleFunc("POST /v1/unload_lora_adapter", e.adapter(false))
	mux.HandleFunc("POST /v2/repository/index", e.index)
	mux.HandleFunc("POST /v2/repository/models/", e.repository)
	mux.HandleFunc("GET /status", e.status)
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, e.Counts()) })
	mux.HandleFunc("POST /faults", e.faults.serve)
	return mux
}

func (e *Engine) init() {
	e.once.Do(func() {
		if e.Slots <= 0 {
			e.Slots = defaultSlots
		}
		e.slots = make(chan struct{}, e.Slots)
		e.models = make(map[string]*engineModel)
	})
}

// inference serves one request of an OpenAI endpoint.
func (e *Engine) inference(kind inferenceKind) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if e.faults.get().IsLeaving {
			e.mu.Lock()
			e.counts.RequestsWhileLeaving++
			e.mu.Unlock()
		}
		if !e.faults.apply(w, r) {
			return
		}
		var req inferenceRequest
		if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
			replyError(w, http.StatusBadRequest, "bad_request", err.Error())
			return
		}
		if !e.isLoaded(req.Model) {
			w.Header().Set("X-Not-Run", "true")
			replyError(w, http.StatusServiceUnavailable, "not_loaded", "the model is not loaded")
			return
		}
		if !e.enter(r) {
			return
		}
		defer e.leave(r)
		req.kind = kind
		e.answer(w, r, req)
	}
}

// enter waits for a slot. It reports false if the caller hung up first.
func (e *Engine) enter(r *http.Request) bool {
	e.mu.Lock()
	e.counts.Requests++
	if r.Header.Get("Authorization") != "" || strings.Contains(r.URL.RawQuery, "af-") {
		e.counts.RequestsWithKey++
	}
	e.waiting++
	e.mu.Unlock()
	ok := true
	select {
	case e.slots <- struct{}{}:
	case <-r.Context().Done():
		ok = false
	}
	e.mu.Lock()
	e.waiting--
	if ok {
		e.running++
	}
	e.mu.Unlock()
	if !ok {
		e.ended(true)
	}
	return ok
}

func (e *Engine) leave(r *http.Request) {
	<-e.slots
	e.mu.Lock()
	e.running--
	e.mu.Unlock()
	e.ended(r.Context().Err() != nil)
}

func (e *Engine) ended(cancelled bool) {
	if cancelled {
		e.mu.Lock()
		e.counts.CancelledRequests++
		e.mu.Unlock()
	}
	if e.OnRequestEnd != nil {
		e.OnRequestEnd(cancelled)
	}
}

type statusModel struct {
	Name   string `json:"name"`
	State  string `json:"state"`
	Memory int64  `json:"memory"`
}

type statusAnswer struct {
	Memory  int64             `json:"memory"`
	Models  []statusModel     `json:"models"`
	Cache   map[string]string `json:"cache"`
	Running int               `json:"running"`
	Waiting int               `json:"waiting"`
	Leaving bool              `json:"leaving"`
	Fence   int64             `json:"fence"`
}

func (e *Engine) status(w http.ResponseWriter, r *http.Request) {
	faults := e.faults.get()
	if faults.IsDown {
		hangUp(w)
		return
	}
	if !e.faults.hear(r) {
		return
	}
	e.mu.Lock()
	a := statusAnswer{
		Memory: e.MemoryMB, Models: e.states(), Cache: make(map[string]string, len(e.CheckpointTiers)),
		Running: e.running, Waiting: e.waiting, Leaving: faults.IsLeaving, Fence: e.fence,
	}
	for name, tier := range e.CheckpointTiers {
		a.Cache[name] = tier
	}
	e.mu.Unlock()
	reply(w, http.StatusOK, a)
}
