package afnotice

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"arbutusfork.example/arbutusfork/pkg/afengine"
)

const (
	// maxNotices bounds the notices and lifts that are kept. Pauses are dropped first, and of each kind those that were heard longest
	// ago. The largest deployment has 750 endpoints.
	maxNotices = 4096
	// unlistedTimeout is the age from which a notice about an endpoint that is not listed is dropped. An endpoint whose entry was
	// lost in an outage of the platform writes it again within seconds.
	unlistedTimeout = time.Hour
	// endedPauseTime is how long a pause that has ended is kept, so that a late message does not begin it again.
	endedPauseTime = time.Minute
	// minExtension is by how much a pause must end later than the one that is known to be news for other VMs.
	minExtension = 100 * time.Millisecond
)

// View holds the notices that are known. It is immutable; the With methods return changed copies. The zero View is empty.
type View struct {
	notices map[Key]Notice
	// leavingCount is the number of notices of kind Leaving, so that most calls need no look-up.
	leavingCount int
	// pausedUntil holds the latest end of the pauses of each endpoint, also of those that have ended.
	pausedUntil map[afengine.EndpointStart]time.Time
	// lastPauseEnd is the latest end of all pauses, so that most calls need no look-up.
	lastPauseEnd time.Time
}

// IsLeaving reports whether the endpoint said that it leaves.
func (v View) IsLeaving(e afengine.EndpointStart) bool {
	if v.leavingCount == 0 {
		return false
	}
	_, ok := v.notices[Key{EndpointStart: e, Kind: Leaving}]
	return ok
}

// PausedUntil returns the end of the endpoint's pause, and whether it is in a pause.
func (v View) PausedUntil(e afengine.EndpointStart, now time.Time) (time.Time, bool) {
	if !v.HasPauses(now) {
		return time.Time{}, false
	}
	until := v.pausedUntil[e]
	return until, until.After(now)
}

// HasPauses reports whether any endpoint is in a pause.
func (v View) HasPauses(now time.Time) bool { return v.lastPauseEnd.After(now) }

// Notices returns all notices, including pauses that have ended. The caller must not change the map.
func (v View) Notices() map[Key]Notice { return v.notices }

// LeavingCount returns the number of endpoints that said that they leave.
func (v View) LeavingCount() int { return v.leavingCount }

// PausedCount returns the number of endpoints that are in a pause.
func (v View) PausedCount(now time.Time) int {
	n := 0
	for _, until := range v.pausedUntil {
		if until.After(now) {
			n++
		}
	}
	return n
}

// WithStatement returns the view after the endpoint said something in an answer to this VM. It also returns the notices of which
// other VMs should learn.
func (v View) WithStatement(e afengine.EndpointStart, said Statement, vm string, now time.Time) (changed View, news map[Key]Notice) {
	heard := make(map[Key]Notice)
	if said.IsLeaving {
		heard[Key{EndpointStart: e, Kind: Leaving}] = Notice{HeardBy: vm, HeardAt: now, SaidAt: now, AfterLift: v.liftNumber(e, Leaving)}
	}
	if said.Pause > 0 {
		k := Key{EndpointStart: e, Kind: Pause, HeardBy: vm}
		until := now.Add(min(said.Pause, MaxPause))
		heard[k] = Notice{
			HeardBy: vm, HeardAt: now, SaidAt: now, Until: until, Number: max(v.notices[k].Number+1, until.UnixMilli()), AfterLift: v.liftNumber(e, Pause),
		}
	}
	// Requests of this VM must wait for the exact end of the pause, although other VMs need not learn of a small change.
	return v.with(heard, now, nil, 0)
}

// WithNotices returns the view after notices were received from another VM, in any order. It also returns those that are new, of
// which other VMs should learn. IsListed reports whether an endpoint is known to exist; nil means that all do.
func (v View) WithNotices(received map[Key]Notice, now time.Time, isListed func(afengine.EndpointStart) bool) (changed View, news map[Key]Notice) {
	return v.with(received, now, isListed, minExtension)
}

