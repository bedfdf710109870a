// Package afnotice decides what follows from the things that endpoints say about themselves in their answers: that they leave.
//
// A statement is what one answer says. A notice is the lasting consequence: about which endpoint and which life of it, who heard
// it, since when. All functions are pure; package affact shares notices between VMs.
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
)

// Statement is what an endpoint says about itself in one answer.
type Statement struct {
	IsLeaving bool
}

// IsEmpty reports whether the answer says nothing that matters.
func (s Statement) IsEmpty() bool { return s == Statement{} }

// Notices returns the notices that follow from a statement in an answer to the VM.
func (s Statement) Notices(e afengine.EndpointStart, vm string, now time.Time) map[Key]Notice {
	out := make(map[Key]Notice)
	if s.IsLeaving {
		out[Key{e, Leaving}] = Notice{HeardBy: vm, HeardAt: now}
	}
	return out
}

// Key identifies a notice. An endpoint that has restarted is another one, so that no notice of its earlier life concerns it.
type Key struct {
	afengine.EndpointStart
	Kind Kind
}

// Notice is what an endpoint said and what all VMs act on.
type Notice struct {
	// HeardBy is the VM that got the answer.
	HeardBy string
	// HeardAt is when the answer arrived. On other VMs it is later by the delay of the messages.
	HeardAt time.Time
}
