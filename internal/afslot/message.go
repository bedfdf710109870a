package afslot

import (
	"math"
	"time"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afengine"
	"arbutusfork.example/arbutusfork/pkg/afpace"
)

// The kinds of messages between VMs.
const (
	// KindLimits carries limits that endpoints named.
	KindLimits = "limits"
	// KindDigest carries the digest of the limits that a VM knows.
	KindDigest = "limitsdigest"
	// KindSlot asks for a slot.
	KindSlot = "slot"
)

// limitsMessage carries limits.
type limitsMessage struct {
	Limits []limitMessage `msgpack:"limits"`
	// Numbers holds the numbers of the limits in the same order. Earlier builds send none and don't read them.
	Numbers []int64 `msgpack:"numbers,omitempty"`
	// WantsReply means that the receiver answers with the limits that it knows.
	WantsReply bool `msgpack:"reply,omitempty"`
}

// digestMessage asks the receiver to send the limits that it knows if their digest is another one.
type digestMessage struct {
	Digest uint64 `msgpack:"digest"`
}

// limitMessage is one limit. Times are ages, since VMs do not compare their clocks.
type limitMessage struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // msgpack looks the field up by name.

	Endpoint    string
	StartUnixMs int64
	PerSecond   float64
	AgeMs       int64
}

// slotRequestMessage asks for a slot. Whether the asked VM is the home VM is for itself to say.
type slotRequestMessage struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // msgpack looks the field up by name.

	Endpoint    string
	StartUnixMs int64
	PerSecond   float64
	MaxWaitMs   int64
}

// slotMessage is the encoded form of afpace.Slot.
type slotMessage struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // msgpack looks the field up by name.

	IsGranted  bool
	WaitMicros int64
}

// maxMessageTime bounds the durations in messages, so that they do not overflow. It is far above all that VMs tell each other.
const maxMessageTime = 365 * 24 * time.Hour

// decodeMillis returns the duration of a number of milliseconds in a message, from 0 to maxMessageTime.
func decodeMillis(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), maxMessageTime.Milliseconds())) * time.Millisecond
}

// isRate reports whether v is a rate that an endpoint can name, or zero. A value that is no number would keep the rate of the
// endpoint from ever changing.
func isRate(v float64) bool { return v >= 0 && !math.IsInf(v, 0) }

func (m slotMessage) decode() afpace.Slot {
	return afpace.Slot{IsGranted: m.IsGranted, Wait: time.Duration(m.WaitMicros) * time.Microsecond}
}

func encodeRequest(r afpace.Request) slotRequestMessage {
	return slotRequestMessage{
		Endpoint: r.Endpoint.Endpoint, StartUnixMs: r.Endpoint.StartUnixMs, PerSecond: r.PerSecond, MaxWaitMs: r.MaxWait.Milliseconds(),
	}
}

func encodeLimits(limits map[afengine.EndpointStart]afpace.Limit, now time.Time) limitsMessage {
	out := limitsMessage{Limits: make([]limitMessage, 0, len(limits))}
	for e, limit := range limits {
		out.Limits = append(out.Limits, limitMessage{Endpoint: e.Endpoint, StartUnixMs: e.StartUnixMs, PerSecond: limit.PerSecond, AgeMs: now.Sub(limit.NamedAt).Milliseconds()})
		out.Numbers = append(out.Numbers, limit.Number)
	}
	return out
}

// HandleLimits adds the limits that another VM learnt of.
func (s *Service) HandleLimits(from arbutusfork.Incarnation, body []byte) (any, error) {
	var message limitsMessage
	if err := msgpack.Unmarshal(body, &message); err != nil {
		return nil, &Error{Op: "limits", Kind: MalformedMessage, Err: err}
	}
	now := s.Timer.Now()
	if message.WantsReply {
		s.send(from.VM, KindLimits, encodeLimits(s.Limits().ByEndpoint(), now))
	}
	named := make(map[afengine.EndpointStart]afpace.Limit, len(message.Limits))
	for i, m := range message.Limits {
		if m.Endpoint == "" || !isRate(m.PerSecond) {
			continue // No VM sends such a limit.
		}
		limit := afpace.Limit{PerSecond: m.PerSecond, NamedAt: now.Add(-decodeMillis(m.AgeMs))}
		if len(message.Numbers) == len(message.Limits) {
			limit.Number = message.Numbers[i]
		}
		named[afengine.EndpointStart{Endpoint: m.Endpoint, StartUnixMs: m.StartUnixMs}] = limit
	}
	s.learn(func(l afpace.Limits) (afpace.Limits, map[afengine.EndpointStart]afpace.Limit) {
		return l.WithAnswers(named, now)
	})
	return nil, nil
}

// HandleDigest sends the known limits to a VM whose digest is another one.
func (s *Service) HandleDigest(from arbutusfork.Incarnation, body []byte) (any, error) {
	var message digestMessage
	if err := msgpack.Unmarshal(body, &message); err != nil {
		return nil, &Error{Op: "digest", Kind: MalformedMessage, Err: err}
	}
	now := s.Timer.Now()
	limits := s.Limits()
	if message.Digest != limits.Digest(now) {
		known := encodeLimits(limits.ByEndpoint(), now)
		known.WantsReply = true
		s.send(from.VM, KindLimits, known)
	}
	return nil, nil
}

// HandleSlot gives another VM a slot.
func (s *Service) HandleSlot(_ arbutusfork.Incarnation, body []byte) (any, error) {
	var m slotRequestMessage
	if err := msgpack.Unmarshal(body, &m); err != nil {
		return nil, &Error{Op: "slot", Kind: MalformedMessage, Err: err}
	}
	if m.Endpoint == "" || !isRate(m.PerSecond) {
		return nil, &Error{Op: "slot", Kind: MalformedMessage, Err: errors.New("the endpoint is missing or its limit is no rate")}
	}
	slot := s.takeOwnSlot(afpace.Request{
		Endpoint: afengine.EndpointStart{Endpoint: m.Endpoint, StartUnixMs: m.StartUnixMs}, PerSecond: m.PerSecond,
		MaxWait: decodeMillis(m.MaxWaitMs),
	})
	return slotMessage{IsGranted: slot.IsGranted, WaitMicros: slot.Wait.Microseconds()}, nil
}
