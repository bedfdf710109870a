package afcontrol

import (
	"maps"
	"slices"
	"time"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afplacement"
)

const (
	// maxUnfilteredVMs is the number of live VMs up to which an owner sends the whole part of the routing table to
	// every VM. In a larger fleet, a VM gets only the entries for which it has demand.
	maxUnfilteredVMs = 8
	// minInterestTTL is the shortest time for which a VM gets the entries of a model after its last demand. It is
	// longer than demandIdleTimeout, so that a VM drops an entry before the owner stops updating it.
	minInterestTTL = 10 * time.Second
	// demandTTLIntervals is the number of summary intervals for which demand stays valid, so that a lost summary has no
	// effect.
	demandTTLIntervals = 3
	// summaryIntervalPerVM is the increase of the summary interval with each VM. It limits the summaries that an owner
	// receives to 100/s.
	summaryIntervalPerVM = 10 * time.Millisecond
)

// summaryInterval returns the interval of the demand summaries in a fleet of n VMs.
func summaryInterval(n int) time.Duration {
	return max(minSummaryInterval, time.Duration(n)*summaryIntervalPerVM)
}

// subscribers are the VMs to which an owner sends filtered parts.
type subscribers struct {
	byVM map[string]*subscriber
	// vmsByModel lists the VMs with demand by model, sorted by name. It is nil after a change.
	vmsByModel map[string][]string
	// lastPart is the whole part from which the last filtered parts were made.
	lastPart afplacement.TablePart
	// lastPartAt is when lastPart was made.
	lastPartAt time.Time
	// demandChanged means that demand has changed since lastPart was made.
	demandChanged bool
}

// subscriber is a VM that has reported demand.
type subscriber struct {
	// demandAt is when demand for each model was last reported.
	demandAt map[string]time.Time
	// lastPart is the part that was last sent to the VM.
	lastPart afplacement.TablePart
	// lastPartAt is when lastPart was sent.
	lastPartAt time.Time
}

// recordDemand records a VM's demand for a model.
func (subs *subscribers) recordDemand(vm, model string, now time.Time) {
	if subs.byVM == nil {
		subs.byVM = make(map[string]*subscriber)
	}
	sub := subs.byVM[vm]
	if sub == nil {
		sub = &subscriber{demandAt: make(map[string]time.Time)}
		subs.byVM[vm] = sub
	}
	if _, ok := sub.demandAt[model]; !ok {
		subs.vmsByModel = nil
	}
	sub.demandAt[model], subs.demandChanged = now, true
}

// removeExpired removes the demand that is older than ttl.
func (subs *subscribers) removeExpired(now time.Time, ttl time.Duration) {
	for vm, sub := range subs.byVM {
		before := len(sub.demandAt)
		maps.DeleteFunc(sub.demandAt, func(_ string, at time.Time) bool { return now.Sub(at) >= ttl })
		if len(sub.demandAt) < before {
			subs.vmsByModel, subs.demandChanged = nil, true
		}
		if len(sub.demandAt) == 0 && now.Sub(sub.lastPartAt) >= ttl {
			delete(subs.byVM, vm)
		}
	}
}

// sharersByModel returns the VMs with demand by model, sorted by name.
func (subs *subscribers) sharersByModel() map[string][]string {
	if subs.vmsByModel == nil {
		subs.vmsByModel = make(map[string][]string)
		for _, vm := range slices.Sorted(maps.Keys(subs.byVM)) {
			for model := range subs.byVM[vm].demandAt {
				subs.vmsByModel[model] = append(subs.vmsByModel[model], vm)
			}
		}
	}
	return subs.vmsByModel
}

// isLargeFleet reports whether VMs get filtered parts of the routing table.
func (s *Service) isLargeFleet() bool { return s.countLiveVMs() > maxUnfilteredVMs }

// countLiveVMs returns the number of live VMs, including this one.
func (s *Service) countLiveVMs() int {
	n := 1
	for _, vm := range s.LiveVMs() {
		if vm.Name != s.Self.VM && vm.State == arbutusfork.VMLive {
			n++
		}
	}
	return n
}

// announceOwner sends all VMs the owner once per take-over, since only few of them read the record often.
func (s *Service) announceOwner(sh *shard, members []arbutusfork.VM) {
	r, _ := sh.view.Record()
	if sh.announcedFence == r.Fence {
		return
	}
	sh.announcedFence = r.Fence
	for _, vm := range members {
		if vm.Name != s.Self.VM && vm.State == arbutusfork.VMLive {
			s.sendOwner(sh, vm.Name)
		}
	}
}

// sendOwner sends the current owner of the shard to another VM.
func (s *Service) sendOwner(sh *shard, vm string) {
	epoch, owner := s.latestOwner(sh)
	if epoch == 0 {
		return
	}
	if err := s.SendToVM(vm, KindOwner, ownerMessage{Shard: sh.name, Owner: owner, Epoch: epoch}); err != nil {
		s.Log.Debug("owner message not sent", "vm", vm, "shard", sh.name, "error", err)
	}
}

