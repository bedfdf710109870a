// Package afstandin holds stand-ins for the outside systems, with faults that tests and operators switch.
package afstandin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// EndpointFaults are the faults of an engine or a plain service. They are set by POST /faults.
type EndpointFaults struct {
	// IsDown makes the endpoint close each connection without an answer.
	IsDown bool `json:"down"`
	// DelayMillis delays each answer by this many milliseconds.
	DelayMillis int64 `json:"slow"`
	// SilencesOpenConnections makes the endpoint read requests and never answer on connections that are open when it is set.
	// Connections that are opened later work.
	SilencesOpenConnections bool `json:"silent"`
	// CutAfterTokens breaks each stream after this many tokens. Zero means never.
	CutAfterTokens int `json:"cut"`
	// IsLeaving makes the endpoint refuse new work.
	IsLeaving bool `json:"leaving"`
}

// faultSet guards the faults of one endpoint and counts its connections, so that Silent affects only older ones.
type faultSet struct {
	mu     sync.Mutex
	faults EndpointFaults
	// silent is the number of the last connection that Silent affects.
	silent int64
	conns  int64
}

func (f *faultSet) get() EndpointFaults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

func (f *faultSet) set(faults EndpointFaults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
	f.silent = 0
	if faults.SilencesOpenConnections {
		f.silent = f.conns
	}
}

// connect returns the number of a new connection.
func (f *faultSet) connect() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conns++
	return f.conns
}

func (f *faultSet) isSilent(conn int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return conn <= f.silent
}

type connKey struct{}

// hear reports false if the request came over a silent connection. It then returns when the caller hangs up.
func (f *faultSet) hear(r *http.Request) bool {
	conn, ok := r.Context().Value(connKey{}).(int64)
	if !ok || !f.isSilent(conn) {
		return true
	}
	<-r.Context().Done()
	return false
}

// apply carries out the faults that precede an answer. It reports false if there is to be no answer.
func (f *faultSet) apply(w http.ResponseWriter, r *http.Request) bool {
	if !f.hear(r) {
		return false
	}
	faults := f.get()
	if faults.IsDown {
		hangUp(w)
		return false
	}
	if faults.DelayMillis > 0 && !wait(r, time.Duration(faults.DelayMillis)*time.Millisecond) {
		return false
	}
	if faults.IsLeaving {
		refuseLeaving(w)
		return false
	}
	return true
}

func (f *faultSet) serve(w http.ResponseWriter, r *http.Request) {
	var faults EndpointFaults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.set(faults)
	w.WriteHeader(http.StatusNoContent)
}

// refuseLeaving says that the request did not run because the endpoint takes no new work.
func refuseLeaving(w http.ResponseWriter) {
	w.Header().Set("X-Not-Run", "true")
	w.Header().Set("X-Leaving", "true")
	reply(w, http.StatusServiceUnavailable, map[string]any{"error": map[string]string{"code": "leaving", "message": "leaving"}})
}

// hangUp closes the connection without an answer.
func hangUp(w http.ResponseWriter) {
	if h, ok := w.(http.Hijacker); ok {
		if c, _, err := h.Hijack(); err == nil {
			_ = c.Close()
		}
	}
}

// wait reports false if the caller hung up first.
func wait(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return r.Context().Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
