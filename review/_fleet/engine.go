package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeatInterval is heartbeat-ms of the settings: an engine writes its entry about that often.
const heartbeatInterval = 1200 * time.Millisecond

// arrival is a request that reached an engine.
type arrival struct {
	engine, requestID, parts string
	at                       time.Time
	ran                      bool
}

// engine is a stand-in of one runner of a model service, or of a plain service if it has no models. It follows PROTOCOL.md.
type engine struct {
	fleet   *fleet
	service string
	// memoryMB bounds the models, whose sizes are in modelMB. loadTime is the time of a load.
	memoryMB float64
	modelMB  map[string]float64
	loadTime time.Duration
	// tokensPerMs is how fast prompts are read, and eventInterval the time between two events of a stream.
	tokensPerMs   float64
	eventInterval time.Duration
	// status is the status of the answers of a plain service. Zero means 200.
	status int
	// maxEvents bounds the events of a stream. Zero means as many as the request allows.
	maxEvents int
	// crashPart is the part on which the engine crashes when it begins to write an answer. It then sends no byte of the answer.
	crashPart string
	// sendsHead means that the head of the answer is on the wire before such a crash.
	sendsHead bool
	// restartTime is how long a crashed engine is gone.
	restartTime time.Duration
	onArrival   func(arrival)
	// onBody is called with the body of each request that runs.
	onBody func(requestID, body string)
	// before is called before a request is handled. It returns true if it has answered.
	before func(e *engine, w http.ResponseWriter, r *http.Request) bool

	mu       sync.Mutex
	id       string
	born     int64
	address  string
	state    string
	models   []string
	disk     []string
	read     map[string]bool // read holds the parts in the cache.
	seq      int64
	busy     bool
	running  int
	listener net.Listener
	server   *http.Server
	conns    map[net.Conn]bool
	life     int
	ended    bool
}

var (
	engineCount int
	engineMu    sync.Mutex
)

func newID() string {
	engineMu.Lock()
	defer engineMu.Unlock()
	engineCount++
	return fmt.Sprintf("i-%05x", 0x10000+engineCount*257)
}

// addEngine starts an engine that holds the models.
func (f *fleet) addEngine(e *engine, models ...string) error {
	e.fleet = f
	e.models, e.disk = models, slices.Clone(models)
	if err := e.listen("127.0.0.1:0"); err != nil {
		return err
	}
	f.mu.Lock()
	f.engines = append(f.engines, e)
	f.mu.Unlock()
	return nil
}

// listen begins a life of the engine.
func (e *engine) listen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.life++
	life := e.life
	e.id, e.born, e.address, e.state = newID(), time.Now().UnixMilli(), l.Addr().String(), "ready"
	e.seq, e.busy, e.running, e.read, e.conns = 0, false, 0, map[string]bool{}, map[net.Conn]bool{}
	e.listener = l
	server := &http.Server{
		Handler: http.HandlerFunc(e.serve), ReadHeaderTimeout: time.Minute,
		ConnState: func(c net.Conn, s http.ConnState) {
			e.mu.Lock()
			defer e.mu.Unlock()
			if s == http.StateClosed || s == http.StateHijacked {
				delete(e.conns, c)
			} else if e.life == life {
				e.conns[c] = true
			}
		},
	}
	e.server = server
	id := e.id
	e.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	e.writeEntry()
	go func() {
		for {
			time.Sleep(heartbeatInterval)
			e.mu.Lock()
			isOver := e.life != life || e.ended
			e.mu.Unlock()
			if isOver {
				time.Sleep(2 * heartbeatInterval)
				e.fleet.store.RemoveObject("servers", id)
				return
			}
			e.writeEntry()
		}
	}()
	return nil
}

// crash ends the engine without notice, as the kernel does for a process that dies, and starts it again later.
func (e *engine) crash() {
	e.mu.Lock()
	if e.ended || e.state == "crashed" {
		e.mu.Unlock()
		return
	}
	e.state = "crashed"
	e.life++
	conns, listener, address := e.conns, e.listener, e.address
	e.conns = map[net.Conn]bool{}
	_ = listener.Close()
	for c := range conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	e.models = nil
	id := e.id
	e.mu.Unlock()
	e.fleet.record.printf("engine %s at %s crashed", id, address)
	time.AfterFunc(e.restartTime, func() {
		e.mu.Lock()
		ended := e.ended
		e.mu.Unlock()
		if ended {
			return
		}
		if err := e.listen(address); err != nil {
			e.fleet.record.printf("engine at %s not started again: %v", address, err)
			return
		}
		e.fleet.record.printf("engine %s started at %s", e.currentID(), address)
	})
}

func (e *engine) end() {
	e.mu.Lock()
	e.ended = true
	server := e.server
	e.mu.Unlock()
	_ = server.Close()
}

func (e *engine) currentID() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.id
}

func (e *engine) writeEntry() {
	e.mu.Lock()
	id, spec := e.id, e.describe()
	e.mu.Unlock()
	e.fleet.store.PutObject("servers", id, spec)
}

