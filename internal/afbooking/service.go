// Package afbooking makes an idempotency claim durable before a call that must run at most once is dispatched.
package afbooking

import (
	"context"
	"log/slog"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afclaim"
	"arbutusfork.example/arbutusfork/pkg/afobject"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
)

const (
	// platformCallTimeout bounds a call to the platform.
	platformCallTimeout = 2 * time.Second
	// maxQueuedOps bounds the operations that may wait for one record when a claim is queued.
	maxQueuedOps = 4096
	// refusalRetryDelay is the time after which a caller may retry if its claim could not be made durable.
	refusalRetryDelay = time.Second
)

// Service stores the claims of calls in the platform's claim records. The exported fields are set before the first
// call and never change.
type Service struct {
	// Self is the incarnation of the VM that the service runs on.
	Self  arbutusfork.Incarnation
	Timer *aftimer.Service
	Log   *slog.Logger
	// GetObject reads an object from the platform.
	GetObject func(ctx context.Context, kind, name string) (afobject.Object, error)
	// CreateObject creates an object on the platform.
	CreateObject func(ctx context.Context, o afobject.Object) (afobject.Object, error)
	// UpdateObject updates an object on the platform if it still has the given version.
	UpdateObject func(ctx context.Context, o afobject.Object) (afobject.Object, error)
	// IsGone reports whether the platform's list of VMs shows that the VM is gone or runs a newer incarnation.
	IsGone func(i arbutusfork.Incarnation) bool
	// OtherVMs returns the names of the other VMs that may be alive, or false if they are not known yet.
	OtherVMs func() ([]string, bool)
	// CallVM sends a message to another VM and decodes its answer.
	CallVM func(ctx context.Context, vm, kind string, message, answer any) error

	// era is the highest known era of the store.
	era atomic.Int64
	// attemptSeq is the number of the latest attempt to claim a call.
	attemptSeq atomic.Uint64
	buckets    [afclaim.BucketCount]bucket
	counters   counters
	// disabledGuards is set by tests only.
	disabledGuards guard

	mu sync.Mutex
	// nextOutageAttemptAt is the earliest time of the next attempt for a record if the platform has not answered the
	// last one.
	nextOutageAttemptAt time.Time
}

// guard is a set of rules that the at-most-once property depends on. Tests disable one rule at a time to show that
// the property is then violated.
type guard uint8

const (
	guardCommit   guard = 1 << iota // A claim is granted only after it has been committed.
	guardReadBack                   // After a lost answer, the record is read again instead of assuming an outcome.
)

// ClaimCall requests the right to dispatch the call. It waits until the claim is durable or ctx ends. A refusal means
// that the call has not been run.
func (s *Service) ClaimCall(ctx context.Context, call afclaim.Call) (afclaim.Result, *arbutusfork.Refusal) {
	q := &queuedOp{
		op: afclaim.Op{
			Kind: afclaim.OpClaim, ClaimID: call.ClaimID(), RequestDigest: call.RequestDigest,
			Attempt: afclaim.AttemptID{VM: s.Self.VM, Start: s.Self.StartID, Seq: s.attemptSeq.Add(1)},
		},
		done: make(chan struct{}),
	}
	b := s.bucketOf(call)
	result, isAnswered, isQueued := b.enqueueClaim(s, q)
	switch {
	case isAnswered:
		s.counters.claimsByVerdict[result.Verdict].Add(1)
		return result, nil
	case !isQueued:
		return s.refuseClaim("too many calls wait to be claimed")
	}
	select {
	case <-q.done:
	case <-ctx.Done():
		if b.abandonClaim(q) {
			return s.refuseClaim("the call could not be claimed in time")
		}
	}
	if q.decision.RecordFull {
		return s.refuseClaim("there is no room for further claims")
	}
	s.counters.claimsByVerdict[q.decision.Verdict].Add(1)
	return afclaim.Result{Verdict: q.decision.Verdict, Answer: q.decision.Answer}, nil
}

// refuseClaim counts and returns a refusal.
func (s *Service) refuseClaim(message string) (afclaim.Result, *arbutusfork.Refusal) {
	s.counters.claimsRefused.Add(1)
	return afclaim.Result{}, arbutusfork.NewRefusal(arbutusfork.CodeClaimUnavailable, message).WithRetryAfter(refusalRetryDelay)
}

// FinishCall stores the answer of a granted call. It returns at once. The answer is written as soon as the platform
// is available.
func (s *Service) FinishCall(call afclaim.Call, answer afclaim.Answer) {
	s.bucketOf(call).endCall(s, call, afclaim.OpFinish, answer)
}

// CancelClaim removes the claim of a granted call of which no byte was sent, so that a retry can run. It returns at
// once.
func (s *Service) CancelClaim(call afclaim.Call) {
	s.bucketOf(call).endCall(s, call, afclaim.OpCancel, afclaim.Answer{})
}

// Flush waits until all queued operations are written or ctx ends, for a graceful shutdown. It reports whether all
// were written.
func (s *Service) Flush(ctx context.Context) bool {
	for i := range s.buckets {
		for stopped := s.buckets[i].committerStopped(); stopped != nil; stopped = s.buckets[i].committerStopped() {
			select {
			case <-stopped:
			case <-ctx.Done():
				return false
			}
		}
	}
	return true
}

// bucketOf returns the bucket that holds the call's claim.
func (s *Service) bucketOf(call afclaim.Call) *bucket {
	n := call.BucketIndex()
	b := &s.buckets[n]
	b.nameOnce.Do(func() { b.recordName = strconv.Itoa(n) })
	return b
}
