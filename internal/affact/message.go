package affact

import (
	"encoding/binary"
	"time"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afengine"
	"arbutusfork.example/arbutusfork/pkg/afnotice"
)

// The kinds of messages between VMs.
const (
	// KindNotices carries notices.
	KindNotices = "notices"
	// KindDigest carries the digest of the notices that a VM knows.
	KindDigest = "noticesdigest"
)

// noticesMessage carries notices.
type noticesMessage struct {
	Leaving []leavingMessage `msgpack:"l,omitempty"`
	Pauses  []pauseMessage   `msgpack:"p,omitempty"`
	Lifts   []liftMessage    `msgpack:"u,omitempty"`
	// LeavingAfter and PausesAfter hold the numbers of the lifts after which notices were heard, by the position of the notice. They
	// are no fields of the notices, since VMs of an earlier version refuse arrays with more of them.
	LeavingAfter map[int]int64 `msgpack:"la,omitempty"`
	PausesAfter  map[int]int64 `msgpack:"pa,omitempty"`
	// Reply are the buckets of the digest whose notices the receiver answers with, bit by bit.
	Reply uint32 `msgpack:"reply,omitempty"`
}

// digestMessage asks the receiver to send the notices that it knows in the buckets in which its digest is another one.
type digestMessage struct {
	// Digest holds the buckets as big-endian numbers. It is empty if no notice is known.
	Digest []byte `msgpack:"digest,omitempty"`
}

func encodeDigest(d afnotice.Digest) digestMessage {
	if d == (afnotice.Digest{}) {
		return digestMessage{}
	}
	out := make([]byte, 0, 4*len(d))
	for _, part := range d {
		out = binary.BigEndian.AppendUint32(out, part)
	}
	return digestMessage{Digest: out}
}

func (m digestMessage) decode() (d afnotice.Digest, ok bool) {
	if len(m.Digest) == 0 {
		return d, true
	}
	if len(m.Digest) != 4*len(d) {
		return d, false
	}
	for i := range d {
		d[i] = binary.BigEndian.Uint32(m.Digest[4*i:])
	}
	return d, true
}

// leavingMessage is one notice of kind Leaving. Times are durations up to or from the sending, since VMs do not compare their
// clocks.
type leavingMessage struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // msgpack looks the field up by name.

	Endpoint    string
	StartUnixMs int64
	HeardBy     string
	AgeMs       int64
}

// pauseMessage is one notice of kind Pause.
type pauseMessage struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // msgpack looks the field up by name.

	Endpoint    string
	StartUnixMs int64
	HeardBy     string
	AgeMs       int64
	Number      int64
	LeftMs      int64
}

// liftMessage is one lift of a notice.
type liftMessage struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // msgpack looks the field up by name.

	Endpoint    string
	StartUnixMs int64
	// Kind is afnotice.LeavingLift or afnotice.PauseLift.
	Kind     int
	LiftedBy string
	AgeMs    int64
	Number   int64
}

// encodeNotices returns the message with the notices.
func encodeNotices(notices map[afnotice.Key]afnotice.Notice, now time.Time) noticesMessage {
	var out noticesMessage
	for k, n := range notices {
		ageMs := now.Sub(n.HeardAt).Milliseconds()
		switch k.Kind {
		case afnotice.LeavingLift, afnotice.PauseLift:
			out.Lifts = append(out.Lifts, liftMessage{
				Endpoint: k.Endpoint, StartUnixMs: k.StartUnixMs, Kind: int(k.Kind), LiftedBy: n.HeardBy, AgeMs: ageMs, Number: n.Number,
			})
			continue
		case afnotice.Leaving:
			if n.AfterLift != 0 {
				out.LeavingAfter = withEntry(out.LeavingAfter, len(out.Leaving), n.AfterLift)
			}
			out.Leaving = append(out.Leaving, leavingMessage{Endpoint: k.Endpoint, StartUnixMs: k.StartUnixMs, HeardBy: n.HeardBy, AgeMs: ageMs})
			continue
		}
		if n.AfterLift != 0 {
			out.PausesAfter = withEntry(out.PausesAfter, len(out.Pauses), n.AfterLift)
		}
		left := max(n.Until.Sub(now)+time.Millisecond-1, 0) // Rounded up, so that no VM ends the pause early.
		out.Pauses = append(out.Pauses, pauseMessage{
			Endpoint: k.Endpoint, StartUnixMs: k.StartUnixMs, HeardBy: n.HeardBy, AgeMs: ageMs, Number: n.Number, LeftMs: left.Milliseconds(),
		})
	}
	return out
}

