// Package afquarantine decides which parts of prompts crash the endpoints that begin to answer them, so that no further
// request with such a part is sent.
//
// The decision rests on two kinds of evidence: the requests that were in progress at an endpoint when it crashed, and the
// requests that were answered. A part is blamed only for crashes since it was last part of an answered request.
package afquarantine

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxParts is the largest number of parts of one prompt that are considered.
	MaxParts = 32
	// maxSuspects is the largest number of suspects that are kept for one crash.
	maxSuspects = 8
)

// Crash is the crash of one endpoint, with the requests that may have caused it. Endpoint and StartUnixMs identify it.
type Crash struct {
	Service, Endpoint string
	// StartUnixMs is the start of the endpoint that crashed, in Unix milliseconds by its own clock.
	StartUnixMs int64
	// At is when the crash was first noticed.
	At time.Time
	// Suspects holds at most maxSuspects requests: those whose answers had begun, or all if there are none. Those without an
	// event of their answers come first.
	Suspects []Suspect
}

// Suspect is a request that was in progress when its endpoint crashed.
type Suspect struct {
	// Parts are the IDs of the parts of the prompt, at most MaxParts.
	Parts []string
	// HasBegun means that the endpoint had begun to answer. Other suspects are blamed only if no answer had begun.
	HasBegun bool
	// HasEvent means that an event of the answer had arrived. An endpoint that crashes as it begins to answer rarely sends one.
	HasEvent bool
}

// NewSuspect returns a suspect with at most MaxParts parts.
func NewSuspect(parts []string, hasBegun bool) Suspect {
	return Suspect{Parts: parts[:min(len(parts), MaxParts)], HasBegun: hasBegun}
}

// WithFirstEvent returns the suspect with an event of its answer.
func (s Suspect) WithFirstEvent() Suspect {
	s.HasEvent = true
	return s
}

// rank orders suspects, the most suspicious first.
func (s Suspect) rank() int {
	switch {
	case !s.HasBegun:
		return 2
	case s.HasEvent:
		return 1
	}
	return 0
}

// compareSuspects orders the suspects of the crash by rank, and then by a hash, so that all VMs keep the same ones, and the same
// part is not left out at each crash.
func (c Crash) compareSuspects(a, b Suspect) int {
	hash := func(s Suspect) uint64 { return xxhash.Sum64String(c.Endpoint + "\x00" + strings.Join(s.Parts, "\x00")) }
	return cmp.Or(cmp.Compare(a.rank(), b.rank()), cmp.Compare(hash(a), hash(b)), slices.Compare(a.Parts, b.Parts))
}

// holds reports whether the suspect's prompt contains all the parts.
func (s Suspect) holds(parts []string) bool { return containsAll(s.Parts, parts) }

// containsAll reports whether list contains each of the items.
func containsAll(list, items []string) bool {
	for _, item := range items {
		if !slices.Contains(list, item) {
			return false
		}
	}
	return true
}

// isSame reports whether both describe the same crash.
func (c Crash) isSame(other Crash) bool {
	return c.Service == other.Service && c.Endpoint == other.Endpoint && c.StartUnixMs == other.StartUnixMs
}

// WithSuspects returns the crash with the suspects of another description of it.
func (c Crash) WithSuspects(other Crash) Crash {
	merged, _ := c.withSuspects(other)
	return merged
}

// withSuspects is WithSuspects. It also reports whether that added any.
func (c Crash) withSuspects(other Crash) (Crash, bool) {
	merged := slices.Clone(c.Suspects)
	for _, s := range other.Suspects {
		i := slices.IndexFunc(merged, func(known Suspect) bool { return slices.Equal(known.Parts, s.Parts) })
		switch {
		case i < 0:
			s.Parts = s.Parts[:min(len(s.Parts), MaxParts)]
			merged = append(merged, s)
		case s.rank() < merged[i].rank():
			merged[i].HasBegun, merged[i].HasEvent = s.HasBegun, s.HasEvent
		}
	}
	if slices.ContainsFunc(merged, func(s Suspect) bool { return s.HasBegun }) {
		merged = slices.DeleteFunc(merged, func(s Suspect) bool { return !s.HasBegun })
	}
	slices.SortFunc(merged, c.compareSuspects)
	merged = merged[:min(len(merged), maxSuspects)]
	if slices.EqualFunc(merged, c.Suspects, func(a, b Suspect) bool { return c.compareSuspects(a, b) == 0 }) {
		return c, false
	}
	c.Suspects = merged
	return c, true
}

// weight returns the weight of the crash as evidence.
func (c Crash) weight() float64 {
	if len(c.Suspects) > 0 && c.Suspects[0].HasBegun {
		return 1
	}
	return unbegunWeight
}

// Quarantine keeps requests of one service whose prompts contain all of its parts from being sent.
type Quarantine struct {
	Service string
	// Parts are sorted and not empty. More than one part means that the evidence does not tell them apart.
	Parts []string
	// Since is the time of the first crash that the parts are blamed for. An answered request with a part clears that part if
	// it was answered later.
	Since time.Time
	// Until is when requests are sent again. A further crash then renews the quarantine for longer.
	Until time.Time
	// Renewals counts how often the quarantine was renewed.
	Renewals int
}

// key identifies a quarantine.
func (q Quarantine) key() string { return q.Service + "\x00" + strings.Join(q.Parts, "\x00") }

// explains reports whether one of the suspects of a crash contains all parts of the quarantine.
func (q Quarantine) explains(c Crash) bool {
	return q.Service == c.Service && slices.ContainsFunc(c.Suspects, func(s Suspect) bool { return s.holds(q.Parts) })
}
