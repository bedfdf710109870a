package afquota

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/aflimit"
	"arbutusfork.example/arbutusfork/pkg/afobject"
)

const (
	// settleTime is how long the membership must be unchanged before shares move, so that a VM that flaps causes no
	// writes.
	settleTime = 2 * time.Second
	// minRetry and maxRetry bound the pause before a record without free parts is read again.
	minRetry = 2 * time.Second
	maxRetry = time.Minute
)

// record is the cached share record. Only the record duty changes it; mu guards what others read or set.
type record struct {
	mu      sync.Mutex
	value   aflimit.Record
	version int64 // version never falls. Zero means that the record does not exist or has not been read.
	known   int64 // known is the latest version that a peer told of.

	loaded bool
	writes []doubtfulWrite // writes holds those with the cached version as base.
	set    []string
	since  time.Duration // since is when the share set last changed.
	next   time.Duration // next is the earliest time of another read.
	retry  time.Duration
	gone   map[arbutusfork.Incarnation]time.Duration // gone holds when a holder was first seen as gone.
}

// doubtfulWrite is a write whose answer was lost. It may take effect as long as the record has its base version.
type doubtfulWrite struct {
	version int64
	before  int64
	after   int64
	fresh   int64
}

// effective returns the parts that the VM may use when the record names parts: a release whose write may still take
// effect counts.
func (r *record) effective(parts int64) int64 {
	for _, w := range r.writes {
		parts = min(parts, w.after)
	}
	return parts
}

// changed notes a version that a peer told of.
func (r *record) changed(version int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.known = max(r.known, version)
}

func (r *record) holders() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for _, h := range r.value.Holders {
		if !slices.Contains(out, h.VM) {
			out = append(out, h.VM)
		}
	}
	return out
}

func (r *record) snapshot() (value aflimit.Record, version, known int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.value, r.version, r.known
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
	r, now := &a.record, s.now()
	set := aflimit.ShareSet(a.name, live)
	if !slices.Equal(set, r.set) {
		first := r.set == nil
		r.set, r.since = set, now
		r.next, r.retry = now, 0
		if first {
			r.since = now - settleTime
		}
	}
	s.noteGone(r, now)
	target := aflimit.Target(s.Self.VM, set)
	_, version, known := r.snapshot()
	if known > version {
		r.next = now
	}
	if r.loaded && known <= version && !s.due(a, target, now) {
		return
	}
	if now < r.next {
		return
	}
	r.retry = min(max(minRetry, 2*r.retry), maxRetry)
	r.next = now + r.retry
	if s.load(ctx, a) != nil || now-r.since < settleTime {
		return
	}
	s.adjust(ctx, a, target)
}

// due reports whether the cached record calls for a write, or for a read to find free parts.
func (s *Service) due(a *account, target int64, now time.Duration) bool {
	r := &a.record
	value, _, _ := r.snapshot()
	return len(r.writes) > 0 || value.Parts(s.Self) != target && now-r.since >= settleTime
}

// noteGone keeps the time since when each holder has been gone without interruption.
func (s *Service) noteGone(r *record, now time.Duration) {
	value, _, _ := r.snapshot()
	gone := make(map[arbutusfork.Incarnation]time.Duration)
	for _, h := range value.Holders {
		i := h.Incarnation()
		if i == s.Self || !s.Gone(i) {
			continue
		}
		since, ok := r.gone[i]
		if !ok {
			since = now
		}
		gone[i] = since
	}
	r.gone = gone
}

// reissuable reports whether a holder is gone and every loan that it made has ended.
func (r *record) reissuable(now time.Duration) func(arbutusfork.Incarnation) bool {
	return func(i arbutusfork.Incarnation) bool {
		since, ok := r.gone[i]
		return ok && now-since >= aflimit.Term+aflimit.Margin
	}
}

// load reads the record and brings the base share in line with it.
func (s *Service) load(ctx context.Context, a *account) error {
	ctx, cancel := s.withTimeout(ctx, platformTimeout)
	defer cancel()
	o, err := s.Get(ctx, afobject.Shares, a.name)
	if afobject.IsKind(err, afobject.NotFound) {
		o, err = afobject.Object{Kind: afobject.Shares, Name: a.name}, nil
	}
	if err != nil {
		s.Log.Debug("share record cannot be read", "customer", a.name, "error", err)
		return err
	}
	return s.observe(a, o)
}

