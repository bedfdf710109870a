package afsync

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afconfig"
	"arbutusfork.example/arbutusfork/pkg/afobject"
)

const (
	// kindChangesRequest is the kind of the message that carries a changesRequest.
	kindChangesRequest = "pull"
	// maxPageBytes limits the size of the objects in one page, well below the frame limit. A page holds at least one
	// object, even a larger one.
	maxPageBytes = 1 << 20
	// pullTimeout limits the requests for all pages, or for the list of VMs, to one peer.
	pullTimeout = 5 * time.Second
)

// changesRequest asks a peer for a page of the configuration changes after a version.
type changesRequest struct {
	// Since is the version after which changes are requested.
	Since int64 `msgpack:"since"`
	// Version is the configuration version of the pages received so far, or zero.
	Version int64 `msgpack:"version,omitempty"`
	// Skip is the number of objects received so far.
	Skip int `msgpack:"skip,omitempty"`
	// Held requests the objects instead that the store may have lost.
	Held bool `msgpack:"held,omitempty"`
}

// changesPage is one page of configuration changes. It follows the first Skip changed objects.
type changesPage struct {
	// Version is the configuration version of the peer.
	Version int64 `msgpack:"version"`
	// Full means that the pages together hold all objects.
	Full bool `msgpack:"full,omitempty"`
	Skip int  `msgpack:"skip,omitempty"`
	// Baseline is the version up to which objects of its era may be older copies.
	Baseline int64 `msgpack:"base,omitempty"`
	// Holding means that the peer may hold objects that the store has lost.
	Holding bool `msgpack:"holding,omitempty"`
	// More means that another page follows.
	More    bool         `msgpack:"more,omitempty"`
	Objects []pageObject `msgpack:"objects"`
}

// pageObject is a changed object. A deleted object has no Spec.
type pageObject struct {
	Kind    string `msgpack:"kind"`
	Name    string `msgpack:"name"`
	Version int64  `msgpack:"version"`
	Spec    []byte `msgpack:"spec,omitempty"`
}

// answerChangesRequest returns the page that follows the first Skip objects. It returns the first page if the version of
// the configuration has changed since the previous page.
func (s *Service) answerChangesRequest(_ arbutusfork.Incarnation, body []byte) (any, error) {
	var request changesRequest
	if err := msgpack.Unmarshal(body, &request); err != nil {
		return nil, &Error{Op: "pull", Kind: MalformedMessage, Err: err}
	}
	d := s.Snapshot().ChangesSince(request.Since)
	if request.Held {
		d.Objects, d.IsFull = s.Snapshot().HeldObjects(), false
	}
	page := changesPage{Version: d.Version, Full: d.IsFull, Baseline: d.Baseline, Holding: d.IsHolding}
	if request.Version == d.Version && request.Skip > 0 && request.Skip <= len(d.Objects) {
		page.Skip = request.Skip
	}
	size := 0
	for _, o := range d.Objects[page.Skip:] {
		if size > 0 && size+len(o.Spec) > maxPageBytes {
			page.More = true
			break
		}
		size += len(o.Spec)
		page.Objects = append(page.Objects, pageObject{o.Kind, o.Name, o.Version, o.Spec})
	}
	return page, nil
}

// pullChanges fetches from another VM the changes that this VM lacks, unless a fetch is in progress.
func (s *Service) pullChanges(vm string) {
	if s.isPullingChanges {
		return
	}
	s.isPullingChanges = true
	since := s.Version()
	go func() {
		d, err := s.fetchPages(vm, since, false)
		s.events.PushWithContext(s.ctx, func() {
			s.isPullingChanges = false
			if err != nil {
				s.log().Warn("fetching configuration changes from a peer failed", "vm", vm, "since", since, "error", err)
				return
			}
			s.applyDelta(d, vm)
		})
	}()
}

// fetchPages requests all pages of the changes after a version, or of the objects that the peer holds although the store may
// have lost them. It starts again when the peer's version changes.
func (s *Service) fetchPages(vm string, since int64, held bool) (afconfig.Delta, error) {
	ctx, cancel := context.WithTimeout(s.ctx, pullTimeout)
	defer cancel()
	d := afconfig.Delta{BaseVersion: since}
	for {
		var page changesPage
		request := changesRequest{Since: since, Version: d.Version, Skip: len(d.Objects), Held: held}
		if err := s.CallVM(ctx, vm, kindChangesRequest, request, &page); err != nil {
			return d, err
		}
		if page.Skip != len(d.Objects) {
			if page.Skip != 0 {
				return d, &Error{Op: "pull", Kind: MalformedMessage, Err: errors.Errorf("page starts after %d objects", page.Skip)}
			}
			d.Objects = nil
		}
		d.Version, d.IsFull, d.Baseline, d.IsHolding = page.Version, page.Full, page.Baseline, page.Holding
		for _, o := range page.Objects {
			d.Objects = append(d.Objects, afobject.Object{Kind: o.Kind, Name: o.Name, Version: o.Version, Spec: o.Spec})
		}
		if !page.More {
			return d, nil
		}
	}
}
