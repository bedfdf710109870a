package afbooking

import (
	"context"
	"encoding/json"
	"time"

	"arbutusfork.example/arbutusfork/pkg/afclaim"
	"arbutusfork.example/arbutusfork/pkg/afobject"
	"arbutusfork.example/arbutusfork/pkg/afversion"
	"github.com/cespare/xxhash/v2"
)

const (
	// minRetryDelay is the delay after the first failed attempt to commit.
	minRetryDelay = 5 * time.Millisecond
	// maxRetryDelay bounds the delay between attempts to commit.
	maxRetryDelay = 500 * time.Millisecond
	// outageAttemptInterval separates the attempts for different records of a VM while the platform does not answer.
	// After an outage, six VMs attempt at most 60 records a second. Without the interval, all 64 records of each VM
	// are attempted at once.
	outageAttemptInterval = 100 * time.Millisecond
)

// cachedRecord is a claim record as it was last read or written.
type cachedRecord struct {
	record  afclaim.Record
	version int64
	// isRestored means that the record holds claims that the store has lost.
	isRestored bool
	// isCurrent is false if the record must be read again before it is used.
	isCurrent bool
}

// commitBucket commits the queued operations until none is left. One conditional update carries all operations that
// wait at that time.
func (s *Service) commitBucket(b *bucket) {
	failures := uint(0)
	for batch := b.nextBatch(); len(batch) > 0; batch = b.nextBatch() {
		if s.commitBatch(b, batch) {
			failures = 0
			continue
		}
		d := s.retryDelay(b, failures)
		if b.isUnanswered {
			d = s.outageRetryDelay(d)
		}
		s.Timer.Sleep(context.Background(), d)
		failures++
	}
}

// outageRetryDelay returns the delay until the next attempt, which is at least d. It spaces the attempts of this VM's
// records, so that they are not all made at once.
func (s *Service) outageRetryDelay(d time.Duration) time.Duration {
	now := s.Timer.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	attemptAt := now.Add(d)
	if attemptAt.Before(s.nextOutageAttemptAt) {
		attemptAt = s.nextOutageAttemptAt
	}
	s.nextOutageAttemptAt = attemptAt.Add(outageAttemptInterval)
	return attemptAt.Sub(now)
}

// retryDelay returns the delay after a number of consecutive failures. It grows exponentially, and its jitter depends
// on the VM, so that two VMs with a conflict do not conflict again.
func (s *Service) retryDelay(b *bucket, failures uint) time.Duration {
	d := min(minRetryDelay<<min(failures, 10), maxRetryDelay)
	h := xxhash.Sum64String(s.Self.String() + b.recordName + time.Duration(failures).String())
	return d/2 + time.Duration(h%uint64(d/2+1))
}

// commitBatch makes one attempt to commit the batch. It reports false if the next attempt must be delayed.
func (s *Service) commitBatch(b *bucket, batch []*queuedOp) bool {
	justRead := false
	b.isUnanswered = false
	if !b.cached.isCurrent {
		if s.loadRecord(b) != nil {
			return false
		}
		justRead = true
	}
	now := s.Timer.Now()
	ops := make([]afclaim.Op, len(batch))
	for i, q := range batch {
		ops[i] = q.op
	}
	next, decisions, isChanged := b.cached.record.ApplyOps(ops, now, s.IsGone)
	mustWrite := isChanged || b.cached.isRestored
	for i, q := range batch {
		switch {
		case q.mayBeWritten && q.unconfirmedBase == b.cached.version:
			// The write with the lost answer may still take effect. Any successful write on the same base version
			// prevents that.
			mustWrite = true
		case !decisions[i].NeedsCommit && !justRead:
			// The cached record may be outdated. A decision without a change is not checked by a conditional
			// update, so the record must be read first.
			b.cached.isCurrent = false
			return true
		}
	}
	if !mustWrite {
		s.decideBatch(b, batch, decisions)
		return true
	}
	return s.writeRecord(b, next, batch, decisions)
}

