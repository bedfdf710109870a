package afmeasure

import "time"

// store is the weight store: it starts a bounded number of loads per second and shares its bandwidth when more
// than storeLoads run.
type store struct {
	loads  float64
	slow   float64 // slow divides the bandwidth; one is full speed.
	active []*transfer
	next   time.Duration // next is when another load may start.
	last   time.Duration
	seq    int
}

type transfer struct {
	left time.Duration // left is the remaining time at full speed.
	done func()
}

func (s *store) add(l *loop, d time.Duration, done func()) {
	start := max(l.now, s.next)
	s.next = start + time.Duration(float64(time.Second)/s.loads)
	l.at(start-l.now, func() {
		s.progress(l)
		s.active = append(s.active, &transfer{left: d, done: done})
		s.schedule(l)
	})
}

func (s *store) speed() float64 {
	return min(1, float64(storeLoads)/float64(max(len(s.active), 1))) / s.slow
}

// progress brings the transfers up to date.
func (s *store) progress(l *loop) {
	d := time.Duration(float64(l.now-s.last) * s.speed())
	s.last = l.now
	for _, t := range s.active {
		t.left -= d
	}
}

// schedule plans the end of the transfer that ends first.
func (s *store) schedule(l *loop) {
	s.seq++
	seq := s.seq
	if len(s.active) == 0 {
		return
	}
	first := s.active[0].left
	for _, t := range s.active {
		first = min(first, t.left)
	}
	l.at(time.Duration(float64(max(first, 0))/s.speed())+time.Microsecond, func() {
		if seq != s.seq {
			return
		}
		s.progress(l)
		active := s.active[:0]
		var ended []func()
		for _, t := range s.active {
			if t.left <= 0 {
				ended = append(ended, t.done)
				continue
			}
			active = append(active, t)
		}
		s.active = active
		for _, done := range ended {
			done()
		}
		s.schedule(l)
	})
}
