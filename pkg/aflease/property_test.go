package aflease

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"arbutusfork.example/arbutusfork/pkg/afversion"
)

// Guards against a new holder that uses the lease within QuietPeriod of the previous holder's last use, for any order of
// pauses, lost answers, reads, stops and restarts.
func TestNoTwoHoldersWithinQuiet(t *testing.T) {
	const checkRuns = 50 // Some orders of events occur once in a thousand cases. Each run draws one hundred.
	for range checkRuns {
		rapid.Check(t, func(t *rapid.T) { noTwoHoldersWithinQuiet(t, nil) })
	}
}

// Guards against two holders, or an epoch that is given out twice or falls, after the store came back from an older copy.
func TestNoTwoHoldersWhenStoreGoesBack(t *testing.T) {
	const checkRuns = 50
	for range checkRuns {
		rapid.Check(t, func(t *rapid.T) { noTwoHoldersWithinQuiet(t, []int{7, 8}) })
	}
}

// Guards against a second holder beside one that goes on with the promises of the others while the store is away.
func TestNoTwoHoldersWithPromises(t *testing.T) {
	const checkRuns = 50
	for range checkRuns {
		rapid.Check(t, func(t *rapid.T) { noTwoHoldersWithinQuiet(t, []int{7, 8, 9, 9, 9, 9, 9, 9, 10}) })
	}
}

