// Package aflease decides when a process may take, renew and use a lease that is kept in a versioned record.
//
// Times are durations on a clock that also counts while the machine is suspended. Processes never compare their clocks: one
// that wants the lease waits until it has seen the same version of the record for longer than the holder may use it.
//
// The store of the record may come back from an older copy, which begins a new era (package afversion). A record that was
// written in an earlier era says nothing about who used the lease since: a later record may be gone. Epochs hold the era in
// which they were given out, so that none is given out twice.
package aflease

import (
	"time"

	"arbutusfork.example/arbutusfork/pkg/afversion"
)

// Record is the lease as it is stored.
type Record struct {
	// Holder names the process that holds the lease.
	Holder string `json:"holder"`
	// Machine names where the holder runs. A machine runs one such process at a time.
	Machine string `json:"machine,omitempty"`
	// Epoch rises each time another process takes the lease and with each era of the store. Its era, as of an afversion
	// version, is that in which it was given out.
	Epoch int64 `json:"epoch"`
	// RenewalCount rises with each write, so that each renewal is a new version.
	RenewalCount int64 `json:"beat"`
	// IsReleased means that the holder has stopped using the lease.
	IsReleased bool `json:"released,omitempty"`
	// IsQuietPeriodOver means that, when the record was written, QuietPeriod had passed since the last use of the lease by a
	// holder on another machine.
	IsQuietPeriodOver bool `json:"settled,omitempty"`
	// Note is what the holder keeps with the lease. It does not influence the lease.
	Note string `json:"note,omitempty"`
}

// Timing holds the durations of a lease.
type Timing struct {
	// TTL is how long a holder may use the lease after it sent a renewal.
	TTL time.Duration
	// RenewInterval is the time between renewals. It is well below TTL.
	RenewInterval time.Duration
	// QuietPeriod is the least time between the last use by one holder and the first use by the next. It is at least the time
	// within which an endpoint must not get orders from two holders.
	QuietPeriod time.Duration
	// SafetyMargin covers the delay of a write and the rate difference of two clocks.
	SafetyMargin time.Duration
}

// Lease is the state of the lease as one process knows it. It is immutable; the With methods return changed copies. Fields
// that end in At are times on the process's clock.
type Lease struct {
	self    string
	machine string
	timing  Timing

	// record and version are the record as last read or written. The version is one of package afversion; its revision is zero
	// if no record exists.
	record  Record
	version int64
	// isRecordKnown is false before the first read and after a write whose outcome is unknown.
	isRecordKnown bool
	// recordSeenAt is when the current version of the record was first seen.
	recordSeenAt time.Duration
	// ownUseEndsAt is when this process must stop using the lease: TTL after it sent the last acknowledged write. It is zero if
	// this process must not use the lease.
	ownUseEndsAt time.Duration
	// promisedUntil is until when all other processes have promised this holder not to take the lease. The holder may use the
	// lease until then although the store can't be reached.
	promisedUntil time.Duration
	// ownPromiseEndsAt is until when this process has promised the holder of promisedEpoch not to take the lease.
	ownPromiseEndsAt time.Duration
	promisedEpoch    int64
	// takeoverDelayedUntil is until when this process does not take the lease from a silent holder, which may not know it.
	takeoverDelayedUntil time.Duration
	// firstEpoch is the first epoch of this process's uninterrupted hold. It is below the record's epoch if the store went back
	// in the meantime.
	firstEpoch int64
	// ownUseBeginsAt is when this process may begin to use the lease, after the previous holder's last use.
	ownUseBeginsAt time.Duration
	// quietPeriodEndsAt is when QuietPeriod has passed since the last use by a holder on another machine.
	quietPeriodEndsAt time.Duration
	// handoverAt is when a successor that knows this process's own uses may begin. It is at least ownUseBeginsAt.
	handoverAt time.Duration
	// stoppedEpoch is the latest epoch whose holder announced that it has stopped using the lease.
	stoppedEpoch int64
	// successorBeginsAt is when the successor of the holder of stoppedEpoch may begin to use the lease.
	successorBeginsAt time.Duration
	// endedEpoch is the epoch in which this process stopped using the lease for good.
	endedEpoch int64
}

// New returns the lease of a process that has not read the record. self is unique for each start of a process.
func New(self, machine string, timing Timing) Lease {
	return Lease{self: self, machine: machine, timing: timing}
}