// publishFiltered sends each VM that has demand its part of the routing table if that part has changed. If only credits
// have changed, the part is sent at most once per summary interval, so that the number of parts sent does not grow with
// the number of summaries received.
func (s *Service) publishFiltered(sh *shard, members []arbutusfork.VM, now time.Time) {
	s.announceOwner(sh, members)
	subs := &sh.subscribers
	p := sh.view.BuildPartForSharers(sh.name, subs.sharersByModel(), now)
	isDue := now.Sub(subs.lastPartAt) >= republishInterval
	if p.EqualExceptCredits(subs.lastPart) && !isDue && (!subs.demandChanged || now.Sub(subs.lastPartAt) < summaryInterval(len(members))) {
		return
	}
	subs.lastPart, subs.lastPartAt, subs.demandChanged = p, now, false
	f := afplacement.NewPartFilter(p)
	for vm, sub := range subs.byVM {
		q := f.PartForVM(vm, slices.Sorted(maps.Keys(sub.demandAt)))
		if !q.EqualExceptRunning(sub.lastPart) || len(q.Estimates) > 0 && now.Sub(sub.lastPartAt) >= republishInterval {
			s.sendPart(sh, vm, sub, q, now)
		}
	}
}

// sendPart sends a VM its part with the next sequence number, or adopts the part if the VM is this one.
func (s *Service) sendPart(sh *shard, vm string, sub *subscriber, p afplacement.TablePart, now time.Time) {
	p.Sequence = sh.nextSequence(p.Epoch)
	sub.lastPart, sub.lastPartAt = p, now
	if vm == s.Self.VM {
		s.adoptPart(p)
		return
	}
	if err := s.SendToVM(vm, KindTablePart, p); err != nil {
		s.Log.Debug("routing table not sent", "vm", vm, "shard", sh.name, "error", err)
	}
}

// lastSentVersion returns the version of the part that was last sent to the VM.
func (s *Service) lastSentVersion(name, vm string) afplacement.PartVersion {
	if sh := s.shards[name]; sh != nil && sh.subscribers.byVM[vm] != nil {
		return sh.subscribers.byVM[vm].lastPart.Version()
	}
	return afplacement.PartVersion{}
}

// repairTable sends the VM that reported demand what is missing there: the owner, or its part of the routing table. It
// sends no part if one was sent after sentVersion was read.
func (s *Service) repairTable(vm string, m demandMessage, sentVersion afplacement.PartVersion, now time.Time) {
	sh := s.shards[m.Shard]
	switch {
	case sh == nil:
	case !sh.view.HasLease(now):
		// The VM assumes that this one is the owner, or has no owner and asks a preferred one.
		if _, owner := s.latestOwner(sh); vm != s.Self.VM && owner.VM != s.Self.VM && owner.VM != vm {
			s.sendOwner(sh, vm)
		}
	case !s.isLargeFleet():
		if m.LacksModel && vm != s.Self.VM {
			// The VM counts more live VMs than this one and has dropped an entry without demand. Publish the whole part again.
			sh.lastPart = afplacement.TablePart{}
			s.publishPart(sh, now)
		}
	case (m.LacksModel || m.PartVersion != sentVersion) && s.lastSentVersion(sh.name, vm) == sentVersion:
		if sub := sh.subscribers.byVM[vm]; sub != nil {
			f := afplacement.NewPartFilter(sh.view.BuildPartForSharers(sh.name, sh.subscribers.sharersByModel(), now))
			s.sendPart(sh, vm, sub, f.PartForVM(vm, slices.Sorted(maps.Keys(sub.demandAt))), now)
		}
	}
}

// dropUnusedEntries drops the entries of models without demand on this VM, since their owners no longer update them.
// New demand for such a model is reported at once.
func (s *Service) dropUnusedEntries() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		old := s.table.Load()
		next := old.FilterModels(func(model string) bool { return s.demandByModel[model] != nil })
		if next == old || s.table.CompareAndSwap(old, next) {
			return
		}
	}
}

// lacksWantedModel reports whether requests wait for a model that is missing in the routing table.
func (s *Service) lacksWantedModel(rows []demandRow) bool {
	t := s.RoutingTable()
	return slices.ContainsFunc(rows, func(r demandRow) bool {
		_, estimated := t.TimeToReady(r.Model)
		return r.WaitingRequests > 0 && !estimated && len(t.Replicas(r.Model)) == 0
	})
}

// latestOwner returns the shard's owner with the highest epoch among the record, the routing table and the owner
// messages of other VMs.
func (s *Service) latestOwner(sh *shard) (int64, arbutusfork.Incarnation) {
	r, _ := sh.view.Record()
	epoch, owner := r.Fence, r.Owner
	if p, ok := s.RoutingTable().Part(sh.name); ok && p.Epoch >= epoch {
		epoch, owner = p.Epoch, p.Owner
	}
	if sh.announcedOwner.Epoch > epoch {
		epoch, owner = sh.announcedOwner.Epoch, sh.announcedOwner.Owner
	}
	return epoch, owner
}
