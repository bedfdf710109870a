package afquota

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"arbutusfork.example/arbutusfork/pkg/aflimit"
	"arbutusfork.example/arbutusfork/pkg/afobject"
)

const (
	// settleTime is how long the membership must be unchanged before shares move, so that a VM that flaps causes no
	// writes.
	settleTime = 2 * time.Second
	// minRetry and maxRetry bound the pause before a record without free parts is read again.
	minRetry = 2 * time.Second
	maxRetry = 10 * time.Second
)

// schedule says when an account's share record is read or changed. The account's mu guards it.
type schedule struct {
	known int64         // known is the latest version that a peer told of.
	set   []string      // set is the share set that the membership calls for.
	since time.Duration // since is when the set last changed.
	next  time.Duration // next is the earliest time of another platform call.
	retry time.Duration // retry is the pause after the next call.
}

// keepRecords compares each cached share record with the membership and changes it where needed.
func (s *Service) keepRecords(ctx context.Context) {
	if s.Customers != nil {
		for _, c := range s.Customers() {
			s.account(c)
		}
	}
	s.duty.Lock()
	defer s.duty.Unlock()
	if s.isLeaving() {
		return
	}
	live := s.live()
	for _, a := range s.all() {
		s.keepRecord(ctx, a, live)
	}
}

func (s *Service) keepRecord(ctx context.Context, a *account, live []string) {
	set := aflimit.ShareSet(a.name, live)
	target := aflimit.TargetParts(s.Self.VM, set)
	a.mu.Lock()
	now := s.now()
	if s.IsGone(s.Self) {
		// The platform takes this VM for gone, so its share may be reissued.
		a.state.SetBaseParts(0, 0, now)
		a.mu.Unlock()
		return
	}
	a.share = a.share.WithGoneHolders(s.IsGone, now)
	due, settled := a.due(set, target, now)
	a.mu.Unlock()
	if due && s.load(ctx, a) == nil && settled {
		s.adjust(ctx, a, target)
	}
}

// due reports whether the record must be read, and whether shares may move. The caller holds mu.
func (a *account) due(set []string, target int64, now time.Duration) (due, settled bool) {
	r := &a.schedule
	if !slices.Equal(set, r.set) {
		r.since, r.next, r.retry = now, 0, 0
		if r.set == nil {
			r.since = now - settleTime // The first set needs no observation, since nothing is held yet.
		}
		r.set = set
	}
	settled = now-r.since >= settleTime
	unread := !a.share.IsLoaded() || r.known > a.share.Version()
	if r.known > a.share.Version() {
		r.next = 0
	}
	wanted := settled && (a.share.HasUnconfirmedWrite() || a.share.UsableParts() != target)
	if now < r.next || !unread && !wanted {
		return false, settled
	}
	r.retry = min(max(minRetry, 2*r.retry), maxRetry)
	r.next = now + r.retry
	return true, settled
}

// load reads the record and brings the base share in line with it.
func (s *Service) load(ctx context.Context, a *account) error {
	ctx, cancel := s.Timer.WithTimeout(ctx, platformTimeout)
	defer cancel()
	o, err := s.GetObject(ctx, afobject.Shares, a.name)
	if afobject.IsKind(err, afobject.NotFound) {
		o, err = afobject.Object{}, nil
	}
	if err != nil {
		s.Log.Debug("share record cannot be read", "customer", a.name, "error", err)
		return err
	}
	var value aflimit.ShareRecord
	if o.Version > 0 {
		if err := json.Unmarshal(o.Spec, &value); err != nil {
			s.Log.Error("share record is malformed", "customer", a.name, "error", err)
			return &Error{Op: "decode record", Kind: MalformedMessage, Err: err}
		}
	}
	return s.observe(a, value, o.Version)
}

// observe applies the record as the platform holds it.
func (s *Service) observe(a *account, value aflimit.ShareRecord, version int64) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := s.now()
	next, fresh, ok := a.share.WithRecord(value, version)
	if !ok {
		return &Error{Op: "read record", Kind: StaleRecord}
	}
	a.share = next.WithGoneHolders(s.IsGone, now)
	a.applyBase(fresh, now)
	return nil
}

// applyBase brings the share's parts into force. The caller holds mu.
func (a *account) applyBase(fresh int64, now time.Duration) {
	if parts := a.share.UsableParts(); parts != a.state.BaseParts() || fresh > 0 {
		a.state.SetBaseParts(parts, fresh, now)
	}
}

// adjust writes the record that the target calls for, if it differs.
func (s *Service) adjust(ctx context.Context, a *account, target int64) {
	a.mu.Lock()
	now := s.now()
	w, needed := a.share.PlanWrite(target, a.state.LentParts(), now)
	if !needed {
		a.mu.Unlock()
		return
	}
	a.share = a.share.WithUnconfirmedWrite(w)
	a.applyBase(0, now)
	set := a.schedule.set
	a.mu.Unlock()
	s.Log.Info("share record changes", "customer", a.name, "version", w.BaseVersion, "before", w.PartsBefore(),
		"after", w.PartsAfter(), "target", target, "set", set)

	version, err := s.put(ctx, a, w)
	switch {
	case err == nil:
		_ = s.observe(a, w.Record, version)
		if w.PartsAfter() < w.PartsBefore() {
			s.announce(a, set, version)
		}
	case afobject.IsKind(err, afobject.Unavailable), afobject.IsKind(err, afobject.Conflict), afobject.IsKind(err, afobject.Invalid):
		a.mu.Lock()
		a.share = a.share.WithoutLatestWrite()
		a.applyBase(0, s.now())
		a.mu.Unlock()
	}
	if err == nil || afobject.IsKind(err, afobject.Unknown) || afobject.IsKind(err, afobject.Conflict) {
		a.mu.Lock()
		a.schedule.next, a.schedule.retry = 0, 0
		a.mu.Unlock()
	}
}

func (s *Service) put(ctx context.Context, a *account, w aflimit.RecordWrite) (int64, error) {
	ctx, cancel := s.Timer.WithTimeout(ctx, platformTimeout)
	defer cancel()
	s.counts.writes.Add(1)
	spec, err := json.Marshal(w.Record)
	if err != nil {
		return 0, &afobject.Error{Op: "encode", Object: a.name, Kind: afobject.Invalid, Err: err}
	}
	o := afobject.Object{Kind: afobject.Shares, Name: a.name, Version: w.BaseVersion, Spec: spec}
	if w.BaseVersion == 0 {
		o, err = s.CreateObject(ctx, o)
	} else {
		o, err = s.UpdateObject(ctx, o)
	}
	return o.Version, err
}

// announce tells the share set that the record has free parts, so that nobody has to poll for them.
func (s *Service) announce(a *account, set []string, version int64) {
	for _, vm := range set {
		if vm == s.Self.VM {
			continue
		}
		s.start(func() {
			_ = s.call(context.Background(), vm, KindGiveback, givebackMessage{Customer: a.name, Record: version}, &ackMessage{})
		})
	}
}
