package afcontrol

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afobject"
	"arbutusfork.example/arbutusfork/pkg/afplacement"
	"arbutusfork.example/arbutusfork/pkg/afversion"
)

const (
	// preferredReadInterval is the interval at which the most preferred owners read the record of a shard that another
	// VM owns. With a take-over delay of 7.5 s, a shard has a new owner within 10 s of its owner's death.
	preferredReadInterval = time.Second
	// defaultReadInterval is the interval at which the other VMs read the record in a fleet of defaultReadFleetSize
	// VMs. The interval grows with the fleet, so that the number of reads does not.
	defaultReadInterval = 30 * time.Second
	// defaultReadFleetSize is the number of VMs to which defaultReadInterval applies.
	defaultReadFleetSize = 8
	// preferredOwnerCount is the number of VMs that read the record at preferredReadInterval.
	preferredOwnerCount = 2
	// republishInterval is the interval at which an owner publishes an unchanged part again, with new counts of running
	// requests.
	republishInterval = 2 * time.Second
)

// shard is the loop's state of one shard.
type shard struct {
	name  string
	view  afplacement.View
	polls map[string]*pollState
	// pendingReports are reports of endpoints with nothing in progress. The next tick applies them together.
	pendingReports []afplacement.StatusPolled
	// isFetching means that a read of the record is in progress.
	isFetching bool
	// fetchStartedAt is when the last read of the record started.
	fetchStartedAt time.Time
	// lastPart is the part that this VM last published.
	lastPart afplacement.TablePart
	// lastPartAt is when lastPart was published.
	lastPartAt time.Time
	// sequenceFence is the fence to which sequence belongs.
	sequenceFence int64
	// sequence is the number of the last publication under sequenceFence.
	sequence int64
	// subscribers are the VMs that get filtered parts in a large fleet.
	subscribers subscribers
	// announcedFence is the fence under which this VM last announced itself as owner.
	announcedFence int64
	// announcedOwner is the owner with the highest epoch that another VM has sent.
	announcedOwner ownerMessage
}

// nextSequence returns the sequence number of the next publication under the fence.
func (sh *shard) nextSequence(fence int64) int64 {
	if fence != sh.sequenceFence {
		sh.sequenceFence, sh.sequence = fence, 0
	}
	sh.sequence++
	return sh.sequence
}

// applyEvent applies an event to the shard, carries out the effects and publishes the routing table if it has changed.
func (s *Service) applyEvent(sh *shard, e afplacement.Event) {
	now := s.Timer.Now()
	s.stepView(sh, e, now)
	s.publishPart(sh, now)
}

// stepView applies an event to the shard's view and carries out the effects.
func (s *Service) stepView(sh *shard, e afplacement.Event, now time.Time) {
	view, effects := sh.view.Step(e, now)
	sh.view = view
	for _, effect := range effects {
		switch effect := effect.(type) {
		case afplacement.CommitRecord:
			s.commitRecord(sh, effect)
		case afplacement.FetchRecord:
			s.fetchRecord(sh, now)
		case afplacement.SendOrder:
			s.sendOrder(sh, effect.Order)
		case afplacement.FenceSender:
			s.fenceSender(sh, effect)
		case afplacement.Decision:
			s.logDecision(sh, effect)
		}
	}
}

// commitRecord writes the record. After any error the record is read, since the write may have taken effect.
func (s *Service) commitRecord(sh *shard, c afplacement.CommitRecord) {
	s.startCall(func(ctx context.Context) func() {
		spec, err := json.Marshal(c.Record)
		var o afobject.Object
		if err == nil {
			o = afobject.Object{Kind: afobject.KindShards, Name: sh.name, Version: c.Version, Spec: spec}
			if afversion.Revision(c.Version) == 0 {
				o.Version = 0
				o, err = s.CreateObject(ctx, o)
			} else {
				o, err = s.UpdateObject(ctx, o)
			}
		}
		return func() {
			if err != nil {
				s.Log.Warn("shard record not committed", "shard", sh.name, "version", c.Version, "error", err)
				s.applyEvent(sh, afplacement.CommitFailed{})
				return
			}
			if old, _ := sh.view.Record(); old.Fence != c.Record.Fence {
				s.Log.Info("shard ownership changed", "shard", sh.name, "owner", c.Record.Owner, "fence", c.Record.Fence)
			}
			s.applyEvent(sh, afplacement.CommitSucceeded{Version: o.Version})
		}
	})
}

// fetchRecord reads the record, unless a read is in progress.
func (s *Service) fetchRecord(sh *shard, now time.Time) {
	if sh.isFetching {
		return
	}
	sh.isFetching, sh.fetchStartedAt = true, now
	s.startCall(func(ctx context.Context) func() {
		o, err := s.GetObject(ctx, afobject.KindShards, sh.name)
		var r afplacement.Record
		if err == nil {
			err = json.Unmarshal(o.Spec, &r)
		}
		return func() {
			sh.isFetching = false
			switch {
			case afobject.IsKind(err, afobject.ObjectNotFound):
				s.recordEra(o.Version)
				s.applyEvent(sh, afplacement.RecordFetched{Version: o.Version})
			case err == nil:
				s.recordEra(o.Version)
				s.applyEvent(sh, afplacement.RecordFetched{Version: o.Version, Record: r})
			default:
				s.Log.Debug("shard record not read", "shard", sh.name, "error", err)
			}
		}
	})
}

