package afcontrol

import (
	"context"

	"github.com/vmihailenco/msgpack/v5"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afplacement"
)

// The kinds of messages between VMs for which the service has handlers.
const (
	// KindDemand reports a VM's demand to the owner of a shard.
	KindDemand = "demand"
	// KindTablePart publishes a part of the routing table.
	KindTablePart = "table"
	// KindFetchPart requests a part of the routing table.
	KindFetchPart = "fetch"
	// KindFenceSender requests that an earlier sender send no more orders below a fence.
	KindFenceSender = "release"
	// KindOwner names the owner of a shard.
	KindOwner = "owner"
)

// fetchPartMessage requests a shard's part of the routing table.
type fetchPartMessage struct {
	Shard string `msgpack:"shard"`
}

// ownerMessage names the owner of a shard.
type ownerMessage struct {
	Shard string                  `msgpack:"shard"`
	Owner arbutusfork.Incarnation `msgpack:"owner"`
	Epoch int64                   `msgpack:"epoch"`
}

// fenceMessage requests that the sender send no more orders below the fence.
type fenceMessage struct {
	Shard  string                  `msgpack:"shard"`
	Sender arbutusfork.Incarnation `msgpack:"sender"`
	Fence  int64                   `msgpack:"fence"`
}

// fenceAnswer is the answer to a fenceMessage.
type fenceAnswer struct {
	// Fenced means that the sender sends no more orders below the fence.
	Fenced bool `msgpack:"ok"`
	// UnresolvedOrders are the IDs of the sender's orders without a known outcome.
	UnresolvedOrders []int64 `msgpack:"doubt"`
}

// HandleDemand applies another VM's demand.
func (s *Service) HandleDemand(from arbutusfork.Incarnation, body []byte) (any, error) {
	s.init()
	var m demandMessage
	if err := msgpack.Unmarshal(body, &m); err != nil {
		return nil, &Error{Op: "demand", Kind: MalformedMessage, Err: err}
	}
	s.loopQueue.TryPush(func() { s.applyDemand(from.VM, m) })
	return nil, nil
}

// HandleOwner records the owner of a shard that another VM has sent.
func (s *Service) HandleOwner(_ arbutusfork.Incarnation, body []byte) (any, error) {
	s.init()
	var m ownerMessage
	if err := msgpack.Unmarshal(body, &m); err != nil {
		return nil, &Error{Op: "owner", Kind: MalformedMessage, Err: err}
	}
	s.loopQueue.TryPush(func() {
		if sh := s.shards[m.Shard]; sh != nil && m.Epoch > sh.announcedOwner.Epoch {
			sh.announcedOwner = m
			s.repeatUrgentDemand()
		}
	})
	return nil, nil
}

// HandleTablePart adopts a part of the routing table, unless this VM has a newer one.
func (s *Service) HandleTablePart(_ arbutusfork.Incarnation, body []byte) (any, error) {
	p, err := afplacement.DecodeTablePart(body)
	if err != nil {
		return nil, &Error{Op: "table", Kind: MalformedMessage, Err: err}
	}
	s.adoptPart(p)
	return nil, nil
}

// HandleFetchPart returns a whole part of the routing table.
func (s *Service) HandleFetchPart(_ arbutusfork.Incarnation, body []byte) (any, error) {
	var m fetchPartMessage
	if err := msgpack.Unmarshal(body, &m); err != nil {
		return nil, &Error{Op: "pull", Kind: MalformedMessage, Err: err}
	}
	p, ok := s.RoutingTable().Part(m.Shard)
	if !ok || p.FilteredFor != "" {
		return nil, &Error{Op: "pull " + m.Shard, Kind: UnknownShard}
	}
	return p, nil
}

// HandleFenceSender makes this VM send no more orders below the fence, and returns the orders without a known outcome.
func (s *Service) HandleFenceSender(_ arbutusfork.Incarnation, body []byte) (any, error) {
	var m fenceMessage
	if err := msgpack.Unmarshal(body, &m); err != nil {
		return nil, &Error{Op: "release", Kind: MalformedMessage, Err: err}
	}
	if m.Sender != s.Self {
		// This incarnation does not know which orders an earlier one on this VM has sent.
		return fenceAnswer{}, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var answer fenceAnswer
	ok := s.runOnLoop(ctx, func() {
		sh := s.shards[m.Shard]
		if sh == nil {
			return
		}
		s.applyEvent(sh, afplacement.SendFenceRaised{Fence: m.Fence})
		answer = fenceAnswer{Fenced: true, UnresolvedOrders: sh.view.UnresolvedOrders()}
	})
	if !ok {
		return nil, &Error{Op: "release " + m.Shard, Kind: ServiceEnded}
	}
	return answer, nil
}

// HandleTableVersions fetches the parts of the routing table of which the peer has a newer publication. In a large fleet
// it does nothing, because the owners send each VM the entries that it needs.
func (s *Service) HandleTableVersions(from arbutusfork.Incarnation, versions map[string]afplacement.PartVersion) {
	s.init()
	if s.isLargeFleet() {
		return
	}
	table := s.RoutingTable()
	for name, v := range versions {
		if p, ok := table.Part(name); !ok || v.IsNewerThan(p.Version()) {
			s.loopQueue.TryPush(func() { s.fetchPart(from.VM, name, v) })
		}
	}
}

// fetchPart fetches a shard's part of the routing table from another VM, unless this VM has that publication.
func (s *Service) fetchPart(vm, name string, version afplacement.PartVersion) {
	if p, ok := s.RoutingTable().Part(name); ok && !version.IsNewerThan(p.Version()) {
		return
	}
	s.startCall(func(ctx context.Context) func() {
		var p afplacement.TablePart
		if err := s.CallVM(ctx, vm, KindFetchPart, fetchPartMessage{Shard: name}, &p); err != nil {
			s.Log.Debug("routing table not fetched", "vm", vm, "shard", name, "error", err)
			return nil
		}
		return func() { s.adoptPart(p) }
	})
}

// fenceSender requests an earlier sender's confirmation that it sends no more orders below the fence.
func (s *Service) fenceSender(sh *shard, e afplacement.FenceSender) {
	s.startCall(func(ctx context.Context) func() {
		var answer fenceAnswer
		m := fenceMessage{Shard: sh.name, Sender: e.Sender, Fence: e.Fence}
		if err := s.CallVM(ctx, e.Sender.VM, KindFenceSender, m, &answer); err != nil || !answer.Fenced {
			return nil
		}
		return func() {
			s.applyEvent(sh, afplacement.SenderFenced{Sender: e.Sender, Fence: e.Fence, UnresolvedOrders: answer.UnresolvedOrders})
		}
	})
}
