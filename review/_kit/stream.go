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

// streamRoute is a route whose streams can't be resumed.
func streamRoute(name, service string) map[string]any {
	return map[string]any{
		"name": name, "host": "a.example", "path-prefix": "/" + name + "/", "route-type": "streaming", "timeout-ms": 30000, "target-latency-ms": 3000, "priority": 1,
		"service": service, "max-attempts": 1, "public": false, "sticky": true, "resumable": false, "gap-aim-ms": 250,
	}
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
