package afscheduler

import (
	"time"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afengine"
	"arbutusfork.example/arbutusfork/pkg/afprefill"
)

// The kinds of messages to the home VM of an engine.
const (
	// KindStart asks for a start.
	KindStart = "start"
	// KindLateEvent reports that an event of a stream came late.
	KindLateEvent = "late"
	// KindFirstEvent reports after which time the first event of a request came.
	KindFirstEvent = "first"
)

// maxTokens bounds the token counts in messages. It is far above the cache of any engine.
const maxTokens = 1 << 32

// startMessage is the encoded form of afprefill.Request.
type startMessage struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // msgpack looks the field up by name.

	Endpoint, Model           string
	StartUnixMs, PromptTokens int64
	IsPatient                 bool
	MaxWaitMicros             int64
}

// lateEventMessage reports a late event of an engine.
type lateEventMessage struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // msgpack looks the field up by name.

	Endpoint    string
	StartUnixMs int64
}

// firstEventMessage reports the time to a first event.
type firstEventMessage struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // msgpack looks the field up by name.

	Endpoint, Model           string
	StartUnixMs, PromptTokens int64
	TookMicros                int64
}

// grantMessage is the encoded form of afprefill.Grant.
type grantMessage struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // msgpack looks the field up by name.

	IsGranted                 bool
	WaitMicros, BacklogMicros int64
}

func encodeRequest(r afprefill.Request) startMessage {
	return startMessage{
		Endpoint: r.Engine.Endpoint, Model: r.Model, StartUnixMs: r.Engine.StartUnixMs, PromptTokens: r.PromptTokens,
		IsPatient: r.IsPatient, MaxWaitMicros: r.MaxWait.Microseconds(),
	}
}

// isSound reports whether a VM can have sent the message.
func (m startMessage) isSound() bool {
	return m.Endpoint != "" && m.PromptTokens >= 0 && m.PromptTokens <= maxTokens && m.MaxWaitMicros >= 0
}

func (m startMessage) decode() afprefill.Request {
	return afprefill.Request{
		Engine: afengine.EndpointStart{Endpoint: m.Endpoint, StartUnixMs: m.StartUnixMs}, Model: m.Model, PromptTokens: m.PromptTokens,
		IsPatient: m.IsPatient, MaxWait: decodeMicros(m.MaxWaitMicros),
	}
}

func (m grantMessage) decode() afprefill.Grant {
	return afprefill.Grant{IsGranted: m.IsGranted, Wait: decodeMicros(m.WaitMicros), Backlog: decodeMicros(m.BacklogMicros)}
}

// maxMessageTime bounds the durations in messages. It is above what a schedule holds, which is 11 s for a prompt of the longest reading
// time at the lowest share. A VM does not ask for starts at an engine before the backlog that it was told is over.
const maxMessageTime = 15 * time.Second

// decodeMicros returns the duration of a number of microseconds in a message, from 0 to maxMessageTime.
func decodeMicros(v int64) time.Duration {
	return time.Duration(min(max(v, 0), maxMessageTime.Microseconds())) * time.Microsecond
}

// HandleStart grants another VM a start.
func (s *Service) HandleStart(_ arbutusfork.Incarnation, body []byte) (any, error) {
	var m startMessage
	if err := msgpack.Unmarshal(body, &m); err != nil {
		return nil, &Error{Op: "start", Kind: MalformedMessage, Err: err}
	}
	if !m.isSound() {
		return nil, &Error{Op: "start", Kind: MalformedMessage, Err: errors.New("a value is missing or out of range")}
	}
	grant := s.takeOwn(m.decode())
	return grantMessage{IsGranted: grant.IsGranted, WaitMicros: grant.Wait.Microseconds(), BacklogMicros: grant.Backlog.Microseconds()}, nil
}

// HandleLateEvent lowers the pace of an engine.
func (s *Service) HandleLateEvent(_ arbutusfork.Incarnation, body []byte) (any, error) {
	var m lateEventMessage
	if err := msgpack.Unmarshal(body, &m); err != nil {
		return nil, &Error{Op: "late event", Kind: MalformedMessage, Err: err}
	}
	if m.Endpoint == "" {
		return nil, &Error{Op: "late event", Kind: MalformedMessage, Err: errors.New("the engine is missing")}
	}
	s.applyLateEvent(afengine.EndpointStart{Endpoint: m.Endpoint, StartUnixMs: m.StartUnixMs})
	return nil, nil
}

// HandleFirstEvent adds the time of a first event to the schedule.
func (s *Service) HandleFirstEvent(_ arbutusfork.Incarnation, body []byte) (any, error) {
	var m firstEventMessage
	if err := msgpack.Unmarshal(body, &m); err != nil {
		return nil, &Error{Op: "first event", Kind: MalformedMessage, Err: err}
	}
	if m.Endpoint == "" || m.PromptTokens < 0 || m.PromptTokens > maxTokens || m.TookMicros <= 0 {
		return nil, &Error{Op: "first event", Kind: MalformedMessage, Err: errors.New("a value is missing or out of range")}
	}
	s.applyFirstEvent(afengine.EndpointStart{Endpoint: m.Endpoint, StartUnixMs: m.StartUnixMs}, m.Model, m.PromptTokens, decodeMicros(m.TookMicros))
	return nil, nil
}
