package afstandin

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"
)

// Faults are the faults of the platform stand-in that are in force.
type Faults struct {
	// Down closes each connection without an answer, open watches included.
	Down bool `json:"down"`
	// Slow delays each answer, in milliseconds.
	Slow int64 `json:"slow"`
	// Lose drops the answers of writes after they took effect.
	Lose bool `json:"lose"`
	// Silent stops the connections that are open at the moment when it is set. New connections work.
	Silent bool `json:"silent"`
}

type faultState struct {
	Faults
	seen map[string]bool // seen holds the remote addresses and whether their connection is silent.
}

// Counts are the calls of the last full second and in total.
type Counts struct {
	// Reads and Writes are calls per second. A watch counts as one read when it opens.
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
	// Watches is the number of open watches.
	Watches int64 `json:"watches"`
	// Kinds are the reads and writes of the last full second by method and kind.
	Kinds map[string]int64 `json:"kinds,omitempty"`
	// Total counts all calls since the start.
	Total int64 `json:"total"`
}

type counters struct {
	second        int64
	reads, writes int64
	kinds         map[string]int64
	last          Counts
	watches       int64
	total         int64
}

type countKind int

const (
	countRead countKind = iota
	countWrite
	countWatch
	countWatchEnd
)

// SetFaults replaces the faults in force.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f.Silent && !p.faults.Silent {
		for remote := range p.faults.seen {
			p.faults.seen[remote] = true
		}
	}
	p.faults.Faults = f
	p.wake()
}

// admit applies the faults that precede a call. It reports whether the answer of a write is to be lost, and
// false if the call is not carried out.
func (p *Platform) admit(r *http.Request) (lose, ok bool) {
	p.mu.Lock()
	if p.faults.seen == nil {
		p.faults.seen = make(map[string]bool)
	}
	silent := p.faults.seen[r.RemoteAddr]
	p.faults.seen[r.RemoteAddr] = silent
	f := p.faults.Faults
	p.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return false, false
	}
	if f.Slow > 0 {
		t := time.NewTimer(time.Duration(f.Slow) * time.Millisecond)
		defer t.Stop()
		select {
		case <-t.C:
		case <-r.Context().Done():
			return false, false
		}
	}
	return f.Lose, !f.Down
}

// silenced reports whether the request's connection is silent.
func (p *Platform) silenced(r *http.Request) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults.seen[r.RemoteAddr]
}

// cutOff reports whether open streams are to be broken.
func (p *Platform) cutOff(*http.Request) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults.Down
}

func (p *Platform) serveFaults(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	f := p.faults.Faults
	p.mu.Unlock()
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		writeStatus(w, http.StatusBadRequest, err.Error())
		return
	}
	p.SetFaults(f)
	writeJSON(w, http.StatusOK, f)
}

func (p *Platform) count(kind countKind, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.roll()
	c := &p.counters
	if kind == countRead || kind == countWrite {
		object, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, platformPrefix), "/")
		c.kinds[r.Method+" "+object]++
	}
	switch kind {
	case countRead:
		c.reads++
		c.total++
	case countWrite:
		c.writes++
		c.total++
	case countWatch:
		c.watches++
	case countWatchEnd:
		c.watches--
		if r.Context().Err() != nil {
			// The connection is closed; its address may be used again.
			delete(p.faults.seen, r.RemoteAddr)
		}
	}
}

// roll starts a new second of the counters if it is due. The caller holds the mutex.
func (p *Platform) roll() {
	second := time.Now().Unix()
	c := &p.counters
	if second == c.second {
		return
	}
	c.last = Counts{}
	if second == c.second+1 {
		c.last = Counts{Reads: c.reads, Writes: c.writes, Kinds: c.kinds}
	}
	c.second, c.reads, c.writes, c.kinds = second, 0, 0, make(map[string]int64)
}

// Counts returns the calls of the last full second, the open watches and the total.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.roll()
	out := p.counters.last
	out.Watches, out.Total = p.counters.watches, p.counters.total
	return out
}

func (p *Platform) serveCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, p.Counts())
}
