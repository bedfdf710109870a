package afkeeper

import (
	"context"
	"net/netip"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afengine"
)

// The kinds of messages by which VMs get the endpoints from the holder, so that they need not watch them on the platform.
const (
	// KindEndpointUpdate carries a change of the endpoints from the holder to a VM.
	KindEndpointUpdate = "relay"
	// KindEndpointListRequest requests all endpoints from the holder.
	KindEndpointListRequest = "list"
)

// endpointUpdate is a change of the endpoints, or the list of all endpoints if IsFullList is set.
type endpointUpdate struct {
	Epoch int64 `msgpack:"epoch"`
	// Seq is the number of updates that the holder has sent. A VM that missed an update requests the full list.
	Seq        int64           `msgpack:"seq"`
	IsFullList bool            `msgpack:"whole,omitempty"`
	Entries    []endpointEntry `msgpack:"entries,omitempty"`
	Removed    []string        `msgpack:"removed,omitempty"`
	// ColdMs holds the remaining cold times of cold endpoints in milliseconds, by ID. It is no field of endpointEntry, since VMs of
	// earlier builds refuse arrays with another number of fields.
	ColdMs map[string]int64 `msgpack:"cold,omitempty"`
}

// endpointEntry is the encoded form of afengine.Entry. It omits the fields that change with the engine's state, which VMs get
// from placement views.
type endpointEntry struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // msgpack looks the field up by name.

	ID, Service, Address, Centre string
	Slots, State                 int
	Born                         int64
	// LeavesMs is in milliseconds.
	LeavesMs int64
}

func encodeEntry(e afengine.EndpointEntry) endpointEntry {
	return endpointEntry{
		ID: e.ID, Service: e.Service, Address: e.Address, Centre: e.Centre, Slots: e.Slots, State: int(e.State), Born: e.StartUnixMs,
		LeavesMs: e.RemainingLifetime.Milliseconds(),
	}
}

// addEntry adds an entry, with the remaining cold time of its endpoint.
func (s *Service) addEntry(m *endpointUpdate, e afengine.EndpointEntry) {
	m.Entries = append(m.Entries, encodeEntry(e))
	if isCold, until := s.Roster.ColdState(e.Start()); isCold {
		if m.ColdMs == nil {
			m.ColdMs = make(map[string]int64)
		}
		m.ColdMs[e.ID] = until.Sub(s.Timer.Now()).Milliseconds()
	}
}

// maxRelayedSlots is the largest number of slots of a relayed entry. Sums of it stay far below the largest int.
const maxRelayedSlots = 1_000_000

// isSound reports whether an entry names an endpoint that a holder may have listed. A field that is missing in the message is
// zero.
func (e endpointEntry) isSound() bool {
	a, err := netip.ParseAddrPort(e.Address)
	isAddress := err == nil && a.Port() > 0 && !a.Addr().IsUnspecified() && !a.Addr().IsMulticast()
	isState := e.State == int(afengine.StateReady) || e.State == int(afengine.StateDraining)
	return e.ID != "" && e.Service != "" && isAddress && isState && e.Slots >= 0 && e.Slots <= maxRelayedSlots && e.Born >= 0 && isMessageTime(e.LeavesMs)
}

func (e endpointEntry) decode() afengine.EndpointEntry {
	return afengine.EndpointEntry{
		ID: e.ID, Service: e.Service, Address: e.Address, Centre: e.Centre, Slots: e.Slots, State: afengine.State(e.State),
		StartUnixMs: e.Born, RemainingLifetime: time.Duration(e.LeavesMs) * time.Millisecond,
	}
}

// endpointSyncState is the state of this VM's copy of the holder's endpoints.
type endpointSyncState struct {
	// epoch and seq identify the last update that was applied.
	epoch, seq int64
	// isComplete means that the copy includes all updates of the epoch up to seq.
	isComplete bool
	// isFetching means that a request for the full list is in progress.
	isFetching bool
}

// RelayEndpoints sends a change of the endpoints to the other VMs if this VM holds the lease. A change that is not sent is
// counted too: if a renewal that is acknowledged late extends the lease, the next view shows the other VMs that they missed it.
func (s *Service) RelayEndpoints(changed []afengine.EndpointEntry, removed []string) {
	s.mu.Lock()
	s.endpointSeq++
	isHolder, epoch := s.lease.IsHolder(s.BootTime()), s.lease.Epoch()
	if !isHolder {
		s.mu.Unlock()
		return
	}
	m := endpointUpdate{Epoch: epoch, Seq: s.endpointSeq, Removed: removed}
	s.mu.Unlock()
	for _, e := range changed {
		s.addEntry(&m, e)
	}
	for _, vm := range s.otherVMs() {
		if err := s.SendToVM(vm.Name, KindEndpointUpdate, m); err != nil {
			s.Log.Debug("endpoint update not sent", "to", vm.Name, "error", err)
		}
	}
}

