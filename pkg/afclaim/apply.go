package afclaim

import (
	"time"

	"arbutusfork.example/arbutusfork"
)

//go:generate stringer -type=OpKind -linecomment -output=apply_string.go

// OpKind is what an operation does to a record.
type OpKind int

// The kinds of operations.
const (
	// OpClaim claims the call.
	OpClaim OpKind = iota // take
	// OpFinish stores the answer of a claimed call.
	OpFinish // finish
	// OpCancel removes the claim of a call that was never dispatched.
	OpCancel // cancel
)

// Op is an operation on one claim of a record.
type Op struct {
	Kind    OpKind
	ClaimID string
	// Attempt identifies the attempt that the operation belongs to. Only the attempt that holds a claim can finish or
	// cancel it.
	Attempt AttemptID
	// RequestDigest is set for OpClaim.
	RequestDigest string
	// Answer is set for OpFinish.
	Answer Answer
}

// Decision is the outcome of an operation on a record.
type Decision struct {
	// Verdict is valid for OpClaim unless RecordFull is set.
	Verdict Verdict
	// Answer is the stored answer. It is set for VerdictStored.
	Answer Answer
	// NeedsCommit means that the decision is valid only after the changed record has been committed.
	NeedsCommit bool
	// RecordFull means that the record has no room for the claim.
	RecordFull bool
}

// ApplyOps carries out the operations in order. It returns the changed record, the decision on each operation, and
// whether any operation has changed the record. isGone reports whether the incarnation that holds a claim is gone and
// can no longer finish the call.
func (r Record) ApplyOps(ops []Op, now time.Time, isGone func(arbutusfork.Incarnation) bool) (Record, []Decision, bool) {
	next, _ := r.withoutExpired(now)
	sizeBound, changed := next.JSONSizeBound(), false
	decisions := make([]Decision, len(ops))
	for i, op := range ops {
		claim, exists := next.Claims[op.ClaimID]
		isOwnAttempt := exists && claim.Attempt == op.Attempt
		var d Decision
		switch {
		case op.Kind == OpClaim && !exists:
			claim = Claim{Attempt: op.Attempt, RequestDigest: op.RequestDigest, ClaimedAt: now.Unix()}
			if excess := sizeBound + claim.jsonSizeBound(op.ClaimID) - MaxRecordBytes; excess > 0 {
				sizeBound -= next.dropOldestAnswers(excess)
			}
			if sizeBound+claim.jsonSizeBound(op.ClaimID) > MaxRecordBytes {
				d = Decision{RecordFull: true}
				break
			}
			next.Claims[op.ClaimID] = claim
			sizeBound += claim.jsonSizeBound(op.ClaimID)
			d = Decision{Verdict: VerdictGranted, NeedsCommit: true}
		case op.Kind == OpClaim && isOwnAttempt:
			d = Decision{Verdict: VerdictGranted, NeedsCommit: r.Claims[op.ClaimID].Attempt != op.Attempt}
		case op.Kind == OpClaim:
			d = claim.decideForOtherAttempt(op, isGone)
		case op.Kind == OpFinish && isOwnAttempt && !claim.HasRun:
			sizeBound -= claim.jsonSizeBound(op.ClaimID)
			claim = claim.withAnswer(op.ClaimID, op.Answer, MaxRecordBytes-sizeBound)
			sizeBound += claim.jsonSizeBound(op.ClaimID)
			next.Claims[op.ClaimID] = claim
			d.NeedsCommit = true
		case op.Kind == OpCancel && isOwnAttempt && !claim.HasRun:
			delete(next.Claims, op.ClaimID)
			sizeBound -= claim.jsonSizeBound(op.ClaimID)
			d.NeedsCommit = true
		}
		decisions[i] = d
		changed = changed || d.NeedsCommit
	}
	return next, decisions, changed
}

// decideForOtherAttempt returns the decision on an attempt to claim a call that another attempt has claimed.
func (c Claim) decideForOtherAttempt(op Op, isGone func(arbutusfork.Incarnation) bool) Decision {
	switch {
	case c.RequestDigest != op.RequestDigest:
		return Decision{Verdict: VerdictKeyReused}
	case c.Answer != nil:
		return Decision{Verdict: VerdictStored, Answer: *c.Answer}
	case c.HasRun || isGone(c.Attempt.Incarnation()):
		return Decision{Verdict: VerdictUnknown}
	}
	return Decision{Verdict: VerdictInProgress}
}

// withAnswer returns a copy that is marked as run. It contains the answer if the answer is small enough to keep and
// the claim does not exceed maxBytes with it.
func (c Claim) withAnswer(id string, a Answer, maxBytes int) Claim {
	c.HasRun = true
	if len(a.Body) > MaxAnswerBodyBytes {
		return c
	}
	withAnswer := c
	withAnswer.Answer = &a
	if withAnswer.jsonSizeBound(id) > maxBytes {
		return c
	}
	return withAnswer
}
