package afcentre

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"arbutusfork.example/arbutusfork/pkg/afevacuation"
)

const (
	// maxCentres bounds the evacuated data centres, so that the state stays a small part of a view, which is sent to each VM several
	// times a second.
	maxCentres = 64
	// maxNameBytes bounds the name of a data centre.
	maxNameBytes = 128
	// maxAgeMs bounds the age in a message, so that it is a time.Duration. It is a year.
	maxAgeMs = 365 * 24 * 3600 * 1000
)

// stateMessage is the encoded form of afevacuation.State.
type stateMessage struct {
	Version int64          `msgpack:"v"`
	Entries []entryMessage `msgpack:"e,omitempty"`
}

// entryMessage is the evacuation of one data centre. Times are durations up to or from the sending, since VMs do not compare their
// clocks.
type entryMessage struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // msgpack looks the field up by name.

	Centre   string
	Revision int64
	AgeMs    int64
	// LeftMs is the time until the end of an entry that the store lost, or zero.
	LeftMs int64
}

var (
	errOutOfRange = errors.New("a value is missing or out of range")
	errTooMany    = errors.New("too many data centres")
)

// encodeState returns the message with a state.
func encodeState(s afevacuation.State, now time.Time) ([]byte, error) {
	m := stateMessage{Version: s.Version()}
	for centre, e := range s.Entries() {
		entry := entryMessage{Centre: centre, Revision: e.Revision, AgeMs: now.Sub(e.KnownAt).Milliseconds()}
		if e.IsLost() {
			if entry.LeftMs = e.EndsAt.Sub(now).Milliseconds(); entry.LeftMs <= 0 {
				continue
			}
		}
		m.Entries = append(m.Entries, entry)
	}
	slices.SortFunc(m.Entries, func(a, b entryMessage) int {
		return cmp.Or(cmp.Compare(min(a.LeftMs, 1), min(b.LeftMs, 1)), cmp.Compare(a.Centre, b.Centre))
	})
	m.Entries = m.Entries[:min(len(m.Entries), maxCentres)] // Those that the store lost are last.
	return msgpack.Marshal(m)
}

// decodeState decodes a message that arrived now.
func decodeState(body []byte, now time.Time) (version int64, entries map[string]afevacuation.Entry, err error) {
	var m stateMessage
	if err := msgpack.Unmarshal(body, &m); err != nil {
		return 0, nil, err
	}
	if m.Version < 0 {
		return 0, nil, errOutOfRange
	}
	if len(m.Entries) > maxCentres {
		return 0, nil, errTooMany
	}
	entries = make(map[string]afevacuation.Entry, len(m.Entries))
	for _, e := range m.Entries {
		if e.Centre == "" || len(e.Centre) > maxNameBytes || e.Revision < 0 || e.LeftMs < 0 {
			return 0, nil, errOutOfRange
		}
		entry := afevacuation.Entry{Revision: e.Revision, KnownAt: now.Add(-time.Duration(min(max(e.AgeMs, 0), maxAgeMs)) * time.Millisecond)}
		if e.LeftMs > 0 {
			entry.EndsAt = now.Add(min(time.Duration(min(e.LeftMs, maxAgeMs))*time.Millisecond, afevacuation.LostEntryTime))
		}
		entries[e.Centre] = entry
	}
	return m.Version, entries, nil
}

// boundEntries returns the entries of a copy of the store that the state may hold, and the names of the others. Those that were written
// first are kept, so that more of them do not end an evacuation that is in force.
func boundEntries(revisions map[string]int64) (kept map[string]int64, ignored []string) {
	names := slices.SortedFunc(maps.Keys(revisions), func(a, b string) int {
		return cmp.Or(cmp.Compare(revisions[a], revisions[b]), cmp.Compare(a, b))
	})
	kept = make(map[string]int64, min(len(names), maxCentres))
	for _, name := range names {
		if name == "" || len(name) > maxNameBytes || len(kept) == maxCentres {
			ignored = append(ignored, name[:min(len(name), maxNameBytes)])
			continue
		}
		kept[name] = revisions[name]
	}
	return kept, ignored
}