// recordEra records when the era of a version was first seen.
func (s *Service) recordEra(version int64) {
	if era := afversion.Era(version); s.eraSeenAt.IsZero() || era > s.era {
		if s.era != 0 {
			s.Log.Warn("the platform's store came back from an older copy", "era", era, "before", s.era)
		}
		s.era, s.eraSeenAt = era, s.Timer.Now()
		for _, sh := range s.shards {
			sh.view.EraSeenAt = s.eraSeenAt
		}
	}
}

// fetchRecordIfDue reads the record at the interval that applies to this VM: short for preferred owners and after a
// failed commit, long otherwise. An owner does not read.
func (s *Service) fetchRecordIfDue(sh *shard, now time.Time) {
	interval := defaultReadInterval * time.Duration(max(1, len(s.LiveVMs())/defaultReadFleetSize))
	switch {
	case sh.view.NeedsRecordRead():
		interval = tickInterval
	case sh.view.HasLease(now):
		return
	case sh.view.Rank < preferredOwnerCount:
		interval = preferredReadInterval
	}
	if sh.fetchStartedAt.IsZero() || now.Sub(sh.fetchStartedAt) >= interval {
		s.fetchRecord(sh, now)
	}
}

// reportGoneSenders applies SenderGone for the senders of exposed orders that can no longer act.
func (s *Service) reportGoneSenders(sh *shard, now time.Time) {
	if !sh.view.HasLease(now) || s.IsGone == nil {
		return
	}
	for _, sender := range sh.view.ExposedSenders() {
		if s.IsGone(sender) {
			s.Log.Info("earlier shard owner gone", "shard", sh.name, "sender", sender)
			s.applyEvent(sh, afplacement.SenderGone{Sender: sender})
		}
	}
}

// publishPart sends the shard's part of the routing table to the other VMs if the part has changed or republishInterval
// has passed.
func (s *Service) publishPart(sh *shard, now time.Time) {
	if !sh.view.HasLease(now) {
		return
	}
	members := s.LiveVMs()
	if s.isLargeFleet() {
		sh.lastPart = afplacement.TablePart{}
		s.publishFiltered(sh, members, now)
		return
	}
	sh.subscribers = subscribers{}
	vms := make([]string, 0, len(members)+1)
	vms = append(vms, s.Self.VM)
	for _, vm := range members {
		if vm.Name != s.Self.VM && vm.State == arbutusfork.VMLive {
			vms = append(vms, vm.Name)
		}
	}
	p := sh.view.BuildPart(sh.name, vms, now)
	if p.EqualExceptRunning(sh.lastPart) && now.Sub(sh.lastPartAt) < republishInterval {
		return
	}
	p.Sequence = sh.nextSequence(p.Epoch)
	sh.lastPart, sh.lastPartAt = p, now
	s.adoptPart(p)
	for _, vm := range vms[1:] {
		if err := s.SendToVM(vm, KindTablePart, p); err != nil {
			s.Log.Debug("routing table not sent", "vm", vm, "shard", sh.name, "error", err)
		}
	}
}

// adoptPart puts the part into this VM's routing table and reports whether the part was newer.
func (s *Service) adoptPart(p afplacement.TablePart) bool {
	for {
		old := s.table.Load()
		next, newer := old.WithPart(p)
		if !newer {
			return false
		}
		if s.table.CompareAndSwap(old, next) {
			return true
		}
	}
}

// DropEndpoint removes an endpoint from the routing table until the shard's owner publishes again. It is to be called
// when an endpoint answers that it is leaving or cannot be reached.
func (s *Service) DropEndpoint(endpoint string) {
	for {
		old := s.table.Load()
		if old == nil || s.table.CompareAndSwap(old, old.WithoutEndpoint(endpoint)) {
			return
		}
	}
}

// logDecision logs a placement decision with up to three alternatives.
func (s *Service) logDecision(sh *shard, d afplacement.Decision) {
	args := []any{
		"shard", sh.name, "verb", d.Verb.String(), "model", d.Model, "endpoint", d.Endpoint, "reason", d.Reason,
		"tier", d.Choice.Tier.String(), "ready", d.Choice.TimeToReady, "bare", d.Choice.LoadTime, "free", d.Choice.FreeMemory,
		"evict", d.Choice.Evictions, "loads", d.LoadsInProgress, "budget", d.LoadBudget, "waiting", d.WaitingRequests,
	}
	for _, c := range d.Alternatives[:min(len(d.Alternatives), 3)] {
		args = append(args, slog.Group("or-"+c.Endpoint, "tier", c.Tier.String(), "ready", c.TimeToReady, "free", c.FreeMemory))
	}
	s.Log.Info("placement decision", args...)
}
