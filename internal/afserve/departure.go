package afserve

import (
	"time"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afmember"
)

// recordMessageFrom records that a message from the incarnation arrived, which shows that the incarnation runs.
func (s *Server) recordMessageFrom(i arbutusfork.Incarnation) {
	s.updateDepartures(func(d afmember.DepartureTracker, now time.Time) afmember.DepartureTracker {
		return d.WithMessageFrom(i, now)
	})
}

// isGone reports whether the process of the incarnation can no longer have any effect.
func (s *Server) isGone(i arbutusfork.Incarnation) bool {
	if i.VM == s.self.VM {
		// A VM runs one daemon process at a time, so an earlier process of this VM has ended.
		return i.StartID < s.self.StartID
	}
	if !s.departures.Load().HasIncarnation(i) {
		s.updateDepartures(func(d afmember.DepartureTracker, now time.Time) afmember.DepartureTracker {
			return d.WithIncarnation(i, now)
		})
	}
	memberView, viewReadAt := s.sync.ListedMembership()
	return s.departures.Load().IsGone(i, memberView, viewReadAt)
}

// updateDepartures replaces the departure tracker by the result of update. It retries if another goroutine replaced the
// tracker in the meantime.
func (s *Server) updateDepartures(update func(d afmember.DepartureTracker, now time.Time) afmember.DepartureTracker) {
	for {
		old := s.departures.Load()
		next := update(*old, s.timer.Now())
		if s.departures.CompareAndSwap(old, &next) {
			return
		}
	}
}
