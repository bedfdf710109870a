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
)

// kinds is the number of kinds.
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
	// HeardBy is the VM that got the answer with a pause. It is empty for Leaving, since all such answers say the same.
	HeardBy string
}

// Notice is what an endpoint said and what all VMs act on.
type Notice struct {
	// HeardBy is the VM that got the answer.
	HeardBy string
	// Number rises with the end of the pauses that HeardBy hears from the endpoint, also across its restarts. A VM takes each number
	// once, so that VMs that pass a pause on with some delay do not prolong it without end. It is 0 for Leaving.
	Number int64
	// HeardAt is when the answer arrived and Until when a pause ends. On other VMs both are later by the delay of the messages.
	HeardAt, Until time.Time
}
