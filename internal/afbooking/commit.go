package afbooking

import (
	"context"
	"encoding/json"
	"time"

	"arbutusfork.example/arbutusfork/pkg/afclaim"
	"arbutusfork.example/arbutusfork/pkg/afobject"
	"github.com/cespare/xxhash/v2"
)

const (
	minPause = 5 * time.Millisecond
	maxPause = 500 * time.Millisecond
	// outageSpacing separates the attempts of a VM's records while the platform does not answer. When it returns, six VMs
	// then try at most 60 records a second, where all 64 records of each VM came at once before.
	outageSpacing = 100 * time.Millisecond
)

// cache is the record as it was last read or written.
type cache struct {
	record  afclaim.Record
	version int64
	loaded  bool
}

// commit carries out the queued operations, as many as wait in one conditional update, until none is left.
func (s *Service) commit(b *bucket) {
	failures := uint(0)
	for batch := b.batch(); len(batch) > 0; batch = b.batch() {
		if s.step(b, batch) {
			failures = 0
			continue
		}
		d := s.backoff(b, failures)
		if b.unanswered {
			d = s.turn(d)
		}
		s.Timer.Wait(context.Background(), d)
		failures++
	}
}

// turn returns when the next attempt may be made, at least d from now, so that the records of this VM do not all try
// at once.
func (s *Service) turn(d time.Duration) time.Duration {
	now := s.Timer.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	at := now.Add(d)
	if at.Before(s.next) {
		at = s.next
	}
	s.next = at.Add(outageSpacing)
	return at.Sub(now)
}

// backoff grows with the failures in a row. Its jitter differs between VMs, so that they do not conflict again.
func (s *Service) backoff(b *bucket, failures uint) time.Duration {
	d := min(minPause<<min(failures, 10), maxPause)
	h := xxhash.Sum64String(s.Self.String() + b.name + time.Duration(failures).String())
	return d/2 + time.Duration(h%uint64(d/2+1))
}

// step tries to carry out the batch once and reports whether it made progress.
func (s *Service) step(b *bucket, batch []*work) bool {
	read := false
	b.unanswered = false
	if !b.cache.loaded {
		if s.load(b) != nil {
			return false
		}
		read = true
	}
	now := s.Timer.Now()
	ops := make([]afclaim.Op, len(batch))
	for i, w := range batch {
		ops[i] = w.op
	}
	next, decisions, changed := b.cache.record.ApplyOps(ops, now, s.IsGone)
	write := changed
	for i, w := range batch {
		switch {
		case w.doubtful && w.doubt == b.cache.version:
			// The write with the lost answer may still take effect. Any write on top of its base ends that.
			write = true
		case !decisions[i].NeedsCommit && !read:
			// The cached record may be old, and only a claim is confirmed by the conditional update.
			b.cache.loaded = false
			return true
		}
	}
	if !write {
		s.decideAll(b, batch, decisions)
		return true
	}
	return s.put(b, next, batch, decisions)
}

func (s *Service) decideAll(b *bucket, batch []*work, decisions []afclaim.Decision) {
	for i, w := range batch {
		b.decide(w, decisions[i])
	}
}

func (s *Service) load(b *bucket) error {
	ctx, cancel := s.Timer.WithTimeout(context.Background(), platformTimeout)
	defer cancel()
	o, err := s.GetObject(ctx, afobject.Claims, b.name)
	if afobject.IsKind(err, afobject.NotFound) {
		o, err = afobject.Object{}, nil
	}
	if err != nil {
		b.unanswered = true
		return err
	}
	if o.Version > 0 && o.Version < b.cache.version {
		return &Error{Op: "read record", Kind: StaleRecord}
	}
	var r afclaim.Record
	if o.Version > 0 {
		if err := json.Unmarshal(o.Spec, &r); err != nil {
			s.Log.Error("claim record is malformed", "record", b.name, "error", err)
			return &Error{Op: "decode record", Kind: MalformedRecord, Err: err}
		}
	}
	b.cache = cache{record: r, version: o.Version, loaded: true}
	return nil
}

// put writes the changed record. Its operations hold once the platform has confirmed it.
func (s *Service) put(b *bucket, next afclaim.Record, batch []*work, decisions []afclaim.Decision) bool {
	if s.without&guardCommit != 0 {
		s.decideAll(b, batch, decisions)
	}
	spec, err := json.Marshal(next)
	if err != nil {
		s.Log.Error("claim record cannot be encoded", "record", b.name, "error", err)
		return false
	}
	ctx, cancel := s.Timer.WithTimeout(context.Background(), platformTimeout)
	defer cancel()
	s.counts.writes.Add(1)
	o := afobject.Object{Kind: afobject.Claims, Name: b.name, Version: b.cache.version, Spec: spec}
	if o.Version == 0 {
		o, err = s.CreateObject(ctx, o)
	} else {
		o, err = s.UpdateObject(ctx, o)
	}
	if err == nil {
		b.cache = cache{record: next, version: o.Version, loaded: true}
		s.decideAll(b, batch, decisions)
		return true
	}
	if afobject.IsKind(err, afobject.Unknown) && s.without&guardReadBack == 0 {
		b.doubt(batch, b.cache.version)
	}
	b.unanswered = !afobject.IsKind(err, afobject.Conflict)
	b.cache.loaded = false
	s.Log.Debug("claims were not confirmed", "record", b.name, "operations", len(batch), "error", err)
	return false
}

// doubt notes that a write based on the version may have carried out the operations.
func (b *bucket) doubt(batch []*work, version int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, w := range batch {
		w.doubtful, w.doubt = true, version
	}
}
