package afqueue

import "time"

// sampleDivisor sets the weight of a new sample in the moving average of the time between served entries: 1/sampleDivisor.
const sampleDivisor = 8

// serviceInterval measures the time between two served entries of a class. It is created when the class gets its first
// waiting entry and dropped when none is left, so that idle time does not count.
type serviceInterval struct {
	lastServedAt time.Time     // lastServedAt is the arrival of the first entry until an entry has been served.
	average      time.Duration // average is a moving average. It is zero until an entry has been served.
}

// recordServed updates the average with the time since the previous served entry.
func (p *serviceInterval) recordServed(now time.Time) {
	sample := now.Sub(p.lastServedAt)
	p.lastServedAt = now
	if p.average == 0 {
		p.average = sample
		return
	}
	p.average += (sample - p.average) / sampleDivisor
}

// EstimateWait returns a lower bound of the time until the entry would be served. The argument untilReady is the time
// until the resource of the entry's class can serve at all. Only entries of the same customer that would be served
// earlier are counted, as if no other customer waited, so that a request that is refused because of the estimate is
// never refused because of another customer's load.
func (q *Queue) EstimateWait(e Entry, untilReady time.Duration) time.Duration {
	c := q.classes[e.Class]
	if c == nil {
		return untilReady
	}
	line := c.customerLines[e.Customer]
	if line == nil || c.serviceInterval.average == 0 {
		return untilReady
	}
	maxWait := e.Deadline.Sub(e.ArrivedAt)
	if d := untilReady + time.Duration(len(line.byKey))*c.serviceInterval.average; d <= maxWait {
		return d
	}
	key := e.ArrivedAt.Add(sizePenalty(e))
	entriesAhead := 0
	for _, queued := range line.byKey {
		if !queued.sortKey.After(key) {
			entriesAhead++
		}
	}
	return untilReady + time.Duration(entriesAhead)*c.serviceInterval.average
}
