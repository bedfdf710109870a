package afbooking

import (
	"slices"
	"sync"

	"arbutusfork.example/arbutusfork/pkg/afclaim"
)

// work is one operation that waits to be committed.
type work struct {
	op       afclaim.Op
	decision afclaim.Decision
	done     chan struct{} // done is closed when the decision holds. Nil for operations that nobody waits for.
	// doubt is the version that the last write with a lost answer was based on, or -1. That write may take effect as
	// long as the record has this version.
	doubt     int64
	doubtful  bool
	abandoned bool
	decided   bool
}

// running is a granted call that has not been finished.
type running struct {
	ticket afclaim.Ticket
	body   string
	ended  bool // ended tells that the answer is known here and waits to be committed.
	answer afclaim.Answer
}

// bucket is one claim record with the operations that wait for it.
type bucket struct {
	once sync.Once
	name string

	mu      sync.Mutex
	queue   []*work
	granted map[string]running
	stopped chan struct{} // stopped is closed when the goroutine that commits ends. Nil while none runs.

	// The fields below are owned by the goroutine that commits.
	cache      cache
	unanswered bool // unanswered tells that the platform did not answer the last call.
}

// add queues a claim. A call that this VM holds is answered at once.
func (b *bucket) add(s *Service, w *work) (afclaim.Result, bool, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r, ok := b.granted[w.op.ID]; ok {
		switch {
		case r.body != w.op.Body:
			return afclaim.Result{Verdict: afclaim.Reused}, true, true
		case r.ended && len(r.answer.Body) <= afclaim.MaxAnswer:
			return afclaim.Result{Verdict: afclaim.Stored, Answer: r.answer}, true, true
		case r.ended:
			return afclaim.Result{Verdict: afclaim.Unclear}, true, true
		}
		return afclaim.Result{Verdict: afclaim.InProgress}, true, true
	}
	if len(b.queue) >= maxQueue {
		return afclaim.Result{}, false, false
	}
	b.push(s, w)
	return afclaim.Result{}, false, true
}

// push queues work and starts the goroutine that commits, if none runs. The caller holds mu.
func (b *bucket) push(s *Service, w *work) {
	b.queue = append(b.queue, w)
	if b.stopped == nil {
		b.stopped = make(chan struct{})
		go s.commit(b)
	}
}

// abandon ends the wait for a claim. It reports false when the decision came first. A claim that may be in the record
// is cancelled there.
func (b *bucket) abandon(w *work) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if w.decided {
		return false
	}
	w.abandoned = true
	return true
}

// end queues the finish or cancellation of a granted call.
func (b *bucket) end(s *Service, call afclaim.Call, verb afclaim.Verb, answer afclaim.Answer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	id := call.ID()
	r, ok := b.granted[id]
	if !ok || r.ended {
		s.Log.Error("a call ended that was not granted", "verb", verb, "route", call.Route)
		return
	}
	if verb == afclaim.Finish {
		r.ended, r.answer = true, answer
		b.granted[id] = r
	}
	b.push(s, &work{op: afclaim.Op{Verb: verb, ID: id, Ticket: r.ticket, Answer: answer}})
}

// batch returns the operations that wait now. An abandoned claim that no write has named is dropped; one that may be in
// the record becomes a cancellation.
func (b *bucket) batch() []*work {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queue = slices.DeleteFunc(b.queue, func(w *work) bool { return w.abandoned && !w.doubtful })
	for _, w := range b.queue {
		if w.abandoned {
			w.op.Verb = afclaim.Cancel
		}
	}
	if len(b.queue) == 0 {
		close(b.stopped)
		b.stopped = nil
	}
	return slices.Clone(b.queue)
}

// decide ends the wait of work whose decision holds. A claim that was granted after its caller left is cancelled.
func (b *bucket) decide(w *work, d afclaim.Decision) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if w.decided {
		return
	}
	granted := w.op.Verb == afclaim.Take && d.Verdict == afclaim.Granted && !d.Full
	if w.abandoned && granted {
		w.doubtful = true
		return
	}
	b.queue = slices.DeleteFunc(b.queue, func(x *work) bool { return x == w })
	w.decision, w.decided = d, true
	switch {
	case granted:
		if b.granted == nil {
			b.granted = make(map[string]running)
		}
		b.granted[w.op.ID] = running{ticket: w.op.Ticket, body: w.op.Body}
	case w.op.Verb != afclaim.Take && b.granted[w.op.ID].ticket == w.op.Ticket:
		delete(b.granted, w.op.ID)
	}
	if w.done != nil {
		close(w.done)
	}
}

// idle returns a channel that is closed when the goroutine that commits ends, or nil if none runs.
func (b *bucket) idle() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped == nil {
		return nil
	}
	return b.stopped
}
