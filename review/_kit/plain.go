package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// plainRunner is one runner of a plain service. It runs each request that expects it and answers after a time.
type plainRunner struct {
	id, service string
	work        time.Duration
	rec         *recorder
	// onRun is called for each request that begins to run.
	onRun func(r *plainRunner, id string, req *http.Request)

	mu  sync.Mutex
	ran map[string]int
}

func (r *plainRunner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("X-Arbutusfork-Request-Id")
	w.Header().Set("X-Arbutusfork-Request-Id", id)
	if req.Header.Get("X-Arbutusfork-Expect-Instance") != r.id {
		w.Header().Set("X-Arbutusfork-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	r.mu.Lock()
	r.ran[id]++
	r.mu.Unlock()
	r.rec.line("runner %s of %s runs %s %s", r.id, r.service, id, req.URL.Path)
	if r.onRun != nil {
		r.onRun(r, id, req)
	}
	select {
	case <-req.Context().Done():
	case <-time.After(r.work):
	}
	body := "done " + id + " by " + r.service
	w.Header().Set("X-Arbutusfork-Server-Signature", r.id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write([]byte(body))
}

// entry is the entry of a plain runner.
func entry(service, address, state string, born int64, seq int) map[string]any {
	return map[string]any{
		"service": service, "address": address, "zone": "z1", "version": "v1", "slots": 64, "state": state, "cold-remaining-ms": 0, "seq": seq, "born": born,
	}
}

// plainRoute is a route to a plain service.
func plainRoute(name, kind, service string, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": "a.example", "path-prefix": "/" + name + "/", "route-type": kind, "timeout-ms": 1500, "target-latency-ms": 150, "priority": 1,
		"service": service, "max-attempts": attempts, "public": false, "sticky": false, "resumable": false, "gap-aim-ms": 250,
	}
}

// plainConfig is a configuration with plain services and one tenant without a limit.
func plainConfig(version int, services []string, routes ...any) map[string]any {
	var list []any
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "health-check": "/health", "max-connections": 96, "protocol": "h1", "tls": false})
	}
	return map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": "t1", "api-keys": []string{"k1"}, "priority": 1, "unit": "tokens", "plain-tokens": 200, "rate-per-s": 0, "burst": 0}},
	}
}

// answer is what a caller got.
type answer struct {
	id         string
	sent, done time.Time
	status     int
	body       string
	err        error
	gateway    string
	// leaving tells that the answer has Server-Leaving.
	leaving bool
}

// call sends one request and records it.
func call(rec *recorder, client *http.Client, g *gateway, method, path, id string, deadline time.Duration) answer {
	return callWith(rec, client, g, method, path, id, deadline, func(*http.Request) {})
}

// callWith does the same with further headers.
func callWith(rec *recorder, client *http.Client, g *gateway, method, path, id string, deadline time.Duration, set func(*http.Request)) answer {
	req, err := http.NewRequest(method, "http://"+g.front+path, nil)
	if err != nil {
		return answer{id: id, err: err}
	}
	req.Host = "a.example"
	req.Header.Set("X-Arbutusfork-Request-Id", id)
	req.Header.Set("X-Arbutusfork-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	req.Header.Set("Authorization", "Bearer k1")
	set(req)
	rec.line("%s %s sent to %s", id, path, g.name)
	a := answer{id: id, sent: time.Now(), gateway: g.name}
	resp, err := client.Do(req)
	if err == nil {
		a.status, a.leaving = resp.StatusCode, resp.Header.Get("Server-Leaving") == "1"
		var raw []byte
		raw, err = io.ReadAll(resp.Body)
		a.body = string(raw)
		_ = resp.Body.Close()
	}
	a.err, a.done = err, time.Now()
	rec.line("%s answered by %s after %v: %d, %d bytes %q %v", id, g.name, a.done.Sub(a.sent).Round(time.Millisecond), a.status, len(a.body), short(a.body), err)
	return a
}

func short(s string) string { return fmt.Sprintf("%.40s", s) }
