package afplatform

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The headers that endpoints read and write.
const (
	headerID       = "X-Arbutusfork-Request-Id"
	headerModel    = "X-Arbutusfork-Model"
	headerExpect   = "X-Arbutusfork-Expect-Instance"
	headerNotRun   = "X-Arbutusfork-Not-Executed"
	headerSigned   = "X-Arbutusfork-Server-Signature"
	headerCustomer = "X-Arbutusfork-Tenant"
	headerAfter    = "Last-Event-Id"
	headerParts    = "X-Arbutusfork-Prompt-Prefix"
	headerLimit    = "Server-Limit"
	headerLeaving  = "Server-Leaving"
)

// KindEndpoints is the kind of the endpoints' entries.
const KindEndpoints = "servers"

// Order is an order as an engine received it.
type Order struct {
	Operation        string `json:"operation"`
	Model            string `json:"model"`
	Adapter          string `json:"adapter"`
	ExpectedSequence int64  `json:"expected"`
	Holder           string `json:"holder"`
	Fence            int64  `json:"fence"`
	At               time.Time
}

// ExecutedRequest is a request that an endpoint ran.
type ExecutedRequest struct {
	RequestID, EndpointID, Customer string
	// HasCallerKey tells that the caller's key reached the endpoint.
	HasCallerKey bool
	ExecutedAt   time.Time
	// SaidLeaving tells that the answer says that the endpoint leaves.
	SaidLeaving bool
	// FailureStatus is the status of the failure with which the endpoint answers, or 0.
	FailureStatus int
}

// Endpoint is a stand-in of one endpoint: a model engine, or a plain service if Models is nil. Set the exported fields
// before Serve or Enter.
type Endpoint struct {
	ID, Service, Centre string
	// Address is what the entry names.
	Address string
	Store   *Store
	// ModelSizes maps the models that the engine may hold to their sizes, MemoryMB bounds their sum. LoadTime is the time of a
	// load.
	ModelSizes map[string]float64
	MemoryMB   float64
	LoadTime   time.Duration
	// StreamEvents is the number of events of a stream and ResponseDelay the time between two.
	StreamEvents  int
	ResponseDelay time.Duration
	// StreamsWithoutModel makes a plain service answer with streams.
	StreamsWithoutModel bool
	// StalledModel is the model whose streams send nothing after their first event. Empty means none.
	StalledModel string
	// OnExecute is called for each request that runs. It must not block.
	OnExecute func(ExecutedRequest)

	// CrashPart is the ID of a part of prompts on which the engine crashes when it begins to answer. Empty means none.
	CrashPart string
	// OnCrash is called when the engine crashes. It closes all connections to the engine.
	OnCrash func()

	// Slots is the number of requests that the endpoint runs at once, and QueueLength the number that it queues besides. It
	// refuses any more. Zero slots means no bound.
	Slots, QueueLength int
	// RefusesInSilence makes the endpoint refuse requests and send reports while it is silent, but no answers.
	RefusesInSilence bool
	// HidesLoad makes entries and reports tell neither the slots nor the load.
	HidesLoad bool
	// OnArrival is called with the ID of each request that arrives, whether it runs or not. It must not block.
	OnArrival func(requestID string)

	// Faults are switched while the endpoint runs.
	IsFull, TruncatesAnswers atomic.Bool
	// SendsWithoutEnd makes the endpoint send bytes without an end after the head of an answer, until it is switched off.
	SendsWithoutEnd atomic.Bool
	// NamedLimit is the limit that the endpoint names in its answers, in requests a second. Zero means none.
	NamedLimit atomic.Int64
	// IsLeaving makes the endpoint say in all its answers that it leaves. A restart ends it.
	IsLeaving atomic.Bool
	// OnPauseArrival is called for each call of any kind that arrives in a pause. It must not block.
	OnPauseArrival func(PauseArrival)

	mu     sync.Mutex
	born   int64
	state  string
	held   []string
	disk   []string
	seq    int64
	busy   bool
	orders []Order
	over   bool
	pause  pause
	room   room
	// failure is how the endpoint fails every second request, and failureTurn that the latest one was failed.
	failure     *Failure
	failureTurn bool
}

// SetDirectHeaders sets the headers of a call that comes without a daemon in between.
func (e *Endpoint) SetDirectHeaders(h http.Header) { h.Set(headerExpect, e.ID) }

