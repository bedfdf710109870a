package afkeeper

import (
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/internal/afroster"
)

const (
	// viewInterval is the time between two views without a change, for a fleet of up to baseIntervalVMs. It grows with larger
	// fleets, so that the number of messages grows linearly with the fleet.
	viewInterval = 300 * time.Millisecond
	// vmReportInterval is the time between two reports of a VM without a change. It grows like viewInterval.
	vmReportInterval = 250 * time.Millisecond
	// baseIntervalVMs is the number of VMs up to which intervals are not scaled.
	baseIntervalVMs = 24
	// smallFleetVMs is the number of VMs up to which each view includes all engines.
	smallFleetVMs = 12
	// missedViewsLimit is the number of missed views after which the holder counts as silent.
	missedViewsLimit = 4
	// minUrgentViewInterval is the least time between two views that are sent because of a change.
	minUrgentViewInterval = 20 * time.Millisecond
)

// maxIntervalFactor bounds the factor by which intervals are scaled, since VMs that receive no view for maxHolderSilence try to
// take the lease.
const maxIntervalFactor = 3

// scaleInterval returns the interval d scaled to the number of VMs.
func scaleInterval(d time.Duration, vms int) time.Duration {
	return min(max(d, d*time.Duration(vms)/baseIntervalVMs), maxIntervalFactor*d)
}

// holderSilenceTimeout returns how long this VM must have received no view before it checks the lease.
func (s *Service) holderSilenceTimeout() time.Duration {
	if d := scaleInterval(viewInterval, s.ListedVMCount()); d > viewInterval {
		return min(missedViewsLimit*d, maxHolderSilence)
	}
	return missedViewsLimit * viewInterval
}

// maxHolderSilence bounds holderSilenceTimeout in large fleets, since draining endpoints must get no requests after two to
// three seconds.
const maxHolderSilence = 2 * time.Second

// sendViews sends a view and grants to every VM if they are due or urgent.
func (s *Service) sendViews() {
	now := s.Timer.Now()
	members := s.LiveVMs()
	s.mu.Lock()
	isLate := s.lease.IsRenewalLate(s.BootTime())
	isUrgent := (s.hasViewChanged || s.isViewRequested || isLate && !s.hasSentLate) && !now.Before(s.lastViewAt.Add(scaleInterval(minUrgentViewInterval, len(members))))
	if now.Before(s.nextViewAt) && !isUrgent {
		s.mu.Unlock()
		return
	}
	s.hasSentLate = isLate
	s.isViewRequested, s.hasViewChanged, s.lastViewAt = false, false, now
	s.nextViewAt = now.Add(scaleInterval(viewInterval, len(members)))
	v := placementView{
		Holder: s.lease.Record().Holder, Epoch: s.lease.Epoch(), RenewalCount: s.lease.Record().RenewalCount, LeaseVersion: s.lease.Version(),
		EndpointSeq: s.endpointSeq, ViewSeq: s.nextViewSeq(), HasLostPlatform: isLate,
	}
	reports := make(map[string]vmReport, len(s.vmReports)+1)
	starts := make(map[string]int64, len(s.vmReports)+1)
	for vm, received := range s.vmReports {
		reports[vm], starts[vm] = received.report, received.from.StartID
	}
	s.mu.Unlock()
	reports[s.Self.VM], starts[s.Self.VM] = s.buildVMReport(s.OwnDemand()), s.Self.StartID
	v.FeedPositions, v.LoadDelaysMs, v.Loads = s.FeedPositions(), s.loadDelays(now), sumLoads(reports)
	statuses := s.engineStatuses(now)
	changedStatuses := s.takeChangedStatuses(statuses)
	s.addEvacuations(&v)
	grants := s.computeGrants(reports, starts, members, now)
	v.Deputy = s.chooseDeputy(reports, members)
	s.mu.Lock()
	s.deputy = deputyState{vm: v.Deputy}
	s.mu.Unlock()
	v.EngineStatuses, v.WithoutGrants = changedStatuses, !grantsInAdvance(len(members))
	changedBody, err := msgpack.Marshal(v)
	if err != nil {
		s.Log.Error("placement view not encoded", "error", err)
		return
	}
	v.EngineStatuses = statuses
	fullBody, err := msgpack.Marshal(v)
	if err != nil {
		s.Log.Error("placement view not encoded", "error", err)
		return
	}
	for _, vm := range members {
		if vm.Name == s.Self.VM {
			s.applyView(v)
			s.ApplyGrants(decodeGrants(grants[vm.Name]))
			continue
		}
		body := changedBody
		if s.needsFullView(vm, starts[vm.Name], len(members)) {
			body = fullBody
		}
		s.sendViewMessage(vm.Name, KindPlacementView, msgpack.RawMessage(body))
		if g := grants[vm.Name]; len(g) > 0 {
			s.sendViewMessage(vm.Name, KindLimitGrants, g)
		}
	}
}