// decideBatch publishes the decisions on all operations of the batch.
func (s *Service) decideBatch(b *bucket, batch []*queuedOp, decisions []afclaim.Decision) {
	for i, q := range batch {
		b.decideOp(q, decisions[i])
	}
}

// loadRecord reads the claim record into the cache.
func (s *Service) loadRecord(b *bucket) error {
	ctx, cancel := s.Timer.WithTimeout(context.Background(), platformCallTimeout)
	defer cancel()
	o, err := s.GetObject(ctx, afobject.KindClaims, b.recordName)
	exists := !afobject.IsKind(err, afobject.ObjectNotFound)
	if err != nil && exists {
		b.isUnanswered = true
		return err
	}
	era := afversion.Era(o.Version)
	if s.RecordEra(era) > era || exists && o.Version < b.cached.version {
		return &Error{Op: "read record", Kind: StaleRecord}
	}
	var r afclaim.Record
	if exists {
		if err := json.Unmarshal(o.Spec, &r); err != nil {
			s.Log.Error("malformed claim record", "record", b.recordName, "error", err)
			return &Error{Op: "decode record", Kind: MalformedRecord, Err: err}
		}
	}
	isRestored := r.Era < era
	if isRestored {
		if r, err = s.restoreClaims(ctx, b, r, era); err != nil {
			b.isUnanswered = true
			return err
		}
	}
	if !b.remember(s, r, era) {
		return &Error{Op: "read record", Kind: StaleRecord}
	}
	b.cached = cachedRecord{record: r, version: o.Version, isRestored: isRestored, isCurrent: true}
	return nil
}

// writeRecord writes the changed record. The decisions are valid once the platform has confirmed the write.
func (s *Service) writeRecord(b *bucket, next afclaim.Record, batch []*queuedOp, decisions []afclaim.Decision) bool {
	if s.disabledGuards&guardCommit != 0 {
		s.decideBatch(b, batch, decisions)
	}
	spec, err := json.Marshal(next)
	if err != nil {
		s.Log.Error("claim record not encoded", "record", b.recordName, "error", err)
		return false
	}
	ctx, cancel := s.Timer.WithTimeout(context.Background(), platformCallTimeout)
	defer cancel()
	s.counters.recordWrites.Add(1)
	o := afobject.Object{Kind: afobject.KindClaims, Name: b.recordName, Version: b.cached.version, Spec: spec}
	if afversion.Revision(o.Version) == 0 {
		o.Version = 0
		o, err = s.CreateObject(ctx, o)
	} else {
		o, err = s.UpdateObject(ctx, o)
	}
	if err == nil && (afversion.Era(o.Version) != afversion.Era(b.cached.version) || !b.remember(s, next, afversion.Era(o.Version))) {
		// The store has gone back since, so that the write may be lost, or may have replaced a record that was not read.
		err = &afobject.Error{Op: "write", Object: b.recordName, Kind: afobject.OutcomeUnknown}
	}
	if err == nil {
		b.cached = cachedRecord{record: next, version: o.Version, isCurrent: true}
		s.decideBatch(b, batch, decisions)
		return true
	}
	if afobject.IsKind(err, afobject.OutcomeUnknown) && s.disabledGuards&guardReadBack == 0 {
		b.markUnconfirmed(batch, b.cached.version)
	}
	b.isUnanswered = !afobject.IsKind(err, afobject.VersionConflict)
	b.cached.isCurrent = false
	s.Log.Debug("claim record write not confirmed", "record", b.recordName, "operations", len(batch), "error", err)
	return false
}

// markUnconfirmed records that a write on the base version may have put the operations into the record.
func (b *bucket) markUnconfirmed(batch []*queuedOp, version int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, q := range batch {
		q.mayBeWritten, q.unconfirmedBase = true, version
	}
}
