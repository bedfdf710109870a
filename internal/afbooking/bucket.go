package afbooking

import (
	"slices"
	"sync"

	"arbutusfork.example/arbutusfork/pkg/afclaim"
)

// queuedOp is an operation that waits to be committed.
type queuedOp struct {
	op       afclaim.Op
	decision afclaim.Decision
	// done is closed when the decision is valid. It is nil for an operation that nobody waits for.
	done chan struct{}
	// unconfirmedBase is the record version that the last write with a lost answer was based on, or zero if there was
	// no such write. The write may still take effect as long as the record has this version.
	unconfirmedBase int64
	// mayBeWritten means that a write with a lost answer, or a granted claim, may have put the operation into the
	// record.
	mayBeWritten bool
	// isAbandoned means that the caller of the claim no longer waits.
	isAbandoned bool
	// isDecided means that decision is valid.
	isDecided bool
}

// grantedCall is a granted call whose end has not been committed yet.
type grantedCall struct {
	attempt       afclaim.AttemptID
	requestDigest string
	// hasAnswer means that the call has ended and that its answer waits to be committed.
	hasAnswer bool
	answer    afclaim.Answer
}

// bucket is one claim record with the operations that wait to be committed to it.
type bucket struct {
	// nameOnce guards the setting of recordName.
	nameOnce   sync.Once
	recordName string

	// mu guards queue, grantedCalls, committerDone, remembered and the flags of the queued operations.
	mu    sync.Mutex
	queue []*queuedOp
	// grantedCalls holds this VM's granted calls by claim ID.
	grantedCalls map[string]grantedCall
	// committerDone is closed when the goroutine that commits the queue ends. It is nil while none runs.
	committerDone chan struct{}

	// remembered is the latest record that this VM has read or written, whatever the store has lost since. mu guards it.
	remembered afclaim.Record

	// cached is the record as it was last read or written. Only the goroutine that commits uses it.
	cached cachedRecord
	// isUnanswered means that the platform did not answer the last call. Only the goroutine that commits uses it.
	isUnanswered bool
}

// enqueueClaim queues a claim. The first boolean reports that nothing was queued because this VM already holds a
// claim of the call. The result is then valid. The second boolean is false if the queue is full.
func (b *bucket) enqueueClaim(s *Service, q *queuedOp) (afclaim.Result, bool, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if granted, ok := b.grantedCalls[q.op.ClaimID]; ok {
		switch {
		case granted.requestDigest != q.op.RequestDigest:
			return afclaim.Result{Verdict: afclaim.VerdictKeyReused}, true, true
		case granted.hasAnswer && len(granted.answer.Body) <= afclaim.MaxAnswerBodyBytes:
			return afclaim.Result{Verdict: afclaim.VerdictStored, Answer: granted.answer}, true, true
		case granted.hasAnswer:
			return afclaim.Result{Verdict: afclaim.VerdictUnknown}, true, true
		}
		return afclaim.Result{Verdict: afclaim.VerdictInProgress}, true, true
	}
	if len(b.queue) >= maxQueuedOps {
		return afclaim.Result{}, false, false
	}
	b.enqueueOp(s, q)
	return afclaim.Result{}, false, true
}

// enqueueOp queues an operation and starts the goroutine that commits, if none runs. The caller holds mu.
func (b *bucket) enqueueOp(s *Service, q *queuedOp) {
	b.queue = append(b.queue, q)
	if b.committerDone == nil {
		b.committerDone = make(chan struct{})
		go s.commitBucket(b)
	}
}

// abandonClaim records that the caller no longer waits for the claim. It reports false if the claim has already been
// decided. A claim that may be in the record is cancelled later.
func (b *bucket) abandonClaim(q *queuedOp) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if q.isDecided {
		return false
	}
	q.isAbandoned = true
	return true
}

// endCall queues the finish or the cancellation of a granted call.
func (b *bucket) endCall(s *Service, call afclaim.Call, kind afclaim.OpKind, answer afclaim.Answer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	id := call.ClaimID()
	granted, ok := b.grantedCalls[id]
	if !ok || granted.hasAnswer {
		s.Log.Error("ended call has no granted claim", "verb", kind, "route", call.Route)
		return
	}
	if kind == afclaim.OpFinish {
		granted.hasAnswer, granted.answer = true, answer
		b.grantedCalls[id] = granted
	}
	b.enqueueOp(s, &queuedOp{op: afclaim.Op{Kind: kind, ClaimID: id, Attempt: granted.attempt, Answer: answer}})
}

// nextBatch returns the queued operations. It drops an abandoned claim that no write has contained, and turns one
// that may be in the record into a cancellation. If the queue is empty, it marks the goroutine that commits as ended.
func (b *bucket) nextBatch() []*queuedOp {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queue = slices.DeleteFunc(b.queue, func(q *queuedOp) bool { return q.isAbandoned && !q.mayBeWritten })
	for _, q := range b.queue {
		if q.isAbandoned {
			q.op.Kind = afclaim.OpCancel
		}
	}
	if len(b.queue) == 0 {
		close(b.committerDone)
		b.committerDone = nil
	}
	return slices.Clone(b.queue)
}

// decideOp removes an operation from the queue and publishes its decision. A claim that is granted after its caller
// has stopped waiting stays in the queue, to be cancelled.
func (b *bucket) decideOp(q *queuedOp, d afclaim.Decision) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if q.isDecided {
		return
	}
	isGranted := q.op.Kind == afclaim.OpClaim && d.Verdict == afclaim.VerdictGranted && !d.RecordFull
	if q.isAbandoned && isGranted {
		q.mayBeWritten = true
		return
	}
	b.queue = slices.DeleteFunc(b.queue, func(x *queuedOp) bool { return x == q })
	q.decision, q.isDecided = d, true
	switch {
	case isGranted:
		if b.grantedCalls == nil {
			b.grantedCalls = make(map[string]grantedCall)
		}
		b.grantedCalls[q.op.ClaimID] = grantedCall{attempt: q.op.Attempt, requestDigest: q.op.RequestDigest}
	case q.op.Kind != afclaim.OpClaim && b.grantedCalls[q.op.ClaimID].attempt == q.op.Attempt:
		delete(b.grantedCalls, q.op.ClaimID)
	}
	if q.done != nil {
		close(q.done)
	}
}

// committerStopped returns a channel that is closed when the goroutine that commits ends, or nil if none runs.
func (b *bucket) committerStopped() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.committerDone == nil {
		return nil
	}
	return b.committerDone
}
