package afplatform

import (
	"context"
	"sync"
	"time"
)

// room is what an endpoint with a number of slots has taken in.
type room struct {
	mu sync.Mutex
	// running requests hold a slot, waiting ones queue for one.
	running, waiting int
	freed            chan struct{} // freed is closed and replaced when a slot becomes free.
	silentUntil      time.Time
}

// BeginSilence makes the endpoint send nothing for a time, neither heads nor events nor reports, and then go on.
func (e *Endpoint) BeginSilence(d time.Duration) {
	e.room.mu.Lock()
	defer e.room.mu.Unlock()
	e.room.silentUntil = time.Now().Add(d)
}

// awaitSpeech waits until the endpoint is not silent. It returns false if ctx ends before.
func (e *Endpoint) awaitSpeech(ctx context.Context) bool {
	for {
		e.room.mu.Lock()
		left := time.Until(e.room.silentUntil)
		e.room.mu.Unlock()
		if left <= 0 {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(left):
		}
	}
}

// enter takes a slot, and waits for one if the queue has room. IsFull tells that it has none. Leave must be called if ok.
func (e *Endpoint) enter(ctx context.Context) (leave func(), ok, isFull bool) {
	r := &e.room
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.freed == nil {
		r.freed = make(chan struct{})
	}
	leave = func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.running--
		close(r.freed)
		r.freed = make(chan struct{})
	}
	if e.Slots > 0 && r.running >= e.Slots && r.waiting >= e.QueueLength {
		return nil, false, true
	}
	for e.Slots > 0 && r.running >= e.Slots {
		freed := r.freed
		r.waiting++
		r.mu.Unlock()
		select {
		case <-freed:
		case <-ctx.Done():
		}
		r.mu.Lock()
		r.waiting--
		if ctx.Err() != nil {
			return nil, false, false
		}
	}
	r.running++
	return leave, true, false
}

// load returns the numbers that the endpoint tells. An endpoint without a number of slots tells no load, and 64 slots.
func (e *Endpoint) load() (running, waiting, slots int) {
	if e.Slots == 0 || e.HidesLoad {
		return 0, 0, 64
	}
	e.room.mu.Lock()
	defer e.room.mu.Unlock()
	return e.room.running, e.room.waiting, e.Slots
}
