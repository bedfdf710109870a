package afcontrol

import (
	"context"

	"github.com/vmihailenco/msgpack/v5"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afplacement"
)

// The kinds of peer messages. The service's handlers are registered under them.
const (
	KindDemand      = "demand"
	KindTablePart   = "table"
	KindFetchPart   = "fetch"
	KindFenceSender = "release"
	KindOwner       = "owner"
)

// pullMessage asks for a shard's part of the routing table.
type pullMessage struct {
	Shard string `msgpack:"shard"`
}

// ownerMessage names the owner of a shard.
type ownerMessage struct {
	Shard string                  `msgpack:"shard"`
	Owner arbutusfork.Incarnation `msgpack:"owner"`
	Epoch int64                   `msgpack:"epoch"`
}

// releaseMessage asks the sender to send nothing below the fence any more.
type releaseMessage struct {
	Shard  string                  `msgpack:"shard"`
	Sender arbutusfork.Incarnation `msgpack:"sender"`
	Fence  int64                   `msgpack:"fence"`
}

// releaseAnswer states that the sender will send nothing below the fence, if OK. Doubt are its orders of unknown fate.
type releaseAnswer struct {
	Fenced           bool    `msgpack:"ok"`
	UnresolvedOrders []int64 `msgpack:"doubt"`
}

// HandleDemand takes another VM's demand.
func (s *Service) HandleDemand(from arbutusfork.Incarnation, body []byte) (any, error) {
	s.init()
	var m demandMessage
	if err := msgpack.Unmarshal(body, &m); err != nil {
		return nil, &Error{Op: "demand", Kind: MalformedMessage, Err: err}
	}
	s.ring.Push(func() { s.take(from.VM, m) })
	return nil, nil
}

// HandleOwner takes the name of a shard's owner.
func (s *Service) HandleOwner(_ arbutusfork.Incarnation, body []byte) (any, error) {
	s.init()
	var m ownerMessage
	if err := msgpack.Unmarshal(body, &m); err != nil {
		return nil, &Error{Op: "owner", Kind: MalformedMessage, Err: err}
	}
	s.ring.Push(func() {
		if sh := s.shards[m.Shard]; sh != nil && m.Epoch > sh.told.Epoch {
			sh.told = m
			s.again()
		}
	})
	return nil, nil
}

// HandleTablePart takes a part of the routing table, unless a newer one is known.
func (s *Service) HandleTablePart(_ arbutusfork.Incarnation, body []byte) (any, error) {
	p, err := afplacement.DecodeTablePart(body)
	if err != nil {
		return nil, &Error{Op: "table", Kind: MalformedMessage, Err: err}
	}
	s.adopt(p)
	return nil, nil
}

// HandleFetchPart answers with a part of the routing table.
func (s *Service) HandleFetchPart(_ arbutusfork.Incarnation, body []byte) (any, error) {
	var m pullMessage
	if err := msgpack.Unmarshal(body, &m); err != nil {
		return nil, &Error{Op: "pull", Kind: MalformedMessage, Err: err}
	}
	p, ok := s.RoutingTable().Part(m.Shard)
	if !ok || p.FilteredFor != "" {
		return nil, &Error{Op: "pull " + m.Shard, Kind: UnknownShard}
	}
	return p, nil
}

// HandleFenceSender makes this VM send nothing below the fence any more and answers which orders are of unknown fate.
func (s *Service) HandleFenceSender(_ arbutusfork.Incarnation, body []byte) (any, error) {
	var m releaseMessage
	if err := msgpack.Unmarshal(body, &m); err != nil {
		return nil, &Error{Op: "release", Kind: MalformedMessage, Err: err}
	}
	if m.Sender != s.Self {
		// Another incarnation on this VM cannot speak for the one that sent the orders.
		return releaseAnswer{}, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var answer releaseAnswer
	ok := s.ask(ctx, func() {
		sh := s.shards[m.Shard]
		if sh == nil {
			return
		}
		s.step(sh, afplacement.SendFenceRaised{Fence: m.Fence})
		answer = releaseAnswer{Fenced: true, UnresolvedOrders: sh.view.UnresolvedOrders()}
	})
	if !ok {
		return nil, &Error{Op: "release " + m.Shard, Kind: ServiceEnded}
	}
	return answer, nil
}

// HandleDigests pulls the parts of the routing table of which the peer has a newer publication. In a large fleet each
// VM gets what it needs from the owners.
func (s *Service) HandleDigests(from arbutusfork.Incarnation, digest map[string]int64) {
	s.init()
	if s.large() {
		return
	}
	table := s.RoutingTable()
	for name, d := range digest {
		if p, ok := table.Part(name); !ok || d > p.Digest() {
			s.ring.Push(func() { s.pull(from.VM, name, d) })
		}
	}
}

func (s *Service) pull(vm, name string, digest int64) {
	if p, ok := s.RoutingTable().Part(name); ok && p.Digest() >= digest {
		return
	}
	s.spawn(func(ctx context.Context) func() {
		var p afplacement.TablePart
		if err := s.CallVM(ctx, vm, KindFetchPart, pullMessage{Shard: name}, &p); err != nil {
			s.Log.Debug("routing table not pulled", "vm", vm, "shard", name, "error", err)
			return nil
		}
		return func() { s.adopt(p) }
	})
}

func (s *Service) askRelease(sh *shard, e afplacement.FenceSender) {
	s.spawn(func(ctx context.Context) func() {
		var answer releaseAnswer
		m := releaseMessage{Shard: sh.name, Sender: e.Sender, Fence: e.Fence}
		if err := s.CallVM(ctx, e.Sender.VM, KindFenceSender, m, &answer); err != nil || !answer.Fenced {
			return nil
		}
		return func() {
			s.step(sh, afplacement.SenderFenced{Sender: e.Sender, Fence: e.Fence, UnresolvedOrders: answer.UnresolvedOrders})
		}
	})
}
