package afpace

import "time"

const (
	// MaxSpacedAhead is how far ahead a slot of a Spacer may be. It is shorter than MaxAhead, since the VM that gives out slots next
	// waits for the end of it.
	MaxSpacedAhead = 500 * time.Millisecond
	// spacerTimeout is the time without a slot after which an endpoint may be forgotten.
	spacerTimeout = time.Minute
	// contendedAhead is how far ahead the next slot must be for slots to be shared by turns.
	contendedAhead = MaxSpacedAhead / 2
	// askerTime is how long a VM that asked counts as one of those that share the slots.
	askerTime = time.Second
	// turnFraction is the part of its turn for which a VM that got a slot gets no other one. It is below 1, so that slots are not left
	// unused when some of the VMs need none any more.
	turnFraction = 0.9
)

// Spacer gives out slots of endpoints at a rate that changes, without bursts: two slots of an endpoint are never closer than the
// interval of the rate at which the later one was given out. The zero value is ready to use. It is not safe for concurrent use.
type Spacer struct {
	byEndpoint map[string]*spacing
}

// spacing is the sequence of slots of one endpoint.
type spacing struct {
	// lastAt is the latest slot.
	lastAt time.Time
	// askers holds the VMs that asked lately.
	askers map[string]asker
}

// asker is a VM that asked for slots.
type asker struct{ askedAt, grantedAt time.Time }

// TakeSlot returns the next free slot of an endpoint at a rate to a VM, if it is within maxWait, or the time until one may be free. No
// slot is before notBefore. While more requests wait than slots are free, the VMs that ask take turns: otherwise those that happen to
// ask when a slot is free would get them all.
func (s *Spacer) TakeSlot(endpoint, vm string, perSecond float64, maxWait time.Duration, notBefore, now time.Time) Slot {
	if !(perSecond > 0) || !s.makeRoom(endpoint, now) {
		return Slot{Wait: MaxSpacedAhead}
	}
	current := s.byEndpoint[endpoint]
	at := now
	if notBefore.After(at) {
		at = notBefore
	}
	if next := current.lastAt.Add(interval(perSecond)); next.After(at) {
		at = next
	}
	turn := current.recordAsker(vm, perSecond, now)
	slot := Slot{Wait: at.Sub(now)}
	if slot.Wait > contendedAhead && turn > 0 {
		return Slot{Wait: contendedAhead + turn}
	}
	if slot.Wait <= min(maxWait, MaxSpacedAhead) {
		slot.IsGranted = true
		current.lastAt = at
		current.askers[vm] = asker{askedAt: now, grantedAt: now}
	}
	return slot
}

// recordAsker records that a VM asked for a slot, and returns the time until its next turn.
func (s *spacing) recordAsker(vm string, perSecond float64, now time.Time) time.Duration {
	for other, a := range s.askers {
		if now.Sub(a.askedAt) > askerTime {
			delete(s.askers, other)
		}
	}
	a := s.askers[vm]
	a.askedAt = now
	s.askers[vm] = a
	round := time.Duration(turnFraction * float64(len(s.askers)) * float64(interval(perSecond)))
	return min(a.grantedAt.Add(round).Sub(now), askerTime)
}

// makeRoom adds an endpoint, and forgets those without a recent slot if there are too many. It returns false if it can't be added.
func (s *Spacer) makeRoom(endpoint string, now time.Time) bool {
	if s.byEndpoint[endpoint] != nil {
		return true
	}
	if len(s.byEndpoint) >= maxPaces {
		for id, other := range s.byEndpoint {
			if now.Sub(other.lastAt) > spacerTimeout {
				delete(s.byEndpoint, id)
			}
		}
		if len(s.byEndpoint) >= maxPaces {
			return false
		}
	}
	if s.byEndpoint == nil {
		s.byEndpoint = make(map[string]*spacing)
	}
	s.byEndpoint[endpoint] = &spacing{askers: make(map[string]asker)}
	return true
}