// WriteEntry writes the endpoint's entry.
func (e *Endpoint) WriteEntry(state string) {
	e.mu.Lock()
	if e.born == 0 {
		e.born = time.Now().UnixMilli()
	}
	e.state = state
	spec := e.describe()
	e.mu.Unlock()
	e.Store.PutObject(KindEndpoints, e.ID, spec)
}

// WriteForeignEntry writes what another writer makes of the endpoint's entry. A nil value takes a field out.
func (e *Endpoint) WriteForeignEntry(changes map[string]any) {
	e.mu.Lock()
	spec := e.describe()
	e.mu.Unlock()
	for field, value := range changes {
		spec[field] = value
		if value == nil {
			delete(spec, field)
		}
	}
	e.Store.PutObject(KindEndpoints, e.ID, spec)
}

// WriteEntryAgain writes the endpoint's entry with its present state.
func (e *Endpoint) WriteEntryAgain() { e.WriteForeignEntry(nil) }

// Restart begins another run of the endpoint with the models and writes its entry.
func (e *Endpoint) Restart(models ...string) {
	e.mu.Lock()
	e.born, e.seq, e.busy, e.held, e.pause = time.Now().UnixMilli(), 0, false, models, pause{}
	e.IsLeaving.Store(false)
	e.mu.Unlock()
	e.WriteEntry("ready")
}

// describe is called with the lock held.
func (e *Endpoint) describe() map[string]any {
	running, waiting, slots := e.load()
	models := []map[string]any{}
	for _, m := range e.held {
		models = append(models, map[string]any{"name": m, "version": 1, "adapters": []string{}})
	}
	return map[string]any{
		"service": e.Service, "address": e.Address, "zone": e.Centre, "version": "v1", "slots": slots, "state": e.state, "cold-remaining-ms": 0, "seq": e.seq,
		"born": e.born, "models": models, "busy": e.busy, "stage": "both", "waiting": waiting, "running": running, "kv-used": 0, "kv-total": 100000,
		"coming": []string{}, "at-hand": map[string]any{"in-memory": []string{}, "on-disk": e.disk},
	}
}

// AddModel makes the engine hold a model without an order.
func (e *Endpoint) AddModel(model string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.held = append(e.held, model)
}

// HasModel reports whether the engine holds a model.
func (e *Endpoint) HasModel(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Contains(e.held, model)
}

// Orders returns the orders received so far, and whether one would have taken more than the memory.
func (e *Endpoint) Orders() (orders []Order, over bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders), e.over
}

// ServeHTTP answers one call.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e.IsLeaving.Load() {
		w.Header().Set(headerLeaving, "1")
	}
	if id := r.Header.Get(headerID); id != "" && e.OnArrival != nil {
		e.OnArrival(id)
	}
	if e.refuseInPause(w, r) || !e.RefusesInSilence && !e.awaitSpeech(r.Context()) {
		return
	}
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/report":
		e.mu.Lock()
		body, _ := json.Marshal(e.describe()) // The map holds only plain values, which always marshal.
		e.mu.Unlock()
		_, _ = w.Write(body) // The caller may have left.
	case r.URL.Path == "/order":
		e.order(w, r)
	default:
		e.run(w, r)
	}
}

func (e *Endpoint) order(w http.ResponseWriter, r *http.Request) {
	var o Order
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Header.Get(headerExpect) != e.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	o.At = time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, o)
	if e.busy || o.ExpectedSequence != e.seq {
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.seq++
	w.WriteHeader(http.StatusAccepted)
	if o.Operation != "load" {
		e.held = slices.DeleteFunc(e.held, func(m string) bool { return m == o.Model })
		return
	}
	used := e.ModelSizes[o.Model]
	for _, m := range e.held {
		used += e.ModelSizes[m]
	}
	e.over = e.over || used > e.MemoryMB
	e.busy = true
	time.AfterFunc(e.LoadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.busy = false
		e.held = append(e.held, o.Model)
		if !slices.Contains(e.disk, o.Model) {
			e.disk = append(e.disk, o.Model)
		}
	})
}

