package aflease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork/pkg/afversion"
)

var testTiming = Timing{TTL: 2 * time.Second, RenewInterval: 700 * time.Millisecond, QuietPeriod: 3 * time.Second, SafetyMargin: 300 * time.Millisecond}

func eraVersion(t require.TestingT, era, revision int64) int64 {
	version, err := afversion.Join(era, revision)
	require.NoError(t, err)
	return version
}

// Guards against an epoch that is given out twice in one era, after a late write of an earlier era replaced the record.
func TestEpochStaysUniqueAfterLateWrite(t *testing.T) {
	earlier := Record{Holder: "a", Machine: "vm-a", Epoch: eraVersion(t, 1, 5), RenewalCount: 9}
	takenAt := testTiming.TTL + testTiming.SafetyMargin
	b := New("b", "vm-b", testTiming).WithReadRecord(earlier, eraVersion(t, 2, 10), 0)
	_, first := b.NextAction(takenAt)
	c := New("c", "vm-c", testTiming).WithReadRecord(earlier, eraVersion(t, 2, 12), takenAt)
	_, second := c.NextAction(2 * takenAt)
	require.Greater(t, first.Epoch, earlier.Epoch)
	require.Greater(t, second.Epoch, first.Epoch)
}

// Guards against a fleet that sends no orders for seconds although its holder has lost nothing when the store went back.
func TestHolderContinuesInNewEra(t *testing.T) {
	l := New("a", "vm-a", testTiming).WithReadRecord(Record{}, eraVersion(t, 1, 0), 0)
	takenAt := testTiming.TTL + testTiming.SafetyMargin
	action, _ := l.NextAction(0)
	require.Equal(t, ActionWait, action, "a record of an earlier era may be gone")
	_, r := l.NextAction(takenAt)
	l = l.WithWrittenRecord(r, eraVersion(t, 1, 7), takenAt, takenAt)
	now := takenAt
	for ; !l.IsUsable(now); now += 100 * time.Millisecond {
		if action, renewed := l.NextAction(now); action == ActionWrite {
			l = l.WithWrittenRecord(renewed, l.Version()+1, now, now)
		}
	}
	require.LessOrEqual(t, now, takenAt+testTiming.QuietPeriod+100*time.Millisecond)
	epoch := l.Epoch()
	l = l.WithReadRecord(r, eraVersion(t, 2, 7), now)
	require.True(t, l.IsUsable(now))
	action, r = l.NextAction(now)
	require.Equal(t, ActionWrite, action)
	require.Greater(t, r.Epoch, epoch)
	l = l.WithWrittenRecord(r, eraVersion(t, 2, 8), now, now)
	require.True(t, l.IsUsable(now))
	require.True(t, l.IsOwnEpoch(epoch))
}

// Guards against a fleet that cannot elect a holder on its first start, when no record exists.
func TestFirstHolderActsAtOnce(t *testing.T) {
	l := New("a", "vm-a", testTiming).WithReadRecord(Record{}, 0, 0)
	action, r := l.NextAction(0)
	require.Equal(t, ActionWrite, action)
	l = l.WithWrittenRecord(r, 7, 0, 5*time.Millisecond)
	require.True(t, l.IsUsable(10*time.Millisecond))
	require.False(t, l.IsUsable(testTiming.TTL), "use must end without renewals")
}

