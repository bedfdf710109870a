package aflease

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var terms = Terms{Use: 2 * time.Second, Renew: 700 * time.Millisecond, Quiet: 3 * time.Second, Margin: 300 * time.Millisecond}

// Guards against a second holder that acts within Quiet of the first one's last act, whatever the order of pauses,
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
			l = l.WithRecord(record, version, now)
		case 1:
			action, r := l.Next(now)
			if action != Write {
				break
			}
			sent := now
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "write")) * time.Millisecond
			if l.Version() != version {
				l = l.WithRecord(record, version, now)
				break
			}
			version++
			record = r
			if rapid.Bool().Draw(t, "lost") {
				l = l.WithoutVersion()
			} else {
				l = l.WithWritten(r, version, sent, now)
			}
		case 2:
			if r, ok := l.Release(); ok && l.Version() == version {
				version++
				record = r
				l = l.WithWritten(r, version, now, now)
			}
		case 4:
			if l.Held(now) || l.Lapsed(now) {
				stops = append(stops, stop{l.Epoch(), max(acted[n], quiet[n]-terms.Quiet), l.Handover()})
				l = l.WithRetired()
			}
		case 5:
			if len(stops) > 0 {
				x := rapid.SampledFrom(stops).Draw(t, "stop")
				quiet[n] = max(quiet[n], x.last+terms.Quiet)
				l = l.WithStopped(x.epoch, max(now, x.begin))
			}
		case 6:
			// The process ends and its successor on the same machine knows nothing.
			starts++
			l = New(n+"/"+strconv.Itoa(starts), "vm-"+n, terms)
			quiet[n], acted[n] = 0, 0
		case 3:
			if !l.Usable(now) || now < quiet[n] {
				break
			}
			acted[n] = now
			if lastBy != "" && lastBy != n {
				require.GreaterOrEqual(t, now-lastAt, terms.Quiet, "%s acts %v after %s", n, now-lastAt, lastBy)
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
	l := New("a", "vm-a", terms).WithRecord(Record{}, 0, 0)
	action, r := l.Next(0)
	require.Equal(t, Write, action)
	l = l.WithWritten(r, 7, 0, 5*time.Millisecond)
	require.True(t, l.Usable(10*time.Millisecond))
	require.False(t, l.Usable(terms.Use), "a holder whose renewals fail stops by itself")
}

// Guards against a write with a lost answer that took effect: the holder must take it up after reading it back.
func TestLostAnswerReadBack(t *testing.T) {
	l := New("a", "vm-a", terms).WithRecord(Record{}, 0, 0)
	_, r := l.Next(0)
	l = l.WithoutVersion()
	action, _ := l.Next(time.Second)
	require.Equal(t, Read, action)
	l = l.WithRecord(r, 7, time.Second)
	action, renewed := l.Next(time.Second)
	require.Equal(t, Write, action)
	require.Equal(t, r.Epoch, renewed.Epoch)
	l = l.WithWritten(renewed, 8, time.Second, time.Second)
	require.True(t, l.Usable(time.Second))
}

// Guards against a fleet that gives no orders for seconds after all VMs were killed at once: the holder's own machine
// knows that its earlier process has ended.
func TestRestartedHolderActsAtOnce(t *testing.T) {
	old := New("a/1", "vm-a", terms).WithRecord(Record{}, 0, 0)
	_, r := old.Next(0)
	b := New("b/2", "vm-b", terms).WithRecord(r, 7, 0)
	action, _ := b.Next(time.Second)
	require.Equal(t, Wait, action, "another machine waits")
	a := New("a/2", "vm-a", terms).WithRecord(r, 7, time.Second)
	action, renewed := a.Next(time.Second)
	require.Equal(t, Write, action)
	require.Equal(t, r.Epoch+1, renewed.Epoch)
	a = a.WithWritten(renewed, 8, time.Second, time.Second)
	require.True(t, a.Usable(time.Second))
}

