// Package aflease decides when a VM may take, renew and use a lease that is kept in a versioned record.
//
// Times are durations on a clock that also counts while the machine is suspended. Holders never compare their clocks:
// a VM that wants the lease waits until it has seen the same record for longer than the holder may use it.
package aflease

import "time"

// Record is the lease as it is stored.
type Record struct {
	// Holder names the process that holds the lease, and Machine where it runs. A machine runs one such process at a time.
	Holder  string `json:"holder"`
	Machine string `json:"machine,omitempty"`
	// Epoch rises each time the lease changes hands.
	Epoch int64 `json:"epoch"`
	// RenewalCount rises with each renewal, so that each renewal is a new version.
	RenewalCount int64 `json:"beat"`
	// IsReleased means that the holder has stopped using the lease.
	IsReleased bool `json:"released,omitempty"`
	// IsQuietPeriodOver means that QuietPeriod had passed since the last use by a holder on another machine when the record was written.
	IsQuietPeriodOver bool `json:"settled,omitempty"`
}

// Timing are the times of a lease. QuietPeriod is at least the time for which endpoints must not see orders of two holders.
type Timing struct {
	// TTL is how long a holder uses the lease after it sent a renewal.
	TTL time.Duration
	// RenewInterval is the time between renewals. It is well below TTL.
	RenewInterval time.Duration
	// QuietPeriod is the time between the last use by one holder and the first use by the next.
	QuietPeriod time.Duration
	// SafetyMargin covers the delay of a write and the rate difference of two clocks.
	SafetyMargin time.Duration
}

// Lease is what one process knows about the lease. It is immutable; With methods return changed copies.
type Lease struct {
	self    string
	machine string
	terms   Timing

	record  Record
	version int64
	known   bool
	// seen is when the record was first seen in this version.
	seen time.Duration
	// until is when the own use ends. It counts from the moment when the last acknowledged write was sent.
	until time.Duration
	// from is when the own use may begin, after the previous holder's orders.
	from time.Duration
	// settled is when QuietPeriod has passed since the last use by a holder on another machine.
	settled time.Duration
	// handover is when a successor may begin that is told of this process's own uses. It is at least from.
	handover time.Duration
	// stopped is the epoch whose holder said that it has stopped using the lease, and at is when the next one may begin.
	stopped int64
	at      time.Duration
	// retired is the epoch that this process has given up.
	retired int64
}

// New returns the view of a process that has not read the record. Self is unique for each start of a process.
func New(self, machine string, terms Timing) Lease {
	return Lease{self: self, machine: machine, terms: terms}
}

// HolderIsEarlierProcess reports whether the holder was an earlier process of this machine, which has ended.
func (l Lease) HolderIsEarlierProcess() bool {
	return l.known && l.record.Holder != l.self && l.machine != "" && l.record.Machine == l.machine
}

// withBegin returns the lease of a new holder, which begins when the record before its own allows it.
func (l Lease) withBegin() Lease {
	l.from, l.settled, l.handover = l.begin()
	return l
}

// Action is what a process should do next.
type Action int

// The actions.
const (
	// ActionWait means that there is nothing to do yet.
	ActionWait Action = iota
	// ActionRead means that the record is not known well enough.
	ActionRead
	// ActionWrite means that the record that NextAction returned should be written under the condition of Version.
	ActionWrite
)

// WithReadRecord returns the lease after a read of the record. Version zero means that there is none.
func (l Lease) WithReadRecord(r Record, version int64, now time.Duration) Lease {
	if l.known && version == l.version {
		return l
	}
	if l.known && version < l.version {
		return l
	}
	if r.Holder == l.self && (l.record.Holder != l.self || l.record.Epoch != r.Epoch) {
		// A write took effect although its answer was lost. It was conditional on the version known before.
		l = l.withBegin()
	}
	l.record, l.version, l.known, l.seen = r, version, true, now
	if r.Holder != l.self {
		l.until = 0
	}
	return l
}

// WithWrittenRecord returns the lease after an acknowledged write that was sent at the given time.
func (l Lease) WithWrittenRecord(r Record, version int64, sent, now time.Duration) Lease {
	if r.Epoch != l.record.Epoch || l.record.Holder != l.self {
		l = l.withBegin()
	}
	l.record, l.version, l.known, l.seen = r, version, true, now
	if r.Holder == l.self && !r.IsReleased && l.retired != r.Epoch {
		l.until = sent + l.terms.TTL
	} else {
		l.until = 0
	}
	return l
}

