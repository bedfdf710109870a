package afquota

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"arbutusfork.example/arbutusfork/pkg/aflimit"
	"arbutusfork.example/arbutusfork/pkg/afobject"
	"arbutusfork.example/arbutusfork/pkg/afversion"
)

const (
	// membershipSettleDelay is how long the membership must be unchanged before shares are moved, so that a VM that
	// repeatedly leaves and returns causes no writes.
	membershipSettleDelay = 2 * time.Second
	// minRecordRetryDelay is the delay before a record without free parts is read again for the first time.
	minRecordRetryDelay = 2 * time.Second
	// maxRecordRetryDelay bounds the delay before a record without free parts is read again.
	maxRecordRetryDelay = 10 * time.Second
)

// recordSchedule determines when an account's share record is read or written. The account's mu guards it.
type recordSchedule struct {
	// announcedVersion is the latest record version that a peer has announced.
	announcedVersion int64
	// shareSet is the share set for the current membership.
	shareSet []string
	// shareSetChangedAt is when shareSet last changed.
	shareSetChangedAt time.Duration
	// nextCallAt is the earliest time of the next platform call.
	nextCallAt time.Duration
	// retryDelay is the pause after the next platform call.
	retryDelay time.Duration
}

// maintainRecords compares each cached share record with the membership and updates the record where needed.
func (s *Service) maintainRecords(ctx context.Context) {
	if s.Customers != nil {
		for _, c := range s.Customers() {
			s.accountOf(c)
		}
	}
	s.recordsMu.Lock()
	defer s.recordsMu.Unlock()
	if s.isLeaving() {
		return
	}
	liveVMs := s.liveVMs()
	for _, a := range s.sortedAccounts() {
		s.maintainRecord(ctx, a, liveVMs)
	}
}

// maintainRecord reads and updates one customer's share record if it is due.
func (s *Service) maintainRecord(ctx context.Context, a *account, liveVMs []string) {
	shareSet := aflimit.ShareSet(a.name, liveVMs)
	target := aflimit.TargetParts(s.Self.VM, shareSet)
	a.mu.Lock()
	now := s.now()
	if s.IsGone(s.Self) {
		// The platform reports this VM as gone, so its share may be reissued to another VM.
		a.limiter.SetBaseParts(0, 0, now)
		a.mu.Unlock()
		return
	}
	a.shareView = a.shareView.WithGoneHolders(s.IsGone, now)
	isDue, isSettled := a.updateSchedule(shareSet, target, s.era.Load(), now)
	a.mu.Unlock()
	if isDue && s.loadRecord(ctx, a) == nil && isSettled {
		s.adjustShare(ctx, a, target)
	}
}

// updateSchedule applies the current share set to the schedule. It reports whether the record must be read now, and
// whether the membership has been unchanged long enough for shares to move. The caller holds mu.
func (a *account) updateSchedule(shareSet []string, target, era int64, now time.Duration) (isDue, isSettled bool) {
	sched := &a.recordSchedule
	if !slices.Equal(shareSet, sched.shareSet) {
		sched.shareSetChangedAt, sched.nextCallAt, sched.retryDelay = now, 0, 0
		if sched.shareSet == nil {
			// The first share set applies at once, because no shares are held yet.
			sched.shareSetChangedAt = now - membershipSettleDelay
		}
		sched.shareSet = shareSet
	}
	isSettled = now-sched.shareSetChangedAt >= membershipSettleDelay
	mustRead := !a.shareView.IsLoaded() || sched.announcedVersion > a.shareView.Version() || era > afversion.Era(a.shareView.Version())
	if sched.announcedVersion > a.shareView.Version() {
		sched.nextCallAt = 0
	}
	mustWrite := a.shareView.IsLost() && target > 0 || isSettled && (a.shareView.HasUnconfirmedWrite() || a.shareView.UsableParts() != target)
	if now < sched.nextCallAt || !mustRead && !mustWrite {
		return false, isSettled
	}
	sched.retryDelay = min(max(minRecordRetryDelay, 2*sched.retryDelay), maxRecordRetryDelay)
	sched.nextCallAt = now + sched.retryDelay
	return true, isSettled
}

// loadRecord reads the record from the platform and applies it.
func (s *Service) loadRecord(ctx context.Context, a *account) error {
	ctx, cancel := s.Timer.WithTimeout(ctx, platformCallTimeout)
	defer cancel()
	o, err := s.GetObject(ctx, afobject.KindShares, a.name)
	exists := !afobject.IsKind(err, afobject.ObjectNotFound)
	if err != nil && exists {
		s.Log.Debug("share record not read", "customer", a.name, "error", err)
		return err
	}
	if era := afversion.Era(o.Version); s.RecordEra(era) > era {
		return &Error{Op: "read record", Kind: StaleRecord}
	}
	var record aflimit.ShareRecord
	if exists {
		if err := json.Unmarshal(o.Spec, &record); err != nil {
			s.Log.Error("malformed share record", "customer", a.name, "error", err)
			return &Error{Op: "decode record", Kind: MalformedMessage, Err: err}
		}
	}
	return s.applyRecord(a, record, o.Version)
}

