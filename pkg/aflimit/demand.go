package aflimit

import (
	"math"
	"time"
)

// demandWindow is the time constant of the demand estimate. One second after demand has moved to another VM, the
// estimate is at 2 %, so that the VM lends what it held.
const demandWindow = 250 * time.Millisecond

// meter estimates recent demand as an exponentially decaying sum. It decides what is lent, never what is admitted,
// so floating point is safe here.
type meter struct {
	sum float64
	at  time.Duration
}

func (m *meter) add(now time.Duration, a Amount) {
	m.decay(now)
	m.sum += float64(a)
}

// remove takes back what a reservation made at the instant since counted too much.
func (m *meter) remove(now, since time.Duration, a Amount) {
	m.decay(now)
	m.sum = max(0, m.sum-float64(a)*math.Exp(-float64(m.at-since)/float64(demandWindow)))
}

func (m *meter) decay(now time.Duration) {
	if now > m.at {
		m.sum *= math.Exp(-float64(now-m.at) / float64(demandWindow))
		m.at = now
	}
}

// rate returns the demand per second.
func (m *meter) rate(now time.Duration) Amount {
	m.decay(now)
	return Amount(min(m.sum/demandWindow.Seconds(), float64(maxTokens)*float64(Token)))
}
