// Package afstandin holds stand-ins for the systems that arbutusfork meets, with faults that can be switched on.
package afstandin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"arbutusfork.example/arbutusfork/pkg/afobject"
)

const (
	platformPrefix      = "/apis/arbutusfork.example/v1/"
	defaultHistory      = 1000
	defaultBookmark     = 5 * time.Second
	maxObjectBytes      = 1 << 20
	maxRequestBodyBytes = maxObjectBytes + 4096
)

// Platform is an in-memory stand-in for the platform's object API. Set the fields before the first request.
type Platform struct {
	// HistoryLimit is the number of past changes that watches can start from. Zero means 1000.
	HistoryLimit int
	// BookmarkInterval is the interval of bookmarks on an idle watch. Zero means 5 s.
	BookmarkInterval time.Duration
	// VMListDelay delays what readers see of the vms list. Watches of vms are not delayed.
	VMListDelay time.Duration

	mu       sync.Mutex
	objects  map[objectKey]afobject.Object
	version  int64
	log      []afobject.Event
	latest   map[string]int64 // latest holds the version of the latest change by kind.
	dropped  map[string]int64 // dropped holds the version of the newest change by kind that the log no longer holds.
	changed  chan struct{}    // changed is closed at each change and at each fault.
	lagged   []laggedObject
	counters counters
	faults   faultState
}

type objectKey struct{ kind, name string }

// laggedObject is what the vms list showed for a VM until a moment.
type laggedObject struct {
	until  time.Time
	name   string
	before afobject.Object
	exists bool
}

// Handler returns the HTTP interface: the object API, GET /counts and POST /faults.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /counts", p.serveCounts)
	mux.HandleFunc("POST /faults", p.serveFaults)
	mux.HandleFunc(platformPrefix, p.serveObjects)
	return mux
}

func (p *Platform) serveObjects(w http.ResponseWriter, r *http.Request) {
	lose, ok := p.admit(r)
	if !ok {
		// Closes the connection without an answer, as a failed server does.
		panic(http.ErrAbortHandler)
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, platformPrefix), "/")
	if !knownPlural(kind) {
		writeStatus(w, http.StatusNotFound, "unknown kind "+kind)
		return
	}
	switch r.Method {
	case http.MethodGet:
		p.count(countRead, r)
		p.serveRead(w, r, kind, name)
		return
	case http.MethodPost, http.MethodPut, http.MethodDelete:
		p.count(countWrite, r)
		code, body := p.serveWrite(r, kind, name)
		if lose {
			panic(http.ErrAbortHandler)
		}
		writeJSON(w, code, body)
		return
	}
	writeStatus(w, http.StatusMethodNotAllowed, r.Method)
}

func knownPlural(kind string) bool {
	switch kind {
	case afobject.KindShards, afobject.KindShares, afobject.KindClaims, afobject.KindVMs, afobject.ConfigurationPath:
		return true
	}
	return afobject.IsConfigurationKind(kind)
}

func within(collection, kind string) bool {
	return collection == kind || collection == afobject.ConfigurationPath && afobject.IsConfigurationKind(kind)
}

func (p *Platform) serveWrite(r *http.Request, kind, name string) (int, any) {
	if kind == afobject.ConfigurationPath {
		return http.StatusMethodNotAllowed, status(http.StatusMethodNotAllowed, "collection is read-only")
	}
	if r.Method == http.MethodDelete {
		version, err := strconv.ParseInt(r.URL.Query().Get("resourceVersion"), 10, 64)
		if err != nil {
			return http.StatusBadRequest, status(http.StatusBadRequest, "resourceVersion: "+err.Error())
		}
		return p.store(afobject.Object{Kind: kind, Name: name, Version: version}, r.Method)
	}
	var in wireObject
	if err := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxRequestBodyBytes)).Decode(&in); err != nil {
		return http.StatusBadRequest, status(http.StatusBadRequest, err.Error())
	}
	if len(in.Spec) > maxObjectBytes {
		return http.StatusRequestEntityTooLarge, status(http.StatusRequestEntityTooLarge, "object above 1 MB")
	}
	if name == "" {
		name = in.Metadata.Name
	}
	if name == "" || name != in.Metadata.Name {
		return http.StatusBadRequest, status(http.StatusBadRequest, "metadata.name differs from the path")
	}
	o := afobject.Object{Kind: kind, Name: name, Spec: in.Spec}
	if v := in.Metadata.ResourceVersion; v != "" {
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil {
			return http.StatusBadRequest, status(http.StatusBadRequest, "resourceVersion: "+err.Error())
		}
		o.Version = n
	}
	return p.store(o, r.Method)
}

