package afmember

import (
	"maps"
	"time"

	"arbutusfork.example/arbutusfork"
)

// DefaultMaxListLag is the longest time by which the platform's list of VMs is assumed to lag behind.
const DefaultMaxListLag = 30 * time.Second

// DepartureTracker collects the evidence that incarnations are gone for good. It is immutable; the With methods return
// changed copies.
//
// An incarnation is gone if a newer one of the same VM runs, since a VM runs one daemon. It is also gone if the
// platform's list does not contain the VM although this process first saw the incarnation longer ago than the list
// lags. A VM that the list does not contain yet is therefore not taken for gone.
type DepartureTracker struct {
	// MaxListLag is the longest time by which the list may lag behind. Zero means DefaultMaxListLag.
	MaxListLag time.Duration

	// firstSeenAt is when this process first saw an incarnation, on its own monotonic clock.
	firstSeenAt map[arbutusfork.Incarnation]time.Time
	// latestStarts holds, by VM, the start of the newest incarnation from which a message has arrived.
	latestStarts map[string]int64
	// listResetAt is when the list last may have gone back to an older one.
	listResetAt time.Time
}

// WithListReset returns a copy after the platform's store came back from an older copy. The list may lack VMs that it contained
// before, as if they had only just been seen.
func (d DepartureTracker) WithListReset(now time.Time) DepartureTracker {
	d.listResetAt = now
	return d
}

// WithIncarnation returns a copy that tracks the incarnation, for example after reading a record that names it.
func (d DepartureTracker) WithIncarnation(i arbutusfork.Incarnation, now time.Time) DepartureTracker {
	if _, ok := d.firstSeenAt[i]; ok {
		return d
	}
	d.firstSeenAt = maps.Clone(d.firstSeenAt)
	if d.firstSeenAt == nil {
		d.firstSeenAt = make(map[arbutusfork.Incarnation]time.Time)
	}
	d.firstSeenAt[i] = now
	return d
}

// WithMessageFrom returns a copy after a message from a running incarnation.
func (d DepartureTracker) WithMessageFrom(i arbutusfork.Incarnation, now time.Time) DepartureTracker {
	d = d.WithIncarnation(i, now)
	if d.latestStarts[i.VM] >= i.StartID {
		return d
	}
	d.latestStarts = maps.Clone(d.latestStarts)
	if d.latestStarts == nil {
		d.latestStarts = make(map[string]int64)
	}
	d.latestStarts[i.VM] = i.StartID
	return d
}

// HasIncarnation reports whether the incarnation is tracked.
func (d DepartureTracker) HasIncarnation(i arbutusfork.Incarnation) bool {
	_, ok := d.firstSeenAt[i]
	return ok
}

// IsGone reports whether the incarnation can no longer act. listRequestedAt is when the list in the view was requested.
func (d DepartureTracker) IsGone(i arbutusfork.Incarnation, v View, listRequestedAt time.Time) bool {
	if d.latestStarts[i.VM] > i.StartID {
		return true
	}
	firstSeen, ok := d.firstSeenAt[i]
	if !ok || v.observed[i.VM].Alive {
		return false
	}
	if firstSeen.Before(d.listResetAt) {
		firstSeen = d.listResetAt
	}
	vm, ok := v.ListedVM(i.VM)
	maxLag := d.MaxListLag
	if maxLag <= 0 {
		maxLag = DefaultMaxListLag
	}
	return ok && vm.State == arbutusfork.VMGone && listRequestedAt.Sub(firstSeen) > maxLag
}
