package afmember

import (
	"maps"
	"time"

	"arbutusfork.example/arbutusfork"
)

// DefaultMaxListLag bounds how long the platform's list may lag behind.
const DefaultMaxListLag = 30 * time.Second

// DepartureTracker collects the evidence that incarnations are gone for good. It is immutable; With methods return
// changed copies.
//
// An incarnation is gone if a newer one of the same VM runs, since a VM runs one daemon, or if the platform's
// list does not name the VM although this process has known the incarnation for longer than the list lags. A VM
// that the list does not name yet is therefore never taken for one that is gone.
type DepartureTracker struct {
	// MaxListLag bounds how long the list may lag behind. Zero means DefaultListLag.
	MaxListLag time.Duration

	// first holds when this process first knew of an incarnation, on its own monotonic clock.
	first map[arbutusfork.Incarnation]time.Time
	// latest holds the start of the newest incarnation that was heard from.
	latest map[string]int64
}

// WithIncarnation returns a copy that knows of an incarnation, for example from a record that names it.
func (d DepartureTracker) WithIncarnation(i arbutusfork.Incarnation, now time.Time) DepartureTracker {
	if _, ok := d.first[i]; ok {
		return d
	}
	d.first = maps.Clone(d.first)
	if d.first == nil {
		d.first = make(map[arbutusfork.Incarnation]time.Time)
	}
	d.first[i] = now
	return d
}

// WithMessageFrom returns a copy after a message from a running incarnation.
func (d DepartureTracker) WithMessageFrom(i arbutusfork.Incarnation, now time.Time) DepartureTracker {
	d = d.WithIncarnation(i, now)
	if d.latest[i.VM] >= i.Start {
		return d
	}
	d.latest = maps.Clone(d.latest)
	if d.latest == nil {
		d.latest = make(map[string]int64)
	}
	d.latest[i.VM] = i.Start
	return d
}

// HasIncarnation reports whether the incarnation is known.
func (d DepartureTracker) HasIncarnation(i arbutusfork.Incarnation) bool {
	_, ok := d.first[i]
	return ok
}

// IsGone reports whether the incarnation can no longer act. Read is when the list in the view was asked for.
func (d DepartureTracker) IsGone(i arbutusfork.Incarnation, v View, read time.Time) bool {
	if d.latest[i.VM] > i.Start {
		return true
	}
	first, ok := d.first[i]
	if !ok || v.observed[i.VM].Alive {
		return false
	}
	vm, ok := v.ListedVM(i.VM)
	lag := d.MaxListLag
	if lag <= 0 {
		lag = DefaultMaxListLag
	}
	return ok && vm.State == arbutusfork.VMGone && read.Sub(first) > lag
}
