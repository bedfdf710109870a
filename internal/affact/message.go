package affact

import (
	"time"

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
	Notices []noticeMessage `msgpack:"n"`
	// WantsReply means that the receiver answers with the notices that it knows.
	WantsReply bool `msgpack:"reply,omitempty"`
}

// digestMessage asks the receiver to send the notices that it knows if their digest is another one.
type digestMessage struct {
	Digest uint64 `msgpack:"digest"`
}

// noticeMessage is one notice. Times are ages, since VMs do not compare their clocks.
type noticeMessage struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // msgpack looks the field up by name.

	Endpoint    string
	StartUnixMs int64
	Kind        int
	HeardBy     string
	AgeMs       int64
}

// encodeNotices returns the message with the notices, whose ages count up to now.
func encodeNotices(notices map[afnotice.Key]afnotice.Notice, now time.Time) noticesMessage {
	out := noticesMessage{Notices: make([]noticeMessage, 0, len(notices))}
	for k, n := range notices {
		out.Notices = append(out.Notices, noticeMessage{
			Endpoint: k.Endpoint, StartUnixMs: k.StartUnixMs, Kind: int(k.Kind), HeardBy: n.HeardBy, AgeMs: now.Sub(n.HeardAt).Milliseconds(),
		})
	}
	return out
}

// decode returns the notices of a message that arrived now.
func (m noticesMessage) decode(now time.Time) map[afnotice.Key]afnotice.Notice {
	out := make(map[afnotice.Key]afnotice.Notice, len(m.Notices))
	for _, n := range m.Notices {
		k := afnotice.Key{EndpointStart: afengine.EndpointStart{Endpoint: n.Endpoint, StartUnixMs: n.StartUnixMs}, Kind: afnotice.Kind(n.Kind)}
		out[k] = afnotice.Notice{HeardBy: n.HeardBy, HeardAt: now.Add(-time.Duration(min(max(n.AgeMs, 0), maxAgeMs)) * time.Millisecond)}
	}
	return out
}

// maxAgeMs bounds the age in a message, so that it is a time.Duration. It is about a year.
const maxAgeMs = 365 * 24 * 3600 * 1000

// HandleNotices adds the notices that another VM knows.
func (s *Service) HandleNotices(from arbutusfork.Incarnation, body []byte) (any, error) {
	var message noticesMessage
	if err := msgpack.Unmarshal(body, &message); err != nil {
		return nil, &Error{Op: "notices", Kind: MalformedMessage, Err: err}
	}
	if message.WantsReply {
		s.sendAll(from.VM, false)
	}
	s.learn(message.decode(s.Timer.Now()))
	return nil, nil
}

// HandleDigest sends the known notices to a VM whose digest is another one.
func (s *Service) HandleDigest(from arbutusfork.Incarnation, body []byte) (any, error) {
	var message digestMessage
	if err := msgpack.Unmarshal(body, &message); err != nil {
		return nil, &Error{Op: "digest", Kind: MalformedMessage, Err: err}
	}
	if message.Digest != s.View().Digest() {
		s.sendAll(from.VM, true)
	}
	return nil, nil
}
