package afstandin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// WeightStore is a stand-in for the weight store. Its fields are set before Run.
type WeightStore struct {
	// Address is where Run listens. Listener takes its place if it is set.
	Address  string
	Listener net.Listener
	// LoadsPerSecond is the number of loads that may start per second. Zero means unlimited.
	LoadsPerSecond float64
	// FullSpeedLoads is the number of loads that run at once at full speed. Zero means unlimited.
	FullSpeedLoads int
	// Checkpoints holds the checkpoints by name.
	Checkpoints map[string]Checkpoint

	mu       sync.Mutex
	slow     float64
	loads    int
	adapters int
	tokens   float64
	last     time.Time
	counts   WeightStoreCounts
}

// WeightStoreCounts is the answer of GET /counts.
type WeightStoreCounts struct {
	Loads        int64 `json:"loads"`
	AdapterLoads int64 `json:"adapters"`
	RefusedLoads int64 `json:"refused"`
	// PeakParallelLoads is the high-water mark of loads at once.
	PeakParallelLoads int `json:"parallel"`
}

const (
	// adapterParallel is the number of adapter loads over all runners that run at full speed.
	adapterParallel = 32
	adapterBase     = 5 * time.Millisecond
	adapterSpread   = 10
	// loadStep is how often a running load takes the current number of loads into account.
	loadStep = 20 * time.Millisecond
)

// Run serves until ctx ends.
func (s *WeightStore) Run(ctx context.Context) error {
	l, err := listen(s.Listener, s.Address)
	if err != nil {
		return err
	}
	return serveHTTP(ctx, l, s.Handler(), nil)
}

// SetSlowdown makes each load take this many times as long. Zero means full speed.
func (s *WeightStore) SetSlowdown(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = factor
}

// Counts returns what the store has counted.
func (s *WeightStore) Counts() WeightStoreCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Handler returns the store's HTTP interface.
func (s *WeightStore) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /checkpoints/{name}", s.describe)
	mux.HandleFunc("POST /checkpoints/{name}/fetch", s.fetch)
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, s.Counts()) })
	mux.HandleFunc("POST /faults", func(w http.ResponseWriter, r *http.Request) {
		var f struct {
			Slow float64 `json:"slow"`
		}
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			replyError(w, http.StatusBadRequest, "bad_request", err.Error())
			return
		}
		s.SetSlowdown(f.Slow)
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

func (s *WeightStore) describe(w http.ResponseWriter, r *http.Request) {
	c, ok := s.Checkpoints[r.PathValue("name")]
	if !ok {
		replyError(w, http.StatusNotFound, "not_found", "unknown checkpoint")
		return
	}
	reply(w, http.StatusOK, c)
}

func (s *WeightStore) fetch(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	c, ok := s.Checkpoints[name]
	if !ok {
		replyError(w, http.StatusNotFound, "not_found", "unknown checkpoint")
		return
	}
	adapter := strings.Contains(name, ":")
	if !s.start(adapter, time.Now()) {
		w.Header().Set("Retry-After", "1")
		replyError(w, http.StatusTooManyRequests, "rate", "too many loads")
		return
	}
	defer s.end(adapter)
	work := time.Duration(c.RemoteLoadMillis) * time.Millisecond
	if adapter {
		work = adapterTime(name)
	}
	for work > 0 {
		step := min(work, loadStep)
		if !wait(r, time.Duration(float64(step)*s.factor(adapter))) {
			return
		}
		work -= step
	}
	reply(w, http.StatusOK, map[string]string{"checkpoint": name})
}

// start admits a load within the rate. Adapter loads are not limited by it.
func (s *WeightStore) start(adapter bool, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if adapter {
		s.adapters++
		s.counts.AdapterLoads++
		return true
	}
	if s.LoadsPerSecond > 0 {
		burst := max(1, s.LoadsPerSecond)
		if s.last.IsZero() {
			s.tokens = burst
		} else {
			s.tokens = min(burst, s.tokens+now.Sub(s.last).Seconds()*s.LoadsPerSecond)
		}
		s.last = now
		if s.tokens < 1 {
			s.counts.RefusedLoads++
			return false
		}
		s.tokens--
	}
	s.loads++
	s.counts.Loads++
	s.counts.PeakParallelLoads = max(s.counts.PeakParallelLoads, s.loads)
	return true
}

func (s *WeightStore) end(adapter bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if adapter {
		s.adapters--
	} else {
		s.loads--
	}
}

// factor returns how many times as long as at full speed a load takes at the moment.
func (s *WeightStore) factor(adapter bool) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := max(s.slow, 1)
	switch {
	case adapter && s.adapters > adapterParallel:
		f *= float64(s.adapters) / adapterParallel
	case !adapter && s.FullSpeedLoads > 0 && s.loads > s.FullSpeedLoads:
		f *= float64(s.loads) / float64(s.FullSpeedLoads)
	}
	return f
}

// adapterTime spreads load times over 5 to 15 ms by name.
func adapterTime(name string) time.Duration {
	sum := 0
	for _, b := range []byte(name) {
		sum += int(b)
	}
	return adapterBase + time.Duration(sum%(adapterSpread+1))*time.Millisecond
}
