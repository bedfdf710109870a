// Package afbooking makes idempotency claims durable before a call that must run at most once is dispatched.
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
	// platformTimeout bounds a platform call.
	platformTimeout = 2 * time.Second
	// maxQueue bounds the claims that wait for one record.
	maxQueue = 4096
	// retryAfter is what a caller is told when a claim could not be made durable.
	retryAfter = time.Second
)

// Service claims calls in the platform's claim records. Fields are set before the first call and never change.
type Service struct {
	// Self is this start of the daemon.
	Self  arbutusfork.Incarnation
	Timer *aftimer.Service
	Log   *slog.Logger
	// GetObject, CreateObject and UpdateObject reach the platform's object API. UpdateObject is conditional on the object's version.
	GetObject    func(ctx context.Context, kind, name string) (afobject.Object, error)
	CreateObject func(ctx context.Context, o afobject.Object) (afobject.Object, error)
	UpdateObject func(ctx context.Context, o afobject.Object) (afobject.Object, error)
	// IsGone reports the platform's word that the VM is gone or that a newer incarnation of it runs.
	IsGone func(i arbutusfork.Incarnation) bool

	seq     atomic.Uint64
	buckets [afclaim.BucketCount]bucket
	counts  counts
	without guard

	mu   sync.Mutex
	next time.Time // next is the earliest time of another attempt of a record that the platform has not answered.
}

// guard names a rule that at-most-once rests on. Tests remove one to show that a call then runs twice.
type guard uint8

const (
	guardCommit   guard = 1 << iota // A claim is granted only once it is committed.
	guardReadBack                   // A lost answer is resolved by reading back, never by assumption.
)

// ClaimCall asks for the right to dispatch the call, and waits until that is durable or ctx ends. A refusal means that the
// call was not run.
func (s *Service) ClaimCall(ctx context.Context, call afclaim.Call) (afclaim.Result, *arbutusfork.Refusal) {
	w := &work{
		op: afclaim.Op{
			Kind: afclaim.OpClaim, ClaimID: call.ClaimID(), RequestDigest: call.RequestDigest,
			Attempt: afclaim.AttemptID{VM: s.Self.VM, Start: s.Self.Start, Seq: s.seq.Add(1)},
		},
		done: make(chan struct{}),
	}
	b := s.bucket(call)
	result, known, ok := b.add(s, w)
	switch {
	case known:
		s.counts.verdicts[result.Verdict].Add(1)
		return result, nil
	case !ok:
		return s.refuse("too many calls wait to be claimed")
	}
	select {
	case <-w.done:
	case <-ctx.Done():
		if b.abandon(w) {
			return s.refuse("the call could not be claimed in time")
		}
	}
	if w.decision.RecordFull {
		return s.refuse("there is no room for further claims")
	}
	s.counts.verdicts[w.decision.Verdict].Add(1)
	return afclaim.Result{Verdict: w.decision.Verdict, Answer: w.decision.Answer}, nil
}

func (s *Service) refuse(message string) (afclaim.Result, *arbutusfork.Refusal) {
	s.counts.refused.Add(1)
	return afclaim.Result{}, arbutusfork.Refuse(arbutusfork.CodeClaim, message).WithRetryAfter(retryAfter)
}

// FinishCall stores the answer of a granted call. It returns at once; the answer is written as soon as the platform allows.
func (s *Service) FinishCall(call afclaim.Call, answer afclaim.Answer) {
	s.bucket(call).end(s, call, afclaim.OpFinish, answer)
}

// CancelClaim withdraws a granted call of which no byte was sent, so that a retry can run. It returns at once.
func (s *Service) CancelClaim(call afclaim.Call) {
	s.bucket(call).end(s, call, afclaim.OpCancel, afclaim.Answer{})
}

// Flush waits until all answers and cancellations are written or ctx ends, for a graceful shutdown. It reports whether
// all were.
func (s *Service) Flush(ctx context.Context) bool {
	for i := range s.buckets {
		for idle := s.buckets[i].idle(); idle != nil; idle = s.buckets[i].idle() {
			select {
			case <-idle:
			case <-ctx.Done():
				return false
			}
		}
	}
	return true
}

func (s *Service) bucket(call afclaim.Call) *bucket {
	n := call.BucketIndex()
	b := &s.buckets[n]
	b.once.Do(func() { b.name = strconv.Itoa(n) })
	return b
}
