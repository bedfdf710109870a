package afqueue

import "time"

// paceShare is the weight of a new sample in the average time between two services, as a divisor.
const paceShare = 8

// pace is the average time between two services of a class since entries wait without a break.
type pace struct {
	last     time.Time
	interval time.Duration
}

func (p *pace) served(now time.Time) {
	sample := now.Sub(p.last)
	p.last = now
	if p.interval == 0 {
		p.interval = sample
		return
	}
	p.interval += (sample - p.interval) / paceShare
}

// EstimateWait returns a lower bound of the time until the entry would be served, where ready is the time until the
// class can be served at all. It counts only the customer's own entries ahead, as if no other customer waited,
// so that a refusal because of it is never due to another customer's load.
func (q *Queue) EstimateWait(e Entry, ready time.Duration) time.Duration {
	c := q.classes[e.Class]
	if c == nil {
		return ready
	}
	l := c.lines[e.Customer]
	if l == nil || c.pace.interval == 0 {
		return ready
	}
	left := e.Deadline.Sub(e.ArrivedAt)
	if d := ready + time.Duration(len(l.items))*c.pace.interval; d <= left {
		return d
	}
	key := e.ArrivedAt.Add(headStart(e))
	ahead := 0
	for _, it := range l.items {
		if !it.key.After(key) {
			ahead++
		}
	}
	return ready + time.Duration(ahead)*c.pace.interval
}
