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
	ticket afclaim.AttemptID
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
	if r, ok := b.granted[w.op.ClaimID]; ok {
		switch {
		case r.body != w.op.RequestDigest:
			return afclaim.Result{Verdict: afclaim.VerdictKeyReused}, true, true
		case r.ended && len(r.answer.Body) <= afclaim.MaxAnswerBodyBytes:
			return afclaim.Result{Verdict: afclaim.VerdictStored, Answer: r.answer}, true, true
		case r.ended:
			return afclaim.Result{Verdict: afclaim.VerdictUnknown}, true, true
		}
		return afclaim.Result{Verdict: afclaim.VerdictInProgress}, true, true
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
func (b *bucket) end(s *Service, call afclaim.Call, verb afclaim.OpKind, answer afclaim.Answer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	id := call.ClaimID()
	r, ok := b.granted[id]
	if !ok || r.ended {
		s.Log.Error("a call ended that was not granted", "verb", verb, "route", call.Route)
		return
	}
	if verb == afclaim.OpFinish {
		r.ended, r.answer = true, answer
		b.granted[id] = r
	}
	b.push(s, &work{op: afclaim.Op{Kind: verb, ClaimID: id, Attempt: r.ticket, Answer: answer}})
}

// batch returns the operations that wait now. An abandoned claim that no write has named is dropped; one that may be in
// the record becomes a cancellation.
func (b *bucket) batch() []*work {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queue = slices.DeleteFunc(b.queue, func(w *work) bool { return w.abandoned && !w.doubtful })
	for _, w := range b.queue {
		if w.abandoned {
			w.op.Kind = afclaim.OpCancel
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
	granted := w.op.Kind == afclaim.OpClaim && d.Verdict == afclaim.VerdictGranted && !d.RecordFull
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
		b.granted[w.op.ClaimID] = running{ticket: w.op.Attempt, body: w.op.RequestDigest}
	case w.op.Kind != afclaim.OpClaim && b.granted[w.op.ClaimID].ticket == w.op.Attempt:
		delete(b.granted, w.op.ClaimID)
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
