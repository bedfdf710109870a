package afplatform

import (
	"net/http"
	"strconv"
	"time"
)

// pause is a time in which an endpoint refuses all calls.
type pause struct{ begin, end time.Time }

// PauseArrival is a call that arrived at an endpoint in a pause.
type PauseArrival struct {
	// RequestID is empty for calls that are no callers' requests.
	RequestID, EndpointID string
	At                    time.Time
	// PauseBegin identifies the pause.
	PauseBegin time.Time
}

// BeginPause makes the endpoint refuse all calls for a time with the time that is left.
func (e *Endpoint) BeginPause(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pause = pause{time.Now(), time.Now().Add(d)}
}

// refuseInPause refuses a call if the endpoint is in a pause.
func (e *Endpoint) refuseInPause(w http.ResponseWriter, r *http.Request) bool {
	e.mu.Lock()
	now, pause := time.Now(), e.pause
	e.mu.Unlock()
	if !now.Before(pause.end) {
		return false
	}
	id := r.Header.Get(headerID)
	if e.OnPauseArrival != nil {
		e.OnPauseArrival(PauseArrival{RequestID: id, EndpointID: e.ID, At: now, PauseBegin: pause.begin})
	}
	if id != "" {
		w.Header().Set(headerID, id)
	}
	w.Header().Set("Retry-After", strconv.FormatFloat(pause.end.Sub(now).Seconds(), 'f', 3, 64))
	w.Header().Set(headerNotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}
