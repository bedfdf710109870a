package afserve

import (
	"context"
	"time"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/internal/afbooking"
	"arbutusfork.example/arbutusfork/internal/afcontrol"
	"arbutusfork.example/arbutusfork/internal/afcrash"
	"arbutusfork.example/arbutusfork/internal/afdispatch"
	"arbutusfork.example/arbutusfork/internal/afentry"
	"arbutusfork.example/arbutusfork/internal/afoperator"
	"arbutusfork.example/arbutusfork/internal/afpeer"
	"arbutusfork.example/arbutusfork/internal/afquota"
	"arbutusfork.example/arbutusfork/internal/afsync"
	"arbutusfork.example/arbutusfork/pkg/afconfig"
	"arbutusfork.example/arbutusfork/pkg/afplacement"
)

// buildPeers builds the connections to other VMs and the configuration sync.
func (s *Server) buildPeers() {
	s.peers = &afpeer.Service{
		Self:          s.self,
		ListenAddress: s.Settings.PeerAddress,
		Centre:        s.Settings.Centre,
		Seeds:         s.Settings.SeedAddresses,
		Timer:         s.timer,
		Log:           s.log,
	}
	s.sync = &afsync.Service{Self: s.self, Client: s.platformClient, Timer: s.timer, Log: s.log}
	s.sync.ConnectPeers(s.peers)
	handleReport := s.peers.OnReport
	s.peers.OnReport = func(from arbutusfork.Incarnation, sent time.Time, r afpeer.ConfigurationReport) {
		s.recordMessageFrom(from)
		handleReport(from, sent, r)
	}
}

// buildCrashes builds the service that shares which prompts crash endpoints.
func (s *Server) buildCrashes() {
	s.crashes = &afcrash.Service{
		Timer: s.timer, Log: s.log, Metrics: afcrash.NewMetrics(s.registry),
		HeartbeatPeers: func() []arbutusfork.VM { return s.peers.Membership().HeartbeatPeers() }, SendToVM: s.peers.Send,
	}
	s.peers.Handle(afcrash.KindFacts, s.crashes.HandleFacts)
	s.peers.Handle(afcrash.KindDigest, s.crashes.HandleDigest)
}

// buildLimits builds the services that enforce customers' rate limits and store the claims of calls.
func (s *Server) buildLimits() {
	s.quota = &afquota.Service{
		Self:         s.self,
		Timer:        s.timer,
		Log:          s.log,
		Customer:     func(name string) (arbutusfork.Customer, bool) { return s.sync.Snapshot().Customer(name) },
		Customers:    func() []arbutusfork.Customer { return s.sync.Snapshot().Customers() },
		CallVM:       s.peers.Call,
		LiveVMs:      s.peers.LiveMembers,
		GetObject:    s.platformClient.Get,
		CreateObject: s.platformClient.Create,
		UpdateObject: s.platformClient.Update,
		IsGone:       s.isGone,
		OtherVMs:     s.otherVMs,
	}
	s.peers.Handle(afquota.KindShares, s.quota.HandleShares)
	s.peers.Handle(afquota.KindBorrow, s.quota.HandleBorrow)
	s.peers.Handle(afquota.KindGiveback, s.quota.HandleGiveback)
	s.booking = &afbooking.Service{
		Self:         s.self,
		Timer:        s.timer,
		Log:          s.log,
		GetObject:    s.platformClient.Get,
		CreateObject: s.platformClient.Create,
		UpdateObject: s.platformClient.Update,
		IsGone:       s.isGone,
		OtherVMs:     s.otherVMs,
		CallVM:       s.peers.Call,
	}
	s.peers.Handle(afbooking.KindClaims, s.booking.HandleClaims)
}

