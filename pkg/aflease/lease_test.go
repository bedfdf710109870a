package aflease

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var terms = Timing{TTL: 2 * time.Second, RenewInterval: 700 * time.Millisecond, QuietPeriod: 3 * time.Second, SafetyMargin: 300 * time.Millisecond}

// Guards against a second holder that acts within QuietPeriod of the first one's last act, whatever the order of pauses,
// lost answers and reads.
func TestNoTwoHoldersWithinQuiet(t *testing.T) {
	const series = 50 // Some orders of events come up once in a thousand cases; one series draws a hundred.
	for range series {
		rapid.Check(t, noTwoHoldersWithinQuiet)
	}
}

func noTwoHoldersWithinQuiet(t *rapid.T) {
	var (
		now     time.Duration
		record  Record
		version int64
		lastBy  string
		lastAt  time.Duration
		epochs  = map[int64]string{}
		starts  int
	)
	names := []string{"a", "b", "c"}
	// Acts and renewals come more often than stops, so that one process acts shortly before another takes over.
	whats := []int{0, 0, 1, 1, 1, 3, 3, 3, 2, 4, 5, 6}
	// stops holds the stops on their way, each with when its holder or, as far as it knows, one before it acted last.
	type stop struct {
		epoch       int64
		last, begin time.Duration
	}
	var stops []stop
	quiet := map[string]time.Duration{} // quiet is until when a process knows that it must not act.
	acted := map[string]time.Duration{}
	leases := map[string]Lease{}
	for _, n := range names {
		leases[n] = New(n, "vm-"+n, terms)
	}
	for range rapid.IntRange(60, 250).Draw(t, "steps") {
		now += time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond
		n := rapid.SampledFrom(names).Draw(t, "who")
		l := leases[n]
		switch rapid.SampledFrom(whats).Draw(t, "what") {
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
				l = l.WithReadRecord(record, version, now)
				break
			}
			version++
			record = r
			if rapid.Bool().Draw(t, "lost") {
				l = l.WithUnknownWriteOutcome()
			} else {
				l = l.WithWrittenRecord(r, version, sent, now)
			}
		case 2:
			if r, ok := l.ReleaseRecord(); ok && l.Version() == version {
				version++
				record = r
				l = l.WithWrittenRecord(r, version, now, now)
			}
		case 4:
			if l.IsHolder(now) || l.HasExpired(now) {
				stops = append(stops, stop{l.Epoch(), max(acted[n], quiet[n]-terms.QuietPeriod), l.HandoverAt()})
				l = l.WithOwnUseEnded()
			}
		case 5:
			if len(stops) > 0 {
				x := rapid.SampledFrom(stops).Draw(t, "stop")
				quiet[n] = max(quiet[n], x.last+terms.QuietPeriod)
				l = l.WithHolderStopped(x.epoch, max(now, x.begin))
			}
		case 6:
			// The process ends and its successor on the same machine knows nothing.
			starts++
			l = New(n+"/"+strconv.Itoa(starts), "vm-"+n, terms)
			quiet[n], acted[n] = 0, 0
		case 3:
			if !l.IsUsable(now) || now < quiet[n] {
				break
			}
			acted[n] = now
			if lastBy != "" && lastBy != n {
				require.GreaterOrEqual(t, now-lastAt, terms.QuietPeriod, "%s acts %v after %s", n, now-lastAt, lastBy)
			}
			if by, ok := epochs[l.Epoch()]; ok {
				require.Equal(t, by, n, "two holders with epoch %d", l.Epoch())
			}
			epochs[l.Epoch()] = n
			lastBy, lastAt = n, now
		}
		leases[n] = l
	}
}

// Guards against a fleet that never elects a holder on its first start.
func TestFirstHolderActsAtOnce(t *testing.T) {
	l := New("a", "vm-a", terms).WithReadRecord(Record{}, 0, 0)
	action, r := l.NextAction(0)
	require.Equal(t, ActionWrite, action)
	l = l.WithWrittenRecord(r, 7, 0, 5*time.Millisecond)
	require.True(t, l.IsUsable(10*time.Millisecond))
	require.False(t, l.IsUsable(terms.TTL), "a holder whose renewals fail stops by itself")
}

// Guards against a write with a lost answer that took effect: the holder must take it up after reading it back.
func TestLostAnswerReadBack(t *testing.T) {
	l := New("a", "vm-a", terms).WithReadRecord(Record{}, 0, 0)
	_, r := l.NextAction(0)
	l = l.WithUnknownWriteOutcome()
	action, _ := l.NextAction(time.Second)
	require.Equal(t, ActionRead, action)
	l = l.WithReadRecord(r, 7, time.Second)
	action, renewed := l.NextAction(time.Second)
	require.Equal(t, ActionWrite, action)
	require.Equal(t, r.Epoch, renewed.Epoch)
	l = l.WithWrittenRecord(renewed, 8, time.Second, time.Second)
	require.True(t, l.IsUsable(time.Second))
}

