package afcontrol

import (
	"maps"
	"slices"
	"time"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afplacement"
)

const (
	// wholeFleet is the number of live VMs up to which an owner sends its whole part of the routing table to every VM.
	// Beyond it, a VM gets only what it has demand for.
	wholeFleet = 8
	// interestLife is how long a VM gets what it last reported demand for, at least. It is longer than demandIdle, so
	// that a VM forgets an entry before its owner stops updating it.
	interestLife = 10 * time.Second
	// lifePeriods is the number of summary periods for which demand stays valid, so that a lost summary changes nothing.
	lifePeriods = 3
	// perVM is the growth of the summary period with each VM. It bounds the summaries that reach an owner to 100/s.
	perVM = 10 * time.Millisecond
)

// period returns the period of the demand summaries in a fleet of n VMs.
func period(n int) time.Duration { return max(summary, time.Duration(n)*perVM) }

// audience is what an owner knows about the VMs that it sends filtered parts to.
type audience struct {
	vms map[string]*reader
	// sharers are the interested VMs by model, in order, nil after a change.
	sharers map[string][]string
	// part is what the last filtered parts were made of, at made. Dirty tells that demand has changed since.
	part  afplacement.TablePart
	made  time.Time
	dirty bool
}

// reader is one VM that reported demand.
type reader struct {
	// models holds when demand for each model was last reported.
	models map[string]time.Time
	// sent is the part that the VM was last sent, at the time sentAt.
	sent   afplacement.TablePart
	sentAt time.Time
}

// note takes a VM's demand for a model.
func (a *audience) note(vm, model string, now time.Time) {
	if a.vms == nil {
		a.vms = make(map[string]*reader)
	}
	r := a.vms[vm]
	if r == nil {
		r = &reader{models: make(map[string]time.Time)}
		a.vms[vm] = r
	}
	if _, ok := r.models[model]; !ok {
		a.sharers = nil
	}
	r.models[model], a.dirty = now, true
}

// expire forgets the demand that is older than life.
func (a *audience) expire(now time.Time, life time.Duration) {
	for vm, r := range a.vms {
		before := len(r.models)
		maps.DeleteFunc(r.models, func(_ string, at time.Time) bool { return now.Sub(at) >= life })
		if len(r.models) < before {
			a.sharers, a.dirty = nil, true
		}
		if len(r.models) == 0 && now.Sub(r.sentAt) >= life {
			delete(a.vms, vm)
		}
	}
}

func (a *audience) byModel() map[string][]string {
	if a.sharers == nil {
		a.sharers = make(map[string][]string)
		for _, vm := range slices.Sorted(maps.Keys(a.vms)) {
			for model := range a.vms[vm].models {
				a.sharers[model] = append(a.sharers[model], vm)
			}
		}
	}
	return a.sharers
}

// large reports whether VMs get filtered parts.
func (s *Service) large() bool { return s.live() > wholeFleet }

// live returns the number of live VMs, this one included.
func (s *Service) live() int {
	n := 1
	for _, vm := range s.Members() {
		if vm.Name != s.Self.VM && vm.State == arbutusfork.VMLive {
			n++
		}
	}
	return n
}

// announce tells all VMs about this owner once in its tenure, since only few of them follow the record.
func (s *Service) announce(sh *shard, members []arbutusfork.VM) {
	r, _ := sh.view.Record()
	if sh.announced == r.Fence {
		return
	}
	sh.announced = r.Fence
	for _, vm := range members {
		if vm.Name != s.Self.VM && vm.State == arbutusfork.VMLive {
			s.tell(sh, vm.Name)
		}
	}
}

// tell names the owner of the shard to another VM.
func (s *Service) tell(sh *shard, vm string) {
	epoch, owner := s.latest(sh)
	if epoch == 0 {
		return
	}
	if err := s.SendMessage(vm, KindOwner, ownerMessage{Shard: sh.name, Owner: owner, Epoch: epoch}); err != nil {
		s.Log.Debug("owner not told", "vm", vm, "shard", sh.name, "error", err)
	}
}