// store carries out a conditional write.
func (p *Platform) store(o afobject.Object, method string) (int, any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	current, exists := p.objects[objectKey{o.Kind, o.Name}]
	// The platform maintains the vms list itself, so that tests may set it without a version.
	forced := o.Kind == afobject.KindVMs && method == http.MethodPut && o.Version == 0
	switch {
	case method == http.MethodPost && exists:
		return http.StatusConflict, status(http.StatusConflict, "object exists")
	case method != http.MethodPost && !exists && !forced:
		return http.StatusNotFound, status(http.StatusNotFound, "no such object")
	case method != http.MethodPost && !forced && current.Version != o.Version:
		return http.StatusConflict, status(http.StatusConflict, "object has version "+strconv.FormatInt(current.Version, 10))
	}
	event := afobject.Modified
	switch {
	case method == http.MethodDelete:
		event = afobject.Deleted
	case !exists:
		event = afobject.Added
	}
	return http.StatusOK, encode(p.commit(event, o))
}

// commit applies a change and wakes the watches. The caller holds the mutex.
func (p *Platform) commit(t afobject.EventType, o afobject.Object) afobject.Object {
	if p.objects == nil {
		p.objects = make(map[objectKey]afobject.Object)
		p.latest = make(map[string]int64)
		p.dropped = make(map[string]int64)
	}
	id := objectKey{o.Kind, o.Name}
	before, exists := p.objects[id]
	if o.Kind == afobject.KindVMs && p.VMListDelay > 0 {
		p.lagged = append(p.lagged, laggedObject{time.Now().Add(p.VMListDelay), o.Name, before, exists})
	}
	p.version++
	o.Version = p.version
	if t == afobject.Deleted {
		o.Spec = before.Spec
		delete(p.objects, id)
	} else {
		p.objects[id] = o
	}
	p.latest[o.Kind] = p.version
	p.log = append(p.log, afobject.Event{Type: t, Object: o})
	limit := p.HistoryLimit
	if limit <= 0 {
		limit = defaultHistory
	}
	if n := len(p.log) - limit; n > 0 {
		for _, e := range p.log[:n] {
			p.dropped[e.Object.Kind] = e.Object.Version
		}
		p.log = append([]afobject.Event(nil), p.log[n:]...)
	}
	p.wake()
	return o
}

func (p *Platform) wake() {
	if p.changed != nil {
		close(p.changed)
	}
	p.changed = make(chan struct{})
}

// PutObject stores an object whatever its version, as another writer would.
func (p *Platform) PutObject(kind, name string, spec any) (int64, error) {
	b, err := json.Marshal(spec)
	if err != nil {
		return 0, &Error{Op: "put " + kind + "/" + name, Kind: MalformedValue, Err: err}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	t := afobject.Added
	if _, ok := p.objects[objectKey{kind, name}]; ok {
		t = afobject.Modified
	}
	return p.commit(t, afobject.Object{Kind: kind, Name: name, Spec: b}).Version, nil
}

// RemoveObject deletes an object whatever its version and reports whether it existed.
func (p *Platform) RemoveObject(kind, name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.objects[objectKey{kind, name}]; !ok {
		return false
	}
	p.commit(afobject.Deleted, afobject.Object{Kind: kind, Name: name})
	return true
}
