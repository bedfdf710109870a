// Package afplatform holds stand-ins of the users' platform that speak its published protocol: the object store, model
// engines and plain services. Tests and the fault soak run the daemon against them.
package afplatform

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is one object of the store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
}

type metadata struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision,omitempty"`
}

// headerEra is in all answers of the store. Its value rises by one each time the store goes back to an earlier state.
const headerEra = "Store-Era"

// Store is a stand-in of the platform's object store. Set the exported field before the first use.
type Store struct {
	// Now returns the time. Nil means time.Now.
	Now func() time.Time

	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]object // objects is by kind and name.
	events   []storedEvent
	oldest   int64 // oldest is the first revision whose history is kept.
	changed  chan struct{}
	// LoseAnswers makes writes take effect without an answer, and Down refuses every call.
	faults StoreFaults

	era int64
	// awaySince is when the store went away. It is zero while the store serves calls.
	awaySince time.Time
	// undos holds what each change since keptHistory replaced, by time.
	undos []undo
	// outside holds what the operator and the endpoints last wrote, by kind and name. A nil value is a removal.
	outside map[string]map[string]json.RawMessage
}

type storedEvent struct {
	kind     string
	revision int64
	object   object
	removed  bool
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		objects: map[string]map[string]object{}, outside: map[string]map[string]json.RawMessage{}, changed: make(chan struct{}), revision: 1, era: 1,
	}
}

// StoreFaults are switched while the store runs.
type StoreFaults struct {
	// LoseAnswers makes writes take effect without an answer, and Down refuses every call as not done.
	LoseAnswers, Down bool
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// DropHistory drops the history, so that older watches are answered 410.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.oldest = s.revision
	s.events = nil
}

// ObjectRevision returns the revision of an object, or 0.
func (s *Store) ObjectRevision(kind, name string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects[kind][name].Metadata.Revision
}

// ObjectText returns the spec of an object, or an empty text.
func (s *Store) ObjectText(kind, name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.objects[kind][name].Spec)
}

// PutObject writes an object as the operator or an endpoint does. Spec is a value or JSON text. While the store is away the
// write waits for WriteAgain.
func (s *Store) PutObject(kind, name string, spec any) {
	raw, _ := json.Marshal(spec)
	if text, ok := spec.(string); ok {
		raw = json.RawMessage(text)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeOutside(kind, name, raw)
}

// RemoveObject removes an object as the operator or an endpoint does. While the store is away the removal waits for
// WriteAgain.
func (s *Store) RemoveObject(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeOutside(kind, name, nil)
}

// store is called with the lock held.
func (s *Store) store(kind string, o object, removed bool) object {
	s.recordUndo(kind, o.Metadata.Name)
	s.revision++
	o.Metadata.Revision = s.revision
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][o.Metadata.Name] = o
	if removed {
		delete(s.objects[kind], o.Metadata.Name)
	}
	s.events = append(s.events, storedEvent{kind, s.revision, o, removed})
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

// ServeHTTP answers one call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down, lose := s.faults.Down, s.faults.LoseAnswers && r.Method != http.MethodGet
	era, isAway := s.era, !s.awaySince.IsZero()
	s.mu.Unlock()
	if isAway {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(headerEra, strconv.FormatInt(era, 10))
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	status, body := 0, any(nil)
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Has("watch"):
		status, body = s.watch(r, kind)
	case r.Method == http.MethodGet && name == "":
		status, body = s.list(kind)
	default:
		status, body = s.one(r, kind, name)
	}
	if lose || s.wasAwaySince(era) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) list(kind string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []object{}
	for _, o := range s.objects[kind] {
		items = append(items, o)
	}
	return 200, map[string]any{"items": items, "has-more": false, "store-revision": s.revision}
}

func (s *Store) watch(r *http.Request, kind string) (int, any) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if !s.awaySince.IsZero() {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if since < s.oldest || since > s.revision {
			s.mu.Unlock()
			return http.StatusGone, nil
		}
		events := []map[string]any{}
		for _, e := range s.events {
			if e.kind == kind && e.revision > since {
				events = append(events, map[string]any{"object": e.object, "removed": e.removed})
			}
		}
		changed, revision := s.changed, s.revision
		s.mu.Unlock()
		if len(events) > 0 {
			return 200, map[string]any{"events": events, "store-revision": revision}
		}
		select {
		case <-changed:
		case <-end:
			return 200, map[string]any{"events": events, "store-revision": revision}
		case <-r.Context().Done():
			return 200, nil
		}
	}
}

func (s *Store) one(r *http.Request, kind, name string) (int, any) {
	var in object
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			return http.StatusBadRequest, nil
		}
		if r.Method == http.MethodPost {
			name = in.Metadata.Name
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.awaySince.IsZero() {
		panic(http.ErrAbortHandler)
	}
	old, found := s.objects[kind][name]
	expected := in.Metadata.Revision
	if v := r.URL.Query().Get("revision"); v != "" {
		expected, _ = strconv.ParseInt(v, 10, 64)
	}
	switch {
	case r.Method == http.MethodPost && found:
		return http.StatusConflict, old
	case r.Method != http.MethodPost && !found:
		return http.StatusNotFound, nil
	case r.Method == http.MethodGet:
		return http.StatusOK, old
	case expected != 0 && expected != old.Metadata.Revision:
		return http.StatusConflict, old
	}
	in.Metadata.Name = name
	return http.StatusOK, s.store(kind, in, r.Method == http.MethodDelete)
}