// HolderIsEarlierProcess reports whether the record names an earlier process of this machine as the holder. That process
// has ended, since a machine runs one process at a time.
func (l Lease) HolderIsEarlierProcess() bool {
	return l.isRecordKnown && l.record.Holder != l.self && l.machine != "" && l.record.Machine == l.machine
}

// withOwnUseTimes returns the lease of a process that becomes the holder with an epoch, with the times that follow from the
// record of the previous holder.
func (l Lease) withOwnUseTimes(epoch int64) Lease {
	l.ownUseBeginsAt, l.quietPeriodEndsAt, l.handoverAt = l.ownUseTimes()
	l.firstEpoch, l.promisedUntil = epoch, 0
	return l
}

// isRecordOfEarlierEra reports whether the record, or its absence, dates from before the store went back.
func (l Lease) isRecordOfEarlierEra() bool {
	return afversion.Era(l.record.Epoch) < afversion.Era(l.version)
}

// recordExists reports whether the store has a record.
func (l Lease) recordExists() bool { return afversion.Revision(l.version) != 0 }

// nextEpoch returns the epoch of the next holder. In a new era it is the version of the record on which the write is
// conditional, which no other epoch of the era reaches.
func (l Lease) nextEpoch() int64 {
	if l.isRecordOfEarlierEra() {
		return l.version
	}
	return l.record.Epoch + 1
}

// Action is the next step of a process that keeps or wants the lease.
type Action int

// The actions.
const (
	// ActionWait means that there is nothing to do now.
	ActionWait Action = iota
	// ActionRead means that the record must be read, since its current version is unknown.
	ActionRead
	// ActionWrite means that the record that NextAction returned should be written if the stored version is still Version.
	ActionWrite
)

// WithReadRecord returns the lease after a read of the record. A version with revision zero means that no record exists.
func (l Lease) WithReadRecord(r Record, version int64, now time.Duration) Lease {
	if l.isRecordKnown && version == l.version {
		return l
	}
	if l.isRecordKnown && version < l.version {
		return l
	}
	if r.Holder == l.self && (l.record.Holder != l.self || l.record.Epoch != r.Epoch) {
		// A write took effect although its answer was lost. It was conditional on the previously known version.
		l = l.withOwnUseTimes(r.Epoch)
	}
	l.record, l.version, l.isRecordKnown, l.recordSeenAt = r, version, true, now
	if r.Holder != l.self {
		l.ownUseEndsAt = 0
	}
	return l
}

// WithWrittenRecord returns the lease after an acknowledged write that was sent at sentAt.
func (l Lease) WithWrittenRecord(r Record, version int64, sentAt, now time.Duration) Lease {
	// A holder that takes the lease again in a new era, before its use in the old one had to end, goes on with it: nobody else
	// can have used it in between.
	isContinued := l.record.Holder == l.self && l.isRecordOfEarlierEra() && l.endedEpoch != l.record.Epoch && sentAt < l.UseEndsAt()
	if (r.Epoch != l.record.Epoch || l.record.Holder != l.self) && !isContinued {
		l = l.withOwnUseTimes(r.Epoch)
	}
	l.record, l.version, l.isRecordKnown, l.recordSeenAt = r, version, true, now
	if r.Holder == l.self && !r.IsReleased && l.endedEpoch != r.Epoch && !l.isRecordOfEarlierEra() {
		l.ownUseEndsAt = sentAt + l.timing.TTL
	} else {
		l.ownUseEndsAt = 0
	}
	return l
}

// WithHolderStopped returns the lease after the holder of an epoch announced that it has stopped using the lease for good.
// The next holder may begin at beginsAt: now, or later if the holder that stopped had not been allowed to begin yet. The
// announcement must also list the latest uses of the lease, since the caller has to observe QuietPeriod after each of them.
func (l Lease) WithHolderStopped(epoch int64, beginsAt time.Duration) Lease {
	if epoch > l.stoppedEpoch {
		l.stoppedEpoch, l.successorBeginsAt = epoch, beginsAt
	}
	if l.record.Holder == l.self && epoch == l.record.Epoch-1 {
		if l.promisedEpoch != epoch && l.ownPromiseEndsAt > 0 {
			beginsAt = max(beginsAt, l.ownPromiseEndsAt+l.timing.QuietPeriod+l.timing.SafetyMargin)
		}
		l.ownUseBeginsAt, l.handoverAt = min(l.ownUseBeginsAt, beginsAt), min(l.handoverAt, beginsAt)
	}
	return l
}

