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

// Op is one operation on a record.
type Op struct {
	Kind          OpKind
	ClaimID       string
	Attempt       AttemptID
	RequestDigest string
	Answer        Answer
}

// Decision is the outcome of an operation on a record.
type Decision struct {
	Verdict Verdict
	Answer  Answer
	// NeedsCommit tells that the outcome holds only once the changed record is committed.
	NeedsCommit bool
	// RecordFull tells that the record has no room for the claim.
	RecordFull bool
}

// ApplyOps carries out the operations in order and returns the changed record, the outcome of each, and whether the
// record differs. gone reports whether the daemon that holds a claim can no longer finish it.
func (r Record) ApplyOps(ops []Op, now time.Time, gone func(arbutusfork.Incarnation) bool) (Record, []Decision, bool) {
	next, _ := r.withoutExpired(now)
	size, changed := next.JSONSizeBound(), false
	decisions := make([]Decision, len(ops))
	for i, op := range ops {
		c, ok := next.Claims[op.ClaimID]
		mine := ok && c.Attempt == op.Attempt
		var d Decision
		switch {
		case op.Kind == OpClaim && !ok:
			c = Claim{Attempt: op.Attempt, RequestDigest: op.RequestDigest, ClaimedAt: now.Unix()}
			if over := size + c.bytes(op.ClaimID) - MaxRecordBytes; over > 0 {
				size -= next.dropAnswers(over)
			}
			if size+c.bytes(op.ClaimID) > MaxRecordBytes {
				d = Decision{RecordFull: true}
				break
			}
			next.Claims[op.ClaimID] = c
			size += c.bytes(op.ClaimID)
			d = Decision{Verdict: VerdictGranted, NeedsCommit: true}
		case op.Kind == OpClaim && mine:
			d = Decision{Verdict: VerdictGranted, NeedsCommit: r.Claims[op.ClaimID].Attempt != op.Attempt}
		case op.Kind == OpClaim:
			d = c.judge(op, gone)
		case op.Kind == OpFinish && mine && !c.HasRun:
			size -= c.bytes(op.ClaimID)
			c = c.withAnswer(op.ClaimID, op.Answer, MaxRecordBytes-size)
			size += c.bytes(op.ClaimID)
			next.Claims[op.ClaimID] = c
			d.NeedsCommit = true
		case op.Kind == OpCancel && mine && !c.HasRun:
			delete(next.Claims, op.ClaimID)
			size -= c.bytes(op.ClaimID)
			d.NeedsCommit = true
		}
		decisions[i] = d
		changed = changed || d.NeedsCommit
	}
	return next, decisions, changed
}

// judge returns the verdict on a call whose key is claimed by another attempt.
func (c Claim) judge(op Op, gone func(arbutusfork.Incarnation) bool) Decision {
	switch {
	case c.RequestDigest != op.RequestDigest:
		return Decision{Verdict: VerdictKeyReused}
	case c.Answer != nil:
		return Decision{Verdict: VerdictStored, Answer: *c.Answer}
	case c.HasRun || gone(c.Attempt.Incarnation()):
		return Decision{Verdict: VerdictUnknown}
	}
	return Decision{Verdict: VerdictInProgress}
}

// withAnswer returns a copy that has run. The answer is kept if it is small enough and there is room for it.
func (c Claim) withAnswer(id string, a Answer, room int) Claim {
	c.HasRun = true
	if len(a.Body) > MaxAnswerBodyBytes {
		return c
	}
	kept := c
	kept.Answer = &a
	if kept.bytes(id) > room {
		return c
	}
	return kept
}
