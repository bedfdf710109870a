package afdispatch

import (
	"encoding/binary"
	"log/slog"
	"time"

	"github.com/cespare/xxhash/v2"

	"arbutusfork.example/arbutusfork/pkg/afplacement"
)

const (
	// remotePenalty is the score of another data centre: an endpoint here is preferred until it is 20 % fuller.
	remotePenalty = 0.2
	// affinityBonus is the score of a cached prefix: its endpoint is preferred until it is 25 % fuller.
	affinityBonus = 0.25
	// prefixBytes is the length of the part of a prompt that selects an endpoint. System prompts share more
	// than this many bytes and differ within them.
	prefixBytes = 256
)

// choice is the outcome of one routing decision.
type choice struct {
	replica afplacement.Replica
	score   float64
	affine  bool
	others  alternatives
}

// alternative is a candidate that was not chosen.
type alternative struct {
	Endpoint string
	Score    float64
	Running  int
}

type alternatives []alternative

// LogValue returns the alternatives as a group.
func (a alternatives) LogValue() slog.Value {
	attrs := make([]slog.Attr, len(a))
	for i, x := range a {
		attrs[i] = slog.Float64(x.Endpoint, x.Score)
	}
	return slog.GroupValue(attrs...)
}

// HashPrefix returns the hash of the first bytes of a prompt, which is zero only for an empty one.
func HashPrefix(prompt []byte) uint64 {
	if len(prompt) == 0 {
		return 0
	}
	return xxhash.Sum64(prompt[:min(len(prompt), prefixBytes)]) | 1
}

// usable reports whether the replica's endpoint may get new work now.
func (s *Service) usable(r afplacement.Replica, now time.Time) bool {
	e := s.state.endpoints[r.Endpoint]
	if e == nil {
		return r.Slots > 0
	}
	return e.left.IsZero() && e.running < r.Slots && !e.until.After(now)
}

func (s *Service) open(class string, now time.Time) bool {
	for _, r := range s.present(class) {
		if s.usable(r, now) {
			return true
		}
	}
	return false
}

// choose picks the better of two candidates: the one that the prompt's prefix hashes to and a random one. Two
// candidates keep VMs whose reports lag from all choosing the same endpoint.
func (s *Service) choose(r Request, now time.Time) choice {
	var free []afplacement.Replica
	for _, c := range s.present(r.class()) {
		if s.usable(c, now) {
			free = append(free, c)
		}
	}
	home := s.home(free, r.PrefixHash)
	first, second := home, s.RandIntN(len(free))
	if home < 0 {
		first = s.RandIntN(len(free))
	}
	if second == first && len(free) > 1 {
		second = (second + 1 + s.RandIntN(len(free)-1)) % len(free)
	}
	best := first
	if s.score(free[second], second == home) < s.score(free[first], first == home) {
		best = second
	}
	out := choice{replica: free[best], score: s.score(free[best], best == home), affine: best == home}
	for i, c := range free {
		if i != best {
			out.others = append(out.others, alternative{Endpoint: c.Endpoint, Score: s.score(c, i == home), Running: c.RunningRequests})
		}
	}
	return out
}

// home returns the candidate with the highest hash of prefix and endpoint, or -1 without a prefix.
func (s *Service) home(free []afplacement.Replica, prefix uint64) int {
	best, top := -1, uint64(0)
	if prefix == 0 {
		return best
	}
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], prefix)
	for i, c := range free {
		d := xxhash.New()
		_, _ = d.Write(b[:])
		_, _ = d.WriteString(c.Endpoint)
		if h := d.Sum64(); best < 0 || h > top {
			best, top = i, h
		}
	}
	return best
}

// score returns the load of a candidate; lower is better. The endpoint's own report lags, so the larger of it
// and this VM's count is used.
func (s *Service) score(r afplacement.Replica, home bool) float64 {
	own := 0
	if e := s.state.endpoints[r.Endpoint]; e != nil {
		own = e.running
	}
	score := float64(max(own, r.RunningRequests)) / float64(max(r.Slots, 1))
	if s.Centre != "" && r.Centre != s.Centre {
		score += remotePenalty
	}
	if home {
		score -= affinityBonus
	}
	return score
}