func noTwoHoldersWithinQuiet(t *rapid.T, moreEventKinds []int) {
	var (
		now           time.Duration
		record        Record
		version       int64
		isAway        bool // isAway means that the store answers nobody.
		copies        []storedRecord
		lateWrites    []storedRecord
		lastEpoch     int64
		lastUser      string
		lastUseAt     time.Duration
		holderByEpoch = map[int64]string{}
		restarts      int
	)
	names := []string{"a", "b", "c"}
	// The kinds of events are: 0 read, 1 next action, 2 release, 3 use, 4 stop, 5 receive a stop, 6 restart. Uses and
	// renewals are drawn more often than stops, so that one process uses the lease shortly before another one takes it.
	// With moreEventKinds, 7 is that the store comes back from an older copy, 8 that a write without an answer takes effect,
	// 9 a promise to the holder and 10 that the store goes away or returns.
	eventKinds := append([]int{0, 0, 1, 1, 1, 3, 3, 3, 2, 4, 5, 6}, moreEventKinds...)
	if len(moreEventKinds) > 0 {
		version = eraVersion(t, 1, 0)
	}
	// stopMessage announces that the holder of an epoch stopped. lastUseAt is the last use by that holder or, as far as it
	// knows, by an earlier one.
	type stopMessage struct {
		epoch               int64
		lastUseAt, beginsAt time.Duration
	}
	var sentStops []stopMessage
	mustNotUseUntil := map[string]time.Duration{} // mustNotUseUntil holds the end of the known quiet period by process.
	ownLastUseAt := map[string]time.Duration{}
	leases := map[string]Lease{}
	promiseDuration := testTiming.TTL - 100*time.Millisecond
	promises := map[string]map[string]time.Duration{} // promises holds the ends of the promises by holder and sender.
	lateWriters := map[string]bool{}                  // lateWriters names the processes whose writes may take effect late.
	for _, n := range names {
		leases[n] = New(n, "vm-"+n, testTiming)
	}
	for range rapid.IntRange(60, 250).Draw(t, "steps") {
		now += time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond
		n := rapid.SampledFrom(names).Draw(t, "who")
		l := leases[n]
		event := rapid.SampledFrom(eventKinds).Draw(t, "what")
		if isAway && event <= 2 {
			continue
		}
		switch event {
		case 10:
			isAway = !isAway
		case 0:
			l = l.WithReadRecord(record, version, now)
		case 1:
			action, r := l.NextAction(now)
			if action != ActionWrite {
				break
			}
			sent := now
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "write")) * time.Millisecond
			if l.Version() != version {
				// A revision that was given out again is accepted, but its answer names another era.
				if afversion.Revision(l.Version()) == afversion.Revision(version) && afversion.Era(l.Version()) < afversion.Era(version) {
					copies = append(copies, storedRecord{record, version})
					version++
					record = r
					if afversion.Revision(l.Version()) == 0 {
						l = l.WithWrittenRecord(r, version, sent, now) // The creation of a record depends on no version.
					} else {
						l = l.WithUnknownWriteOutcome()
					}
					break
				}
				l = l.WithReadRecord(record, version, now)
				break
			}
			if len(moreEventKinds) > 0 && rapid.IntRange(0, 5).Draw(t, "late") == 0 {
				lateWrites = append(lateWrites, storedRecord{r, l.Version()})
				lateWriters[n] = true
				l = l.WithUnknownWriteOutcome()
				break
			}
			copies = append(copies, storedRecord{record, version})
			version++
			record = r
			if rapid.Bool().Draw(t, "lost") {
				l = l.WithUnknownWriteOutcome()
			} else {
				l = l.WithWrittenRecord(r, version, sent, now)
			}
		case 2:
			if r, ok := l.ReleaseRecord(); ok && l.Version() == version {
				copies = append(copies, storedRecord{record, version})
				version++
				record = r
				l = l.WithWrittenRecord(r, version, now, now)
			}
		case 4:
			if l.IsHolder(now) || l.HasExpired(now) {
				sentStops = append(sentStops, stopMessage{l.Epoch(), max(ownLastUseAt[n], mustNotUseUntil[n]-testTiming.QuietPeriod), l.HandoverAt()})
				l = l.WithOwnUseEnded()
			}
		case 5:
			if len(sentStops) > 0 {
				x := rapid.SampledFrom(sentStops).Draw(t, "stop")
				mustNotUseUntil[n] = max(mustNotUseUntil[n], x.lastUseAt+testTiming.QuietPeriod)
				l = l.WithHolderStopped(x.epoch, max(now, x.beginsAt))
			}
		case 6:
			// The process restarts without any state.
			restarts++
			l = New(n+"/"+strconv.Itoa(restarts), "vm-"+n, testTiming)
			mustNotUseUntil[n], ownLastUseAt[n] = 0, 0
		case 7:
			// The store rarely goes back, so that a process uses the lease in most eras.
			if len(copies) == 0 || rapid.IntRange(0, 5).Draw(t, "back") > 0 {
				break
			}
			i := rapid.IntRange(max(0, len(copies)-12), len(copies)-1).Draw(t, "copy")
			record, version = copies[i].record, eraVersion(t, afversion.Era(version)+1, afversion.Revision(copies[i].version))
			copies = copies[:i]
		case 9:
			h := n
			if !l.IsHolder(now) {
				break
			}
			until := now + promiseDuration
			for _, other := range names {
				o := leases[other]
				if other == h {
					continue
				}
				if !o.IsHolder(now) && o.Epoch() == l.Epoch() && !lateWriters[other] && rapid.IntRange(0, 3).Draw(t, "promise") > 0 {
					delay := time.Duration(rapid.IntRange(0, 200).Draw(t, "delay")) * time.Millisecond
					leases[other] = o.WithOwnPromise(l.Epoch(), now+promiseDuration+testTiming.SafetyMargin)
					if promises[h] == nil {
						promises[h] = map[string]time.Duration{}
					}
					promises[h][other] = now - delay + promiseDuration
				}
				until = min(until, promises[h][other])
			}
			l = l.WithPromises(until, now)
		case 8:
			if len(lateWrites) == 0 {
				break
			}
			w := rapid.SampledFrom(lateWrites).Draw(t, "write")
			if afversion.Revision(w.version) == afversion.Revision(version) {
				copies = append(copies, storedRecord{record, version})
				version++
				record = w.record
			}
		case 3:
			if !l.IsUsable(now) || now < mustNotUseUntil[n] {
				break
			}
			ownLastUseAt[n] = now
			if lastUser != "" && lastUser != n {
				require.GreaterOrEqual(t, now-lastUseAt, testTiming.QuietPeriod, "%s uses the lease %v after %s", n, now-lastUseAt, lastUser)
			}
			if by, ok := holderByEpoch[l.Epoch()]; ok {
				require.Equal(t, by, n, "two holders with epoch %d", l.Epoch())
			}
			holderByEpoch[l.Epoch()] = n
			require.GreaterOrEqual(t, l.Epoch(), lastEpoch, "the epoch falls")
			lastEpoch = l.Epoch()
			lastUser, lastUseAt = n, now
		}
		leases[n] = l
		holders := slices.DeleteFunc(slices.Clone(names), func(n string) bool { return !leases[n].IsHolder(now) })
		require.LessOrEqual(t, len(holders), 1, "holders at the same time: %v", holders)
	}
}

// storedRecord is a record with its version, or the version on which a write of it is conditional.
type storedRecord struct {
	record  Record
	version int64
}
