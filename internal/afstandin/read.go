package afstandin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"arbutusfork.example/arbutusfork/pkg/afobject"
)

type wireMetadata struct {
	Name            string `json:"name,omitempty"`
	ResourceVersion string `json:"resourceVersion,omitempty"`
}

type wireObject struct {
	Kind     string          `json:"kind,omitempty"`
	Metadata wireMetadata    `json:"metadata"`
	Spec     json.RawMessage `json:"spec,omitempty"`
}

type wireList struct {
	Metadata wireMetadata `json:"metadata"`
	Items    []wireObject `json:"items"`
}

type wireEvent struct {
	Type   string `json:"type"`
	Object any    `json:"object"`
}

type wireStatus struct {
	Kind    string `json:"kind"`
	Code    int    `json:"code"`
	Message string `json:"message"`
}

func encode(o afobject.Object) wireObject {
	return wireObject{
		Kind:     o.Kind,
		Metadata: wireMetadata{Name: o.Name, ResourceVersion: strconv.FormatInt(o.Version, 10)},
		Spec:     o.Spec,
	}
}

func status(code int, message string) wireStatus {
	return wireStatus{Kind: "Status", Code: code, Message: message}
}

func writeStatus(w http.ResponseWriter, code int, message string) {
	writeJSON(w, code, status(code, message))
}

func writeJSON(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(body) // The reader is gone; there is nobody to tell.
}

func (p *Platform) serveRead(w http.ResponseWriter, r *http.Request, kind, name string) {
	query := r.URL.Query()
	switch {
	case query.Get("watch") == "true":
		p.serveWatch(w, r, kind)
	case name != "":
		o, ok := p.visible(kind, name)
		if !ok {
			writeStatus(w, http.StatusNotFound, "no such object")
			return
		}
		writeJSON(w, http.StatusOK, encode(o))
	default:
		limit, _ := strconv.Atoi(query.Get("limit")) // An absent limit means all.
		partial := strings.Contains(r.Header.Get("Accept"), "as=PartialObjectMetadataList")
		writeJSON(w, http.StatusOK, p.list(kind, limit, partial))
	}
}

func (p *Platform) visible(kind, name string) (afobject.Object, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if kind == afobject.KindVMs {
		o, ok := p.laggedVMs()[name]
		return o, ok
	}
	o, ok := p.objects[objectKey{kind, name}]
	return o, ok
}

func (p *Platform) list(collection string, limit int, partial bool) wireList {
	p.mu.Lock()
	defer p.mu.Unlock()
	var objects []afobject.Object
	if collection == afobject.KindVMs {
		for _, o := range p.laggedVMs() {
			objects = append(objects, o)
		}
	} else {
		for _, o := range p.objects {
			if within(collection, o.Kind) {
				objects = append(objects, o)
			}
		}
	}
	slices.SortFunc(objects, func(a, b afobject.Object) int {
		if c := strings.Compare(a.Kind, b.Kind); c != 0 {
			return c
		}
		return strings.Compare(a.Name, b.Name)
	})
	if limit > 0 && len(objects) > limit {
		objects = objects[:limit]
	}
	out := wireList{
		Metadata: wireMetadata{ResourceVersion: strconv.FormatInt(p.collectionVersion(collection), 10)},
		Items:    make([]wireObject, 0, len(objects)),
	}
	for _, o := range objects {
		if partial {
			o.Spec = nil
		}
		out.Items = append(out.Items, encode(o))
	}
	return out
}

// collectionVersion returns the version of the latest change in the collection. The caller holds the mutex.
func (p *Platform) collectionVersion(collection string) int64 { return newest(p.latest, collection) }

func newest(versions map[string]int64, collection string) int64 {
	var v int64
	for kind, version := range versions {
		if within(collection, kind) {
			v = max(v, version)
		}
	}
	return v
}

// laggedVMs returns the vms list as it was before the lag. The caller holds the mutex.
func (p *Platform) laggedVMs() map[string]afobject.Object {
	out := make(map[string]afobject.Object)
	for id, o := range p.objects {
		if id.kind == afobject.KindVMs {
			out[id.name] = o
		}
	}
	now := time.Now()
	p.lagged = slices.DeleteFunc(p.lagged, func(l laggedObject) bool { return !l.until.After(now) })
	for _, l := range slices.Backward(p.lagged) {
		if l.exists {
			out[l.name] = l.before
		} else {
			delete(out, l.name)
		}
	}
	return out
}

func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	since, err := strconv.ParseInt(r.URL.Query().Get("resourceVersion"), 10, 64)
	if err != nil {
		writeStatus(w, http.StatusBadRequest, "resourceVersion: "+err.Error())
		return
	}
	p.count(countWatch, r)
	defer p.count(countWatchEnd, r)
	flusher := http.NewResponseController(w)
	bookmark := p.BookmarkInterval
	if bookmark <= 0 {
		bookmark = defaultBookmark
	}
	ticker := time.NewTicker(bookmark)
	defer ticker.Stop()
	out := json.NewEncoder(w)
	started := false
	for {
		events, next, wait, ok := p.pending(kind, since)
		if p.cutOff(r) {
			panic(http.ErrAbortHandler)
		}
		if p.silenced(r) {
			<-r.Context().Done()
			return
		}
		if !ok {
			gone := status(http.StatusGone, "version too old")
			if !started {
				writeJSON(w, http.StatusGone, gone)
			} else {
				_ = out.Encode(wireEvent{Type: "ERROR", Object: gone}) // The stream ends in either case.
			}
			return
		}
		if !started {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusOK)
			started = true
		}
		for _, e := range events {
			if out.Encode(wireEvent{Type: e.Type.String(), Object: encode(e.Object)}) != nil {
				return
			}
		}
		since = next
		if flusher.Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-wait:
		case <-ticker.C:
			mark := encode(afobject.Object{Kind: kind, Version: since})
			if out.Encode(wireEvent{Type: afobject.Bookmark.String(), Object: mark}) != nil {
				return
			}
		}
	}
}

// pending returns the changes after since, the version that they reach and a channel that is closed at the
// next change. It reports false if changes after since are no longer kept.
func (p *Platform) pending(collection string, since int64) ([]afobject.Event, int64, <-chan struct{}, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.changed == nil {
		p.changed = make(chan struct{})
	}
	if since < newest(p.dropped, collection) {
		return nil, since, p.changed, false
	}
	var events []afobject.Event
	for _, e := range p.log {
		if e.Object.Version <= since {
			continue
		}
		if within(collection, e.Object.Kind) {
			since = e.Object.Version
			events = append(events, e)
		}
	}
	return events, since, p.changed, true
}