// Guards against a process that does not notice that it holds the lease: its write took effect but the answer was lost, so
// it must find out by reading the record.
func TestLostAnswerReadBack(t *testing.T) {
	l := New("a", "vm-a", testTiming).WithReadRecord(Record{}, 0, 0)
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

// Guards against a fleet that sends no orders for seconds after all VMs were killed at once. A process on the holder's
// machine need not wait, since it knows that the earlier process has ended.
func TestRestartedHolderActsAtOnce(t *testing.T) {
	old := New("a/1", "vm-a", testTiming).WithReadRecord(Record{}, 0, 0)
	_, r := old.NextAction(0)
	b := New("b/2", "vm-b", testTiming).WithReadRecord(r, 7, 0)
	action, _ := b.NextAction(time.Second)
	require.Equal(t, ActionWait, action, "a process on another machine must wait")
	a := New("a/2", "vm-a", testTiming).WithReadRecord(r, 7, time.Second)
	action, renewed := a.NextAction(time.Second)
	require.Equal(t, ActionWrite, action)
	require.Equal(t, r.Epoch+1, renewed.Epoch)
	a = a.WithWrittenRecord(renewed, 8, time.Second, time.Second)
	require.True(t, a.IsUsable(time.Second))
}

// renewThroughQuietPeriod renews the lease until QuietPeriod has passed since the last use by another holder. It fails the
// test if the lease may be used earlier.
func renewThroughQuietPeriod(t *testing.T, l Lease, startAt, lastUseAt time.Duration) Lease {
	t.Helper()
	for now := startAt; now < lastUseAt+testTiming.QuietPeriod; now += 100 * time.Millisecond {
		require.False(t, l.IsUsable(now), "lease usable at %v, %v after the last use by the other holder", now, now-lastUseAt)
		if action, renewed := l.NextAction(now); action == ActionWrite {
			l = l.WithWrittenRecord(renewed, l.Version()+1, now, now)
		}
	}
	return l
}

// Guards against a successor that uses the lease within QuietPeriod of the previous holder's last use, when the previous
// holder did not announce that it stopped.
func TestSuccessorWaitsQuiet(t *testing.T) {
	old := New("a", "vm-a", testTiming).WithReadRecord(Record{}, 0, 0)
	_, r := old.NextAction(0)
	old = old.WithWrittenRecord(r, 7, 0, 0)
	lastUseAt := testTiming.TTL - time.Millisecond
	require.True(t, old.IsUsable(lastUseAt))

	b := New("b", "vm-b", testTiming).WithReadRecord(r, 7, 0)
	takenAt := testTiming.TTL + testTiming.SafetyMargin
	action, next := b.NextAction(takenAt)
	require.Equal(t, ActionWrite, action)
	b = b.WithWrittenRecord(next, 8, takenAt, takenAt)
	b = renewThroughQuietPeriod(t, b, takenAt, lastUseAt)
	beginsAt := testTiming.TTL + testTiming.QuietPeriod + testTiming.SafetyMargin
	require.True(t, b.IsUsable(beginsAt), "the successor may use the lease once QuietPeriod and SafetyMargin have passed")
}

// Guards against a successor that begins too early after a holder that stopped before its own first use. The stop message
// says nothing about the holder before that one, which may have used the lease a moment ago.
func TestStopBeforeFirstUse(t *testing.T) {
	old := New("a", "vm-a", testTiming).WithReadRecord(Record{}, 0, 0)
	_, r := old.NextAction(0)
	old = old.WithWrittenRecord(r, 7, 0, 0)
	lastUseAt := testTiming.TTL - time.Millisecond
	require.True(t, old.IsUsable(lastUseAt))

	takenAt := testTiming.TTL + testTiming.SafetyMargin
	b := New("b", "vm-b", testTiming).WithReadRecord(r, 7, 0)
	_, r = b.NextAction(takenAt)
	b = b.WithWrittenRecord(r, 8, takenAt, takenAt)
	c := New("c", "vm-c", testTiming).WithReadRecord(r, 8, takenAt)
	stoppedAt := takenAt + 100*time.Millisecond
	require.True(t, b.IsHolder(stoppedAt))
	require.False(t, b.IsUsable(stoppedAt))
	c = c.WithHolderStopped(b.Epoch(), max(stoppedAt, b.HandoverAt()))
	action, r := c.NextAction(stoppedAt)
	require.Equal(t, ActionWrite, action, "the record may be taken at once")
	c = c.WithWrittenRecord(r, 9, stoppedAt, stoppedAt)
	c = renewThroughQuietPeriod(t, c, stoppedAt, lastUseAt)
	require.True(t, c.IsUsable(b.HandoverAt()))
}

// Guards against a successor that begins too early after a holder that went on with its promise, without a renewal.
func TestSuccessorWaitsAfterPromise(t *testing.T) {
	_, r := New("a", "vm-a", testTiming).WithReadRecord(Record{}, 0, 0).NextAction(0)
	a := New("a", "vm-a", testTiming).WithReadRecord(Record{}, 0, 0).WithWrittenRecord(r, 7, 0, 0)
	b := New("b", "vm-b", testTiming).WithReadRecord(r, 7, 0)
	lastUseAt := time.Duration(0)
	for now := time.Second; now < 10*time.Second; now += time.Second {
		b = b.WithOwnPromise(r.Epoch, now+testTiming.TTL)
		a = a.WithPromises(now+testTiming.TTL, now)
		require.True(t, a.IsUsable(now))
		action, _ := b.NextAction(now)
		require.Equal(t, ActionWait, action)
		lastUseAt = now + testTiming.TTL - time.Millisecond
	}
	require.True(t, a.IsUsable(lastUseAt))
	require.False(t, a.IsHolder(lastUseAt+time.Millisecond))
	takenAt := lastUseAt + time.Millisecond
	action, next := b.NextAction(takenAt)
	require.Equal(t, ActionWrite, action)
	b = b.WithWrittenRecord(next, 8, takenAt, takenAt)
	b = renewThroughQuietPeriod(t, b, takenAt, lastUseAt)
	require.True(t, b.IsUsable(takenAt+testTiming.QuietPeriod+testTiming.SafetyMargin))
}

// Guards against a process that takes the lease at once from a released record, although it promised another holder that it may go
// on, and against a first holder that waits because its process is new.
func TestPromiseAndDelayAgainstOtherRecords(t *testing.T) {
	released := Record{Holder: "n", Machine: "vm-n", Epoch: 6, IsReleased: true}
	b := New("b", "vm-b", testTiming).WithReadRecord(Record{Holder: "a", Epoch: 5}, 7, 0).WithOwnPromise(5, 4*time.Second).WithReadRecord(released, 9, time.Second)
	action, _ := b.NextAction(3 * time.Second)
	require.Equal(t, ActionWait, action)
	action, r := b.NextAction(4 * time.Second)
	require.Equal(t, ActionWrite, action)
	b = b.WithWrittenRecord(r, 10, 4*time.Second, 4*time.Second)
	require.False(t, b.IsUsable(4*time.Second))

	first := New("a", "vm-a", testTiming).WithTakeoverDelay(8*time.Second).WithReadRecord(Record{}, 0, 0)
	action, _ = first.NextAction(0)
	require.Equal(t, ActionWrite, action)
	later := New("b", "vm-b", testTiming).WithTakeoverDelay(8*time.Second).WithReadRecord(Record{Holder: "a", Epoch: 5}, 7, 0)
	action, _ = later.NextAction(8*time.Second - 1)
	require.Equal(t, ActionWait, action)
}

// Guards against handovers that wait as for a silent holder ever after one outage with a promise.
func TestOldPromiseDoesNotDelayHandover(t *testing.T) {
	record := Record{Holder: "n", Machine: "vm-n", Epoch: 6}
	b := New("b", "vm-b", testTiming).WithOwnPromise(5, 4*time.Second).WithReadRecord(record, 9, time.Minute)
	stopped := b.WithHolderStopped(6, time.Minute)
	action, r := stopped.NextAction(time.Minute)
	require.Equal(t, ActionWrite, action)
	require.True(t, stopped.WithWrittenRecord(r, 10, time.Minute, time.Minute).IsUsable(time.Minute))
	record.IsReleased = true
	released := New("b", "vm-b", testTiming).WithOwnPromise(5, 4*time.Second).WithReadRecord(record, 9, time.Minute)
	_, r = released.NextAction(time.Minute)
	released = released.WithWrittenRecord(r, 10, time.Minute, time.Minute)
	require.Equal(t, time.Minute+testTiming.QuietPeriod+testTiming.SafetyMargin, released.ownUseBeginsAt)
}

// Guards against a successor that begins within the quiet period of a holder whom it had promised that it may go on, since another
// holder announces late that it has stopped.
func TestLateStopKeepsWaitAfterPromise(t *testing.T) {
	promiseEnds := 2 * time.Second
	c := New("c", "vm-c", testTiming).WithReadRecord(Record{Holder: "a", Machine: "vm-a", Epoch: 5}, 20, 0)
	c = c.WithOwnPromise(5, promiseEnds)
	c = c.WithReadRecord(Record{Holder: "b", Machine: "vm-b", Epoch: 6}, 30, 0) // Taken by a VM that had promised nothing.
	now := testTiming.TTL + testTiming.SafetyMargin
	action, r := c.NextAction(now)
	require.Equal(t, ActionWrite, action)
	c = c.WithWrittenRecord(r, 31, now, now)
	require.GreaterOrEqual(t, c.ownUseBeginsAt, promiseEnds+testTiming.QuietPeriod)
	c = c.WithHolderStopped(6, now)
	require.GreaterOrEqual(t, c.ownUseBeginsAt, promiseEnds+testTiming.QuietPeriod, "the holder of epoch 5 may have ordered until its promise ended")
}

// Guards against a holder that restarts before its first use, or after a stop message from the previous holder, and then uses
// the lease too early: the new process does not know when the previous holder last used it.
func TestRestartBeforeFirstUse(t *testing.T) {
	for _, holderStopped := range []bool{false, true} {
		old := New("a", "vm-a", testTiming).WithReadRecord(Record{}, 0, 0)
		_, r := old.NextAction(0)
		old = old.WithWrittenRecord(r, 7, 0, 0)
		lastUseAt := testTiming.TTL - time.Millisecond
		require.True(t, old.IsUsable(lastUseAt))

		takenAt := testTiming.TTL + testTiming.SafetyMargin
		b := New("b/1", "vm-b", testTiming).WithReadRecord(r, 7, 0)
		if holderStopped {
			takenAt = lastUseAt
			b = b.WithHolderStopped(old.Epoch(), takenAt)
		}
		_, r = b.NextAction(takenAt)
		b = b.WithWrittenRecord(r, 8, takenAt, takenAt)
		require.Equal(t, holderStopped, b.IsUsable(takenAt))

		restarted := New("b/2", "vm-b", testTiming).WithReadRecord(r, 8, takenAt)
		action, r := restarted.NextAction(takenAt)
		require.Equal(t, ActionWrite, action)
		restarted = restarted.WithWrittenRecord(r, 9, takenAt, takenAt)
		restarted = renewThroughQuietPeriod(t, restarted, takenAt, lastUseAt)
		require.True(t, restarted.IsUsable(takenAt+testTiming.QuietPeriod+testTiming.SafetyMargin))
	}
}
