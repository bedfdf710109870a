package aftable

import (
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afobject"
)

// The kinds of messages between VMs.
const (
	// KindVersion names the version of the configuration in force at the sender.
	KindVersion = "config"
	// KindFetch asks for the configuration in force.
	KindFetch = "fetch"
)

// versionMessage names the version of the configuration in force, or zero.
type versionMessage struct {
	Version int64 `msgpack:"version"`
}

// configurationMessage is a configuration as the platform stored it.
type configurationMessage struct {
	Name    string `msgpack:"name"`
	Version int64  `msgpack:"version"` // Version is the version of the object.
	Spec    []byte `msgpack:"spec"`
}

// sendVersions sends the version in force to VMs.
func (s *Service) sendVersions(vms []arbutusfork.VM) {
	m := versionMessage{Version: s.version()}
	for _, vm := range vms {
		if err := s.SendToVM(vm.Name, KindVersion, m); err != nil {
			s.Log.Debug("configuration version not sent", "to", vm.Name, "error", err)
		}
	}
}

// HandleVersion compares the version of another VM with that in force: a VM with an older one is told, and a newer one is
// fetched.
func (s *Service) HandleVersion(from arbutusfork.Incarnation, body []byte) (any, error) {
	var m versionMessage
	if err := msgpack.Unmarshal(body, &m); err != nil {
		return nil, &Error{Op: "version", Kind: MalformedMessage, Err: err}
	}
	own := s.version()
	switch {
	case m.Version < own:
		s.sendVersions([]arbutusfork.VM{{Name: from.VM}})
	case m.Version > own:
		s.scheduleFetch(from.VM, m.Version)
	}
	return nil, nil
}

// scheduleFetch fetches the configuration of a VM unless the version arrives from the platform before. A VM that has just
// started does not wait for that.
func (s *Service) scheduleFetch(vm string, version int64) {
	delay := fetchDelay
	if s.isStarting(s.Timer.Now()) {
		delay = 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isFetching {
		return
	}
	s.isFetching = true
	s.Timer.CallAfter(delay, func(time.Time) { go s.fetch(vm, version) })
}

// fetch fetches the configuration of a VM if its version is still newer than that in force.
func (s *Service) fetch(vm string, version int64) {
	defer func() {
		s.mu.Lock()
		s.isFetching = false
		s.mu.Unlock()
	}()
	if version <= s.version() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	var m configurationMessage
	if err := s.CallVM(ctx, vm, KindFetch, struct{}{}, &m); err != nil {
		s.Log.Info("configuration not fetched", "from", vm, "version", version, "error", err)
		return
	}
	if len(m.Spec) > 0 {
		s.Log.Info("configuration fetched from another VM", "from", vm, "version", version, "in_force", s.version())
		s.Apply(afobject.Object{Name: m.Name, Version: m.Version, Spec: m.Spec})
	}
}

// HandleFetch returns the configuration in force, or an empty one.
func (s *Service) HandleFetch(arbutusfork.Incarnation, []byte) (any, error) {
	c := s.current.Load()
	if c == nil {
		return configurationMessage{}, nil
	}
	return configurationMessage{Name: c.name, Version: c.objectVersion, Spec: c.spec}, nil
}
