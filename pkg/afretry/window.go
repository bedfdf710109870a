package afretry

import "time"

// windowSlots divides the window. A slot's requests leave the count together.
const windowSlots = 10

// RetryWindow bounds the repeats of one service in a sliding window to a ratio of its requests plus a fixed extra. The zero
// value allows none. It is not safe for concurrent use.
type RetryWindow struct {
	// RetryRatio is the number of repeats for each request, ExtraRetries the number allowed besides in a window.
	RetryRatio, ExtraRetries float64
	// Length is the length of the window.
	Length time.Duration

	slots [windowSlots + 1]windowSlot
}

type windowSlot struct {
	index             int64
	requests, repeats int
}

func (w *RetryWindow) slot(now time.Time) *windowSlot {
	index := now.UnixNano() / max(int64(w.Length/windowSlots), 1)
	s := &w.slots[index%int64(len(w.slots))]
	if s.index != index {
		*s = windowSlot{index: index}
	}
	return s
}

// CountRequest counts a first send.
func (w *RetryWindow) CountRequest(now time.Time) { w.slot(now).requests++ }

// TakeRetry counts another send and reports true if the window has room for it. Otherwise it counts nothing.
func (w *RetryWindow) TakeRetry(now time.Time) bool {
	s := w.slot(now)
	requests, repeats := 0, 0
	for _, x := range w.slots {
		if x.index > s.index-int64(len(w.slots)) && x.index <= s.index {
			repeats += x.repeats
			requests += x.requests
		}
	}
	if float64(repeats+1) > w.RetryRatio*float64(requests)+w.ExtraRetries {
		return false
	}
	s.repeats++
	return true
}
