package afwarm

import "time"

// maxRemaining bounds the remaining cold time of an entry, which is some seconds. Otherwise one entry with a wrong value, which a
// later one does not shorten, would keep the endpoint cold for good.
const maxRemaining = 10 * time.Minute

// Tracker holds what is known about the cold times of one endpoint. It is immutable: its With methods return changed copies.
type Tracker struct {
	isKnown     bool
	startUnixMs int64
	// remaining is the remaining cold time in the latest entry, and until the latest end of a cold time that an entry gave.
	remaining time.Duration
	until     time.Time
	// begunAt is the time of the latest fact from which a whole cold time counts. It is zero if there is none.
	begunAt time.Time
}

// WithEntry returns the tracker after an entry of the endpoint with its remaining cold time was read. IsFirstList means that the
// entry is from the first list that this VM read, so that the endpoint may have started long ago.
func (t Tracker) WithEntry(startUnixMs int64, remaining time.Duration, isFirstList bool, now time.Time) Tracker {
	isNewStart := !t.isKnown || t.startUnixMs != startUnixMs
	if isNewStart && (t.isKnown || !isFirstList) {
		t.begunAt = now
	}
	// A running endpoint counts the time down, so that an equal one is another copy of the same entry.
	if remaining > 0 && (isNewStart || remaining != t.remaining) {
		t.until = later(t.until, now.Add(min(remaining, maxRemaining)))
	}
	t.isKnown, t.startUnixMs, t.remaining = true, startUnixMs, remaining
	return t
}

// WithPossibleStart returns the tracker after a fact that may mean that the endpoint is cold from now on: a connection to it was
// refused or reset, or its data centre was returned to service.
func (t Tracker) WithPossibleStart(now time.Time) Tracker {
	t.begunAt = later(t.begunAt, now)
	return t
}

// ColdUntil returns the end of the latest cold time, and whether the endpoint is cold. ColdTime is that of its service.
func (t Tracker) ColdUntil(coldTime time.Duration, now time.Time) (until time.Time, isCold bool) {
	until = t.until
	if !t.begunAt.IsZero() {
		until = later(until, t.begunAt.Add(coldTime))
	}
	return until, now.Before(until)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