// applyRecord applies the record as the platform has stored it.
func (s *Service) applyRecord(a *account, record aflimit.ShareRecord, version int64) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := s.now()
	next, neverHeld, ok := a.shareView.WithRecord(record, version)
	if !ok {
		return &Error{Op: "read record", Kind: StaleRecord}
	}
	a.shareView = next.WithGoneHolders(s.IsGone, now)
	a.applyBaseParts(neverHeld, now)
	if next.IsLost() {
		a.recordSchedule.nextCallAt = now + lostRecordRetryDelay
	}
	return nil
}

// applyBaseParts sets the base share to the usable parts of the share view. The caller holds mu.
func (a *account) applyBaseParts(neverHeld int64, now time.Duration) {
	if parts := a.shareView.UsableParts(); parts != a.limiter.BaseParts() || neverHeld > 0 {
		a.limiter.SetBaseParts(parts, neverHeld, now)
	}
}

// adjustShare writes the share record if this VM's parts differ from the target.
func (s *Service) adjustShare(ctx context.Context, a *account, target int64) {
	a.mu.Lock()
	now := s.now()
	isLost := a.shareView.IsLost()
	w, needed := a.shareView.PlanWrite(target, a.limiter.LentParts(), now)
	a.mu.Unlock()
	if isLost {
		w, needed = s.planSettlement(ctx, a, target)
	}
	if !needed {
		return
	}
	a.mu.Lock()
	a.shareView = a.shareView.WithUnconfirmedWrite(w)
	a.applyBaseParts(0, now)
	shareSet := a.recordSchedule.shareSet
	a.mu.Unlock()
	s.Log.Info("writing share record", "customer", a.name, "version", w.BaseVersion, "before", w.PartsBefore(),
		"after", w.PartsAfter(), "target", target, "set", shareSet)

	version, err := s.writeRecord(ctx, a, w)
	if err == nil && afversion.Era(version) != afversion.Era(w.BaseVersion) {
		err = &afobject.Error{Op: "write", Object: a.name, Kind: afobject.OutcomeUnknown}
	}
	switch {
	case err == nil:
		_ = s.applyRecord(a, w.Record, version)
		if w.PartsAfter() < w.PartsBefore() {
			s.announceFreeParts(a, shareSet, version)
		}
	case afobject.IsKind(err, afobject.PlatformUnavailable), afobject.IsKind(err, afobject.VersionConflict), afobject.IsKind(err, afobject.InvalidRequest):
		a.mu.Lock()
		a.shareView = a.shareView.WithoutLatestWrite()
		a.applyBaseParts(0, s.now())
		a.mu.Unlock()
	}
	if err == nil || afobject.IsKind(err, afobject.OutcomeUnknown) || afobject.IsKind(err, afobject.VersionConflict) {
		a.mu.Lock()
		a.recordSchedule.nextCallAt, a.recordSchedule.retryDelay = 0, 0
		a.mu.Unlock()
	}
}

// writeRecord creates or updates the record on the platform and returns its new version.
func (s *Service) writeRecord(ctx context.Context, a *account, w aflimit.RecordWrite) (int64, error) {
	ctx, cancel := s.Timer.WithTimeout(ctx, platformCallTimeout)
	defer cancel()
	s.counters.recordWrites.Add(1)
	spec, err := json.Marshal(w.Record)
	if err != nil {
		return 0, &afobject.Error{Op: "encode", Object: a.name, Kind: afobject.InvalidRequest, Err: err}
	}
	o := afobject.Object{Kind: afobject.KindShares, Name: a.name, Version: w.BaseVersion, Spec: spec}
	if afversion.Revision(w.BaseVersion) == 0 {
		o.Version = 0
		o, err = s.CreateObject(ctx, o)
	} else {
		o, err = s.UpdateObject(ctx, o)
	}
	return o.Version, err
}

// announceFreeParts notifies the share set that the record has free parts, so that the other VMs do not have to poll
// for them.
func (s *Service) announceFreeParts(a *account, shareSet []string, version int64) {
	for _, vm := range shareSet {
		if vm == s.Self.VM {
			continue
		}
		s.startAsync(func() {
			_ = s.callWithTimeout(context.Background(), vm, KindGiveback, givebackMessage{Customer: a.name, RecordVersion: version}, &ackMessage{})
		})
	}
}
