package afdispatch

import (
	"encoding/binary"
	"log/slog"
	"time"

	"github.com/cespare/xxhash/v2"

	"arbutusfork.example/arbutusfork/pkg/afplacement"
)

const (
	// remotePenalty is added to the score of an endpoint in another data centre: an endpoint in the own data centre is
	// preferred until its share of used slots is 20 points higher.
	remotePenalty = 0.2
	// affinityBonus is subtracted from the score of the endpoint that the prompt's prefix hashes to, which probably has
	// the prefix cached: it is preferred until its share of used slots is 25 points higher.
	affinityBonus = 0.25
	// prefixBytes is the length of the prefix of a prompt that is hashed. Prompts with the same system prompt are equal
	// for longer than this, and different system prompts differ within it.
	prefixBytes = 256
)

// choice is the result of one routing decision.
type choice struct {
	replica afplacement.Replica
	score   float64
	// hasPrefixAffinity means that the prompt's prefix hashes to the chosen replica.
	hasPrefixAffinity bool
	alternatives      alternatives
}

// alternative is a candidate replica that was not chosen.
type alternative struct {
	Endpoint string
	Score    float64
	Running  int
}

type alternatives []alternative

// LogValue returns the alternatives as a group of scores by endpoint.
func (a alternatives) LogValue() slog.Value {
	attrs := make([]slog.Attr, len(a))
	for i, x := range a {
		attrs[i] = slog.Float64(x.Endpoint, x.Score)
	}
	return slog.GroupValue(attrs...)
}

// HashPrefix returns the hash of the first bytes of a prompt. It returns zero only for an empty prompt.
func HashPrefix(prompt []byte) uint64 {
	if len(prompt) == 0 {
		return 0
	}
	return xxhash.Sum64(prompt[:min(len(prompt), prefixBytes)]) | 1
}

// isUsable reports whether the replica's endpoint has a free slot and is neither draining nor in backoff.
func (s *Service) isUsable(r afplacement.Replica, now time.Time) bool {
	e := s.state.endpoints[r.Endpoint]
	if e == nil {
		return r.Slots > 0
	}
	return e.drainingAt.IsZero() && e.runningCount < r.Slots && !e.backoffUntil.After(now)
}

// hasUsableReplica reports whether a request of the class could be sent now.
func (s *Service) hasUsableReplica(class string, now time.Time) bool {
	for _, r := range s.availableReplicas(class) {
		if s.isUsable(r, now) {
			return true
		}
	}
	return false
}

// chooseReplica returns the replica with the lower score of two candidates: the one that the prompt's prefix hashes to, or
// a random one if there is no prefix, and another random one. VMs choose by reports that lag. With all replicas as
// candidates, they would all choose the same endpoint.
func (s *Service) chooseReplica(r Request, now time.Time) choice {
	var candidates []afplacement.Replica
	for _, c := range s.availableReplicas(r.queueClass()) {
		if s.isUsable(c, now) {
			candidates = append(candidates, c)
		}
	}
	homeIndex := s.rendezvousIndex(candidates, r.PrefixHash)
	first, second := homeIndex, s.RandIntN(len(candidates))
	if homeIndex < 0 {
		first = s.RandIntN(len(candidates))
	}
	if second == first && len(candidates) > 1 {
		second = (second + 1 + s.RandIntN(len(candidates)-1)) % len(candidates)
	}
	best := first
	if s.loadScore(candidates[second], second == homeIndex) < s.loadScore(candidates[first], first == homeIndex) {
		best = second
	}
	out := choice{replica: candidates[best], score: s.loadScore(candidates[best], best == homeIndex), hasPrefixAffinity: best == homeIndex}
	for i, c := range candidates {
		if i != best {
			out.alternatives = append(out.alternatives, alternative{Endpoint: c.Endpoint, Score: s.loadScore(c, i == homeIndex), Running: c.RunningRequests})
		}
	}
	return out
}

// rendezvousIndex returns the index of the candidate with the highest hash of prefix and endpoint (rendezvous hashing),
// or -1 without a prefix.
func (s *Service) rendezvousIndex(candidates []afplacement.Replica, prefix uint64) int {
	best, highest := -1, uint64(0)
	if prefix == 0 {
		return best
	}
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], prefix)
	for i, c := range candidates {
		d := xxhash.New()
		_, _ = d.Write(b[:])
		_, _ = d.WriteString(c.Endpoint)
		if h := d.Sum64(); best < 0 || h > highest {
			best, highest = i, h
		}
	}
	return best
}

// loadScore returns the share of the candidate's slots that are in use, adjusted by remotePenalty and affinityBonus. Lower
// is better. The count that the endpoint reports lags, so the larger of it and this VM's own count is used.
func (s *Service) loadScore(r afplacement.Replica, isHome bool) float64 {
	ownRunning := 0
	if e := s.state.endpoints[r.Endpoint]; e != nil {
		ownRunning = e.runningCount
	}
	score := float64(max(ownRunning, r.RunningRequests)) / float64(max(r.Slots, 1))
	if s.Centre != "" && r.Centre != s.Centre {
		score += remotePenalty
	}
	if isHome {
		score -= affinityBonus
	}
	return score
}