func (e *Endpoint) run(w http.ResponseWriter, r *http.Request) {
	id, model := r.Header.Get(headerID), r.Header.Get(headerModel)
	w.Header().Set(headerID, id)
	if limit := e.NamedLimit.Load(); limit > 0 {
		w.Header().Set(headerLimit, strconv.FormatInt(limit, 10))
	}
	refuse := func(status int) {
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(status)
	}
	switch {
	case r.Header.Get(headerExpect) != e.ID, e.ModelSizes != nil && model != "" && !e.HasModel(model):
		refuse(http.StatusMisdirectedRequest)
		return
	case e.IsFull.Load():
		refuse(http.StatusServiceUnavailable)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body) // The end of the connection is only seen after the body.
	leave, ok, isFull := e.enter(r.Context())
	if isFull {
		refuse(http.StatusServiceUnavailable)
	}
	if !ok {
		return
	}
	defer leave()
	failure, failureStatus := e.nextFailure(), 0
	if failure != nil {
		failureStatus = failure.Status
	}
	if e.OnExecute != nil {
		e.OnExecute(ExecutedRequest{
			RequestID: id, EndpointID: e.ID, Customer: r.Header.Get(headerCustomer), HasCallerKey: r.Header.Get("Authorization") != "", ExecutedAt: time.Now(),
			SaidLeaving: w.Header().Get(headerLeaving) != "", FailureStatus: failureStatus,
		})
	}
	w.Header().Set(headerSigned, e.ID)
	if failure != nil {
		time.Sleep(e.ResponseDelay)
		failure.write(w)
		return
	}
	if e.SendsWithoutEnd.Load() {
		e.sendWithoutEnd(w)
	}
	// An engine runs a request without a model too, so that tests see requests that are sent to the wrong service.
	if e.ModelSizes == nil && !e.StreamsWithoutModel || e.ModelSizes != nil && model == "" {
		e.whole(w, r, id)
		return
	}
	e.stream(w, r, id)
}

// sendWithoutEnd sends bytes until the fault ends or the connection is closed, and breaks the answer off.
func (e *Endpoint) sendWithoutEnd(w http.ResponseWriter) {
	if e.ModelSizes != nil {
		w.Header().Set("Content-Type", "text/event-stream")
	}
	for e.SendsWithoutEnd.Load() {
		if _, err := w.Write(make([]byte, 1<<12)); err != nil {
			break
		}
	}
	panic(http.ErrAbortHandler)
}

func (e *Endpoint) whole(w http.ResponseWriter, r *http.Request, id string) {
	time.Sleep(e.ResponseDelay)
	if !e.awaitSpeech(r.Context()) {
		return
	}
	body := "done " + id
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if e.TruncatesAnswers.Load() {
		_, _ = w.Write([]byte(body[:len(body)/2]))
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write([]byte(body)) // The caller may have left.
}

func (e *Endpoint) stream(w http.ResponseWriter, r *http.Request, id string) {
	from := 0
	if after := r.Header.Get(headerAfter); after != "" {
		from, _ = strconv.Atoi(after) // An unreadable number begins the stream anew, which callers see.
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flusher, ok := w.(http.Flusher)
	if !ok {
		return
	}
	if e.CrashPart != "" && strings.Contains(r.Header.Get(headerParts), e.CrashPart+":") {
		w.WriteHeader(http.StatusOK)
		flusher.Flush()
		e.OnCrash()
		panic(http.ErrAbortHandler)
	}
	for i := from + 1; i <= e.StreamEvents; i++ {
		if !e.awaitSpeech(r.Context()) {
			return
		}
		text := StreamEvent(id, i)
		if e.TruncatesAnswers.Load() && i == e.StreamEvents/2+1 {
			_, _ = w.Write([]byte(text[:len(text)/2]))
			flusher.Flush()
			panic(http.ErrAbortHandler)
		}
		if _, err := w.Write([]byte(text)); err != nil {
			return
		}
		flusher.Flush()
		if e.StalledModel != "" && r.Header.Get(headerModel) == e.StalledModel {
			<-r.Context().Done()
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(e.ResponseDelay):
		}
	}
}

// EncodeWithoutLength returns an answer to a request that only the end of the connection ends, with the beginning of its body.
func EncodeWithoutLength(r *http.Request, body string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: early\r\n\r\n%s", headerID, r.Header.Get(headerID), headerSigned, body)
}

// StreamEvent returns the text of an event of a request's stream.
func StreamEvent(id string, i int) string {
	return fmt.Sprintf("id: %d\ndata: %s part %d\n\n", i, id, i)
}
