package afquarantine

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// minScore is the number of crashes for which a part must be blamed. Crashes at which no answer had begun count half,
	// since then every waiting request is suspected.
	minScore      = 3.0
	unbegunWeight = 0.5
	// minAnsweredScore and minAnsweredSpan are the number of crashes and the time over which they must be spread for a part
	// that was in answered requests before: a part that many prompts share is in progress at every endpoint that crashes.
	minAnsweredScore = 4.0
	minAnsweredSpan  = 3 * time.Second
	// maxExplainedScore bounds the weight of crashes that a quarantine already explains, and maxRepeatedScore that of crashes
	// under repeats of one request, whose quarantine holds for that request only.
	maxExplainedScore = 1.0
	maxRepeatedScore  = 2.0
	// crashSpacing is the time within which several crashes count as one, since they probably have a common cause.
	crashSpacing = 50 * time.Millisecond
	// SettleDelay is the time after a crash before it counts, so that the suspects and the answers that other VMs know of arrive.
	SettleDelay = 300 * time.Millisecond
)

// accusation is the evidence against one part.
type accusation struct {
	key PartKey
	// wasAnswered means that a request with the part was answered before the blamed crashes.
	wasAnswered bool
	// explained and unexplained are the weights of the crashes that a quarantine explains, in force or ended, and of the others.
	explained, unexplained float64
	// explainedRequest is the last part of the prompts in the explained crashes, which belongs to one request or session.
	explainedRequest string
	// hasSeveralRequests means that the last parts in the explained crashes differ.
	hasSeveralRequests bool
	first, last        time.Time
	// lastCountedAt is the time of the latest crash that was more than crashSpacing after the one before.
	lastCountedAt time.Time
	// crashes is the number of crashes and suspects that of the blamed requests that contain the part.
	crashes, suspects int
	// common are the parts that all blamed requests with this part contain.
	common []string
}

// score returns the number of crashes that count against the part.
func (a accusation) score() float64 {
	if a.hasSeveralRequests {
		return a.unexplained + min(a.explained, maxExplainedScore)
	}
	return a.unexplained + min(a.explained, maxRepeatedScore)
}

// withCrash returns the accusation with a crash under one or more requests that contain the part.
func (a accusation) withCrash(c Crash, isExplained bool) accusation {
	a.crashes++
	a.last = c.At
	if a.crashes > 1 && c.At.Sub(a.lastCountedAt) < crashSpacing {
		return a
	}
	a.lastCountedAt = c.At
	if isExplained {
		a.explained += c.weight()
	} else {
		a.unexplained += c.weight()
	}
	return a
}

// withSuspect returns the accusation with a request that contains the part. IsExplained means that the request contains all
// parts of a quarantine.
func (a accusation) withSuspect(suspect Suspect, isExplained bool) accusation {
	if a.suspects++; a.suspects == 1 {
		a.common = suspect.Parts
	}
	a.common = intersect(a.common, suspect.Parts)
	if isExplained {
		request := suspect.Parts[len(suspect.Parts)-1]
		a.hasSeveralRequests = a.hasSeveralRequests || a.explainedRequest != "" && a.explainedRequest != request
		a.explainedRequest = request
	}
	return a
}

// WithDecisions returns the state with the quarantines that follow from the evidence at a time, and the new or renewed ones.
func (s State) WithDecisions(now time.Time) (State, []Quarantine) {
	var decided []Quarantine
	s = s.WithoutExpired(now)
	for range maxQuarantines {
		q, ok := s.nextRenewal(now)
		if !ok {
			q, ok = s.nextQuarantine(now)
		}
		if !ok {
			break
		}
		s.quarantines = reduce(append(slices.DeleteFunc(slices.Clone(s.quarantines), func(known Quarantine) bool {
			return known.Service == q.Service && containsAll(known.Parts, q.Parts)
		}), q))
		decided = append(decided, q)
	}
	return s, decided
}

