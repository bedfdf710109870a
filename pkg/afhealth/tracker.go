// Package afhealth judges endpoints by the outcome of their requests, not by what they say about themselves.
package afhealth

import "time"

const (
	// window is the number of latest results that count.
	window = 8
	// maxFailures of them take an endpoint out. One endpoint in eight answering an error is common for a service
	// whose own errors count as answers.
	maxFailures = 4
	// maxInRow failures without a success between them also do.
	maxInRow = 3
	// firstPause is the time out after the first failure streak. It doubles up to maxPause.
	firstPause = time.Second
	maxPause   = 8 * time.Second
)

// Tracker holds the latest results of one endpoint. It is immutable; With methods return changed copies.
type Tracker struct {
	results [window]bool // results holds failures as true, in a ring.
	next    int
	inRow   int
	pause   time.Duration
	until   time.Time
	// trial means that one request was let through after a pause and has not ended.
	trial bool
}

// WithResult returns the tracker after a request ended.
func (t Tracker) WithResult(ok bool, now time.Time) Tracker {
	t.results[t.next] = !ok
	t.next = (t.next + 1) % window
	trial := t.trial
	t.trial = false
	if ok {
		t.inRow = 0
		if trial {
			return Tracker{}
		}
		return t
	}
	t.inRow++
	failures := 0
	for _, failed := range t.results {
		if failed {
			failures++
		}
	}
	if trial || failures >= maxFailures || t.inRow >= maxInRow {
		t.pause = min(max(firstPause, 2*t.pause), maxPause)
		t.until = now.Add(t.pause)
	}
	return t
}

// WithTrialStarted returns the tracker after a request was sent while it was out.
func (t Tracker) WithTrialStarted() Tracker {
	t.trial = true
	return t
}

// IsEjected reports whether the endpoint should get no requests now.
func (t Tracker) IsEjected(now time.Time) bool {
	return !t.until.IsZero() && (now.Before(t.until) || t.trial)
}

// IsTrialDue reports whether the next request is a trial after a pause.
func (t Tracker) IsTrialDue(now time.Time) bool {
	return !t.until.IsZero() && !now.Before(t.until) && !t.trial
}
