// Package afstart decides which start of an endpoint is its latest, from facts that arrive in any order.
//
// An endpoint may start again under its ID. What is known about its latest start must not be undone by an older fact: the platform's
// store may come back from an older copy, a relay of another VM may be late, and an earlier process may write its entry once more. A
// start by itself proves nothing, though: another writer may have stored a wrong one.
package afstart

import "time"

// ContestTime is how long entries must show an earlier start, without an entry of the latest one, until they count. An endpoint writes
// its entry about every 1.2 s, and the platform removes the entry of one that has ended within three such times of its return, 3.6 s.
// The rest covers slow lists. It also bounds how long a wrong start far in the future keeps an endpoint out.
const ContestTime = 10 * time.Second

// contestEnd is the age from which a contest does not count any more: entries that are shown once in a while do not add up.
const contestEnd = 2 * ContestTime

// Latest is the latest start of one endpoint. It is immutable; the With methods return changed copies. The zero Latest knows none.
type Latest struct {
	startUnixMs int64
	// heardAt is when the start was first heard of. It is zero if no start is known.
	heardAt time.Time
	// contestedAt is since when an entry of an earlier start has been seen and no entry of the latest one. It is zero if there is none.
	contestedAt time.Time
	// refutedUnixMs is the highest start that was given up. Only an entry makes it the latest start again, since VMs go on telling each
	// other of what they heard before.
	refutedUnixMs int64
}

// StartUnixMs returns the latest start, or 0 if none is known.
func (l Latest) StartUnixMs() int64 { return l.startUnixMs }

// HeardAt returns when the latest start was first heard of.
func (l Latest) HeardAt() time.Time { return l.heardAt }

// IsSuperseded reports whether a later start is known.
func (l Latest) IsSuperseded(startUnixMs int64) bool {
	return !l.heardAt.IsZero() && startUnixMs < l.startUnixMs
}

// Accepts reports whether an entry with a start counts now.
func (l Latest) Accepts(startUnixMs int64, now time.Time) bool {
	return !l.IsSuperseded(startUnixMs) || l.IsContested(now) && now.Sub(l.contestedAt) >= ContestTime
}

// IsContested reports whether entries of an earlier start have been seen lately, and none of the latest one since.
func (l Latest) IsContested(now time.Time) bool {
	return !l.contestedAt.IsZero() && now.Sub(l.contestedAt) < contestEnd
}

// WithEntry returns the latest start after an entry was seen in the store or relayed by another VM. It reports whether the entry
// counts. An entry that does not must change nothing.
func (l Latest) WithEntry(startUnixMs int64, now time.Time) (Latest, bool) {
	switch {
	case !l.Accepts(startUnixMs, now):
		if !l.IsContested(now) {
			l.contestedAt = now
		}
		return l, false
	case l.heardAt.IsZero() || startUnixMs > l.startUnixMs:
		l.startUnixMs, l.heardAt = startUnixMs, now
	case startUnixMs < l.startUnixMs:
		l = l.refuted(startUnixMs, now)
	}
	l.contestedAt = time.Time{}
	return l, true
}

// WithWord returns the latest start after the endpoint itself named its start in an answer to a request that was sent at askedAt. An
// earlier start than the latest one shows that the latest one is wrong, unless that was heard of while the answer was on its way.
func (l Latest) WithWord(startUnixMs int64, askedAt, now time.Time) Latest {
	if l.IsSuperseded(startUnixMs) && askedAt.After(l.heardAt) {
		return l.refuted(startUnixMs, now)
	}
	return l.WithHearsay(startUnixMs, now)
}

// WithHearsay returns the latest start after something was heard about a start of the endpoint, which was not its entry. Entries of
// earlier starts contest it from then on, since nobody may see them again before the contest is over.
func (l Latest) WithHearsay(startUnixMs int64, now time.Time) Latest {
	if startUnixMs <= l.refutedUnixMs || !l.heardAt.IsZero() && startUnixMs <= l.startUnixMs {
		return l
	}
	l.startUnixMs, l.heardAt, l.contestedAt = startUnixMs, now, now
	return l
}

// WithStoreReturned returns the latest start after the platform's store was away or came back from an older copy: endpoints could not
// write their entries, so that a contest begins again.
func (l Latest) WithStoreReturned(now time.Time) Latest {
	if !l.contestedAt.IsZero() {
		l.contestedAt = now
	}
	return l
}

// refuted returns the latest start after the one that is known turned out to be wrong.
func (l Latest) refuted(startUnixMs int64, now time.Time) Latest {
	return Latest{startUnixMs: startUnixMs, heardAt: now, refutedUnixMs: max(l.refutedUnixMs, l.startUnixMs)}
}
