// Package afnotice decides what follows from the things that endpoints say about themselves in their answers: that they leave, and
// that they want no requests for a while.
//
// A statement is what one answer says. A notice is the lasting consequence: about which endpoint and which life of it, who heard
// it, since when, until when. All functions are pure; package affact shares notices between VMs.
package afnotice

import (
	"time"

	"arbutusfork.example/arbutusfork/pkg/afengine"
)

//go:generate stringer -type=Kind -linecomment -output=notice_string.go

// Kind is the kind of a notice.
type Kind int

// The kinds of notices. Their numbers are in messages between VMs and do not change.
const (
	// Leaving means that the endpoint takes no new requests until it ends. It holds for the rest of the endpoint's life.
	Leaving Kind = iota // leaving
	// Pause means that the endpoint takes no requests until a time.
	Pause // pause
	// LeavingLift and PauseLift mean that an operator lifted the notices of the other kinds: what the endpoint said before does not
	// count.
	LeavingLift // leaving-lift
	PauseLift   // pause-lift
)

// kinds is the number of kinds of which endpoints speak.
const kinds = int(Pause) + 1

// MaxPause bounds the pause that an answer asks for, so that a wrong value does not take an endpoint out of use for good. Stated
// times of minutes are kept whole: after a bound of 30 s, each waiting request would reach the endpoint before it stated.
const MaxPause = time.Hour

// Statement is what an endpoint says about itself in one answer.
type Statement struct {
	IsLeaving bool
	// Pause is how long the endpoint wants no requests, from the answer on and at most MaxPause. Zero means that it asks for none.
	Pause time.Duration
	// OddPause is the value of a pause that was bounded or could not be read, for the log. It is empty otherwise.
	OddPause string
}

// IsEmpty reports whether the answer says nothing that matters.
func (s Statement) IsEmpty() bool { return s == Statement{} }

// Key identifies a notice. An endpoint that has restarted is another one, so that no notice of its earlier life concerns it.
type Key struct {
	afengine.EndpointStart
	Kind Kind
	// HeardBy is the VM that got the answer with a pause. It is empty for other kinds: all answers of an endpoint that leaves say the
	// same, and a lift concerns what all VMs heard.
	HeardBy string
}

// Notice is what an endpoint said and what all VMs act on.
type Notice struct {
	// HeardBy is the VM that got the answer, or on which an operator lifted a notice.
	HeardBy string
	// Number rises with the end of the pauses that HeardBy hears from the endpoint, also across its restarts. A VM takes each number
	// once, so that VMs that pass a pause on with some delay do not prolong it without end. It is 0 for Leaving.
	// Each lift of a notice has a higher one than those before.
	Number int64
	// AfterLift is the Number of the latest lift that HeardBy knew when it got the answer. A lift with a higher one covers the notice.
	// Times would not tell this, since messages arrive late by different delays.
	AfterLift int64
	// HeardAt is when the answer arrived and Until when a pause ends. On other VMs both are later by the delay of the messages.
	HeardAt, Until time.Time
	// SaidAt is when this VM last got such an answer itself. It is zero if it did not, and other VMs are not told.
	SaidAt time.Time
}
