package afstandin

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"
)

// PlatformFaults are the faults of the platform stand-in that are in force.
type PlatformFaults struct {
	// IsDown closes each connection without an answer, open watches included.
	IsDown bool `json:"down"`
	// DelayMillis delays each answer, in milliseconds.
	DelayMillis int64 `json:"slow"`
	// LosesWriteAnswers drops the answers of writes after they took effect.
	LosesWriteAnswers bool `json:"lose"`
	// SilencesOpenConnections stops the connections that are open at the moment when it is set. New connections work.
	SilencesOpenConnections bool `json:"silent"`
}

type faultState struct {
	PlatformFaults
	seen map[string]bool // seen holds the remote addresses and whether their connection is silent.
}

// PlatformCounts are the calls of the last full second and in total.
type PlatformCounts struct {
	// ReadsPerSecond and WritesPerSecond are calls per second. A watch counts as one read when it opens.
	ReadsPerSecond  int64 `json:"reads"`
	WritesPerSecond int64 `json:"writes"`
	// OpenWatches is the number of open watches.
	OpenWatches int64 `json:"watches"`
	// CallsByKind are the reads and writes of the last full second by method and kind.
	CallsByKind map[string]int64 `json:"kinds,omitempty"`
	// TotalCalls counts all calls since the start.
	TotalCalls int64 `json:"total"`
}

type counters struct {
	second        int64
	reads, writes int64
	kinds         map[string]int64
	last          PlatformCounts
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
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f.SilencesOpenConnections && !p.faults.SilencesOpenConnections {
		for remote := range p.faults.seen {
			p.faults.seen[remote] = true
		}
	}
	p.faults.PlatformFaults = f
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
	f := p.faults.PlatformFaults
	p.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return false, false
	}
	if f.DelayMillis > 0 {
		t := time.NewTimer(time.Duration(f.DelayMillis) * time.Millisecond)
		defer t.Stop()
		select {
		case <-t.C:
		case <-r.Context().Done():
			return false, false
		}
	}
	return f.LosesWriteAnswers, !f.IsDown
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
	return p.faults.IsDown
}

func (p *Platform) serveFaults(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	f := p.faults.PlatformFaults
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
	c.last = PlatformCounts{}
	if second == c.second+1 {
		c.last = PlatformCounts{ReadsPerSecond: c.reads, WritesPerSecond: c.writes, CallsByKind: c.kinds}
	}
	c.second, c.reads, c.writes, c.kinds = second, 0, 0, make(map[string]int64)
}

// Counts returns the calls of the last full second, the open watches and the total.
func (p *Platform) Counts() PlatformCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.roll()
	out := p.counters.last
	out.OpenWatches, out.TotalCalls = p.counters.watches, p.counters.total
	return out
}

func (p *Platform) serveCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, p.Counts())
}
