package afslot

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afpace"
)

// The kinds of messages between VMs.
const (
	// KindLimits carries limits that endpoints named.
	KindLimits = "limits"
	// KindSlot asks for a slot.
	KindSlot = "slot"
)

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

func (m slotMessage) decode() afpace.Slot {
	return afpace.Slot{IsGranted: m.IsGranted, Wait: time.Duration(m.WaitMicros) * time.Microsecond}
}

func encodeRequest(r afpace.Request) slotRequestMessage {
	return slotRequestMessage{
		Endpoint: r.Endpoint.Endpoint, StartUnixMs: r.Endpoint.StartUnixMs, PerSecond: r.PerSecond, MaxWaitMs: r.MaxWait.Milliseconds(),
	}
}

func encodeLimits(limits map[afpace.EndpointStart]afpace.Limit, now time.Time) []limitMessage {
	out := make([]limitMessage, 0, len(limits))
	for e, limit := range limits {
		out = append(out, limitMessage{Endpoint: e.Endpoint, StartUnixMs: e.StartUnixMs, PerSecond: limit.PerSecond, AgeMs: now.Sub(limit.NamedAt).Milliseconds()})
	}
	return out
}

// HandleLimits adds the limits that another VM learnt of.
func (s *Service) HandleLimits(_ arbutusfork.Incarnation, body []byte) (any, error) {
	var messages []limitMessage
	if err := msgpack.Unmarshal(body, &messages); err != nil {
		return nil, &Error{Op: "limits", Kind: MalformedMessage, Err: err}
	}
	now := s.Timer.Now()
	named := make(map[afpace.EndpointStart]afpace.Limit, len(messages))
	for _, m := range messages {
		named[afpace.EndpointStart{Endpoint: m.Endpoint, StartUnixMs: m.StartUnixMs}] = afpace.Limit{
			PerSecond: max(m.PerSecond, 0), NamedAt: now.Add(-time.Duration(max(m.AgeMs, 0)) * time.Millisecond),
		}
	}
	s.learn(named)
	return nil, nil
}

// HandleSlot gives another VM a slot.
func (s *Service) HandleSlot(_ arbutusfork.Incarnation, body []byte) (any, error) {
	var m slotRequestMessage
	if err := msgpack.Unmarshal(body, &m); err != nil {
		return nil, &Error{Op: "slot", Kind: MalformedMessage, Err: err}
	}
	slot := s.takeOwnSlot(afpace.Request{
		Endpoint: afpace.EndpointStart{Endpoint: m.Endpoint, StartUnixMs: m.StartUnixMs}, PerSecond: m.PerSecond,
		MaxWait: time.Duration(m.MaxWaitMs) * time.Millisecond,
	})
	return slotMessage{IsGranted: slot.IsGranted, WaitMicros: slot.Wait.Microseconds()}, nil
}
