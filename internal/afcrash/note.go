package afcrash

import (
	"encoding/json"
	"time"

	"arbutusfork.example/arbutusfork/pkg/afquarantine"
)

// maxNoteQuarantines is the largest number of quarantines in a note, so that the record that contains it stays small.
const maxNoteQuarantines = 16

// noteEntry is one quarantine in a note.
type noteEntry struct {
	Service string   `json:"service"`
	Parts   []string `json:"parts"`
	// Since and Until are in seconds since the Unix epoch, by the clock of the VM that wrote the note.
	Since    int64 `json:"since"`
	Until    int64 `json:"until"`
	Renewals int   `json:"renewals,omitempty"`
}

// Note returns the quarantines in the form in which they are stored, or an empty string if there are none.
func (s *Service) Note() string {
	now, wall := s.Timer.Now(), s.wallClock()
	var entries []noteEntry
	for _, q := range s.State().Quarantines() {
		if len(entries) < maxNoteQuarantines {
			entries = append(entries, noteEntry{
				Service: q.Service, Parts: q.Parts, Since: wall.Add(q.Since.Sub(now)).Unix(), Until: wall.Add(q.Until.Sub(now)).Unix(), Renewals: q.Renewals,
			})
		}
	}
	if len(entries) == 0 {
		return ""
	}
	note, err := json.Marshal(entries)
	if err != nil {
		return "" // This cannot happen: the entries contain only strings and numbers.
	}
	return string(note)
}

func (s *Service) wallClock() time.Time {
	if s.WallClock != nil {
		return s.WallClock()
	}
	return time.Now()
}

// ApplyNote adds the quarantines of a stored note. It fails with MalformedMessage.
func (s *Service) ApplyNote(note string) error {
	if note == "" {
		return nil
	}
	var entries []noteEntry
	if err := json.Unmarshal([]byte(note), &entries); err != nil {
		return &Error{Op: "note", Kind: MalformedMessage, Err: err}
	}
	now, wall := s.Timer.Now(), s.wallClock()
	timeOf := func(unix int64) time.Time { return now.Add(time.Unix(unix, 0).Sub(wall)) }
	var facts pendingFacts
	for _, e := range entries {
		if !isQuarantine(e.Service, e.Parts, timeOf(e.Until).Sub(now)) {
			continue // No VM stores such a quarantine.
		}
		facts.quarantines = append(facts.quarantines, afquarantine.Quarantine{
			Service: e.Service, Parts: e.Parts, Since: timeOf(e.Since), Until: timeOf(e.Until), Renewals: e.Renewals,
		})
	}
	s.learn(facts)
	return nil
}