// WithOwnUseEnded returns the lease of a holder that stops using the lease for good. The holder calls it before it announces
// this to others.
func (l Lease) WithOwnUseEnded() Lease {
	l.ownUseEndsAt = 0
	l.endedEpoch = l.record.Epoch
	return l
}

// WithPromises returns the lease of a holder that all other processes that may take the lease have promised not to before a
// time. Each of them must call WithOwnPromise before it sends its promise. A process that restarts forgets its promise, so that
// a promise must not last longer than TTL.
func (l Lease) WithPromises(until, now time.Duration) Lease {
	if l.IsHolder(now) {
		l.promisedUntil = max(l.promisedUntil, until)
	}
	return l
}

// WithOwnPromise returns the lease of a process that promises the holder of an epoch not to take the lease before a time.
func (l Lease) WithOwnPromise(epoch int64, until time.Duration) Lease {
	l.promisedEpoch, l.ownPromiseEndsAt = epoch, max(l.ownPromiseEndsAt, until)
	return l
}

// WithTakeoverDelay returns the lease of a process that does not take the lease from a silent holder before a time. A record must
// exist, since there is no holder without one.
func (l Lease) WithTakeoverDelay(until time.Duration) Lease {
	l.takeoverDelayedUntil = max(l.takeoverDelayedUntil, until)
	return l
}

// waitEndsAt returns until when this process must not take the lease, whatever the record says about its holder.
func (l Lease) waitEndsAt() time.Duration {
	if !l.recordExists() {
		return l.ownPromiseEndsAt
	}
	return max(l.ownPromiseEndsAt, l.takeoverDelayedUntil)
}

// afterOtherPromiseAt returns when QuietPeriod has passed since the end of this process's promise to another holder than that of the
// record, or zero. The record shows nothing about that holder's end.
func (l Lease) afterOtherPromiseAt() time.Duration {
	if l.ownPromiseEndsAt == 0 || l.promisedEpoch == l.record.Epoch {
		return 0
	}
	return l.ownPromiseEndsAt + l.timing.QuietPeriod + l.timing.SafetyMargin
}

// IsRenewalLate reports whether the last acknowledged renewal of this holder is so old that the store may be away.
func (l Lease) IsRenewalLate(now time.Duration) bool {
	return l.IsHolder(now) && now >= l.ownUseEndsAt-l.timing.TTL/3
}

// UseEndsAt returns when this process must stop using the lease, or zero if it must not use it.
func (l Lease) UseEndsAt() time.Duration {
	if l.ownUseEndsAt == 0 {
		return 0
	}
	return max(l.ownUseEndsAt, l.promisedUntil)
}

// WithUnknownWriteOutcome returns the lease after a write whose outcome is unknown. The record must be read again.
func (l Lease) WithUnknownWriteOutcome() Lease {
	l.isRecordKnown = false
	return l
}

// ownUseTimes returns, for a process that takes the lease after the current record, when it may use the lease for the first
// time, when QuietPeriod has passed since the last use by a holder on another machine, and when a successor that knows the
// process's own uses may begin.
func (l Lease) ownUseTimes() (useBeginsAt, quietEndsAt, handoverAt time.Duration) {
	beginsAt := l.recordSeenAt + l.timing.QuietPeriod + l.timing.SafetyMargin
	// A holder that is silent may have used the lease for TTL, and longer with the promise of this process.
	afterSilenceAt := max(l.recordSeenAt+l.timing.TTL, l.waitEndsAt()) + l.timing.QuietPeriod + l.timing.SafetyMargin
	switch {
	case l.isRecordOfEarlierEra():
		// Any process may have used the lease until TTL after the store went back, whatever the record says.
		return afterSilenceAt, afterSilenceAt, afterSilenceAt
	case !l.recordExists():
		return 0, 0, 0
	case l.HolderIsEarlierProcess() && l.record.IsQuietPeriodOver && l.ownPromiseEndsAt == 0:
		// It is unknown when the earlier process last used the lease, so a successor must wait for the whole QuietPeriod.
		return 0, 0, beginsAt
	case l.HolderIsEarlierProcess():
		// The holder before the earlier process had stopped when the earlier process wrote the record, unless this process has
		// promised another one that it may go on.
		beginsAt = max(beginsAt, l.ownPromiseEndsAt+l.timing.QuietPeriod+l.timing.SafetyMargin)
		return beginsAt, beginsAt, beginsAt
	case l.stoppedEpoch == l.record.Epoch:
		beginsAt = max(l.successorBeginsAt, l.afterOtherPromiseAt())
		return beginsAt, beginsAt + l.timing.QuietPeriod + l.timing.SafetyMargin, beginsAt
	case l.record.IsReleased:
		beginsAt = max(beginsAt, l.afterOtherPromiseAt())
		return beginsAt, beginsAt, beginsAt
	}
	return afterSilenceAt, afterSilenceAt, afterSilenceAt
}

