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
	// Memory is the accelerator memory in MB. Zero means unlimited.
	Memory int64
	// Slots bounds the requests that run at once. Zero means 8.
	Slots int
	// Fenced makes the engine refuse orders with an old fencing number.
	Fenced bool
	// Cache says where checkpoints are kept: "memory" or "disk" by model. Others are fetched.
	Cache map[string]string
	// Models holds memory and load times by model. Others are asked for at the weight store.
	Models map[string]Checkpoint
	// Store is the weight store's address. Empty means that remote loads take Checkpoint.Remote.
	Store string
	// First and Next are the times to the first token and between tokens.
	First time.Duration
	Next  time.Duration
	// Resume makes the engine offer to resume streams.
	Resume bool
	// Ended is called when a request ends. Cancelled tells that its caller hung up. It may be nil.
	Ended func(cancelled bool)

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
	// Models counts the loads by model.
	Models   map[string]int64 `json:"models"`
	Unloads  int64            `json:"unloads"`
	Refused  int64            `json:"refused"`
	Requests int64            `json:"requests"`
	// Memory and Replicas are high-water marks in MB and models.
	Memory   int64 `json:"memory"`
	Replicas int   `json:"replicas"`
	// Overcommits is the number of loads that went beyond the memory.
	Overcommits int64 `json:"overcommits"`
	// Cancelled is the number of requests whose caller hung up.
	Cancelled int64 `json:"cancelled"`
	// Left is the number of requests that came while the engine was leaving.
	Left int64 `json:"left"`
	// Keys is the number of requests that carried a caller's key, which must stay zero.
	Keys int64 `json:"keys"`
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
	counts.Models = maps.Clone(e.counts.Models)
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
		if e.faults.get().Leaving {
			e.mu.Lock()
			e.counts.Left++
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
		e.counts.Keys++
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
		e.counts.Cancelled++
		e.mu.Unlock()
	}
	if e.Ended != nil {
		e.Ended(cancelled)
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
	if faults.Down {
		hangUp(w)
		return
	}
	if !e.faults.hear(r) {
		return
	}
	e.mu.Lock()
	a := statusAnswer{
		Memory: e.Memory, Models: e.states(), Cache: make(map[string]string, len(e.Cache)),
		Running: e.running, Waiting: e.waiting, Leaving: faults.Leaving, Fence: e.fence,
	}
	for name, tier := range e.Cache {
		a.Cache[name] = tier
	}
	e.mu.Unlock()
	reply(w, http.StatusOK, a)
}
