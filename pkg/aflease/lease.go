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
	// Beat rises with each renewal, so that each renewal is a new version.
	Beat int64 `json:"beat"`
	// Released means that the holder has stopped using the lease.
	Released bool `json:"released,omitempty"`
	// Settled means that Quiet had passed since the last use by a holder on another machine when the record was written.
	Settled bool `json:"settled,omitempty"`
}

// Terms are the times of a lease. Quiet is at least the time for which endpoints must not see orders of two holders.
type Terms struct {
	// Use is how long a holder uses the lease after it sent a renewal.
	Use time.Duration
	// Renew is the time between renewals. It is well below Use.
	Renew time.Duration
	// Quiet is the time between the last use by one holder and the first use by the next.
	Quiet time.Duration
	// Margin covers the delay of a write and the rate difference of two clocks.
	Margin time.Duration
}

// Lease is what one process knows about the lease. It is immutable; With methods return changed copies.
type Lease struct {
	self    string
	machine string
	terms   Terms

	record  Record
	version int64
	known   bool
	// seen is when the record was first seen in this version.
	seen time.Duration
	// until is when the own use ends. It counts from the moment when the last acknowledged write was sent.
	until time.Duration
	// from is when the own use may begin, after the previous holder's orders.
	from time.Duration
	// settled is when Quiet has passed since the last use by a holder on another machine.
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
func New(self, machine string, terms Terms) Lease {
	return Lease{self: self, machine: machine, terms: terms}
}

// Inherited reports whether the holder was an earlier process of this machine, which has ended.
func (l Lease) Inherited() bool {
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
	// Wait means that there is nothing to do yet.
	Wait Action = iota
	// Read means that the record is not known well enough.
	Read
	// Write means that the record that Next returned should be written under the condition of Version.
	Write
)

// WithRecord returns the lease after a read of the record. Version zero means that there is none.
func (l Lease) WithRecord(r Record, version int64, now time.Duration) Lease {
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

// WithWritten returns the lease after an acknowledged write that was sent at the given time.
func (l Lease) WithWritten(r Record, version int64, sent, now time.Duration) Lease {
	if r.Epoch != l.record.Epoch || l.record.Holder != l.self {
		l = l.withBegin()
	}
	l.record, l.version, l.known, l.seen = r, version, true, now
	if r.Holder == l.self && !r.Released && l.retired != r.Epoch {
		l.until = sent + l.terms.Use
	} else {
		l.until = 0
	}
	return l
}

// WithStopped returns the lease after the holder of an epoch said that it has stopped using it for good. Begin is when
// the next holder may begin: now, or later if the one that stopped was still waiting itself. What it used the lease for
// last must be told besides: Quiet is then the business of whoever acts.
func (l Lease) WithStopped(epoch int64, begin time.Duration) Lease {
	if epoch > l.stopped {
		l.stopped, l.at = epoch, begin
	}
	if l.record.Holder == l.self && epoch == l.record.Epoch-1 {
		l.from, l.handover = min(l.from, begin), min(l.handover, begin)
	}
	return l
}

// WithRetired returns the lease of a holder that stops using it for good, before it tells others so.
func (l Lease) WithRetired() Lease {
	l.until = 0
	l.retired = l.record.Epoch
	return l
}

// WithoutVersion returns the lease after a write whose outcome is unknown: the record must be read again.
func (l Lease) WithoutVersion() Lease {
	l.known = false
	return l
}

// begin returns when a new holder may use the lease for the first time, when Quiet has passed since the last use by a
// holder on another machine, and when a successor of the new holder may begin that is told of its uses.
func (l Lease) begin() (from, settled, handover time.Duration) {
	quiet := l.seen + l.terms.Quiet + l.terms.Margin
	switch {
	case l.version == 0:
		return 0, 0, 0
	case l.Inherited() && l.record.Settled:
		// When the earlier process used the lease last is not known.
		return 0, 0, quiet
	case l.Inherited():
		// The holder before the earlier process had stopped when that process wrote the record.
		return quiet, quiet, quiet
	case l.stopped == l.record.Epoch:
		return l.at, l.at + l.terms.Quiet + l.terms.Margin, l.at
	case l.record.Released:
		return quiet, quiet, quiet
	}
	quiet += l.terms.Use
	return quiet, quiet, quiet
}

// Next returns what to do now, and the record to write for Write.
func (l Lease) Next(now time.Duration) (Action, Record) {
	if !l.known {
		return Read, Record{}
	}
	if l.record.Holder == l.self && !l.record.Released && l.retired != l.record.Epoch {
		if now >= l.until-l.terms.Use+l.terms.Renew {
			r := l.record
			r.Beat++
			r.Settled = now >= l.settled
			return Write, r
		}
		return Wait, Record{}
	}
	if l.version != 0 && !l.record.Released && !l.Inherited() && l.stopped != l.record.Epoch && now < l.seen+l.terms.Use+l.terms.Margin {
		return Wait, Record{}
	}
	_, settled, _ := l.begin()
	return Write, Record{Holder: l.self, Machine: l.machine, Epoch: l.record.Epoch + 1, Beat: l.record.Beat + 1, Settled: now >= settled}
}

// Release returns the record that gives the lease up, if this process holds it.
func (l Lease) Release() (Record, bool) {
	if !l.known || l.record.Holder != l.self || l.record.Released {
		return Record{}, false
	}
	r := l.record
	r.Beat++
	r.Released = true
	return r, true
}

// Lapsed reports whether this process held the lease and can use it no more, but has not said so.
func (l Lease) Lapsed(now time.Duration) bool {
	return l.record.Holder == l.self && l.until > 0 && now >= l.until && l.retired != l.record.Epoch
}

// Handover returns when a successor may begin that is told that this process has stopped, and of its uses.
func (l Lease) Handover() time.Duration { return l.handover }

// Version returns the version that a write is conditional on. Zero means that the record must not exist.
func (l Lease) Version() int64 { return l.version }

// Record returns the record as last read or written.
func (l Lease) Record() Record { return l.record }

// Epoch returns the epoch of the record.
func (l Lease) Epoch() int64 { return l.record.Epoch }

// Held reports whether this process holds the lease, although it may have to wait before the first use.
func (l Lease) Held(now time.Duration) bool {
	return l.retired != l.record.Epoch && l.record.Holder == l.self && !l.record.Released && now < l.until
}

// Usable reports whether this process may act under the lease now.
func (l Lease) Usable(now time.Duration) bool { return l.Held(now) && now >= l.from }
