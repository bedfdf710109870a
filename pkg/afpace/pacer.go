package afpace

import "time"

const (
	// MaxAhead is how far ahead a slot may be. A slot cannot be taken back, so that this also bounds what a pacer that is
	// replaced has already given out.
	MaxAhead = time.Second
	// startTime is how long a new pace gives out slots at half the rate, since another VM may have paced the endpoint until
	// now and go on for VMs that do not know of the change.
	startTime = 3 * time.Second
	// burst is the number of requests that may be sent at once after a pause, and substituteBurst the same for the slots of a
	// substitute.
	burst           = 4
	substituteBurst = 1
	// maxPaces bounds the endpoints that a Pacer paces, and paceTimeout is the time without a request after which an endpoint
	// is not paced any more.
	maxPaces    = 4096
	paceTimeout = 10 * time.Second
)

// Request asks for a slot.
type Request struct {
	Endpoint EndpointStart
	// PerSecond is the limit of the endpoint as the asking VM knows it.
	PerSecond float64
	// IsSubstitute means that the VM that should pace the endpoint does not answer.
	IsSubstitute bool
	// MaxWait is how long the asking VM can wait for the slot.
	MaxWait time.Duration
}

// Slot is the answer to a Request.
type Slot struct {
	// IsGranted means that one request may be sent after Wait. Otherwise no slot is free within MaxWait, and a further
	// request may succeed after Wait.
	IsGranted bool
	Wait      time.Duration
}

// Pacer gives out slots. The zero value is ready to use. It is not safe for concurrent use.
type Pacer struct {
	paces map[paceKey]pace
}

// paceKey identifies a pace. A substitute keeps its slots apart from those that it gives out in its own right.
type paceKey struct {
	endpoint     EndpointStart
	isSubstitute bool
}

// pace is the sequence of slots of one endpoint.
type pace struct {
	startedAt time.Time
	// nextAt is when the next slot begins if the slots follow each other without a burst.
	nextAt time.Time
	usedAt time.Time
}

// TakeSlot returns the next free slot, or the time until one may be free.
func (p *Pacer) TakeSlot(r Request, now time.Time) Slot {
	key := paceKey{r.Endpoint, r.IsSubstitute}
	current, ok := p.paces[key]
	if !ok {
		p.makeRoom(now)
		current = pace{startedAt: now, nextAt: now} // A new pace begins without a burst.
	}
	interval := slotInterval(r, now.Sub(current.startedAt))
	current.usedAt = now
	earliest := now.Add(-time.Duration(burstOf(r)-1) * interval)
	if current.nextAt.Before(earliest) {
		current.nextAt = earliest
	}
	wait := max(current.nextAt.Sub(now), 0)
	slot := Slot{IsGranted: wait <= min(r.MaxWait, MaxAhead), Wait: wait}
	if slot.IsGranted {
		current.nextAt = current.nextAt.Add(interval)
	}
	p.paces[key] = current
	return slot
}

// burstOf returns the number of requests that may be sent at once after a pause.
func burstOf(r Request) int {
	if r.IsSubstitute {
		return substituteBurst
	}
	return burst
}

// slotInterval returns the time between two slots of a pace of an age.
func slotInterval(r Request, age time.Duration) time.Duration {
	if r.IsSubstitute || age < startTime {
		return interval(r.PerSecond / 2)
	}
	return interval(r.PerSecond)
}

// makeRoom removes the paces that are not used any more, and all if too many remain.
func (p *Pacer) makeRoom(now time.Time) {
	if p.paces == nil {
		p.paces = make(map[paceKey]pace)
	}
	if len(p.paces) < maxPaces {
		return
	}
	for key, current := range p.paces {
		if now.Sub(current.usedAt) > paceTimeout {
			delete(p.paces, key)
		}
	}
	if len(p.paces) >= maxPaces {
		clear(p.paces)
	}
}