// withEntry sets an entry of a map that may be nil.
func withEntry(m map[int]int64, i int, v int64) map[int]int64 {
	if m == nil {
		m = make(map[int]int64)
	}
	m[i] = v
	return m
}

// maxAgeMs bounds the age in a message, so that it is a time.Duration. It is a year.
const maxAgeMs = 365 * 24 * 3600 * 1000

// decode returns the notices of a message that arrived now.
func (m noticesMessage) decode(now time.Time) map[afnotice.Key]afnotice.Notice {
	heardAt := func(ageMs int64) time.Time {
		return now.Add(-time.Duration(min(max(ageMs, 0), maxAgeMs)) * time.Millisecond)
	}
	out := make(map[afnotice.Key]afnotice.Notice, len(m.Leaving)+len(m.Pauses))
	for _, n := range m.Lifts {
		k := afnotice.Key{EndpointStart: afengine.EndpointStart{Endpoint: n.Endpoint, StartUnixMs: n.StartUnixMs}, Kind: afnotice.Kind(n.Kind)}
		if k.Kind == afnotice.LeavingLift || k.Kind == afnotice.PauseLift {
			out[k] = afnotice.Notice{HeardBy: n.LiftedBy, HeardAt: heardAt(n.AgeMs), Number: n.Number}
		}
	}
	for i, n := range m.Leaving {
		if n.Endpoint == "" {
			continue // No VM sends such a notice.
		}
		k := afnotice.Key{EndpointStart: afengine.EndpointStart{Endpoint: n.Endpoint, StartUnixMs: n.StartUnixMs}, Kind: afnotice.Leaving}
		out[k] = afnotice.Notice{HeardBy: n.HeardBy, HeardAt: heardAt(n.AgeMs), AfterLift: m.LeavingAfter[i]}
	}
	for i, n := range m.Pauses {
		if n.Endpoint == "" || n.HeardBy == "" {
			continue
		}
		k := afnotice.Key{EndpointStart: afengine.EndpointStart{Endpoint: n.Endpoint, StartUnixMs: n.StartUnixMs}, Kind: afnotice.Pause, HeardBy: n.HeardBy}
		left := time.Duration(min(max(n.LeftMs, 0), afnotice.MaxPause.Milliseconds())) * time.Millisecond
		out[k] = afnotice.Notice{HeardBy: n.HeardBy, HeardAt: heardAt(n.AgeMs), Number: n.Number, Until: now.Add(left), AfterLift: m.PausesAfter[i]}
	}
	return out
}

// HandleNotices adds the notices that another VM knows.
func (s *Service) HandleNotices(from arbutusfork.Incarnation, body []byte) (any, error) {
	var message noticesMessage
	if err := msgpack.Unmarshal(body, &message); err != nil {
		return nil, &Error{Op: "notices", Kind: MalformedMessage, Err: err}
	}
	now := s.Timer.Now()
	if message.Reply != 0 {
		s.send(from.VM, KindNotices, encodeNotices(s.View().InBuckets(message.Reply, now), now))
	}
	s.learn(func(v afnotice.View) (afnotice.View, map[afnotice.Key]afnotice.Notice) {
		return v.WithNotices(message.decode(now), now, s.IsListed)
	})
	return nil, nil
}

// HandleDigest sends the notices that the sender of another digest may not know, and asks for those that it knows.
func (s *Service) HandleDigest(from arbutusfork.Incarnation, body []byte) (any, error) {
	var message digestMessage
	if err := msgpack.Unmarshal(body, &message); err != nil {
		return nil, &Error{Op: "digest", Kind: MalformedMessage, Err: err}
	}
	digest, ok := message.decode()
	if !ok {
		return nil, &Error{Op: "digest", Kind: MalformedMessage, Err: errors.New("the digest has a wrong length")}
	}
	now := s.Timer.Now()
	view := s.View()
	if differing := view.Digest(now).DifferingBuckets(digest); differing != 0 {
		known := encodeNotices(view.InBuckets(differing, now), now)
		known.Reply = differing
		s.send(from.VM, KindNotices, known)
	}
	return nil, nil
}