// WithHolderStopped returns the lease after the holder of an epoch said that it has stopped using it for good. Begin is when
// the next holder may begin: now, or later if the one that stopped was still waiting itself. What it used the lease for
// last must be told besides: QuietPeriod is then the business of whoever acts.
func (l Lease) WithHolderStopped(epoch int64, begin time.Duration) Lease {
	if epoch > l.stopped {
		l.stopped, l.at = epoch, begin
	}
	if l.record.Holder == l.self && epoch == l.record.Epoch-1 {
		l.from, l.handover = min(l.from, begin), min(l.handover, begin)
	}
	return l
}

// WithOwnUseEnded returns the lease of a holder that stops using it for good, before it tells others so.
func (l Lease) WithOwnUseEnded() Lease {
	l.until = 0
	l.retired = l.record.Epoch
	return l
}

// WithUnknownWriteOutcome returns the lease after a write whose outcome is unknown: the record must be read again.
func (l Lease) WithUnknownWriteOutcome() Lease {
	l.known = false
	return l
}

// begin returns when a new holder may use the lease for the first time, when QuietPeriod has passed since the last use by a
// holder on another machine, and when a successor of the new holder may begin that is told of its uses.
func (l Lease) begin() (from, settled, handover time.Duration) {
	quiet := l.seen + l.terms.QuietPeriod + l.terms.SafetyMargin
	switch {
	case l.version == 0:
		return 0, 0, 0
	case l.HolderIsEarlierProcess() && l.record.IsQuietPeriodOver:
		// When the earlier process used the lease last is not known.
		return 0, 0, quiet
	case l.HolderIsEarlierProcess():
		// The holder before the earlier process had stopped when that process wrote the record.
		return quiet, quiet, quiet
	case l.stopped == l.record.Epoch:
		return l.at, l.at + l.terms.QuietPeriod + l.terms.SafetyMargin, l.at
	case l.record.IsReleased:
		return quiet, quiet, quiet
	}
	quiet += l.terms.TTL
	return quiet, quiet, quiet
}

// NextAction returns what to do now, and the record to write for ActionWrite.
func (l Lease) NextAction(now time.Duration) (Action, Record) {
	if !l.known {
		return ActionRead, Record{}
	}
	if l.record.Holder == l.self && !l.record.IsReleased && l.retired != l.record.Epoch {
		if now >= l.until-l.terms.TTL+l.terms.RenewInterval {
			r := l.record
			r.RenewalCount++
			r.IsQuietPeriodOver = now >= l.settled
			return ActionWrite, r
		}
		return ActionWait, Record{}
	}
	if l.version != 0 && !l.record.IsReleased && !l.HolderIsEarlierProcess() && l.stopped != l.record.Epoch && now < l.seen+l.terms.TTL+l.terms.SafetyMargin {
		return ActionWait, Record{}
	}
	_, settled, _ := l.begin()
	return ActionWrite, Record{Holder: l.self, Machine: l.machine, Epoch: l.record.Epoch + 1, RenewalCount: l.record.RenewalCount + 1, IsQuietPeriodOver: now >= settled}
}

// ReleaseRecord returns the record that gives the lease up, if this process holds it.
func (l Lease) ReleaseRecord() (Record, bool) {
	if !l.known || l.record.Holder != l.self || l.record.IsReleased {
		return Record{}, false
	}
	r := l.record
	r.RenewalCount++
	r.IsReleased = true
	return r, true
}

// HasExpired reports whether this process held the lease and can use it no more, but has not said so.
func (l Lease) HasExpired(now time.Duration) bool {
	return l.record.Holder == l.self && l.until > 0 && now >= l.until && l.retired != l.record.Epoch
}

// HandoverAt returns when a successor may begin that is told that this process has stopped, and of its uses.
func (l Lease) HandoverAt() time.Duration { return l.handover }

// Version returns the version that a write is conditional on. Zero means that the record must not exist.
func (l Lease) Version() int64 { return l.version }

// Record returns the record as last read or written.
func (l Lease) Record() Record { return l.record }

// Epoch returns the epoch of the record.
func (l Lease) Epoch() int64 { return l.record.Epoch }

// IsHolder reports whether this process holds the lease, although it may have to wait before the first use.
func (l Lease) IsHolder(now time.Duration) bool {
	return l.retired != l.record.Epoch && l.record.Holder == l.self && !l.record.IsReleased && now < l.until
}

// IsUsable reports whether this process may act under the lease now.
func (l Lease) IsUsable(now time.Duration) bool { return l.IsHolder(now) && now >= l.from }
