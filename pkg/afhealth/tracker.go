// Package afhealth detects failing endpoints by the results of their requests (outlier detection), since an endpoint may
// pass its health check and still fail requests.
package afhealth

import "time"

const (
	// resultCount is the number of latest results that a Tracker keeps.
	resultCount = 8
	// maxFailures is the number of failures among the kept results that ejects an endpoint. One failure in eight results is
	// common for a service whose application answers some requests with an error.
	maxFailures = 4
	// maxConsecutiveFailures is the number of failures without a success between them that ejects an endpoint.
	maxConsecutiveFailures = 3
	// minEjectionTime is the duration of the first ejection. Each further ejection lasts twice as long, up to
	// maxEjectionTime.
	minEjectionTime = time.Second
	maxEjectionTime = 8 * time.Second
)

// Tracker holds the latest results of one endpoint and whether the endpoint is ejected, which means that it gets no
// requests. After an ejection, a single trial request decides whether the endpoint is ejected again. A Tracker is
// immutable: its With methods return changed copies.
type Tracker struct {
	// failures is a ring buffer of the latest results. True is a failure.
	failures [resultCount]bool
	// nextIndex is the index in failures of the next result.
	nextIndex           int
	consecutiveFailures int
	ejectionTime        time.Duration
	ejectedUntil        time.Time
	// trialInProgress means that the trial request after an ejection was sent and has not ended.
	trialInProgress bool
	// hasSpoken means that the endpoint went on with an answer after its latest failure.
	hasSpoken bool
}

// WithResult returns the tracker after a request to the endpoint succeeded or failed.
func (t Tracker) WithResult(ok bool, now time.Time) Tracker {
	t.failures[t.nextIndex] = !ok
	t.nextIndex = (t.nextIndex + 1) % resultCount
	wasTrial := t.trialInProgress
	t.trialInProgress = false
	if ok {
		t.consecutiveFailures = 0
		if wasTrial {
			return Tracker{}
		}
		return t
	}
	t.hasSpoken = false
	t.consecutiveFailures++
	failureCount := 0
	for _, failed := range t.failures {
		if failed {
			failureCount++
		}
	}
	if wasTrial || failureCount >= maxFailures || t.consecutiveFailures >= maxConsecutiveFailures {
		t.ejectionTime = min(max(minEjectionTime, 2*t.ejectionTime), maxEjectionTime)
		t.ejectedUntil = now.Add(t.ejectionTime)
	}
	return t
}

// WithSpeech returns the tracker after the endpoint went on with an answer that it had kept waiting for too long.
func (t Tracker) WithSpeech() Tracker {
	t.hasSpoken = true
	return t
}

// WithTrialStarted returns the tracker after the trial request was sent.
func (t Tracker) WithTrialStarted() Tracker {
	t.trialInProgress = true
	return t
}

// WithTrialEnded returns the tracker after the trial request ended without a result, so that the next request is the trial.
func (t Tracker) WithTrialEnded() Tracker {
	t.trialInProgress = false
	return t
}

// IsEjected reports whether the endpoint should get no requests, because its ejection lasts or its trial is in progress.
func (t Tracker) IsEjected(now time.Time) bool {
	return !t.ejectedUntil.IsZero() && (now.Before(t.ejectedUntil) || t.trialInProgress)
}

// HasSpoken reports whether the endpoint went on with an answer after its latest failure. It may have been silent only for a moment, so
// that an ejected endpoint is better than none then.
func (t Tracker) HasSpoken() bool { return t.hasSpoken }

// IsTrialDue reports whether the ejection has ended and the next request is the trial.
func (t Tracker) IsTrialDue(now time.Time) bool {
	return !t.ejectedUntil.IsZero() && !now.Before(t.ejectedUntil) && !t.trialInProgress
}
