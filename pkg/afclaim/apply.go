package afclaim

import (
	"time"

	"arbutusfork.example/arbutusfork"
)

//go:generate stringer -type=Verb -linecomment -output=apply_string.go

// Verb is what an operation does to a record.
type Verb int

// The verbs.
const (
	// Take claims the call.
	Take Verb = iota // take
	// Finish stores the answer of a claimed call.
	Finish // finish
	// Cancel removes the claim of a call that was never dispatched.
	Cancel // cancel
)

// Op is one operation on a record.
type Op struct {
	Verb   Verb
	ID     string
	Ticket Ticket
	Body   string
	Answer Answer
}

// Decision is the outcome of an operation on a record.
type Decision struct {
	Verdict Verdict
	Answer  Answer
	// Changes tells that the outcome holds only once the changed record is committed.
	Changes bool
	// Full tells that the record has no room for the claim.
	Full bool
}

// Apply carries out the operations in order and returns the changed record, the outcome of each, and whether the
// record differs. gone reports whether the daemon that holds a claim can no longer finish it.
func (r Record) Apply(ops []Op, now time.Time, gone func(arbutusfork.Incarnation) bool) (Record, []Decision, bool) {
	next, _ := r.withoutExpired(now)
	size, changed := next.Size(), false
	decisions := make([]Decision, len(ops))
	for i, op := range ops {
		c, ok := next.Claims[op.ID]
		mine := ok && c.Ticket == op.Ticket
		var d Decision
		switch {
		case op.Verb == Take && !ok:
			c = Claim{Ticket: op.Ticket, Body: op.Body, At: now.Unix()}
			if over := size + c.bytes(op.ID) - MaxBytes; over > 0 {
				size -= next.dropAnswers(over)
			}
			if size+c.bytes(op.ID) > MaxBytes {
				d = Decision{Full: true}
				break
			}
			next.Claims[op.ID] = c
			size += c.bytes(op.ID)
			d = Decision{Verdict: Granted, Changes: true}
		case op.Verb == Take && mine:
			d = Decision{Verdict: Granted, Changes: r.Claims[op.ID].Ticket != op.Ticket}
		case op.Verb == Take:
			d = c.judge(op, gone)
		case op.Verb == Finish && mine && !c.Done:
			size -= c.bytes(op.ID)
			c = c.withAnswer(op.ID, op.Answer, MaxBytes-size)
			size += c.bytes(op.ID)
			next.Claims[op.ID] = c
			d.Changes = true
		case op.Verb == Cancel && mine && !c.Done:
			delete(next.Claims, op.ID)
			size -= c.bytes(op.ID)
			d.Changes = true
		}
		decisions[i] = d
		changed = changed || d.Changes
	}
	return next, decisions, changed
}

// judge returns the verdict on a call whose key is claimed by another attempt.
func (c Claim) judge(op Op, gone func(arbutusfork.Incarnation) bool) Decision {
	switch {
	case c.Body != op.Body:
		return Decision{Verdict: Reused}
	case c.Answer != nil:
		return Decision{Verdict: Stored, Answer: *c.Answer}
	case c.Done || gone(c.Ticket.Holder()):
		return Decision{Verdict: Unclear}
	}
	return Decision{Verdict: InProgress}
}

// withAnswer returns a copy that has run. The answer is kept if it is small enough and there is room for it.
func (c Claim) withAnswer(id string, a Answer, room int) Claim {
	c.Done = true
	if len(a.Body) > MaxAnswer {
		return c
	}
	kept := c
	kept.Answer = &a
	if kept.bytes(id) > room {
		return c
	}
	return kept
}