// describe is called with the lock held.
func (e *engine) describe() map[string]any {
	models := []map[string]any{}
	for _, m := range e.models {
		models = append(models, map[string]any{"name": m, "version": 1, "adapters": []string{}})
	}
	return map[string]any{
		"service": e.service, "address": e.address, "zone": "zone-a", "version": "v1", "slots": 64, "state": e.state, "cold-remaining-ms": 0, "seq": e.seq,
		"born": e.born, "stage": "both", "models": models, "busy": e.busy, "waiting": 0, "running": e.running, "kv-used": 0, "kv-total": 142642, "handles": 0,
		"coming": []string{}, "at-hand": map[string]any{"in-memory": e.disk, "on-disk": e.disk},
	}
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	if e.before != nil && e.before(e, w, r) {
		return
	}
	switch r.URL.Path {
	case "/report":
		e.mu.Lock()
		body, _ := json.Marshal(e.describe())
		e.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(body)
	case "/order":
		e.order(w, r)
	case "/health":
		w.Header().Set("X-Arbutusfork-Instance-Id", e.currentID())
	default:
		e.run(w, r)
	}
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Operation, Model, Adapter, Holder string
		Expected                          *int64
		Fence                             int64
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Holder == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fleet.record.printf("order at %s: %s %s by %s epoch %d", e.id, o.Operation, o.Model, o.Holder, o.Fence)
	switch {
	case r.Header.Get("X-Arbutusfork-Expect-Instance") != "" && r.Header.Get("X-Arbutusfork-Expect-Instance") != e.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case o.Operation == "load" && slices.Contains(e.models, o.Model):
		w.WriteHeader(http.StatusOK)
		return
	case e.busy || o.Expected != nil && *o.Expected != e.seq:
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.seq++
	w.WriteHeader(http.StatusAccepted)
	if o.Operation == "unload" {
		e.models = slices.DeleteFunc(e.models, func(m string) bool { return m == o.Model })
		return
	}
	e.busy = true
	life := e.life
	time.AfterFunc(e.loadTime, func() {
		e.mu.Lock()
		if e.life == life {
			e.busy = false
			e.models = append(e.models, o.Model)
			if !slices.Contains(e.disk, o.Model) {
				e.disk = append(e.disk, o.Model)
			}
		}
		e.mu.Unlock()
		e.writeEntry()
	})
}

// run serves a request of a caller.
func (e *engine) run(w http.ResponseWriter, r *http.Request) {
	h := r.Header
	id, model, parts := h.Get("X-Arbutusfork-Request-Id"), h.Get("X-Arbutusfork-Model"), h.Get("X-Arbutusfork-Prompt-Prefix")
	e.mu.Lock()
	engineID, life := e.id, e.life
	isHere := h.Get("X-Arbutusfork-Expect-Instance") == "" || h.Get("X-Arbutusfork-Expect-Instance") == engineID
	isLoaded := e.modelMB == nil || slices.Contains(e.models, model)
	e.mu.Unlock()
	w.Header().Set("X-Arbutusfork-Request-Id", id)
	if !isHere || !isLoaded || id == "" {
		e.note(engineID, id, parts, false)
		w.Header().Set("X-Arbutusfork-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, _ := io.ReadAll(r.Body)
	if e.onBody != nil {
		e.onBody(id, string(body))
	}
	e.note(engineID, id, parts, true)
	e.mu.Lock()
	e.running++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	if e.modelMB == nil {
		time.Sleep(e.eventInterval)
		text := "done " + id + " " + strconv.Itoa(len(body))
		w.Header().Set("X-Arbutusfork-Server-Signature", engineID)
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		w.WriteHeader(cmp.Or(e.status, http.StatusOK))
		_, _ = io.WriteString(w, text)
		return
	}
	time.Sleep(e.readPrompt(parts))
	if e.crashPart != "" && hasPart(parts, e.crashPart) {
		if flusher, ok := w.(http.Flusher); ok && e.sendsHead {
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set("X-Arbutusfork-Server-Signature", engineID)
			w.WriteHeader(http.StatusOK)
			flusher.Flush()
			time.Sleep(5 * time.Millisecond)
		}
		e.crash()
		panic(http.ErrAbortHandler)
	}
	_, out, _ := strings.Cut(h.Get("X-Arbutusfork-Token-Usage"), ",")
	tokens, _ := strconv.Atoi(out)
	events := max(tokens/3, 1)
	if e.maxEvents > 0 {
		events = min(events, e.maxEvents)
	}
	from := 0
	if last := h.Get("Last-Event-Id"); last != "" {
		from, _ = strconv.Atoi(last)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Arbutusfork-Server-Signature", engineID)
	flusher, _ := w.(http.Flusher)
	for i := from + 1; i <= events; i++ {
		if r.Context().Err() != nil {
			return
		}
		e.mu.Lock()
		isOver := e.life != life
		e.mu.Unlock()
		if isOver {
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s part %d\n\n", i, id, i); err != nil {
			return
		}
		flusher.Flush()
		time.Sleep(e.eventInterval)
	}
}

func (e *engine) note(engineID, id, parts string, ran bool) {
	e.fleet.record.printf("at %s: request %s parts %s run %t", engineID, id, parts, ran)
	if e.onArrival != nil {
		e.onArrival(arrival{engineID, id, parts, time.Now(), ran})
	}
}

// readPrompt returns how long the engine reads the parts that are not in its cache, and puts them there.
func (e *engine) readPrompt(parts string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	tokens, isCached := 0, true
	for part := range strings.SplitSeq(parts, ",") {
		name, count, _ := strings.Cut(part, ":")
		isCached = isCached && e.read[name]
		e.read[name] = true
		if n, err := strconv.Atoi(count); err == nil && !isCached {
			tokens += n
		}
	}
	return time.Duration(float64(tokens) / e.tokensPerMs * float64(time.Millisecond))
}

func hasPart(parts, part string) bool {
	for p := range strings.SplitSeq(parts, ",") {
		if name, _, _ := strings.Cut(p, ":"); name == part {
			return true
		}
	}
	return false
}