// sendViewMessage sends a view or grants to a VM. After a failure, the VM gets all engines with its next view.
func (s *Service) sendViewMessage(vm, kind string, message any) {
	if err := s.SendToVM(vm, kind, message); err != nil {
		delete(s.fullViewStarts, vm)
		s.Log.Debug("placement message not sent", "to", vm, "kind", kind, "error", err)
	}
}

// needsFullView reports whether the next view to a VM must include all engines, and records that they are sent. In a small
// fleet, every view includes all engines.
func (s *Service) needsFullView(vm arbutusfork.VM, start int64, vms int) bool {
	if vms <= smallFleetVMs {
		return true
	}
	// A VM process that has not sent a report yet, which is known by a zero start time, always gets all engines.
	if s.fullViewStarts[vm.Name] == start && start != 0 {
		return false
	}
	s.fullViewStarts[vm.Name] = start
	return true
}

// sumLoads returns the load of all VMs together, by endpoint.
func sumLoads(reports map[string]vmReport) map[string]endpointLoad {
	total := make(map[string]afroster.Load)
	for _, report := range reports {
		for id, l := range report.Loads {
			total[id] = total[id].Add(l.decode())
		}
	}
	out := make(map[string]endpointLoad, len(total))
	for id, l := range total {
		out[id] = encodeLoad(l)
	}
	return out
}

// engineStatuses returns the status of each engine.
func (s *Service) engineStatuses(now time.Time) map[string]engineStatus {
	out := make(map[string]engineStatus, len(s.engines))
	for id, es := range s.engines {
		out[id] = engineStatus{Born: es.entry.StartUnixMs, Models: es.loadedModels(now), ClosingModels: es.closingModels(now)}
	}
	return out
}

// takeChangedStatuses returns the engine statuses that differ from the last view, and stores the given ones as sent.
func (s *Service) takeChangedStatuses(statuses map[string]engineStatus) map[string]engineStatus {
	out := make(map[string]engineStatus)
	for id, e := range statuses {
		sent, ok := s.sentStatuses[id]
		if !ok || sent.Born != e.Born || !slices.Equal(sent.ClosingModels, e.ClosingModels) || !equalModels(sent.Models, e.Models) {
			out[id] = e
		}
	}
	s.sentStatuses = statuses
	return out
}

// listLoadedModels returns the models that some engine holds that is not out of use.
func (s *Service) listLoadedModels(now time.Time) map[string]bool {
	loaded := make(map[string]bool)
	for _, es := range s.engines {
		if es.isOutOfUse(now) {
			continue
		}
		for _, h := range es.loadedModels(now) {
			loaded[h.Model] = true
		}
	}
	return loaded
}

// loadDelays returns the time in milliseconds until a model that no engine holds is loaded, or the minimum of that time if the
// load has not started.
func (s *Service) loadDelays(now time.Time) map[string]int64 {
	out := make(map[string]int64)
	loaded := s.listLoadedModels(now)
	for _, es := range s.engines {
		if es.loadingModel == "" || loaded[es.loadingModel] {
			continue
		}
		ms := max(es.loadEndsAt.Sub(now), activeReportInterval).Milliseconds()
		if earlier, ok := out[es.loadingModel]; !ok || ms < earlier {
			out[es.loadingModel] = ms
		}
	}
	for model, at := range s.queuedLoadsReadyAt {
		if _, isLoading := out[model]; !isLoading && !loaded[model] {
			out[model] = max(at.Sub(now), 0).Milliseconds()
		}
	}
	return out
}

// applyView passes the engine statuses, the loads of other VMs and the load delays of a view to the roster and the gateway.
func (s *Service) applyView(v placementView) {
	statuses := make(map[string]afroster.EngineStatus, len(v.EngineStatuses))
	for id, e := range v.EngineStatuses {
		statuses[id] = afroster.EngineStatus{StartUnixMs: e.Born, Models: e.Models, ClosingModels: e.ClosingModels}
	}
	s.mu.Lock()
	reported := s.reportedLoads
	s.mu.Unlock()
	otherLoads := make(map[string]afroster.Load, len(v.Loads))
	for id, l := range v.Loads {
		own := reported[id].decode()
		otherLoads[id] = afroster.Load{
			Requests: max(l.Requests-own.Requests, 0), UnreadPromptTokens: max(l.PromptTokens-own.UnreadPromptTokens, 0), TotalTokens: max(l.Tokens-own.TotalTokens, 0),
		}
	}
	s.Roster.ApplyView(statuses, otherLoads)
	delays := make(map[string]time.Duration, len(v.LoadDelaysMs))
	for model, ms := range v.LoadDelaysMs {
		delays[model] = time.Duration(ms) * time.Millisecond
	}
	s.ApplyLoadDelays(delays)
}