// HandleEndpointUpdate applies a change of the endpoints from the holder if no earlier update was missed.
func (s *Service) HandleEndpointUpdate(from arbutusfork.Incarnation, body []byte) (any, error) {
	var m endpointUpdate
	if err := msgpack.Unmarshal(body, &m); err != nil {
		return nil, &Error{Op: "relay", Kind: MalformedMessage, Err: err}
	}
	s.mu.Lock()
	r := &s.endpointSync
	isNext := r.isComplete && m.Epoch == r.epoch && m.Seq == r.seq+1 && s.holder == from.VM
	if isNext {
		r.seq = m.Seq
	}
	s.mu.Unlock()
	if isNext {
		s.applyEndpointUpdate(m)
	}
	return nil, nil
}

// applyEndpointUpdate decodes an update and passes it to ApplyEndpoints. An entry that names no endpoint is left out, and the
// endpoint of its ID is removed, as if the platform had shown it.
func (s *Service) applyEndpointUpdate(m endpointUpdate) {
	entries, removed := make([]afengine.EndpointEntry, 0, len(m.Entries)), m.Removed
	for _, e := range m.Entries {
		if !e.isSound() {
			s.Log.Debug("relayed endpoint entry ignored", "endpoint", e.ID)
			removed = append(removed, e.ID)
			continue
		}
		entry := e.decode()
		if ms := m.ColdMs[e.ID]; ms > 0 && isMessageTime(ms) {
			entry.ColdRemaining = time.Duration(ms) * time.Millisecond
		}
		entries = append(entries, entry)
	}
	s.ApplyEndpoints(entries, removed, m.IsFullList)
}

// HandleEndpointListRequest returns all endpoints to another VM. The answer is not a full list if this VM does not hold the
// lease or does not know all endpoints itself.
func (s *Service) HandleEndpointListRequest(arbutusfork.Incarnation, []byte) (any, error) {
	s.mu.Lock()
	m := endpointUpdate{Epoch: s.lease.Epoch(), Seq: s.endpointSeq, IsFullList: s.lease.IsHolder(s.BootTime())}
	s.mu.Unlock()
	if !m.IsFullList || !s.KnowsAllEndpoints() {
		m.IsFullList = false
		return m, nil
	}
	for _, e := range s.Roster.Entries() {
		s.addEntry(&m, e)
	}
	return m, nil
}

// syncEndpoints requests the full list of endpoints if the holder's view shows that this VM missed an update.
func (s *Service) syncEndpoints(holder string, epoch, seq int64) {
	s.mu.Lock()
	r := &s.endpointSync
	if r.isComplete && r.epoch == epoch && r.seq == seq || r.isFetching {
		s.mu.Unlock()
		return
	}
	if r.epoch != epoch {
		r.isComplete = false
	}
	r.isFetching = true
	s.mu.Unlock()
	go s.fetchEndpointList(holder)
}

// ResyncEndpoints makes this VM request the full list of endpoints with the next view.
func (s *Service) ResyncEndpoints() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endpointSync.isComplete = false
}

// fetchEndpointList requests the full list of endpoints from the holder and applies it.
func (s *Service) fetchEndpointList(holder string) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var m endpointUpdate
	err := s.CallVM(ctx, holder, KindEndpointListRequest, struct{}{}, &m)
	s.mu.Lock()
	s.endpointSync.isFetching = false
	// Updates may have overtaken the answer.
	isOlder := s.endpointSync.isComplete && (m.Epoch < s.endpointSync.epoch || m.Epoch == s.endpointSync.epoch && m.Seq < s.endpointSync.seq)
	ok := err == nil && m.IsFullList && !isOlder
	if ok {
		s.endpointSync = endpointSyncState{epoch: m.Epoch, seq: m.Seq, isComplete: true}
	}
	s.mu.Unlock()
	if err != nil {
		s.Log.Info("endpoint list not fetched from placement holder", "holder", holder, "error", err)
	}
	if ok {
		s.applyEndpointUpdate(m)
	}
}

// ReceivesEndpoints reports whether this VM has a complete list of endpoints from an active holder, so that it need not watch
// them on the platform.
func (s *Service) ReceivesEndpoints() bool {
	if !s.ReceivesPlacementViews() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endpointSync.isComplete && s.endpointSync.epoch == s.lease.Epoch()
}
