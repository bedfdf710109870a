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
	kindPull = "pull"
	// pageBytes bounds the objects of one answer well below the frame limit; a page holds at least one object.
	pageBytes   = 1 << 20
	pullTimeout = 5 * time.Second
)

// pull asks for the changes after a version.
type pull struct {
	Since int64 `msgpack:"since"`
	// Version is the version of the pages received before, which Skip objects came with.
	Version int64 `msgpack:"version,omitempty"`
	Skip    int   `msgpack:"skip,omitempty"`
}

// push is one page of the changes.
type push struct {
	Version int64        `msgpack:"version"`
	Full    bool         `msgpack:"full,omitempty"`
	Skip    int          `msgpack:"skip,omitempty"`
	More    bool         `msgpack:"more,omitempty"`
	Objects []pushObject `msgpack:"objects"`
}

type pushObject struct {
	Kind    string `msgpack:"kind"`
	Name    string `msgpack:"name"`
	Version int64  `msgpack:"version"`
	Spec    []byte `msgpack:"spec,omitempty"`
}

// servePull answers with the page that follows Skip objects, or with the first page if the version has changed
// since the pages before.
func (s *Service) servePull(_ arbutusfork.Incarnation, body []byte) (any, error) {
	var in pull
	if err := msgpack.Unmarshal(body, &in); err != nil {
		return nil, &Error{Op: "pull", Kind: MalformedMessage, Err: err}
	}
	d := s.Snapshot().ChangesSince(in.Since)
	out := push{Version: d.Version, Full: d.IsFull}
	if in.Version == d.Version && in.Skip > 0 && in.Skip <= len(d.Objects) {
		out.Skip = in.Skip
	}
	size := 0
	for _, o := range d.Objects[out.Skip:] {
		if size > 0 && size+len(o.Spec) > pageBytes {
			out.More = true
			break
		}
		size += len(o.Spec)
		out.Objects = append(out.Objects, pushObject{o.Kind, o.Name, o.Version, o.Spec})
	}
	return out, nil
}

// pull fetches the changes that another VM has and this one lacks.
func (s *Service) pull(vm string) {
	if s.pulling {
		return
	}
	s.pulling = true
	since := s.Version()
	go func() {
		d, err := s.fetch(vm, since)
		s.events.PushWithContext(s.ctx, func() {
			s.pulling = false
			if err != nil {
				s.log().Warn("pull failed", "vm", vm, "since", since, "error", err)
				return
			}
			s.apply(d, vm)
		})
	}()
}

// fetch collects the pages of one version.
func (s *Service) fetch(vm string, since int64) (afconfig.Delta, error) {
	ctx, cancel := context.WithTimeout(s.ctx, pullTimeout)
	defer cancel()
	d := afconfig.Delta{BaseVersion: since}
	for {
		var page push
		in := pull{Since: since, Version: d.Version, Skip: len(d.Objects)}
		if err := s.CallVM(ctx, vm, kindPull, in, &page); err != nil {
			return d, err
		}
		if page.Skip != len(d.Objects) {
			if page.Skip != 0 {
				return d, &Error{Op: "pull", Kind: MalformedMessage, Err: errors.Errorf("page after %d objects", page.Skip)}
			}
			d.Objects = nil
		}
		d.Version, d.IsFull = page.Version, page.Full
		for _, o := range page.Objects {
			d.Objects = append(d.Objects, afobject.Object{Kind: o.Kind, Name: o.Name, Version: o.Version, Spec: o.Spec})
		}
		if !page.More {
			return d, nil
		}
	}
}