// with returns the view with those notices that say more than what is known. A pause does if it ends later by more than extension.
func (v View) with(heard map[Key]Notice, now time.Time, isListed func(afengine.EndpointStart) bool, extension time.Duration) (changed View, news map[Key]Notice) {
	news = make(map[Key]Notice)
	v, hasLifts := v.withLifts(heard, now, isListed, news)
	var added map[Key]Notice
	for k, n := range heard {
		if k.Kind.isLift() || !isValid(k, n) || isOver(k, n, now, isListed) {
			continue
		}
		known, isKnown := v.notices[k]
		if saysMore := v.saysMore(k, n, now, extension); !saysMore && isKnown && k.Kind == Leaving && n.SaidAt.Sub(known.SaidAt) >= minExtension {
			known.SaidAt, known.HeardBy = n.SaidAt, n.HeardBy // It shows later whether a lift covers the answer.
			n = known
		} else if !saysMore {
			continue
		}
		if added == nil {
			added = make(map[Key]Notice)
		}
		added[k] = n
		if v.saysMore(k, n, now, minExtension) {
			news[k] = n
		}
	}
	if len(added) == 0 && !hasLifts {
		return v, nil
	}
	changed.notices = make(map[Key]Notice, len(v.notices)+len(added))
	maps.Copy(changed.notices, v.notices)
	maps.Copy(changed.notices, added)
	changed.dropOldest()
	changed.summarize()
	// VMs that pass on what they do not keep would do so for ever.
	maps.DeleteFunc(news, func(k Key, _ Notice) bool { _, isKept := changed.notices[k]; return !isKept })
	return changed, news
}

// isValid reports whether a notice has a known kind and belongs to its key.
func isValid(k Key, n Notice) bool {
	switch k.Kind {
	case Leaving:
		return k.HeardBy == ""
	case Pause:
		return k.HeardBy == n.HeardBy
	case LeavingLift, PauseLift:
		return k.HeardBy == "" && n.Number > 0
	}
	return false
}

// saysMore reports whether a notice says more than what is known.
func (v View) saysMore(k Key, n Notice, now time.Time, extension time.Duration) bool {
	known, isKnown := v.notices[k]
	lift := v.liftNumber(k.EndpointStart, k.Kind)
	if n.AfterLift < max(lift, known.AfterLift) { // A lift that has not arrived yet may cover it too.
		return false
	}
	isNewer := !isKnown || n.AfterLift > known.AfterLift
	if k.Kind == Leaving {
		return isNewer
	}
	until := v.pausedUntil[k.EndpointStart]
	if until.Before(now) || n.AfterLift > lift { // Other pauses are covered by a lift that has not arrived yet.
		until = now
	}
	return (isNewer || n.Number > known.Number) && n.Until.Sub(until) > extension
}

// WithoutEnded returns the view without the notices that need not be kept any more.
func (v View) WithoutEnded(now time.Time, isListed func(afengine.EndpointStart) bool) View {
	isOver := func(k Key, n Notice) bool { return isOver(k, n, now, isListed) }
	hasEnded := false
	for k, n := range v.notices {
		hasEnded = hasEnded || isOver(k, n)
	}
	if !hasEnded {
		return v
	}
	changed := View{notices: maps.Clone(v.notices)}
	maps.DeleteFunc(changed.notices, isOver)
	changed.summarize()
	return changed
}

// isOver reports whether a notice need not be kept any more.
func isOver(k Key, n Notice, now time.Time, isListed func(afengine.EndpointStart) bool) bool {
	switch k.Kind {
	case Pause:
		return now.Sub(n.Until) >= endedPauseTime
	case PauseLift:
		return now.Sub(n.HeardAt) >= pauseLiftTime
	}
	return now.Sub(n.HeardAt) >= unlistedTimeout && isListed != nil && !isListed(k.EndpointStart)
}

// dropOldest removes notices if there are too many. The map must not be shared.
func (v View) dropOldest() {
	if len(v.notices) <= maxNotices {
		return
	}
	leastNeededFirst := slices.SortedFunc(maps.Keys(v.notices), func(a, b Key) int {
		return cmp.Or(cmp.Compare(a.Kind.dropOrder(), b.Kind.dropOrder()), v.notices[a].HeardAt.Compare(v.notices[b].HeardAt))
	})
	for _, k := range leastNeededFirst[:len(leastNeededFirst)-maxNotices] {
		delete(v.notices, k)
	}
}

// summarize sets the fields that follow from the notices. The view must not be shared.
func (v *View) summarize() {
	v.leavingCount, v.pausedUntil, v.lastPauseEnd = 0, make(map[afengine.EndpointStart]time.Time), time.Time{}
	for k, n := range v.notices {
		switch {
		case k.Kind == Leaving:
			v.leavingCount++
		case n.Until.After(v.pausedUntil[k.EndpointStart]):
			v.pausedUntil[k.EndpointStart] = n.Until
		}
		if n.Until.After(v.lastPauseEnd) {
			v.lastPauseEnd = n.Until
		}
	}
}