// Guards against a fleet that gives no orders for seconds after all VMs were killed at once: the holder's own machine
// knows that its earlier process has ended.
func TestRestartedHolderActsAtOnce(t *testing.T) {
	old := New("a/1", "vm-a", terms).WithReadRecord(Record{}, 0, 0)
	_, r := old.NextAction(0)
	b := New("b/2", "vm-b", terms).WithReadRecord(r, 7, 0)
	action, _ := b.NextAction(time.Second)
	require.Equal(t, ActionWait, action, "another machine waits")
	a := New("a/2", "vm-a", terms).WithReadRecord(r, 7, time.Second)
	action, renewed := a.NextAction(time.Second)
	require.Equal(t, ActionWrite, action)
	require.Equal(t, r.Epoch+1, renewed.Epoch)
	a = a.WithWrittenRecord(renewed, 8, time.Second, time.Second)
	require.True(t, a.IsUsable(time.Second))
}

// waits renews the lease until QuietPeriod has passed since the last use by another holder, and requires that it may not be used
// before.
func waits(t *testing.T, l Lease, from, lastUse time.Duration) Lease {
	t.Helper()
	for now := from; now < lastUse+terms.QuietPeriod; now += 100 * time.Millisecond {
		require.False(t, l.IsUsable(now), "at %v, %v after the last act of the other holder", now, now-lastUse)
		if action, renewed := l.NextAction(now); action == ActionWrite {
			l = l.WithWrittenRecord(renewed, l.Version()+1, now, now)
		}
	}
	return l
}

// Guards against a successor that acts within QuietPeriod of the last act of a holder that may still have been using the lease.
func TestSuccessorWaitsQuiet(t *testing.T) {
	old := New("a", "vm-a", terms).WithReadRecord(Record{}, 0, 0)
	_, r := old.NextAction(0)
	old = old.WithWrittenRecord(r, 7, 0, 0)
	lastUse := terms.TTL - time.Millisecond
	require.True(t, old.IsUsable(lastUse))

	b := New("b", "vm-b", terms).WithReadRecord(r, 7, 0)
	taken := terms.TTL + terms.SafetyMargin
	action, next := b.NextAction(taken)
	require.Equal(t, ActionWrite, action)
	b = b.WithWrittenRecord(next, 8, taken, taken)
	b = waits(t, b, taken, lastUse)
	begin := terms.TTL + terms.QuietPeriod + terms.SafetyMargin
	require.True(t, b.IsUsable(begin), "the successor may act once Quiet and the margin have passed")
}

// Guards against a successor of a holder that stopped while it still waited: the stop says nothing about the holder
// before it, which may have acted a moment ago.
func TestStopBeforeFirstUse(t *testing.T) {
	old := New("a", "vm-a", terms).WithReadRecord(Record{}, 0, 0)
	_, r := old.NextAction(0)
	old = old.WithWrittenRecord(r, 7, 0, 0)
	lastUse := terms.TTL - time.Millisecond
	require.True(t, old.IsUsable(lastUse))

	taken := terms.TTL + terms.SafetyMargin
	b := New("b", "vm-b", terms).WithReadRecord(r, 7, 0)
	_, r = b.NextAction(taken)
	b = b.WithWrittenRecord(r, 8, taken, taken)
	c := New("c", "vm-c", terms).WithReadRecord(r, 8, taken)
	stopped := taken + 100*time.Millisecond
	require.True(t, b.IsHolder(stopped))
	require.False(t, b.IsUsable(stopped))
	c = c.WithHolderStopped(b.Epoch(), max(stopped, b.HandoverAt()))
	action, r := c.NextAction(stopped)
	require.Equal(t, ActionWrite, action, "the lease itself is free at once")
	c = c.WithWrittenRecord(r, 9, stopped, stopped)
	c = waits(t, c, stopped, lastUse)
	require.True(t, c.IsUsable(b.HandoverAt()))
}

// Guards against a holder that restarts while it still waits, or while it knows when the holder before it acted and its
// successor does not.
func TestRestartBeforeFirstUse(t *testing.T) {
	for _, stops := range []bool{false, true} {
		old := New("a", "vm-a", terms).WithReadRecord(Record{}, 0, 0)
		_, r := old.NextAction(0)
		old = old.WithWrittenRecord(r, 7, 0, 0)
		lastUse := terms.TTL - time.Millisecond
		require.True(t, old.IsUsable(lastUse))

		taken := terms.TTL + terms.SafetyMargin
		b := New("b/1", "vm-b", terms).WithReadRecord(r, 7, 0)
		if stops {
			taken = lastUse
			b = b.WithHolderStopped(old.Epoch(), taken)
		}
		_, r = b.NextAction(taken)
		b = b.WithWrittenRecord(r, 8, taken, taken)
		require.Equal(t, stops, b.IsUsable(taken))

		again := New("b/2", "vm-b", terms).WithReadRecord(r, 8, taken)
		action, r := again.NextAction(taken)
		require.Equal(t, ActionWrite, action)
		again = again.WithWrittenRecord(r, 9, taken, taken)
		again = waits(t, again, taken, lastUse)
		require.True(t, again.IsUsable(taken+terms.QuietPeriod+terms.SafetyMargin))
	}
}
