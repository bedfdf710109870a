package afnotice

import (
	"maps"
	"time"

	"arbutusfork.example/arbutusfork/pkg/afengine"
)

// pauseLiftTime is how long the lift of a pause is kept: until all VMs have dropped each pause that it covers. VMs do not tell each
// other of it in the last endedPauseTime, since they do not drop it at exactly the same time.
const pauseLiftTime = MaxPause + 2*endedPauseTime

// isLift reports whether the kind is the lift of another one.
func (k Kind) isLift() bool { return k == LeavingLift || k == PauseLift }

// lift returns the kind of a lift of Leaving or Pause.
func (k Kind) lift() Kind { return k + LeavingLift - Leaving }

// dropOrder orders kinds by which is dropped first if there are too many notices. The lift of a pause is kept longer than pauses.
func (k Kind) dropOrder() int { return [...]int{Leaving: 2, Pause: 0, LeavingLift: 2, PauseLift: 1}[k] }

// isOldLift reports whether a lift is dropped soon.
func isOldLift(k Key, n Notice, now time.Time) bool {
	return k.Kind == PauseLift && now.Sub(n.HeardAt) >= pauseLiftTime-endedPauseTime
}

// liftNumber returns the number of the latest lift of a kind of notice about an endpoint, or 0.
func (v View) liftNumber(e afengine.EndpointStart, kind Kind) int64 {
	return v.notices[Key{EndpointStart: e, Kind: kind.lift()}].Number
}

// InForce returns the starts of an endpoint about which there is a notice of the kind that has not ended.
func (v View) InForce(endpoint string, kind Kind, now time.Time) map[afengine.EndpointStart]bool {
	out := make(map[afengine.EndpointStart]bool)
	for k, n := range v.notices {
		if k.Endpoint == endpoint && k.Kind == kind && (kind != Pause || n.Until.After(now)) {
			out[k.EndpointStart] = true
		}
	}
	return out
}

// WithLift returns the view after an operator lifted the notices of a kind, Leaving or Pause, about an endpoint on this VM. It also
// returns the lift, of which other VMs should learn. What any VM heard before does not count from then on, also if it arrives later.
func (v View) WithLift(e afengine.EndpointStart, kind Kind, vm string, now time.Time) (changed View, news map[Key]Notice) {
	number := max(v.liftNumber(e, kind)+1, now.UnixMilli())
	for k, n := range v.notices {
		if k.EndpointStart == e && k.Kind == kind {
			number = max(number, n.AfterLift+1)
		}
	}
	lift := Key{EndpointStart: e, Kind: kind.lift()}
	return v.with(map[Key]Notice{lift: {HeardBy: vm, HeardAt: now, Number: number}}, now, nil, 0)
}

// withLifts returns the view with those lifts that are not known, without what they cover, and adds to the news what is new for other
// VMs. An answer that this VM got after the lift and before it learnt of it counts. It reports whether there are such lifts.
func (v View) withLifts(heard map[Key]Notice, now time.Time, isListed func(afengine.EndpointStart) bool, news map[Key]Notice) (View, bool) {
	changed := View{}
	for k, lift := range heard {
		if !k.Kind.isLift() || !isValid(k, lift) || isOver(k, lift, now, isListed) || lift.Number <= v.notices[k].Number {
			continue
		}
		if changed.notices == nil {
			changed.notices = make(map[Key]Notice, len(v.notices)+1)
			maps.Copy(changed.notices, v.notices)
		}
		changed.notices[k], news[k] = lift, lift
		for covered, n := range v.notices {
			if covered.EndpointStart != k.EndpointStart || covered.Kind.lift() != k.Kind || n.AfterLift >= lift.Number {
				continue
			}
			if !n.SaidAt.After(lift.HeardAt) {
				delete(changed.notices, covered)
				continue
			}
			n.AfterLift, n.HeardAt = lift.Number, n.SaidAt
			changed.notices[covered], news[covered] = n, n
		}
	}
	if changed.notices == nil {
		return v, false
	}
	changed.summarize()
	return changed, true
}