// filter sends each VM that has demand its part of the routing table if it has changed. A change of credits alone
// waits until a summary period has passed, so that the parts sent do not grow with the summaries received.
func (s *Service) filter(sh *shard, members []arbutusfork.VM, now time.Time) {
	s.announce(sh, members)
	a := &sh.audience
	p := sh.view.BuildPartForSharers(sh.name, a.byModel(), now)
	due := now.Sub(a.made) >= refresh
	if p.EqualExceptCredits(a.part) && !due && (!a.dirty || now.Sub(a.made) < period(len(members))) {
		return
	}
	a.part, a.made, a.dirty = p, now, false
	f := afplacement.NewPartFilter(p)
	for vm, r := range a.vms {
		q := f.PartForVM(vm, slices.Sorted(maps.Keys(r.models)))
		if !q.EqualExceptRunning(r.sent) || len(q.Estimates) > 0 && now.Sub(r.sentAt) >= refresh {
			s.deliver(sh, vm, r, q, now)
		}
	}
}

// deliver sends a VM its part under the next sequence, or takes it into the own table.
func (s *Service) deliver(sh *shard, vm string, r *reader, p afplacement.TablePart, now time.Time) {
	p.Sequence = sh.next(p.Epoch)
	r.sent, r.sentAt = p, now
	if vm == s.Self.VM {
		s.adopt(p)
		return
	}
	if err := s.SendMessage(vm, KindTablePart, p); err != nil {
		s.Log.Debug("routing table not sent", "vm", vm, "shard", sh.name, "error", err)
	}
}

// sent returns the digest of the part that the VM was last sent.
func (s *Service) sent(name, vm string) int64 {
	if sh := s.shards[name]; sh != nil && sh.audience.vms[vm] != nil {
		return sh.audience.vms[vm].sent.Digest()
	}
	return 0
}

// heed repairs what the VM that sent the demand lacks, unless its part has been sent since the digest sent.
func (s *Service) heed(vm string, m demandMessage, sent int64, now time.Time) {
	sh := s.shards[m.Shard]
	switch {
	case sh == nil:
	case !sh.view.HasLease(now):
		// The VM takes this one for the owner, or knows none and asks a preferred owner.
		if _, owner := s.latest(sh); vm != s.Self.VM && owner.VM != s.Self.VM && owner.VM != vm {
			s.tell(sh, vm)
		}
	case !s.large():
		if m.LacksModel && vm != s.Self.VM {
			// The VM counts more live VMs than this one does, and dropped an entry for want of demand.
			sh.part = afplacement.TablePart{}
			s.publish(sh, now)
		}
	case (m.LacksModel || m.PartDigest != sent) && s.sent(sh.name, vm) == sent:
		if r := sh.audience.vms[vm]; r != nil {
			f := afplacement.NewPartFilter(sh.view.BuildPartForSharers(sh.name, sh.audience.byModel(), now))
			s.deliver(sh, vm, r, f.PartForVM(vm, slices.Sorted(maps.Keys(r.models))), now)
		}
	}
}

// prune drops the entries of models without demand here, since their owners no longer update them. Demand for one
// of them is reported at once.
func (s *Service) prune() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		old := s.table.Load()
		next := old.FilterModels(func(model string) bool { return s.local[model] != nil })
		if next == old || s.table.CompareAndSwap(old, next) {
			return
		}
	}
}

// lacks reports whether requests wait for a model of which the routing table says nothing.
func (s *Service) lacks(rows []demandRow) bool {
	t := s.RoutingTable()
	return slices.ContainsFunc(rows, func(r demandRow) bool {
		_, estimated := t.TimeToReady(r.Model)
		return r.Waiting > 0 && !estimated && len(t.Replicas(r.Model)) == 0
	})
}

// latest returns the owner of the shard with the highest epoch that this VM has learned of.
func (s *Service) latest(sh *shard) (int64, arbutusfork.Incarnation) {
	r, _ := sh.view.Record()
	epoch, owner := r.Fence, r.Owner
	if p, ok := s.RoutingTable().Part(sh.name); ok && p.Epoch >= epoch {
		epoch, owner = p.Epoch, p.Owner
	}
	if sh.told.Epoch > epoch {
		epoch, owner = sh.told.Epoch, sh.told.Owner
	}
	return epoch, owner
}
