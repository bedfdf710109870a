package afplacement

import (
	"cmp"
	"slices"
	"time"

	"arbutusfork.example/arbutusfork/pkg/afversion"
)

// The platform's store may come back from an older copy of itself, which begins a new era (package afversion). A record whose
// fence is of an earlier era than its version says nothing about who owned the shard since: later records may be gone, with
// their owners, fences, order IDs and assignments. It counts as lost.

// lostOrderDelay is the time after a take-over of a lost record in which an order of the gone records may still arrive. Owners
// stop sending a quarter of the lease term before the take-over at the latest, and wait up to 2 s for an answer.
const lostOrderDelay = time.Second

// isRecordLost reports whether the record, or its absence, is of an earlier era than the version at which it was read.
func isRecordLost(r Record, version int64) bool {
	return afversion.Era(r.Fence) < afversion.Era(version)
}

// recordExists reports whether the store has a record.
func (v View) recordExists() bool { return afversion.Revision(v.version) != 0 }

// isLaterThan reports whether r was written after q, if both are of one shard.
func (r Record) isLaterThan(q Record) bool {
	return cmp.Or(cmp.Compare(r.Fence, q.Fence), cmp.Compare(r.CommitCount, q.CommitCount)) > 0
}

// nextOwnerRecord returns the record with which this VM takes the shard over.
func (v View) nextOwnerRecord(now time.Time) Record {
	next := v.record.WithOwner(v.Self)
	next.LeaseTermMillis = LeaseTerm.Milliseconds()
	if !v.isLost {
		return next
	}
	// No fence of the era is above the version of the record when it was given out, so that no late write of an earlier era
	// can bring one back.
	next.Fence = v.version
	next.NextOrderID = max(next.NextOrderID, v.version)
	if !v.continuesLease(now) {
		next.Unobserved, next.IsFirst = nil, next.CommitCount == 0
		for name := range v.cfg.Endpoints {
			next.Unobserved = append(next.Unobserved, name)
		}
		slices.Sort(next.Unobserved)
	}
	return next
}

// continuesLease reports whether this VM owns the shard by a record that the store has lost, and still within its lease. Nobody
// else can own the shard then, and this VM's record is the latest.
func (v View) continuesLease(now time.Time) bool {
	return v.record.Owner == v.Self && now.Before(v.leaseEndsAt)
}

// lostOwnersMayAct reports whether an owner by a record that the store has lost may still be within its lease. It ends at the
// latest one term after the store went back. A late write of an earlier era may also have replaced the record of an owner of
// this era, so that only the absence of a record counts from when the era was first seen.
func (v View) lostOwnersMayAct(wait time.Duration) bool {
	seenAt := v.versionSeenAt
	if !v.recordExists() && !v.EraSeenAt.IsZero() && v.EraSeenAt.Before(seenAt) {
		seenAt = v.EraSeenAt
	}
	return v.versionReadAt.Sub(seenAt) < takeoverDelay+wait/2
}

// isUnobserved reports whether the endpoint may hold models of records that the store has lost.
func (r Record) isUnobserved(endpoint string) bool { return slices.Contains(r.Unobserved, endpoint) }

// withObservedEndpoints returns the record without the unobserved endpoints that have reported since, or are not configured any
// more. Their models are adopted in the same step.
func (v View) withObservedEndpoints(r Record) Record {
	if len(r.Unobserved) > 0 {
		r.Unobserved = slices.DeleteFunc(slices.Clone(r.Unobserved), func(endpoint string) bool {
			_, known := v.cfg.Endpoints[endpoint]
			report := v.reports[endpoint]
			return !known || r.IsFirst && report.missedReports >= maxMissedReports || !report.requestedAt.Before(v.takeoverSentAt.Add(lostOrderDelay))
		})
	}
	return r
}