// NextAction returns what to do now and, for ActionWrite, the record to write.
func (l Lease) NextAction(now time.Duration) (Action, Record) {
	if !l.isRecordKnown {
		return ActionRead, Record{}
	}
	isOwn := l.record.Holder == l.self && !l.record.IsReleased && l.endedEpoch != l.record.Epoch
	if isOwn && !l.isRecordOfEarlierEra() {
		if now >= l.ownUseEndsAt-l.timing.TTL+l.timing.RenewInterval {
			r := l.record
			r.RenewalCount++
			r.IsQuietPeriodOver = now >= l.quietPeriodEndsAt
			return ActionWrite, r
		}
		return ActionWait, Record{}
	}
	if now < max(l.recordSeenAt+l.timing.TTL+l.timing.SafetyMargin, l.waitEndsAt()) && !l.mayTakeAtOnce(now) && (!isOwn || now >= l.UseEndsAt()) {
		return ActionWait, Record{}
	}
	_, quietEndsAt, _ := l.ownUseTimes()
	if isOwn && now < l.UseEndsAt() {
		quietEndsAt = l.quietPeriodEndsAt
	}
	return ActionWrite, Record{Holder: l.self, Machine: l.machine, Epoch: l.nextEpoch(), RenewalCount: l.record.RenewalCount + 1, IsQuietPeriodOver: now >= quietEndsAt}
}

// mayTakeAtOnce reports whether the record shows that nobody else uses the lease.
func (l Lease) mayTakeAtOnce(now time.Duration) bool {
	if l.isRecordOfEarlierEra() || l.promisedEpoch != l.record.Epoch && now < l.ownPromiseEndsAt {
		return false
	}
	return !l.recordExists() || l.record.IsReleased || l.stoppedEpoch == l.record.Epoch || l.HolderIsEarlierProcess() && now >= l.ownPromiseEndsAt
}

// ReleaseRecord returns the record that releases the lease, or false if this process does not hold it.
func (l Lease) ReleaseRecord() (Record, bool) {
	if !l.isRecordKnown || l.record.Holder != l.self || l.record.IsReleased || l.isRecordOfEarlierEra() {
		return Record{}, false
	}
	r := l.record
	r.RenewalCount++
	r.IsReleased = true
	return r, true
}

// HasExpired reports whether this process held the lease until its TTL ended and has not yet announced that it stopped.
func (l Lease) HasExpired(now time.Duration) bool {
	return l.record.Holder == l.self && l.ownUseEndsAt > 0 && now >= l.UseEndsAt() && l.endedEpoch != l.record.Epoch
}

// HandoverAt returns when a successor may begin that knows that this process has stopped and when it used the lease.
func (l Lease) HandoverAt() time.Duration { return l.handoverAt }

// Version returns the version of the record that a write is conditional on. A revision of zero means that the record must not
// exist.
func (l Lease) Version() int64 { return l.version }

// Record returns the record as last read or written.
func (l Lease) Record() Record { return l.record }

// Epoch returns the epoch of the record.
func (l Lease) Epoch() int64 { return l.record.Epoch }

// IsOwnEpoch reports whether an epoch is this process's, of its present uninterrupted hold.
func (l Lease) IsOwnEpoch(epoch int64) bool {
	return l.record.Holder == l.self && epoch >= l.firstEpoch && epoch <= l.record.Epoch
}

// IsHolder reports whether this process holds the lease. It may still have to wait before the first use.
func (l Lease) IsHolder(now time.Duration) bool {
	return l.endedEpoch != l.record.Epoch && l.record.Holder == l.self && !l.record.IsReleased && now < l.UseEndsAt()
}

// IsUsable reports whether this process may use the lease now.
func (l Lease) IsUsable(now time.Duration) bool { return l.IsHolder(now) && now >= l.ownUseBeginsAt }
