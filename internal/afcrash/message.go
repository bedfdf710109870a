package afcrash

import (
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afquarantine"
)

// The kinds of messages between VMs.
const (
	// KindFacts carries crashes, answers and quarantines.
	KindFacts = "crash"
	// KindDigest carries the digest of a VM's state.
	KindDigest = "crashdigest"
)

// factsMessage carries facts. Times are ages, since VMs do not compare their clocks.
type factsMessage struct {
	Crashes     []crashMessage      `msgpack:"crashes,omitempty"`
	Answers     []answerMessage     `msgpack:"answers,omitempty"`
	Quarantines []quarantineMessage `msgpack:"quarantines,omitempty"`
	// WantsReply means that the receiver answers with its own facts.
	WantsReply bool `msgpack:"reply,omitempty"`
}

// crashMessage is the encoded form of afquarantine.Crash.
type crashMessage struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // msgpack looks the field up by name.

	Service, Endpoint  string
	StartUnixMs, AgeMs int64
	Suspects           []suspectMessage
}

// suspectMessage is the encoded form of afquarantine.Suspect.
type suspectMessage struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // msgpack looks the field up by name.

	Parts              []string
	HasBegun, HasEvent bool
}

// answerMessage tells how long ago a request with the part was answered.
type answerMessage struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // msgpack looks the field up by name.

	Service, Part string
	AgeMs         int64
}

// quarantineMessage is the encoded form of afquarantine.Quarantine.
type quarantineMessage struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // msgpack looks the field up by name.

	Service            string
	Parts              []string
	AgeMs, RemainingMs int64
	Renewals           int
}

// digestMessage asks the receiver to send its facts if its digest is another one.
type digestMessage struct {
	Digest uint64 `msgpack:"digest"`
}

func (s *Service) encodeFacts(facts pendingFacts) factsMessage {
	now := s.Timer.Now()
	var m factsMessage
	for _, c := range facts.crashes {
		encoded := crashMessage{Service: c.Service, Endpoint: c.Endpoint, StartUnixMs: c.StartUnixMs, AgeMs: now.Sub(c.At).Milliseconds()}
		for _, suspect := range c.Suspects {
			encoded.Suspects = append(encoded.Suspects, suspectMessage{Parts: suspect.Parts, HasBegun: suspect.HasBegun, HasEvent: suspect.HasEvent})
		}
		m.Crashes = append(m.Crashes, encoded)
	}
	for key, at := range facts.answers {
		m.Answers = append(m.Answers, answerMessage{Service: key.Service, Part: key.Part, AgeMs: now.Sub(at).Milliseconds()})
	}
	for _, q := range facts.quarantines {
		m.Quarantines = append(m.Quarantines, quarantineMessage{
			Service: q.Service, Parts: q.Parts, AgeMs: now.Sub(q.Since).Milliseconds(), RemainingMs: q.Until.Sub(now).Milliseconds(), Renewals: q.Renewals,
		})
	}
	return m
}

const (
	// maxMessageTime bounds the ages in messages, so that they do not overflow. It is far above the age of any fact.
	maxMessageTime = 365 * 24 * time.Hour
	// maxRemaining bounds the rest of a quarantine. It is three times the longest one.
	maxRemaining = 24 * time.Hour
)

// isQuarantine reports whether a quarantine of another VM or of the stored note names prompts of a service and ends in time.
func isQuarantine(service string, parts []string, remaining time.Duration) bool {
	return service != "" && len(parts) > 0 && !slices.Contains(parts, "") && remaining <= maxRemaining
}

func (s *Service) decodeFacts(m factsMessage) pendingFacts {
	now := s.Timer.Now()
	before := func(ageMs int64) time.Time {
		return now.Add(-time.Duration(min(max(ageMs, -maxMessageTime.Milliseconds()), maxMessageTime.Milliseconds())) * time.Millisecond)
	}
	var facts pendingFacts
	for _, c := range m.Crashes {
		if c.Service == "" || c.Endpoint == "" {
			continue // No VM sends such a crash.
		}
		decoded := afquarantine.Crash{Service: c.Service, Endpoint: c.Endpoint, StartUnixMs: c.StartUnixMs, At: before(c.AgeMs)}
		for _, suspect := range c.Suspects {
			decoded.Suspects = append(decoded.Suspects, afquarantine.Suspect{Parts: suspect.Parts, HasBegun: suspect.HasBegun, HasEvent: suspect.HasEvent})
		}
		facts.crashes = append(facts.crashes, decoded)
	}
	for _, a := range m.Answers {
		facts.addAnswer(afquarantine.PartKey{Service: a.Service, Part: a.Part}, before(a.AgeMs))
	}
	for _, q := range m.Quarantines {
		if !isQuarantine(q.Service, q.Parts, before(-q.RemainingMs).Sub(now)) {
			continue // No VM sends such a quarantine.
		}
		facts.quarantines = append(facts.quarantines, afquarantine.Quarantine{
			Service: q.Service, Parts: q.Parts, Since: before(q.AgeMs), Until: before(-q.RemainingMs), Renewals: q.Renewals,
		})
	}
	return facts
}

// allFacts returns all facts that this VM knows.
func (s *Service) allFacts() factsMessage {
	state := s.State()
	return s.encodeFacts(pendingFacts{crashes: state.Crashes(), answers: state.Answers(), quarantines: state.Quarantines()})
}

// HandleFacts adds the facts of another VM.
func (s *Service) HandleFacts(from arbutusfork.Incarnation, body []byte) (any, error) {
	var m factsMessage
	if err := msgpack.Unmarshal(body, &m); err != nil {
		return nil, &Error{Op: "facts", Kind: MalformedMessage, Err: err}
	}
	if m.WantsReply {
		s.send(from.VM, KindFacts, s.allFacts())
	}
	s.learn(s.decodeFacts(m))
	return nil, nil
}

// HandleDigest sends all facts to a VM whose digest is another one.
func (s *Service) HandleDigest(from arbutusfork.Incarnation, body []byte) (any, error) {
	var m digestMessage
	if err := msgpack.Unmarshal(body, &m); err != nil {
		return nil, &Error{Op: "digest", Kind: MalformedMessage, Err: err}
	}
	if m.Digest != s.State().Digest() {
		facts := s.allFacts()
		facts.WantsReply = true
		s.send(from.VM, KindFacts, facts)
	}
	return nil, nil
}
