package afpace

import (
	"time"

	"arbutusfork.example/arbutusfork/pkg/afengine"
)

const (
	// MaxAhead is how far ahead a slot may be. A slot cannot be taken back, so that this also bounds what a pacer that is
	// replaced has already given out.
	MaxAhead = time.Second
	// maxUnaware is how long some VMs may not know that another VM paces an endpoint now.
	maxUnaware = 3 * time.Second
	// startTime is how long a VM that begins to pace an endpoint gives out slots at half the rate and without bursts, since another
	// VM may have paced the endpoint until then. The last slots of that VM are used MaxAhead after the last VM knows of the change.
	startTime = maxUnaware + MaxAhead
	// burst is the number of requests that may be sent at once after a pause. While a pacer is replaced, the bursts of both and
	// of a substitute add up.
	burst = 3
	// maxPaces bounds the endpoints that a Pacer paces, and paceTimeout is the time without a request after which an endpoint
	// is not paced any more.
	maxPaces    = 4096
	paceTimeout = 10 * time.Second
)

// Request asks for a slot.
type Request struct {
	Endpoint afengine.EndpointStart
	// PerSecond is the limit of the endpoint as the asking VM knows it.
	PerSecond float64
	// IsSubstitute means that the VM that should pace the endpoint does not answer.
	IsSubstitute bool
	// HomeSince is since when the giving VM paces the endpoint. It matters only for the first request of an endpoint.
	HomeSince time.Time
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
	endpoint     afengine.EndpointStart
	isSubstitute bool
}

// pace is the sequence of slots of one endpoint.
type pace struct {
	// homeSince is since when this VM paces the endpoint.
	homeSince time.Time
	// nextAt is when the next slot begins if the slots follow each other without a burst.
	nextAt time.Time
	usedAt time.Time
}

// TakeSlot returns the next free slot, or the time until one may be free.
func (p *Pacer) TakeSlot(r Request, now time.Time) Slot {
	key := paceKey{r.Endpoint, r.IsSubstitute}
	current, ok := p.paces[key]
	if !ok || r.IsSubstitute && now.Sub(current.usedAt) > MaxAhead {
		p.makeRoom(now)
		current = r.newPace(now)
	}
	interval, burst := r.rate(now.Sub(current.homeSince))
	current.usedAt = now
	earliest := now.Add(-time.Duration(burst-1) * interval)
	if current.nextAt.Before(earliest) {
		current.nextAt = earliest
	}
	wait := max(current.nextAt.Sub(now), 0)
	slot := Slot{IsGranted: wait <= min(r.MaxWait, MaxAhead), Wait: wait}
	if slot.IsGranted {
		interval, _ = r.rate(now.Add(wait).Sub(current.homeSince)) // The slot may be used at a higher rate than now.
		current.nextAt = current.nextAt.Add(interval)
	}
	p.paces[key] = current
	return slot
}

// newPace returns a pace that begins without a burst, and when the slots that another pacer has given out are used.
func (r Request) newPace(now time.Time) pace {
	begin := now
	if !r.IsSubstitute {
		begin = r.HomeSince
	}
	p := pace{homeSince: r.HomeSince, nextAt: begin.Add(MaxAhead)}
	if p.nextAt.Before(now) {
		p.nextAt = now
	}
	return p
}

// rate returns the time between two slots when a pace has an age, and the number of slots that may be used at once after a pause.
func (r Request) rate(age time.Duration) (slotInterval time.Duration, slots int) {
	if r.IsSubstitute || age < startTime {
		return interval(r.PerSecond / 2), 1
	}
	return interval(r.PerSecond), burst
}

// DropPaces removes the paces of the endpoints that this VM no longer paces in its own right.
func (p *Pacer) DropPaces(isHome func(afengine.EndpointStart) bool) {
	for key := range p.paces {
		if !key.isSubstitute && !isHome(key.endpoint) {
			delete(p.paces, key)
		}
	}
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