// waits renews the lease until Quiet has passed since the last use by another holder, and requires that it may not be used
// before.
func waits(t *testing.T, l Lease, from, lastUse time.Duration) Lease {
	t.Helper()
	for now := from; now < lastUse+terms.Quiet; now += 100 * time.Millisecond {
		require.False(t, l.Usable(now), "at %v, %v after the last act of the other holder", now, now-lastUse)
		if action, renewed := l.Next(now); action == Write {
			l = l.WithWritten(renewed, l.Version()+1, now, now)
		}
	}
	return l
}

// Guards against a successor that acts within Quiet of the last act of a holder that may still have been using the lease.
func TestSuccessorWaitsQuiet(t *testing.T) {
	old := New("a", "vm-a", terms).WithRecord(Record{}, 0, 0)
	_, r := old.Next(0)
	old = old.WithWritten(r, 7, 0, 0)
	lastUse := terms.Use - time.Millisecond
	require.True(t, old.Usable(lastUse))

	b := New("b", "vm-b", terms).WithRecord(r, 7, 0)
	taken := terms.Use + terms.Margin
	action, next := b.Next(taken)
	require.Equal(t, Write, action)
	b = b.WithWritten(next, 8, taken, taken)
	b = waits(t, b, taken, lastUse)
	begin := terms.Use + terms.Quiet + terms.Margin
	require.True(t, b.Usable(begin), "the successor may act once Quiet and the margin have passed")
}

// Guards against a successor of a holder that stopped while it still waited: the stop says nothing about the holder
// before it, which may have acted a moment ago.
func TestStopBeforeFirstUse(t *testing.T) {
	old := New("a", "vm-a", terms).WithRecord(Record{}, 0, 0)
	_, r := old.Next(0)
	old = old.WithWritten(r, 7, 0, 0)
	lastUse := terms.Use - time.Millisecond
	require.True(t, old.Usable(lastUse))

	taken := terms.Use + terms.Margin
	b := New("b", "vm-b", terms).WithRecord(r, 7, 0)
	_, r = b.Next(taken)
	b = b.WithWritten(r, 8, taken, taken)
	c := New("c", "vm-c", terms).WithRecord(r, 8, taken)
	stopped := taken + 100*time.Millisecond
	require.True(t, b.Held(stopped))
	require.False(t, b.Usable(stopped))
	c = c.WithStopped(b.Epoch(), max(stopped, b.Handover()))
	action, r := c.Next(stopped)
	require.Equal(t, Write, action, "the lease itself is free at once")
	c = c.WithWritten(r, 9, stopped, stopped)
	c = waits(t, c, stopped, lastUse)
	require.True(t, c.Usable(b.Handover()))
}

// Guards against a holder that restarts while it still waits, or while it knows when the holder before it acted and its
// successor does not.
func TestRestartBeforeFirstUse(t *testing.T) {
	for _, stops := range []bool{false, true} {
		old := New("a", "vm-a", terms).WithRecord(Record{}, 0, 0)
		_, r := old.Next(0)
		old = old.WithWritten(r, 7, 0, 0)
		lastUse := terms.Use - time.Millisecond
		require.True(t, old.Usable(lastUse))

		taken := terms.Use + terms.Margin
		b := New("b/1", "vm-b", terms).WithRecord(r, 7, 0)
		if stops {
			taken = lastUse
			b = b.WithStopped(old.Epoch(), taken)
		}
		_, r = b.Next(taken)
		b = b.WithWritten(r, 8, taken, taken)
		require.Equal(t, stops, b.Usable(taken))

		again := New("b/2", "vm-b", terms).WithRecord(r, 8, taken)
		action, r := again.Next(taken)
		require.Equal(t, Write, action)
		again = again.WithWritten(r, 9, taken, taken)
		again = waits(t, again, taken, lastUse)
		require.True(t, again.Usable(taken+terms.Quiet+terms.Margin))
	}
}
