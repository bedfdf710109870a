package afquarantine

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxGenerationParts is the number of parts after which a History starts a new generation.
const maxGenerationParts = 4096

// History remembers which parts were in answered requests on this VM. It keeps at most two generations of
// maxGenerationParts parts. It is safe for concurrent use, and the zero value is ready to use.
type History struct {
	mu sync.Mutex
	// current and previous map hashes of keys to when a request with the part was last answered.
	current, previous map[uint64]time.Time
}

// hash returns the hash of a key.
func (k PartKey) hash() uint64 { return xxhash.Sum64String(k.Service + "\x00" + k.Part) }

// RecordAnswer records that a request with the parts was answered.
func (h *History) RecordAnswer(service string, parts []string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.current) >= maxGenerationParts {
		h.previous, h.current = h.current, nil
	}
	if h.current == nil {
		h.current = make(map[uint64]time.Time)
	}
	for _, part := range parts[:min(len(parts), MaxParts)] {
		h.current[PartKey{service, part}.hash()] = at
	}
}

// LastAnswer returns when a request with the part was last answered.
func (h *History) LastAnswer(key PartKey) (time.Time, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if at, ok := h.current[key.hash()]; ok {
		return at, true
	}
	at, ok := h.previous[key.hash()]
	return at, ok
}
