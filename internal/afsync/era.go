package afsync

import (
	"encoding/json"
	"time"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afconfig"
	"arbutusfork.example/arbutusfork/pkg/afobject"
	"arbutusfork.example/arbutusfork/pkg/afversion"
)

const (
	// holdPeriod is how long a VM holds objects that the platform's store may have lost when it came back from an older copy.
	// Operators write them again within seconds.
	holdPeriod = 10 * time.Second
	// resolutionRetryInterval is the time between two attempts to read the configuration at the end of holdPeriod.
	resolutionRetryInterval = time.Second
	// heldRequestPeriod is how long after its first list a VM asks the others for objects that the store may have lost. A new
	// VM has heard from all its heartbeat peers by then.
	heldRequestPeriod = 5 * time.Second
)

// scheduleResolution schedules the end of the time for which a snapshot holds objects that the store may have lost. The time
// begins again with each era.
func (s *Service) scheduleResolution(old, next *afconfig.Snapshot) {
	if !next.IsHolding() || old.IsHolding() && afversion.Era(old.Version) == afversion.Era(next.Version) {
		return
	}
	s.log().Warn("configuration held, the platform's store came back from an older copy",
		"era", afversion.Era(next.Version), "before", old.Version, "version", next.Version, "objects", len(next.HeldObjects()))
	s.resolveAfter(holdPeriod, afversion.Era(next.Version))
}

// resolveAfter replaces the held objects by the store's after a delay, unless another era has begun by then.
func (s *Service) resolveAfter(d time.Duration, era int64) {
	s.Timer.CallAfter(d, func(time.Time) {
		s.events.TryPush(func() {
			if snapshot := s.Snapshot(); snapshot.IsHolding() && afversion.Era(snapshot.Version) == era {
				s.resolveHeldObjects(era)
			}
		})
	})
}

// resolveHeldObjects reads the configuration from the platform and replaces the held objects. It is repeated until it succeeds.
func (s *Service) resolveHeldObjects(era int64) {
	go func() {
		objects, version, err := s.Client.List(s.ctx, "")
		s.events.PushWithContext(s.ctx, func() {
			if err != nil {
				s.log().Debug("held configuration not resolved", "error", err)
			} else {
				s.applyDelta(afconfig.Delta{Version: version, IsFull: true, IsResolution: true, Objects: objects, Baseline: version}, "list")
			}
			s.resolveAfter(resolutionRetryInterval, era)
		})
	}()
}

// requestHeldObjects asks a VM, once, for the objects that it holds although the store may have lost them. A VM that starts
// soon after the store came back has the store's older copies only.
func (s *Service) requestHeldObjects(vm string) {
	if s.heldRequests[vm] || s.Timer.Now().After(s.heldRequestsEndAt) {
		return
	}
	if s.heldRequests == nil {
		s.heldRequests = make(map[string]bool)
	}
	s.heldRequests[vm] = true
	go func() {
		d, err := s.fetchPages(vm, 0, true)
		s.events.PushWithContext(s.ctx, func() {
			if err != nil {
				s.log().Debug("fetching held configuration from a peer failed", "vm", vm, "error", err)
				delete(s.heldRequests, vm)
				return
			}
			s.applyHeldObjects(d.Objects, vm)
		})
	}()
}

// applyHeldObjects replaces the store's older copies by the objects that another VM holds.
func (s *Service) applyHeldObjects(objects []afobject.Object, source string) {
	if len(objects) == 0 {
		return
	}
	old := s.Snapshot()
	next, err := old.WithHeldObjects(objects...)
	if err != nil {
		s.log().Error("malformed configuration object treated as deleted", "source", source, "error", err)
	}
	s.storeSnapshot(old, next, len(objects), source)
}

// restoreWithdrawals writes withdrawals of keys again that the store has lost, so that a VM that starts later knows them too.
// Only the home VM of the witness set does so.
func (s *Service) restoreWithdrawals() {
	home, ok := s.Membership().HomeVM(witnessSetHomeKey)
	names := s.Snapshot().LostWithdrawals()
	if len(names) == 0 || !ok || home.Name != s.Self.VM || s.isRestoringWithdrawals {
		return
	}
	s.isRestoringWithdrawals = true
	go func() {
		for _, name := range names {
			if err := s.restoreWithdrawal(name); err != nil {
				s.log().Warn("withdrawal of a key not written again", "key", name, "error", err)
			}
		}
		s.events.PushWithContext(s.ctx, func() { s.isRestoringWithdrawals = false })
	}()
}

// restoreWithdrawal writes the withdrawal of a key again unless the store has it or lacks the key.
func (s *Service) restoreWithdrawal(name string) error {
	o, err := s.Client.Get(s.ctx, afobject.KindKeys, name)
	if afobject.IsKind(err, afobject.ObjectNotFound) {
		return nil
	}
	var k arbutusfork.APIKey
	if err == nil {
		err = json.Unmarshal(o.Spec, &k)
	}
	held, ok := s.Snapshot().Key(k.Digest)
	if err != nil || k.IsWithdrawn || !ok || !held.IsWithdrawn {
		return err
	}
	if o.Spec, err = json.Marshal(k.WithWithdrawn()); err != nil {
		return err
	}
	if _, err = s.Client.WriteWithReadback(s.ctx, o); err == nil {
		s.log().Info("withdrawal of a key written again", "key", name)
	}
	return err
}
