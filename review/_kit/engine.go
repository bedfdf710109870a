package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"arbutusfork.example/arbutusfork/internal/afstandin/afplatform"
)

const (
	modelName    = "m1"
	streamEvents = 40
	eventPause   = 100 * time.Millisecond
)

// engineConfig is a configuration with one service of engines.
func engineConfig(version int, routes ...any) map[string]any {
	c := plainConfig(version, nil, routes...)
	c["services"] = []any{map[string]any{
		"name": "llm", "health-check": "/health", "max-connections": 360, "protocol": "h1", "tls": false, "engine": map[string]any{
			"slots": 64, "kv-capacity": 142642, "weights-mb": 200000.0, "adapter-slots": 8, "loads-per-s": 2.6,
			"models": []any{map[string]any{"name": modelName, "weights-mb": 72700.0, "load-s": 6.0, "adapters": 0, "adapter-mb": 66.0, "warm-s": 0.6, "disk-s": 1.3}},
		},
	}}
	return c
}

// streamRoute is a route whose streams can't be resumed.
func streamRoute(name, service string) map[string]any {
	return map[string]any{
		"name": name, "host": "a.example", "path-prefix": "/" + name + "/", "route-type": "streaming", "timeout-ms": 30000, "target-latency-ms": 3000, "priority": 1,
		"service": service, "max-attempts": 1, "public": false, "sticky": true, "resumable": false, "gap-aim-ms": 250,
	}
}

// addEngine starts an engine of the project's stand-ins that holds the model.
func (f *fleet) addEngine(n int, onRun func(afplatform.ExecutedRequest)) (*afplatform.Endpoint, *http.Server, error) {
	e := &afplatform.Endpoint{
		ID: fmt.Sprintf("i-%d", n), Service: "llm", Centre: "z1", Store: f.store, ModelSizes: map[string]float64{modelName: 72700}, MemoryMB: 200000,
		LoadTime: 1300 * time.Millisecond, StreamEvents: streamEvents, ResponseDelay: eventPause, OnExecute: onRun,
	}
	l, s, err := f.serveRunner(100+n, e)
	if err != nil {
		return nil, nil, err
	}
	e.Address = l.Addr().String()
	e.AddModel(modelName)
	e.WriteEntry("ready")
	return e, s, nil
}

// keepStreaming sends one stream after another to a gateway until a time.
func keepStreaming(rec *recorder, g *gateway, name, path string, end time.Time, onAnswer func(answer)) {
	client := &http.Client{Timeout: 35 * time.Second}
	for k := 0; time.Now().Before(end); k++ {
		onAnswer(callStream(rec, client, g, path, fmt.Sprintf("%s-%d", name, k)))
		time.Sleep(50 * time.Millisecond)
	}
}

// callStream sends a request for a stream and reads the answer to its end.
func callStream(rec *recorder, client *http.Client, g *gateway, path, id string) answer {
	return callWith(rec, client, g, http.MethodPost, path, id, 30*time.Second, func(r *http.Request) {
		r.Header.Set("X-Arbutusfork-Model", modelName)
		r.Header.Set("X-Arbutusfork-Token-Usage", "300,160")
		r.Header.Set("X-Arbutusfork-Prompt-Prefix", "aa:100,"+fmt.Sprintf("%x", id)+":200")
	})
}

// isWholeStream tells whether an answer is the whole stream of its request.
func isWholeStream(a answer) bool {
	want := ""
	for i := 1; i <= streamEvents; i++ {
		want += afplatform.StreamEvent(a.id, i)
	}
	return a.status == http.StatusOK && a.err == nil && a.body == want
}

// answers collects what callers got.
type answers struct {
	mu   sync.Mutex
	byID map[string]answer
}

func (s *answers) add(a answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byID == nil {
		s.byID = map[string]answer{}
	}
	s.byID[a.id] = a
}
