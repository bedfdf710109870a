package afserve

import (
	"context"
	"time"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/internal/afbooking"
	"arbutusfork.example/arbutusfork/internal/afcontrol"
	"arbutusfork.example/arbutusfork/internal/afdispatch"
	"arbutusfork.example/arbutusfork/internal/afentry"
	"arbutusfork.example/arbutusfork/internal/afoperator"
	"arbutusfork.example/arbutusfork/internal/afpeer"
	"arbutusfork.example/arbutusfork/internal/afquota"
	"arbutusfork.example/arbutusfork/internal/afsync"
	"arbutusfork.example/arbutusfork/pkg/afconfig"
	"arbutusfork.example/arbutusfork/pkg/afplacement"
)

func (s *Server) buildPeers() {
	s.peers = &afpeer.Service{
		Self:    s.self,
		Address: s.Settings.PeerAddress,
		Centre:  s.Settings.Centre,
		Seeds:   s.Settings.SeedAddresses,
		Timer:   s.timer,
		Log:     s.log,
	}
	s.sync = &afsync.Service{Self: s.self, Client: s.client, Timer: s.timer, Log: s.log}
	s.sync.Attach(s.peers)
	heard := s.peers.Heard
	s.peers.Heard = func(from arbutusfork.Incarnation, sent time.Time, r afpeer.Report) {
		s.heard(from)
		heard(from, sent, r)
	}
}

func (s *Server) buildLimits() {
	s.quota = &afquota.Service{
		Self:         s.self,
		Timer:        s.timer,
		Log:          s.log,
		Customer:     func(name string) (arbutusfork.Customer, bool) { return s.sync.Snapshot().Customer(name) },
		Customers:    func() []arbutusfork.Customer { return s.sync.Snapshot().Customers() },
		CallPeer:     s.peers.Call,
		Members:      s.peers.Members,
		GetObject:    s.client.Get,
		CreateObject: s.client.Create,
		UpdateObject: s.client.Update,
		IsGone:       s.gone,
	}
	s.peers.Handle(afquota.KindBorrow, s.quota.HandleBorrow)
	s.peers.Handle(afquota.KindGiveback, s.quota.HandleGiveback)
	s.booking = &afbooking.Service{
		Self:         s.self,
		Timer:        s.timer,
		Log:          s.log,
		GetObject:    s.client.Get,
		CreateObject: s.client.Create,
		UpdateObject: s.client.Update,
		IsGone:       s.gone,
	}
}

func (s *Server) buildPlacement() {
	s.control = &afcontrol.Service{
		Self:         s.self,
		Timer:        s.timer,
		Log:          s.log,
		Snapshot:     s.sync.Snapshot,
		GetObject:    s.client.Get,
		CreateObject: s.client.Create,
		UpdateObject: s.client.Update,
		SendMessage:  s.peers.Send,
		CallVM:       s.peers.Call,
		Members:      s.peers.Members,
		IsGone:       s.gone,
		HTTPClient:   endpointClient(),
	}
	s.peers.Handle(afcontrol.KindDemand, s.control.HandleDemand)
	s.peers.Handle(afcontrol.KindTablePart, s.handleTable)
	s.peers.Handle(afcontrol.KindOwner, s.control.HandleOwner)
	s.peers.Handle(afcontrol.KindFetchPart, s.control.HandleFetchPart)
	s.peers.Handle(afcontrol.KindFenceSender, s.control.HandleFenceSender)
	s.peers.Digests = s.control.TableDigests
	s.peers.Learn = s.control.HandleDigests
	s.dispatch = &afdispatch.Service{
		ModelReplicas:      s.replicas,
		ServiceEndpoints:   s.replicas,
		IsEndpointListed:   func(endpoint string) bool { return s.control.RoutingTable().HasEndpoint(endpoint) },
		EstimateReady:      func(model string) (time.Duration, bool) { return s.control.RoutingTable().TimeToReady(model) },
		OnWaitingChanged:   s.control.SetWaitingRequests,
		OnRequestRouted:    s.control.RecordArrival,
		OnRunningChanged:   s.control.SetRunningRequests,
		Centre:             s.Settings.Centre,
		Log:                s.log,
		Timer:              s.timer,
		ProgressTimeout:    s.Settings.StreamProgressTimeout,
		MaxWaitingRequests: s.Settings.MaxWaitingRequests,
		MaxWaitingBytes:    s.Settings.MaxQueueBytes,
	}
}

// handleTable takes a part of the routing table and lets the requests that wait for it go on.
func (s *Server) handleTable(from arbutusfork.Incarnation, body []byte) (any, error) {
	answer, err := s.control.HandleTablePart(from, body)
	s.dispatch.RecheckWaiting()
	return answer, err
}

// replicas returns the replicas with this VM's credit as their slots.
func (s *Server) replicas(model string) []afplacement.Replica {
	all := s.control.RoutingTable().Replicas(model)
	out := make([]afplacement.Replica, 0, len(all))
	for _, r := range all {
		r.Slots = r.Credit(s.self.VM)
		out = append(out, r)
	}
	return out
}

func (s *Server) buildEntry() {
	s.entry = &afentry.Server{
		Snapshot:       s.sync.Snapshot,
		IsConfigFresh:  func() bool { return s.sync.Fresh(s.timer.Now()) },
		ReserveTokens:  s.reserve,
		ClaimCall:      s.booking.ClaimCall,
		FinishCall:     s.booking.FinishCall,
		CancelClaim:    s.booking.CancelClaim,
		Dispatcher:     s.dispatch,
		Address:        s.Settings.CallerAddress,
		Log:            s.log,
		Timer:          s.timer,
		Registry:       s.registry,
		MaxBodyBytes:   int(s.Settings.MaxBodyBytes),
		MaxHeaderBytes: int(s.Settings.MaxHeaderBytes),
		MaxConns:       s.Settings.MaxConnections,
		IdleTimeout:    s.Settings.IdleTimeout,
		ReadTimeout:    s.Settings.ReceiveTimeout,
	}
	s.sync.Subscribe(func(c *afconfig.Snapshot) {
		s.entry.RecheckKeys(c)
		s.dispatch.RecheckWaiting()
	})
}

func (s *Server) reserve(ctx context.Context, customer string, tokens int64) (func(int64), *arbutusfork.Refusal) {
	r, refusal := s.quota.ReserveTokens(ctx, customer, tokens)
	if refusal != nil {
		return nil, refusal
	}
	return r.Settle, nil
}

func (s *Server) buildOperator() {
	s.operator = &afoperator.Server{
		Address:          s.Settings.OperatorAddress,
		TokenDigest:      s.Settings.OperatorTokenDigest,
		Snapshot:         s.sync.Snapshot,
		GetObject:        s.client.Get,
		CreateObject:     s.client.Create,
		UpdateObject:     s.client.Update,
		DeleteObject:     s.client.Delete,
		ConfirmVersion:   s.sync.Confirm,
		CheckReady:       s.ready,
		ReportStatus:     s.status,
		ExplainDecisions: s.explainRequest,
		StartDrain:       s.drain,
		Gatherer:         s.registry,
		Log:              s.log,
	}
}
