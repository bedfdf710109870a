package afplacement

import (
	"time"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afversion"
)

// applyRead replaces the record by the one read from the platform. After a commit whose answer was lost, the read shows
// whether the commit took effect.
func (v View) applyRead(e RecordFetched, now time.Time) View {
	isAbsent := afversion.Revision(e.Version) == 0
	isSameEra := afversion.Era(e.Version) == afversion.Era(v.version)
	isOlder := e.Version < v.version && (!isAbsent || !isSameEra)
	if v.pendingRecord != nil && !v.mustReadRecord || isOlder {
		return v
	}
	if isAbsent && isSameEra && v.recordExists() {
		// The object was deleted. The VM that takes the shard over creates the object again from its last record.
		v.record.Owner = arbutusfork.Incarnation{}
		v.version, v.mustReadRecord = e.Version, false
		return v
	}
	v.mustReadRecord, v.versionReadAt = false, now
	if !isAbsent {
		v.absentSince = time.Time{}
	} else if v.absentSince.IsZero() {
		v.absentSince = now
	}
	if e.Version != v.version && isRecordLost(e.Record, e.Version) {
		return v.applyLostRecord(e, now)
	}
	if e.Version != v.version {
		v.isLost = false
		if e.Record.Fence != v.record.Fence {
			v = v.clearOwnerState()
			v.takeoverSentAt = now
		}
		v.record, v.version, v.versionSeenAt = e.Record, e.Version, now
		// Any of several commits on top of one version may have taken effect, so the lease counts from the first.
		if v.isRecordedOwner() && !v.firstCommitSentAt.IsZero() {
			v.leaseEndsAt, v.renewedAt = v.firstCommitSentAt.Add(LeaseTerm), v.firstCommitSentAt
		}
		v.firstCommitSentAt = time.Time{}
	}
	return v
}

// applyLostRecord applies a record of an earlier era. What this VM has read or committed before may be later. A commit in
// flight has set no lease, since nobody can tell in which era it took effect.
func (v View) applyLostRecord(e RecordFetched, now time.Time) View {
	if !v.record.isLaterThan(e.Record) {
		if e.Record.Fence != v.record.Fence {
			v = v.clearOwnerState()
			v.takeoverSentAt = now
		}
		v.record = e.Record
	}
	v.version, v.versionSeenAt, v.isLost, v.firstCommitSentAt = e.Version, now, true, time.Time{}
	return v
}
