package afkeeper

import (
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afengine"
)

// The kinds of peer messages by which the holder passes the endpoints on, so that each VM need not watch them itself.
const (
	KindEndpointUpdate      = "relay"
	KindEndpointListRequest = "list"
)

// relay is a change of the endpoints, or all of them if Whole is set.
type relay struct {
	Epoch int64 `msgpack:"epoch"`
	// Seq counts the changes that the holder passed on. A VM that missed one asks for all.
	Seq     int64        `msgpack:"seq"`
	Whole   bool         `msgpack:"whole,omitempty"`
	Entries []relayEntry `msgpack:"entries,omitempty"`
	Removed []string     `msgpack:"removed,omitempty"`
}

// relayEntry is an endpoint without what the view says of it.
type relayEntry struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // msgpack looks the field up by name.

	ID, Service, Address, Centre string
	Slots, State                 int
	Born                         int64
	// Leaves is in milliseconds.
	Leaves int64
}

func encodeEntry(e afengine.EndpointEntry) relayEntry {
	return relayEntry{
		ID: e.ID, Service: e.Service, Address: e.Address, Centre: e.Centre, Slots: e.Slots, State: int(e.State), Born: e.StartUnixMs,
		Leaves: e.RemainingLifetime.Milliseconds(),
	}
}

func (e relayEntry) decode() afengine.EndpointEntry {
	return afengine.EndpointEntry{
		ID: e.ID, Service: e.Service, Address: e.Address, Centre: e.Centre, Slots: e.Slots, State: afengine.State(e.State),
		StartUnixMs: e.Born, RemainingLifetime: time.Duration(e.Leaves) * time.Millisecond,
	}
}

// relayState is what a VM knows of the holder's relay.
type relayState struct {
	epoch, seq int64
	// whole means that all endpoints of the epoch are known up to seq.
	whole bool
	// asking is set while all endpoints are asked for.
	asking bool
}

// RelayEndpoints passes a change of the endpoints on, if this VM holds the lease.
func (s *Service) RelayEndpoints(changed []afengine.EndpointEntry, removed []string) {
	s.mu.Lock()
	held, epoch := s.lease.IsHolder(s.BootTime()), s.lease.Epoch()
	if !held {
		s.mu.Unlock()
		return
	}
	s.relaySeq++
	m := relay{Epoch: epoch, Seq: s.relaySeq, Removed: removed}
	s.mu.Unlock()
	for _, e := range changed {
		m.Entries = append(m.Entries, encodeEntry(e))
	}
	for _, vm := range s.others() {
		if err := s.SendToVM(vm.Name, KindEndpointUpdate, m); err != nil {
			s.Log.Debug("endpoints not passed on", "to", vm.Name, "error", err)
		}
	}
}

// HandleEndpointUpdate takes a change of the endpoints from the holder.
func (s *Service) HandleEndpointUpdate(from arbutusfork.Incarnation, body []byte) (any, error) {
	var m relay
	if err := msgpack.Unmarshal(body, &m); err != nil {
		return nil, &Error{Op: "relay", Kind: MalformedMessage, Err: err}
	}
	s.mu.Lock()
	r := &s.relayed
	fits := r.whole && m.Epoch == r.epoch && m.Seq == r.seq+1 && s.holder == from.VM
	if fits {
		r.seq = m.Seq
	}
	s.mu.Unlock()
	if fits {
		s.take(m)
	}
	return nil, nil
}

// take passes the holder's word on to the roster.
func (s *Service) take(m relay) {
	entries := make([]afengine.EndpointEntry, 0, len(m.Entries))
	for _, e := range m.Entries {
		entries = append(entries, e.decode())
	}
	s.ApplyEndpoints(entries, m.Removed, m.Whole)
}

// HandleEndpointListRequest answers a VM that asks for all endpoints.
func (s *Service) HandleEndpointListRequest(arbutusfork.Incarnation, []byte) (any, error) {
	s.mu.Lock()
	m := relay{Epoch: s.lease.Epoch(), Seq: s.relaySeq, Whole: s.lease.IsHolder(s.BootTime())}
	s.mu.Unlock()
	if !m.Whole || !s.KnowsAllEndpoints() {
		m.Whole = false
		return m, nil
	}
	for _, e := range s.Roster.Entries() {
		m.Entries = append(m.Entries, encodeEntry(e))
	}
	return m, nil
}

// follow compares what this VM knows with the holder's view and asks for all endpoints if it missed a change.
func (s *Service) follow(holder string, epoch, seq int64) {
	s.mu.Lock()
	r := &s.relayed
	if r.whole && r.epoch == epoch && r.seq == seq || r.asking {
		s.mu.Unlock()
		return
	}
	if r.epoch != epoch {
		r.whole = false
	}
	r.asking = true
	s.mu.Unlock()
	go s.pull(holder)
}

func (s *Service) pull(holder string) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var m relay
	err := s.CallVM(ctx, holder, KindEndpointListRequest, struct{}{}, &m)
	s.mu.Lock()
	s.relayed.asking = false
	ok := err == nil && m.Whole
	if ok {
		s.relayed = relayState{epoch: m.Epoch, seq: m.Seq, whole: true}
	}
	s.mu.Unlock()
	if err != nil {
		s.Log.Info("endpoints not learnt from the holder", "holder", holder, "error", err)
	}
	if ok {
		s.take(m)
	}
}

// ReceivesEndpoints reports whether this VM learns of the endpoints from a holder that it hears, so that it need not watch them.
func (s *Service) ReceivesEndpoints() bool {
	if !s.ReceivesPlacementViews() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.relayed.whole && s.relayed.epoch == s.lease.Epoch()
}