// observe applies the record as the platform holds it.
func (s *Service) observe(a *account, o afobject.Object) error {
	value := aflimit.NewRecord()
	if o.Version > 0 {
		value = aflimit.Record{}
		if err := json.Unmarshal(o.Spec, &value); err != nil {
			s.Log.Error("share record is malformed", "customer", a.name, "error", err)
			return &Error{Op: "decode record", Kind: Malformed, Err: err}
		}
	}
	r := &a.record
	r.mu.Lock()
	if o.Version < r.version {
		r.mu.Unlock()
		return &Error{Op: "read record", Kind: Platform}
	}
	r.value, r.version = value, o.Version
	r.loaded = true
	r.mu.Unlock()

	parts, fresh := value.Parts(s.Self), int64(0)
	pending := r.writes[:0:0]
	for _, w := range r.writes {
		switch {
		case w.version >= o.Version:
			pending = append(pending, w)
		case parts == w.after && w.after != w.before:
			fresh = w.fresh
		}
	}
	r.writes = pending
	parts = r.effective(parts)
	a.mu.Lock()
	defer a.mu.Unlock()
	if parts != a.state.Base() || fresh > 0 {
		a.state.SetBase(parts, fresh, s.now())
	}
	return nil
}

// adjust writes the record that the share set calls for.
func (s *Service) adjust(ctx context.Context, a *account, target int64) {
	r := &a.record
	value, version, _ := r.snapshot()
	before := value.Parts(s.Self)
	a.mu.Lock()
	now := s.now()
	next, fresh, changed := value.Plan(s.Self, target, a.state.Lent(), r.reissuable(now))
	after := next.Parts(s.Self)
	if after < a.state.Base() {
		// The share is given up here before the record lets another VM take it.
		a.state.SetBase(after, 0, now)
	}
	a.mu.Unlock()
	if !changed && len(r.writes) == 0 {
		return
	}
	// An unchanged record is written too while an earlier write may still take effect, since that ends the doubt.
	s.Log.Info("share record changes", "customer", a.name, "version", version, "before", before, "after", after,
		"target", target, "set", r.set)
	o, err := s.put(ctx, a, next, version)
	if err == nil || afobject.IsKind(err, afobject.Unknown) {
		r.writes = append(r.writes, doubtfulWrite{version: version, before: before, after: after, fresh: fresh})
	}
	r.next, r.retry = 0, 0
	switch {
	case err == nil:
		_ = s.observe(a, o)
		if after < before {
			s.announce(a, o.Version)
		}
	case afobject.IsKind(err, afobject.Unknown), afobject.IsKind(err, afobject.Conflict):
		_ = s.load(ctx, a)
	default:
		// The write was not carried out, so the base share follows the cached record again.
		r.next, r.retry = s.now()+minRetry, minRetry
		a.mu.Lock()
		a.state.SetBase(r.effective(before), 0, s.now())
		a.mu.Unlock()
	}
}

func (s *Service) put(ctx context.Context, a *account, value aflimit.Record, version int64) (afobject.Object, error) {
	ctx, cancel := s.withTimeout(ctx, platformTimeout)
	defer cancel()
	s.counts.writes.Add(1)
	spec, err := json.Marshal(value)
	if err != nil {
		return afobject.Object{}, &Error{Op: "encode record", Kind: Malformed, Err: err}
	}
	o := afobject.Object{Kind: afobject.Shares, Name: a.name, Version: version, Spec: spec}
	if version == 0 {
		return s.Create(ctx, o)
	}
	return s.Update(ctx, o)
}

// announce tells the share set that the record has free parts, so that nobody has to poll for them.
func (s *Service) announce(a *account, version int64) {
	for _, vm := range a.record.set {
		if vm == s.Self.VM {
			continue
		}
		go func() {
			_ = s.call(context.Background(), vm, KindGiveback, givebackMessage{Customer: a.name, Record: version}, &ackMessage{})
		}()
	}
}
