package aflimit

import (
	"math"
	"time"
)

const (
	// fastWindow is the time constant for what a VM keeps. One second after demand has moved to another VM, the estimate
	// is at 2 %, so that the VM lends what it held.
	fastWindow = 250 * time.Millisecond
	// slowWindow is the time constant for what a VM borrows. At a few requests per second, the fast estimate would ask
	// for the whole rate with each request.
	slowWindow = time.Second
)

// demand estimates recent demand as exponentially decaying sums. It decides what is lent, never what is admitted, so
// floating point is safe here.
type demand struct {
	fast meter
	slow meter
}

func (d *demand) add(now time.Duration, a Amount) {
	d.fast.add(now, fastWindow, float64(a))
	d.slow.add(now, slowWindow, float64(a))
}

// remove takes back what a reservation made at the instant since counted too much.
func (d *demand) remove(now, since time.Duration, a Amount) {
	d.fast.add(now, fastWindow, -float64(a)*decay(now-since, fastWindow))
	d.slow.add(now, slowWindow, -float64(a)*decay(now-since, slowWindow))
}

// rates returns the demand per second by the fast and by the slow estimate.
func (d *demand) rates(now time.Duration) (fast, slow Amount) {
	return d.fast.rate(now, fastWindow), d.slow.rate(now, slowWindow)
}

type meter struct {
	sum float64
	at  time.Duration
}

func (m *meter) add(now, window time.Duration, a float64) {
	if now > m.at {
		m.sum *= decay(now-m.at, window)
		m.at = now
	}
	m.sum = max(0, m.sum+a)
}

func (m *meter) rate(now, window time.Duration) Amount {
	m.add(now, window, 0)
	return Amount(min(m.sum/window.Seconds(), float64(maxTokens)*float64(Token)))
}

func decay(d, window time.Duration) float64 { return math.Exp(-float64(d) / float64(window)) }