// buildPlacement builds the placement service and the dispatcher, which sends calls by its routing table.
func (s *Server) buildPlacement() {
	s.control = &afcontrol.Service{
		Self:         s.self,
		Timer:        s.timer,
		Log:          s.log,
		Snapshot:     s.sync.Snapshot,
		GetObject:    s.platformClient.Get,
		CreateObject: s.platformClient.Create,
		UpdateObject: s.platformClient.Update,
		SendToVM:     s.peers.Send,
		CallVM:       s.peers.Call,
		LiveVMs:      s.peers.LiveMembers,
		IsGone:       s.isGone,
		HTTPClient:   newEndpointClient(),
	}
	s.peers.Handle(afcontrol.KindDemand, s.control.HandleDemand)
	s.peers.Handle(afcontrol.KindTablePart, s.handleTablePart)
	s.peers.Handle(afcontrol.KindOwner, s.control.HandleOwner)
	s.peers.Handle(afcontrol.KindFetchPart, s.control.HandleFetchPart)
	s.peers.Handle(afcontrol.KindFenceSender, s.control.HandleFenceSender)
	s.peers.TableVersions = s.control.TableVersions
	s.peers.OnTableVersions = s.control.HandleTableVersions
	s.dispatch = &afdispatch.Service{
		ModelReplicas:      s.listReplicas,
		ServiceEndpoints:   s.listReplicas,
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
		MaxWaitingBytes:    s.Settings.MaxWaitingBytes,
		CrashWatch:         s.crashes.NewWatch(),
	}
}

// handleTablePart handles a part of the routing table from another VM, and rechecks the waiting requests against the new
// table.
func (s *Server) handleTablePart(from arbutusfork.Incarnation, body []byte) (any, error) {
	answer, err := s.control.HandleTablePart(from, body)
	s.dispatch.RecheckWaiting()
	return answer, err
}

// listReplicas returns the replicas of a model or the endpoints of a service, with this VM's credit as their slots.
func (s *Server) listReplicas(model string) []afplacement.Replica {
	all := s.control.RoutingTable().Replicas(model)
	replicas := make([]afplacement.Replica, 0, len(all))
	for _, r := range all {
		r.Slots = r.Credit(s.self.VM)
		replicas = append(replicas, r)
	}
	return replicas
}

// buildEntry builds the HTTP API for callers.
func (s *Server) buildEntry() {
	s.entry = &afentry.Server{
		Snapshot:       s.sync.Snapshot,
		IsConfigFresh:  func() bool { return s.sync.IsFresh(s.timer.Now()) },
		ReserveTokens:  s.reserveTokens,
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
		MaxConnections: s.Settings.MaxConnections,
		IdleTimeout:    s.Settings.IdleTimeout,
		ReadTimeout:    s.Settings.ReadTimeout,
	}
	s.sync.SubscribeSnapshots(func(c *afconfig.Snapshot) {
		s.entry.RecheckKeys(c)
		s.dispatch.RecheckWaiting()
	})
}

// reserveTokens reserves tokens of the customer's rate limit. It returns a function that replaces them by the number used.
func (s *Server) reserveTokens(ctx context.Context, customer string, tokens int64) (func(int64), *arbutusfork.Refusal) {
	r, refusal := s.quota.ReserveTokens(ctx, customer, tokens)
	if refusal != nil {
		return nil, refusal
	}
	return r.Settle, nil
}

// buildOperator builds the HTTP API for operators.
func (s *Server) buildOperator() {
	s.operator = &afoperator.Server{
		Address:          s.Settings.OperatorAddress,
		TokenDigest:      s.Settings.OperatorTokenDigest,
		Snapshot:         s.sync.Snapshot,
		GetObject:        s.platformClient.Get,
		CreateObject:     s.platformClient.Create,
		UpdateObject:     s.platformClient.Update,
		DeleteObject:     s.platformClient.Delete,
		ConfirmVersion:   s.sync.ConfirmVersion,
		CheckReady:       s.checkReady,
		ReportStatus:     s.buildStatus,
		ExplainDecisions: s.explainRequest,
		StartDrain:       s.requestDrain,
		Gatherer:         s.registry,
		Log:              s.log,
	}
}
