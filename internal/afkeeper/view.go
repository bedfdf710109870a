package afkeeper

import (
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/internal/afroster"
)

const (
	// viewPeriod and beatPeriod are the times between two views and two beats without a change, for a fleet of up to
	// periodVMs. They grow with the fleet, so that the holder's messages grow with it and not with its square.
	viewPeriod = 300 * time.Millisecond
	beatPeriod = 250 * time.Millisecond
	periodVMs  = 24
	// smallFleet is the number of VMs up to which each view names all engines.
	smallFleet = 12
	// silentViews is the number of views that must be missing before the holder counts as silent.
	silentViews = 4
	// urgentGap is the least time between two views that are sent because of a change.
	urgentGap = 20 * time.Millisecond
)

// maxStretch bounds how many times longer the periods get: VMs that hear no view for maxSilence look for a new holder.
const maxStretch = 3

// stretch returns a period for the size of the fleet.
func stretch(d time.Duration, vms int) time.Duration {
	return min(max(d, d*time.Duration(vms)/periodVMs), maxStretch*d)
}

// silence returns how long the holder's view must be missing before this VM looks at the lease.
func (s *Service) silence() time.Duration {
	if d := stretch(viewPeriod, s.ListedVMCount()); d > viewPeriod {
		return min(silentViews*d, maxSilence)
	}
	return silentViews * viewPeriod
}

// maxSilence bounds the silence in large fleets: endpoints that drain must get no requests after two to three seconds.
const maxSilence = 2 * time.Second

// spread sends the view to every VM.
func (s *Service) spread() {
	now := s.Timer.Now()
	members := s.LiveVMs()
	s.mu.Lock()
	changed := (s.changed || s.due) && !now.Before(s.lastView.Add(stretch(urgentGap, len(members))))
	if now.Before(s.nextView) && !changed {
		s.mu.Unlock()
		return
	}
	s.due, s.changed, s.lastView = false, false, now
	s.nextView = now.Add(stretch(viewPeriod, len(members)))
	v := view{
		Holder: s.lease.Record().Holder, Epoch: s.lease.Epoch(), Beat: s.lease.Record().RenewalCount, Version: s.lease.Version(),
		Relay: s.relaySeq,
	}
	beats := make(map[string]beat, len(s.beats)+1)
	starts := make(map[string]int64, len(s.beats)+1)
	for vm, h := range s.beats {
		beats[vm], starts[vm] = h.beat, h.from.Start
	}
	s.mu.Unlock()
	beats[s.Self.VM], starts[s.Self.VM] = s.beat(s.OwnDemand()), s.Self.Start
	v.Marks, v.Soon, v.Loads = s.FeedMarks(), s.soon(now), sumLoads(beats)
	all := s.describe(now)
	news := s.news(all)
	grants := s.grant(beats, starts, members, now)
	v.Deputy = s.choose(beats, members)
	s.mu.Lock()
	s.deputy = deputy{vm: v.Deputy}
	s.mu.Unlock()
	v.Engines = news
	some, err := msgpack.Marshal(v)
	if err != nil {
		s.Log.Error("view not encoded", "error", err)
		return
	}
	v.Engines = all
	whole, err := msgpack.Marshal(v)
	if err != nil {
		s.Log.Error("view not encoded", "error", err)
		return
	}
	for _, vm := range members {
		if vm.Name == s.Self.VM {
			s.adopt(v)
			s.ApplyGrants(decodeGrants(grants[vm.Name]))
			continue
		}
		body := some
		if s.fresh(vm, starts[vm.Name], len(members)) {
			body = whole
		}
		s.show(vm.Name, KindPlacementView, msgpack.RawMessage(body))
		if g := grants[vm.Name]; len(g) > 0 {
			s.show(vm.Name, KindLimitGrants, g)
		}
	}
}

// show sends a part of the view to a VM. One that cannot be reached is shown all engines again.
func (s *Service) show(vm, kind string, message any) {
	if err := s.SendToVM(vm, kind, message); err != nil {
		delete(s.shown, vm)
		s.Log.Debug("view not sent", "to", vm, "kind", kind, "error", err)
	}
}

// fresh reports whether a VM may not know all engines. In a small fleet every view names them.
func (s *Service) fresh(vm arbutusfork.VM, start int64, vms int) bool {
	if vms <= smallFleet {
		return true
	}
	// A VM whose beats have not come yet is shown all engines again.
	if s.shown[vm.Name] == start && start != 0 {
		return false
	}
	s.shown[vm.Name] = start
	return true
}

func sumLoads(beats map[string]beat) map[string]load {
	total := make(map[string]afroster.Load)
	for _, b := range beats {
		for id, l := range b.Loads {
			total[id] = total[id].Add(l.decode())
		}
	}
	out := make(map[string]load, len(total))
	for id, l := range total {
		out[id] = encodeLoad(l)
	}
	return out
}

// describe returns what each engine holds.
func (s *Service) describe(now time.Time) map[string]engine {
	out := make(map[string]engine, len(s.engines))
	for id, x := range s.engines {
		out[id] = engine{Born: x.entry.StartUnixMs, Models: x.held(now), Closing: x.closed(now)}
	}
	return out
}

// news returns the engines that differ from the last view.
func (s *Service) news(all map[string]engine) map[string]engine {
	out := make(map[string]engine)
	for id, e := range all {
		old, ok := s.told[id]
		if !ok || old.Born != e.Born || !slices.Equal(old.Closing, e.Closing) || !sameModels(old.Models, e.Models) {
			out[id] = e
		}
	}
	s.told = all
	return out
}

// heldModels returns the models that some engine holds.
func (s *Service) heldModels(now time.Time) map[string]bool {
	held := make(map[string]bool)
	for _, x := range s.engines {
		for _, h := range x.held(now) {
			held[h.Model] = true
		}
	}
	return held
}

// soon returns the times until models that no engine holds are loaded, or can be loaded at the earliest.
func (s *Service) soon(now time.Time) map[string]int64 {
	out := make(map[string]int64)
	held := s.heldModels(now)
	for _, x := range s.engines {
		if x.loading == "" || held[x.loading] {
			continue
		}
		ms := max(x.ends.Sub(now), workPoll).Milliseconds()
		if old, ok := out[x.loading]; !ok || ms < old {
			out[x.loading] = ms
		}
	}
	for model, at := range s.queued {
		if _, loading := out[model]; !loading && !held[model] {
			out[model] = max(at.Sub(now), 0).Milliseconds()
		}
	}
	return out
}

// adopt passes a view on to the roster.
func (s *Service) adopt(v view) {
	statuses := make(map[string]afroster.EngineStatus, len(v.Engines))
	for id, e := range v.Engines {
		statuses[id] = afroster.EngineStatus{StartUnixMs: e.Born, Models: e.Models, ClosingModels: e.Closing}
	}
	s.mu.Lock()
	own := s.ownLoads
	s.mu.Unlock()
	others := make(map[string]afroster.Load, len(v.Loads))
	for id, l := range v.Loads {
		o := own[id].decode()
		others[id] = afroster.Load{
			Requests: max(l.Requests-o.Requests, 0), UnreadPromptTokens: max(l.Prompt-o.UnreadPromptTokens, 0), TotalTokens: max(l.Tokens-o.TotalTokens, 0),
		}
	}
	s.Roster.ApplyView(statuses, others)
	soon := make(map[string]time.Duration, len(v.Soon))
	for model, ms := range v.Soon {
		soon[model] = time.Duration(ms) * time.Millisecond
	}
	s.ApplyLoadDelays(soon)
}
