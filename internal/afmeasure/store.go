package afmeasure

import "time"

// weightStore simulates the weight store, which starts a limited number of loads per second. More than
// storeParallelLoads transfers share its bandwidth.
type weightStore struct {
	loadsPerSecond float64
	slowdown       float64 // divisor of the bandwidth; 1 is full speed
	transfers      []*transfer
	nextLoadAt     time.Duration // earliest start of the next load
	advancedAt     time.Duration // time up to which the transfers are advanced
	scheduleCount  int
}

// transfer is the load of one checkpoint from the weight store.
type transfer struct {
	remaining time.Duration // remaining time at full speed
	onDone    func()
}

// startTransfer starts a transfer of duration d at full speed as soon as the rate of loads allows, and calls done at its
// end.
func (s *weightStore) startTransfer(sim *simulation, d time.Duration, done func()) {
	start := max(sim.now, s.nextLoadAt)
	s.nextLoadAt = start + time.Duration(float64(time.Second)/s.loadsPerSecond)
	sim.schedule(start-sim.now, func() {
		s.advanceTransfers(sim)
		s.transfers = append(s.transfers, &transfer{remaining: d, onDone: done})
		s.scheduleNextEnd(sim)
	})
}

// transferSpeed returns the speed of each transfer as a fraction of full speed.
func (s *weightStore) transferSpeed() float64 {
	return min(1, float64(storeParallelLoads)/float64(max(len(s.transfers), 1))) / s.slowdown
}

// advanceTransfers reduces the remaining time of the transfers by their progress since the last call.
func (s *weightStore) advanceTransfers(sim *simulation) {
	d := time.Duration(float64(sim.now-s.advancedAt) * s.transferSpeed())
	s.advancedAt = sim.now
	for _, t := range s.transfers {
		t.remaining -= d
	}
}

// scheduleNextEnd schedules the end of the transfer that ends first. A later call replaces the scheduled end.
func (s *weightStore) scheduleNextEnd(sim *simulation) {
	s.scheduleCount++
	scheduledBy := s.scheduleCount
	if len(s.transfers) == 0 {
		return
	}
	shortest := s.transfers[0].remaining
	for _, t := range s.transfers {
		shortest = min(shortest, t.remaining)
	}
	sim.schedule(time.Duration(float64(max(shortest, 0))/s.transferSpeed())+time.Microsecond, func() {
		if scheduledBy != s.scheduleCount {
			return
		}
		s.advanceTransfers(sim)
		unfinished := s.transfers[:0]
		var endedCallbacks []func()
		for _, t := range s.transfers {
			if t.remaining <= 0 {
				endedCallbacks = append(endedCallbacks, t.onDone)
				continue
			}
			unfinished = append(unfinished, t)
		}
		s.transfers = unfinished
		for _, done := range endedCallbacks {
			done()
		}
		s.scheduleNextEnd(sim)
	})
}
