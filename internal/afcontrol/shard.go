package afcontrol

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afobject"
	"arbutusfork.example/arbutusfork/pkg/afplacement"
)

const (
	// followNear is the period at which the two preferred owners read a shard that another VM owns. With the
	// expiry of 7.5 s it keeps a take-over within 10 s of a death.
	followNear = time.Second
	// followFar is the period of the other VMs in a fleet of farFleet VMs. It grows with the fleet, so that the
	// platform's reads do not.
	followFar = 30 * time.Second
	farFleet  = 8
	nearRanks = 2
	// refresh is the period at which an owner publishes an unchanged part again, with new running counts.
	refresh = 2 * time.Second
)

// shard is the loop's state of one shard.
type shard struct {
	name  string
	view  afplacement.View
	polls map[string]*poll
	// seen are reports of endpoints on which nothing is under way. The next tick decides on them together.
	seen []afplacement.StatusPolled
	// fetching tells that a read is in flight, fetched is when the last one started.
	fetching bool
	fetched  time.Time
	// part is what was last published from here, at published.
	part      afplacement.TablePart
	published time.Time
	fence     int64
	sequence  int64
	// audience are the VMs that get filtered parts in a large fleet, announced the fence that they were told.
	audience  audience
	announced int64
	// told is the owner that another VM named.
	told ownerMessage
}

// next returns the number of the next publication under the fence.
func (sh *shard) next(fence int64) int64 {
	if fence != sh.fence {
		sh.fence, sh.sequence = fence, 0
	}
	sh.sequence++
	return sh.sequence
}

// step applies an event to the shard, carries out the effects and publishes.
func (s *Service) step(sh *shard, e afplacement.Event) {
	now := s.Timer.Now()
	s.apply(sh, e, now)
	s.publish(sh, now)
}

func (s *Service) apply(sh *shard, e afplacement.Event, now time.Time) {
	view, effects := sh.view.Step(e, now)
	sh.view = view
	for _, effect := range effects {
		switch effect := effect.(type) {
		case afplacement.CommitRecord:
			s.commit(sh, effect)
		case afplacement.FetchRecord:
			s.fetch(sh, now)
		case afplacement.SendOrder:
			s.send(sh, effect.Order)
		case afplacement.FenceSender:
			s.askRelease(sh, effect)
		case afplacement.Decision:
			s.logDecision(sh, effect)
		}
	}
}

// commit writes the record. Any error leads to a read, since the write may have taken effect.
func (s *Service) commit(sh *shard, c afplacement.CommitRecord) {
	s.spawn(func(ctx context.Context) func() {
		spec, err := json.Marshal(c.Record)
		var o afobject.Object
		if err == nil {
			o = afobject.Object{Kind: afobject.Shards, Name: sh.name, Version: c.Version, Spec: spec}
			if c.Version == 0 {
				o, err = s.CreateObject(ctx, o)
			} else {
				o, err = s.UpdateObject(ctx, o)
			}
		}
		return func() {
			if err != nil {
				s.Log.Warn("shard record not committed; reading it back", "shard", sh.name, "version", c.Version, "error", err)
				s.step(sh, afplacement.CommitFailed{})
				return
			}
			if old, _ := sh.view.Record(); old.Fence != c.Record.Fence {
				s.Log.Info("shard ownership changed", "shard", sh.name, "owner", c.Record.Owner, "fence", c.Record.Fence)
			}
			s.step(sh, afplacement.CommitSucceeded{Version: o.Version})
		}
	})
}

// fetch reads the record.
func (s *Service) fetch(sh *shard, now time.Time) {
	if sh.fetching {
		return
	}
	sh.fetching, sh.fetched = true, now
	s.spawn(func(ctx context.Context) func() {
		o, err := s.GetObject(ctx, afobject.Shards, sh.name)
		var r afplacement.Record
		if err == nil {
			err = json.Unmarshal(o.Spec, &r)
		}
		return func() {
			sh.fetching = false
			switch {
			case afobject.IsKind(err, afobject.NotFound):
				s.step(sh, afplacement.RecordFetched{})
			case err == nil:
				s.step(sh, afplacement.RecordFetched{Version: o.Version, Record: r})
			default:
				s.Log.Debug("shard record not read", "shard", sh.name, "error", err)
			}
		}
	})
}

// follow reads the record when this VM needs to know whether its owner is alive, or must read back.
func (s *Service) follow(sh *shard, now time.Time) {
	period := followFar * time.Duration(max(1, len(s.Members())/farFleet))
	switch {
	case sh.view.NeedsRecordRead():
		period = tick
	case sh.view.HasLease(now):
		return
	case sh.view.Rank < nearRanks:
		period = followNear
	}
	if sh.fetched.IsZero() || now.Sub(sh.fetched) >= period {
		s.fetch(sh, now)
	}
}

// checkGone asks the platform's list about senders whose orders are exposed.
func (s *Service) checkGone(sh *shard, now time.Time) {
	if !sh.view.HasLease(now) || s.IsGone == nil {
		return
	}
	for _, sender := range sh.view.ExposedSenders() {
		if s.IsGone(sender) {
			s.Log.Info("earlier owner is gone; its orders are no longer exposed", "shard", sh.name, "sender", sender)
			s.step(sh, afplacement.SenderGone{Sender: sender})
		}
	}
}

// publish sends the shard's part of the routing table to the other VMs if it has changed or is due.
func (s *Service) publish(sh *shard, now time.Time) {
	if !sh.view.HasLease(now) {
		return
	}
	members := s.Members()
	if s.large() {
		sh.part = afplacement.TablePart{}
		s.filter(sh, members, now)
		return
	}
	sh.audience = audience{}
	vms := make([]string, 0, len(members)+1)
	vms = append(vms, s.Self.VM)
	for _, vm := range members {
		if vm.Name != s.Self.VM && vm.State == arbutusfork.VMLive {
			vms = append(vms, vm.Name)
		}
	}
	p := sh.view.BuildPart(sh.name, vms, now)
	if p.EqualExceptRunning(sh.part) && now.Sub(sh.published) < refresh {
		return
	}
	p.Sequence = sh.next(p.Epoch)
	sh.part, sh.published = p, now
	s.adopt(p)
	for _, vm := range vms[1:] {
		if err := s.SendMessage(vm, KindTablePart, p); err != nil {
			s.Log.Debug("routing table not sent", "vm", vm, "shard", sh.name, "error", err)
		}
	}
}

// adopt puts a newer part into the table.
func (s *Service) adopt(p afplacement.TablePart) bool {
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

// DropEndpoint takes an endpoint out of the routing table until its shard's owner publishes again. Call it when an endpoint
// answers that it is leaving or cannot be reached.
func (s *Service) DropEndpoint(endpoint string) {
	for {
		old := s.table.Load()
		if old == nil || s.table.CompareAndSwap(old, old.WithoutEndpoint(endpoint)) {
			return
		}
	}
}

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
