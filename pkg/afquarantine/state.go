package afquarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// crashMemory is how long a crash counts as evidence. A part may be requested a few times an hour only.
	crashMemory = time.Hour
	// maxCrashes, maxQuarantines and maxAnswers bound what a State holds. The oldest are dropped first.
	maxCrashes     = 64
	maxQuarantines = 64
	maxAnswers     = 256
	// minQuarantine is how long the first quarantine of a part lasts. Each renewal lasts twice as long, up to maxQuarantine.
	minQuarantine = 10 * time.Minute
	maxQuarantine = 8 * time.Hour
	// probation is how long after its end a quarantine is renewed by a single crash.
	probation = time.Hour
)

// PartKey identifies a part of prompts at the endpoints of one service.
type PartKey struct{ Service, Part string }

// State is the evidence of all VMs as one VM knows it, and the quarantines that follow from it. It is immutable; the With
// methods return changed copies and whether anything changed.
type State struct {
	// crashes are sorted by time.
	crashes []Crash
	// answers holds when the latest answered request with a part was answered, for parts that are suspected.
	answers map[PartKey]time.Time
	// quarantines contain no two of which one contains all parts of the other.
	quarantines []Quarantine
}

// Crashes returns the known crashes by time. The caller must not change them.
func (s State) Crashes() []Crash { return s.crashes }

// Quarantines returns the known quarantines, including ended ones on probation. The caller must not change them.
func (s State) Quarantines() []Quarantine { return s.quarantines }

// Answers returns when requests with suspected parts were last answered. The caller must not change the map.
func (s State) Answers() map[PartKey]time.Time { return s.answers }

// IsEmpty reports whether nothing is known.
func (s State) IsEmpty() bool { return len(s.crashes) == 0 && len(s.quarantines) == 0 }

// Match returns the quarantine that keeps a request with the parts from being sent.
func (s State) Match(service string, parts []string, now time.Time) (Quarantine, bool) {
	for _, q := range s.quarantines {
		if q.Service == service && now.Before(q.Until) && containsAll(parts, q.Parts) {
			return q, true
		}
	}
	return Quarantine{}, false
}

// WithCrash returns the state with a crash, merged with what is known of it. It returns the merged crash. A crash that is
// older than maxCrashes others changes nothing.
func (s State) WithCrash(c Crash) (State, Crash, bool) {
	if i := slices.IndexFunc(s.crashes, c.isSame); i >= 0 {
		merged, changed := s.crashes[i].withSuspects(c)
		if changed {
			s.crashes = slices.Clone(s.crashes)
			s.crashes[i] = merged
		}
		return s, merged, changed
	}
	merged, _ := Crash{Service: c.Service, Endpoint: c.Endpoint, StartUnixMs: c.StartUnixMs, At: c.At}.withSuspects(c)
	crashes := append(slices.Clone(s.crashes), merged)
	slices.SortStableFunc(crashes, func(a, b Crash) int { return a.At.Compare(b.At) })
	if len(crashes) > maxCrashes {
		if crashes[0].isSame(merged) {
			return s, merged, false
		}
		crashes = crashes[1:]
	}
	s.crashes = crashes
	return s, merged, true
}

// WithAnswer returns the state after a request with the part was answered. It clears the part of suspicion in earlier
// crashes, and removes it from the quarantines that rest on them.
func (s State) WithAnswer(key PartKey, at time.Time) (State, bool) {
	const minStep = time.Second // Answers in close succession are one fact.
	if known, ok := s.answers[key]; ok && at.Sub(known) < minStep {
		return s, false
	}
	s.answers = maps.Clone(s.answers)
	if s.answers == nil {
		s.answers = make(map[PartKey]time.Time)
	}
	s.answers[key] = at
	if len(s.answers) > maxAnswers {
		oldest := key
		for k, t := range s.answers {
			if t.Before(s.answers[oldest]) {
				oldest = k
			}
		}
		delete(s.answers, oldest)
	}
	cleared := make([]Quarantine, 0, len(s.quarantines))
	for _, q := range s.quarantines {
		if q = s.withoutAnswered(q); len(q.Parts) > 0 {
			cleared = append(cleared, q)
		}
	}
	s.quarantines = reduce(cleared)
	return s, true
}

// withoutAnswered returns the quarantine without the parts that were answered since its first crash.
func (s State) withoutAnswered(q Quarantine) Quarantine {
	q.Parts = slices.DeleteFunc(slices.Clone(q.Parts), func(part string) bool {
		at, ok := s.answers[PartKey{q.Service, part}]
		return ok && at.After(q.Since)
	})
	return q
}

// WithQuarantine returns the state with a quarantine that another VM decided on or that was stored.
func (s State) WithQuarantine(q Quarantine) (State, bool) {
	if q = s.withoutAnswered(q); len(q.Parts) == 0 {
		return s, false
	}
	for i, known := range s.quarantines {
		if known.Service != q.Service || !containsAll(q.Parts, known.Parts) {
			continue
		}
		if len(known.Parts) < len(q.Parts) || q.Renewals <= known.Renewals {
			return s, false
		}
		s.quarantines = slices.Clone(s.quarantines)
		s.quarantines[i] = q
		return s, true
	}
	s.quarantines = reduce(append(slices.Clone(s.quarantines), q))
	return s, true
}

// reduce returns the quarantines without those that contain all parts of another one, and without the oldest if there are
// too many.
func reduce(quarantines []Quarantine) []Quarantine {
	slices.SortStableFunc(quarantines, func(a, b Quarantine) int {
		return cmp.Or(cmp.Compare(len(a.Parts), len(b.Parts)), cmp.Compare(b.Renewals, a.Renewals))
	})
	var out []Quarantine
	for _, q := range quarantines {
		if !slices.ContainsFunc(out, func(kept Quarantine) bool { return kept.Service == q.Service && containsAll(q.Parts, kept.Parts) }) {
			out = append(out, q)
		}
	}
	if len(out) > maxQuarantines {
		slices.SortStableFunc(out, func(a, b Quarantine) int { return b.Until.Compare(a.Until) })
		out = out[:maxQuarantines]
	}
	return out
}

// WithoutExpired returns the state without crashes that no longer count, without quarantines whose probation has ended, and
// without answers that neither needs.
func (s State) WithoutExpired(now time.Time) State {
	isOldCrash := func(c Crash) bool { return now.Sub(c.At) > crashMemory }
	isOver := func(q Quarantine) bool { return now.Sub(q.Until) > probation }
	if slices.ContainsFunc(s.crashes, isOldCrash) {
		s.crashes = slices.DeleteFunc(slices.Clone(s.crashes), isOldCrash)
	}
	if slices.ContainsFunc(s.quarantines, isOver) {
		s.quarantines = slices.DeleteFunc(slices.Clone(s.quarantines), isOver)
	}
	if s.IsEmpty() {
		s.answers = nil
	}
	return s
}

// Digest returns a hash of the crashes and quarantines that does not depend on times. An empty state has digest 0.
func (s State) Digest() uint64 {
	sum := uint64(0)
	for _, q := range s.quarantines {
		sum += xxhash.Sum64String(q.key() + string(rune(q.Renewals)))
	}
	for _, c := range s.crashes {
		h := xxhash.New()
		_, _ = h.WriteString(c.Service + "\x00" + c.Endpoint + "\x00" + time.UnixMilli(c.StartUnixMs).UTC().String()) // A hash never fails.
		for _, suspect := range c.Suspects {
			for _, part := range suspect.Parts {
				_, _ = h.WriteString("\x00" + part)
			}
		}
		sum += h.Sum64()
	}
	return sum
}