// nextRenewal returns an ended quarantine, renewed because its parts have crashed another endpoint.
func (s State) nextRenewal(now time.Time) (Quarantine, bool) {
	for _, q := range s.quarantines {
		if now.Before(q.Until) {
			continue
		}
		for _, c := range s.crashes {
			if c.weight() == 1 && c.At.After(q.Until) && q.explains(c) {
				q.Renewals++
				q.Until = now.Add(min(minQuarantine<<min(q.Renewals, 16), maxQuarantine))
				return q, true
			}
		}
	}
	return Quarantine{}, false
}

// nextQuarantine returns the quarantine of the parts against which the evidence is strongest, if it suffices.
func (s State) nextQuarantine(now time.Time) (Quarantine, bool) {
	best, found := accusation{}, false
	for _, a := range s.accusations(now) {
		if a.isSufficient() && (!found || a.isStronger(best)) {
			best, found = a, true
		}
	}
	if !found {
		return Quarantine{}, false
	}
	q := s.withoutAnswered(Quarantine{Service: best.key.Service, Parts: best.common, Since: best.first, Until: now.Add(minQuarantine)})
	slices.Sort(q.Parts)
	return q, true
}

// isSufficient reports whether the evidence suffices for a quarantine.
func (a accusation) isSufficient() bool {
	if a.unexplained == 0 || a.score() < minScore {
		return false
	}
	if a.wasAnswered {
		return a.score() >= minAnsweredScore && a.last.Sub(a.first) >= minAnsweredSpan
	}
	return true
}

// isStronger reports whether the accusation fits the crashes better than another one.
func (a accusation) isStronger(b accusation) bool {
	if a.wasAnswered != b.wasAnswered {
		return !a.wasAnswered
	}
	// A part that only the cause of each crash contains is in one request for each crash, a part that many prompts share in more.
	byExtraSuspects := cmp.Compare(a.suspects-a.crashes, b.suspects-b.crashes)
	byScore := cmp.Compare(b.score(), a.score())
	if a.wasAnswered {
		return cmp.Or(byExtraSuspects, byScore, strings.Compare(a.key.Part, b.key.Part)) < 0
	}
	// The parts that only repeats of one request share do not explain the crashes under other requests.
	return cmp.Or(byScore, byExtraSuspects, strings.Compare(a.key.Part, b.key.Part)) < 0
}

// accusations returns the evidence against each part, by service and part.
func (s State) accusations(now time.Time) map[PartKey]accusation {
	out := make(map[PartKey]accusation)
	for _, c := range s.crashes {
		if now.Sub(c.At) < SettleDelay {
			continue
		}
		explanation, isExplained := s.findExplanation(c)
		counted := make(map[PartKey]bool)
		for _, suspect := range c.Suspects {
			for _, part := range suspect.Parts {
				key := PartKey{c.Service, part}
				answeredAt, wasAnswered := s.answers[key]
				if wasAnswered && !c.At.After(answeredAt) {
					continue
				}
				a, isKnown := out[key]
				if !isKnown {
					a = accusation{key: key, wasAnswered: wasAnswered, first: c.At}
				}
				if !counted[key] {
					counted[key] = true
					a = a.withCrash(c, isExplained)
				}
				out[key] = a.withSuspect(suspect, isExplained && suspect.holds(explanation.Parts))
			}
		}
	}
	return out
}

// findExplanation returns a quarantine, in force or ended, that explains a crash before its end.
func (s State) findExplanation(c Crash) (Quarantine, bool) {
	for _, q := range s.quarantines {
		if c.At.Before(q.Until) && q.explains(c) {
			return q, true
		}
	}
	return Quarantine{}, false
}

// SuspectedParts returns the parts against which one more crash would suffice, and those of quarantines. Whether requests
// with them are answered decides about them.
func (s State) SuspectedParts(now time.Time) map[PartKey]bool {
	out := make(map[PartKey]bool)
	for key, a := range s.accusations(now.Add(SettleDelay)) {
		if a.unexplained > 0 && a.score() >= minScore-1 {
			out[key] = true
		}
	}
	for _, q := range s.quarantines {
		for _, part := range q.Parts {
			out[PartKey{q.Service, part}] = true
		}
	}
	return out
}

// intersect returns the items of a that b contains.
func intersect(a, b []string) []string {
	return slices.DeleteFunc(slices.Clone(a), func(item string) bool { return !slices.Contains(b, item) })
}
